package org.elderhitch.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.elderhitch.cluster.Cluster
import org.elderhitch.cluster.ClusterPorts
import org.elderhitch.delegates.DelegationGrant
import org.elderhitch.delegates.DelegationOffer
import org.elderhitch.features.FeatureContext
import org.elderhitch.features.FeatureSet
import org.elderhitch.features.Features
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.CatalogRefresher
import org.elderhitch.fleet.CloudCallScheduler
import org.elderhitch.fleet.CloudClient
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.fleet.FleetPorts
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.ProvisioningActor
import org.elderhitch.heartbeat.WorkerClient
import org.elderhitch.http.Handler
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.Admission
import org.elderhitch.jobs.ClassRules
import org.elderhitch.jobs.CompletionWriter
import org.elderhitch.jobs.Footprint
import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.HoldResult
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobMessage
import org.elderhitch.jobs.JobRegistry
import org.elderhitch.jobs.JobService
import org.elderhitch.jobs.SubmissionPolicy
import org.elderhitch.jobs.TaskId
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.leadership.Term
import org.elderhitch.scheduler.SchedulerActor
import org.elderhitch.scheduler.SchedulerConfiguration
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Settings
import org.elderhitch.store.RequestRateLimiter
import org.elderhitch.store.StateClient
import org.elderhitch.store.StateWatch
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallClock
import kotlin.random.Random
import kotlin.time.Duration

/**
 * One controller: creates its components and connects them. The caller provides clocks, random numbers and the network,
 * so that simulations can run many controllers in virtual time.
 */
public class Controller(
    private val scope: CoroutineScope,
    private val settings: Settings,
    policy: FleetPolicy,
    transport: Transport,
    private val clock: SteadyClock,
    private val wallClock: WallClock,
    random: Random,
    features: Features = Features.NONE,
    /** The limit on open jobs that this process accepts, by their size in memory. */
    private val maxFootprint: Footprint = Footprint.limitFor(Runtime.getRuntime().maxMemory()),
    /** Called after each scheduling cycle with the number of machines and candidates that it examined. */
    onCycle: (machineVisits: Long) -> Unit = {},
    /** Called when an entry in the state service requires a feature that is disabled; the process must then exit. */
    onMissingFeature: (reason: String) -> Unit = { error(it) },
) {
    private val incarnation = Incarnation(random.nextLong().toULong().toString(INCARNATION_RADIX))
    private val timeouts = LeadershipTimeouts.of(settings.workers)
    private val metrics = Metrics(clock)
    private var cloudActionCounts: Map<String, Any?> = emptyMap()

    private val stateConnection = StateConnection(settings, transport, clock)
    private val stateClient: StateClient = stateConnection.client
    private val jobRegistry: JobRegistry = JobRegistry(scope, ::publish)
    private val leadership: Leadership =
        Leadership(scope, settings.node, incarnation, stateClient, timeouts, clock, random)
    private val cloud = CloudClient(
        transport,
        settings.cloud,
        RequestRateLimiter(clock, settings.cloudLimits.requestsPerS * CloudCallScheduler.USABLE_SHARE),
    )
    private val schedulerWiring: SchedulerWiring = createSchedulerWiring(transport)
    private val scheduler: SchedulerActor = createScheduler(features, onCycle, policy)
    private val provisioning: ProvisioningActor = ProvisioningActor(
        scope,
        cloud,
        stateClient,
        policy,
        settings.nonPreemptingClasses,
        settings.cloudLimits,
        clock,
        fleetPorts(),
    )
    private val catalog: CatalogRefresher = CatalogRefresher(
        scope,
        cloud,
        stateClient,
        settings.stateLimits.valueBytes,
        { stateWatch.loaded },
        ::catalogChanged,
    )
    private val stateWatch: StateWatch = StateWatch(
        scope,
        stateClient,
        clock,
        WatchDispatcher(jobRegistry, provisioning, catalog, scheduler, leadership, ::featureSet, onMissingFeature),
    )
    private val leaderQueries: LeaderQueries =
        LeaderQueries(scheduler, { leadership.leadershipState.value }) { leader, path, body, timeout ->
            cluster.callLeader(leader, path, body, timeout)
        }
    private val leaderRpcHandler = LeaderRpcHandler(leaderQueries)
    private val jobService: JobService = createJobService(features)
    private val cluster: Cluster =
        Cluster(scope, settings.node, incarnation, settings.peers, transport, clock, clusterPorts())
    private val partitionDetector = PartitionDetector(scope, settings, cluster, stateConnection, stateWatch)
    private val features: FeatureSet = FeatureSet(features.factories.map { it.make(featureContext()) })
    private val termLifecycle =
        TermLifecycle(scope, leadership, cluster, stateWatch, this.features, timeouts.renewInterval, ::termLoaded)
    private val status =
        ControllerStatus(settings.node, incarnation, leadership, stateConnection, this.features, metrics) {
            mapOf("workers" to schedulerWiring.workerActionCounts, "cloud" to cloudActionCounts)
        }
    private val jobEndpoint = JobEndpoint(jobService, this.features, leaderQueries)
    private val router: RequestRouter = RequestRouter(
        HeartbeatEndpoint(scheduler, cluster),
        jobEndpoint,
        ProbeEndpoint({ stateWatch.loaded }, status::read),
        cluster,
        stateConnection::isReachable,
        metrics,
        this.features,
    )

    /** Serves users, workers and health probes. */
    public val clientHandler: Handler get() = router

    /** Serves the other controllers. */
    public val peerHandler: Handler get() = cluster

    /** Starts all components. Must be called once, after the controller has begun to listen on its addresses. */
    public fun start() {
        jobRegistry.start()
        scheduler.start()
        provisioning.start()
        leadership.start()
        scope.launch { leadership.leadershipState.collect(::leadershipChanged) }
        features.start()
        stateWatch.start()
        catalog.start(leadership.leadershipState)
        cluster.start()
        registerGauges()
    }

    private fun registerGauges() {
        metrics.gauge("jobs.running_tasks") { schedulerWiring.runningTasks.values.sum() }
        metrics.gauge("jobs.open_bytes") { jobRegistry.footprint.bytes }
        metrics.gauge("jobs.most_bytes") { (cluster.smallestPeerOpenJobsLimit() ?: maxFootprint).bytes }
        metrics.gauge("term") { (leadership.leadershipState.value as? LeadershipState.Leader)?.term?.number ?: 0 }
    }

    /** The machine of each task in the leader's task table; null if this controller isn't the leader. */
    internal suspend fun placements(): Map<TaskId, MachineId>? = leaderQueries.placements()

    private fun createSchedulerWiring(transport: Transport): SchedulerWiring {
        val tellScheduler = { message: SchedulerMessage -> scheduler.tell(message) }
        val stateWriter = SchedulerStateWriter(
            scope,
            stateClient,
            CompletionWriter(stateClient, jobRegistry, settings.stateLimits.txnOps),
            leadership,
            ::featureSet,
            settings.stateLimits.valueBytes,
            tellScheduler,
        )
        val workerCommands = WorkerCommandSender(scope, WorkerClient(transport), ::maySendCommands, tellScheduler)
        return SchedulerWiring(jobRegistry, leadership, { provisioning }, stateWriter, workerCommands) { leader ->
            partitionDetector.isIsolatedFrom(leader)
        }
    }

    private fun createScheduler(features: Features, onCycle: (machineVisits: Long) -> Unit, policy: FleetPolicy) =
        SchedulerActor(
            scope,
            schedulerConfiguration(features.rules, policy),
            clock,
            wallClock,
            schedulerWiring,
            onCycle,
        ) { job ->
            featureSet().jobProvider(job)?.open(job)
        }

    private fun schedulerConfiguration(rules: ClassRules, policy: FleetPolicy) = SchedulerConfiguration(
        node = settings.node,
        nodeZones = settings.nodeZones,
        leadershipTimeouts = timeouts,
        workerTimeouts = settings.workers,
        teams = settings.teams,
        objectives = settings.objectives,
        classRules = rules,
        suspectedTerminationShare = policy.suspectedTerminationShare,
        cpuShare = settings.cpuShare,
    )

    private fun createJobService(features: Features) = JobService(
        jobRegistry,
        stateWatch,
        stateClient,
        SubmissionPolicy(
            settings.teams,
            { catalog.canEverRun(it) },
            settings.stateLimits.valueBytes,
            features.rules,
            Admission(maxFootprint) { cluster.smallestPeerOpenJobsLimit() },
        ),
        wallClock,
        { leaderQueries.account(it.id) },
        { featureSet().jobProvider(it) },
        { id, record -> cluster.broadcastTerminalState(id, record) },
    )

    /** For components that are created before [features]. */
    private fun featureSet(): FeatureSet = features

    private fun leadershipChanged(state: LeadershipState) {
        scheduler.tell(SchedulerMessage.LeadershipChanged(state))
        provisioning.tell(FleetMessage.LeadershipChanged(state))
        stateConnection.setRates(isLeader = state is LeadershipState.Leader)
        termLifecycle.leadershipChanged(state)
    }

    private fun termLoaded(term: Term) {
        scheduler.tell(SchedulerMessage.JobsLoaded(term))
        provisioning.tell(FleetMessage.IntentsLoaded(term))
    }

    private fun publish(event: JobEvent) {
        scheduler.tell(SchedulerMessage.JobChanged(event))
        if (event is JobEvent.Opened) provisioning.tell(FleetMessage.JobOpened(event.spec))
    }

    private fun catalogChanged(catalog: Catalog) {
        scheduler.tell(SchedulerMessage.CatalogChanged(catalog))
        provisioning.tell(FleetMessage.CatalogChanged(catalog))
    }

    /** Whether this controller still leads the term of [leader], and its command window is open. */
    private fun maySendCommands(leader: LeadershipState.Leader): Boolean {
        val current = leadership.leadershipState.value as? LeadershipState.Leader ?: return false
        return current.term == leader.term && current.maySendCommands(clock.now())
    }

    private fun fleetPorts(): FleetPorts = object : FleetPorts {
        override fun tellScheduler(message: SchedulerMessage) = scheduler.tell(message)

        override fun tellLeadership(message: LeadershipMessage) = leadership.tell(message)

        override fun maySendCommands(leadershipState: LeadershipState.Leader): Boolean =
            this@Controller.maySendCommands(leadershipState)

        override fun publishActions(counts: Map<String, Any?>) {
            cloudActionCounts = counts
        }
    }

    private fun clusterPorts(): ClusterPorts = object : ClusterPorts {
        override fun leadershipState(): LeadershipState = leadership.leadershipState.value

        override fun respectedTerm(): Term = schedulerWiring.respectedTerm

        override fun reachesStateService(): Boolean = stateConnection.isReachable()

        override fun runningTasks(): Map<JobId, Int> = schedulerWiring.runningTasks

        override fun openJobsLimit(): Footprint = maxFootprint

        override fun observeTerm(term: Term) = leadership.tell(LeadershipMessage.TermObserved(term))

        override fun previousLeaderExited(term: Term) = scheduler.tell(SchedulerMessage.PreviousLeaderExited(term))

        override fun previousLeadersStopped(term: Term) = scheduler.tell(SchedulerMessage.PreviousLeadersStopped(term))

        override suspend fun grantDelegation(node: NodeName): DelegationOffer? = leaderQueries.grantDelegation(node)

        override fun delegationGranted(grant: DelegationGrant) =
            scheduler.tell(SchedulerMessage.DelegationGranted(grant))

        override val maxDelegationDuration: Duration = timeouts.commandWindow + timeouts.answerGracePeriod

        override fun receiveTerminalStates(records: Map<JobId, TerminalRecord>) = records.forEach { (id, record) ->
            jobRegistry.tell(JobMessage.TerminalStateReceived(id, record))
        }

        override fun receiveRunningCounts(counts: Map<JobId, Int>) = jobRegistry.tell(JobMessage.RunningCounts(counts))

        override suspend fun serveUserRequest(request: Request): Response = jobEndpoint.handle(request)

        override suspend fun serveLeaderRequest(request: Request): Response = leaderRpcHandler.handle(request)
    }

    private fun featureContext(): FeatureContext = object : FeatureContext {
        override val scope: CoroutineScope get() = this@Controller.scope

        override val settings: Settings get() = this@Controller.settings

        override val clock: SteadyClock get() = this@Controller.clock

        override val wallClock: WallClock get() = this@Controller.wallClock

        override val client: StateClient get() = stateClient

        override val jobService: JobService get() = this@Controller.jobService

        override val metrics: Metrics get() = this@Controller.metrics

        override suspend fun sync(): Boolean = stateWatch.awaitFreshness()

        override suspend fun hold(job: JobId, kind: HoldKind, reason: String): HoldResult =
            leaderQueries.hold(job, kind, reason)

        override fun publish(event: JobEvent) = this@Controller.publish(event)

        override fun runningTasks(job: JobId): Int = schedulerWiring.runningTasks[job] ?: 0

        override suspend fun faultyJobs(): Set<JobId>? = leaderQueries.faultyJobs()
    }

    private companion object {
        const val INCARNATION_RADIX = 36
    }
}
