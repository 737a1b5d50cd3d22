package org.elderhitch.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
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
import org.elderhitch.jobs.CompletionWriter
import org.elderhitch.jobs.Footprint
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
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Settings
import org.elderhitch.store.RequestRateLimiter
import org.elderhitch.store.StateClient
import org.elderhitch.store.StateWatch
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One controller: its slices, and who tells whom what. Clocks, random numbers and network come from outside. */
public class Controller(
    private val scope: CoroutineScope,
    private val settings: Settings,
    policy: FleetPolicy,
    transport: Transport,
    private val clock: SteadyClock,
    wallClock: WallClock,
    random: Random,
    features: Features = Features.NONE,
    private val bound: Footprint = Footprint.bound(Runtime.getRuntime().maxMemory()),
    /** Told after each scheduling cycle how many looks at machines and candidates it took. */
    onCycle: (looks: Long) -> Unit = {},
    /** Something recorded needs a feature that is off here: serving on would tell users falsely. */
    onUnserved: (reason: String) -> Unit = { error(it) },
) {
    private val incarnation = Incarnation(random.nextLong().toULong().toString(RADIX))
    private val times = LeadershipTimeouts.of(settings.workers)
    private val metrics = Metrics(clock)
    private val stateRequests = RequestRateLimiter(clock, share(settings.stateLimits.requestsPerS, FOLLOWER_SHARE))
    private val stateWrites = RequestRateLimiter(clock, share(settings.stateLimits.writesPerS, FOLLOWER_SHARE))
    private var lastContact = MonotonicInstant.NEVER
    private var failing = false
    private var probedAt = MonotonicInstant.NEVER
    private var acting: Term? = null
    private var orderedOfCloud: Map<String, Any?> = emptyMap()

    private val client =
        StateClient(transport, settings.state, settings.stateLimits, stateRequests, stateWrites) { answered ->
            failing = !answered
            if (answered) lastContact = clock.now()
        }
    private val jobRegistry: JobRegistry = JobRegistry(scope, ::jobEvent)
    private val leadership: Leadership = Leadership(scope, settings.node, incarnation, client, times, clock, random)
    private val cloud = CloudClient(
        transport,
        settings.cloud,
        RequestRateLimiter(
            clock,
            settings.cloudLimits.requestsPerS * CloudCallScheduler.USABLE_SHARE,
        ),
    )
    private val wiring: SchedulerWiring = SchedulerWiring(
        scope, client,
        CompletionWriter(
            client,
            jobRegistry,
            settings.stateLimits.txnOps,
        ),
        jobRegistry, WorkerClient(transport), leadership, ::featureSet,
        settings.stateLimits.valueBytes, ::entitled, ::isCutOffFrom, { provisioning }, { scheduler.tell(it) },
    )
    private val scheduler: SchedulerActor =
        SchedulerActor(
            scope,
            times,
            settings.workers,
            settings.teams,
            settings.objectives,
            settings.node,
            settings.nodeZones,
            clock,
            wiring,
            wallClock,
            features.rules,
            onCycle,
            policy.suspectedTerminationShare,
            settings.cpuShare,
        ) {
            featureSet().jobProvider(it)?.open(it)
        }
    private val provisioning: ProvisioningActor =
        ProvisioningActor(
            scope,
            cloud,
            client,
            policy,
            settings.instantClasses,
            settings.cloudLimits,
            clock,
            fleetPorts(),
        )
    private val catalog: CatalogRefresher =
        CatalogRefresher(scope, cloud, client, settings.stateLimits.valueBytes, { stateWatch.loaded }, ::catalogIs)
    private val stateWatch: StateWatch =
        StateWatch(
            scope,
            client,
            clock,
            WatchDispatcher(jobRegistry, provisioning, catalog, scheduler, leadership, ::featureSet, onUnserved),
        )
    private val leaderDesk: LeaderRpcHandler =
        LeaderRpcHandler(scheduler, {
            leadership.leadershipState.value
        }) { leader, path, body, timeout -> cluster.callLeader(leader, path, body, timeout) }
    private val jobService = JobService(
        jobRegistry,
        stateWatch,
        client,
        SubmissionPolicy(
            settings.teams,
            { catalog.canEverRun(it) },
            settings.stateLimits.valueBytes,
            features.rules,
            Admission(bound) { cluster.smallestPeerLimit() },
        ),
        wallClock,
        { leaderDesk.account(it.id) },
        { featureSet().jobProvider(it) },
        { id, record -> cluster.broadcastTerminalState(id, record) },
    )
    private val cluster: Cluster =
        Cluster(scope, settings.node, incarnation, settings.peers, transport, clock, clusterPorts())
    private val features: FeatureSet = FeatureSet(
        features.factories.map {
            it.make(
                FeatureContext(scope, settings, clock, wallClock, random, client, jobService, metrics, {
                    stateWatch.awaitFreshness()
                }, {
                    leadership.leadershipState.value
                }, leaderDesk::hold, ::jobEvent, { id: JobId ->
                    wiring.running[id]
                        ?: 0
                }, leaderDesk::atFault),
            )
        },
    )
    private val edge: RequestRouter =
        RequestRouter(jobService, scheduler, cluster, ::reachesStateService, {
            stateWatch.loaded
        }, metrics, this.features, leaderDesk, ::status)

    /** For users, workers and probes. */
    public val clients: Handler get() = edge

    /** For the other controllers. */
    public val peers: Handler get() = cluster

    public fun start() {
        jobRegistry.start()
        scheduler.start()
        provisioning.start()
        leadership.start()
        scope.launch { leadership.leadershipState.collect(::tenureIs) }
        features.start()
        stateWatch.start()
        catalog.start(leadership.leadershipState)
        cluster.start()
        metrics.gauge("jobs.running_tasks") { wiring.running.values.sum() }
        metrics.gauge("jobs.open_bytes") { jobRegistry.footprint.bytes }
        metrics.gauge("jobs.most_bytes") { (cluster.smallestPeerLimit() ?: bound).bytes }
        metrics.gauge("term") { (leadership.leadershipState.value as? LeadershipState.Leader)?.term?.number ?: 0 }
    }

    /** Where the leader believes each task to be; null: this node doesn't lead. */
    internal suspend fun survey(): Map<TaskId, MachineId>? = leaderDesk.survey()

    private fun featureSet(): FeatureSet = features

    private fun share(whole: Double, part: Double): Double =
        if (settings.peers.isEmpty()) whole * USABLE else whole * USABLE * part

    private fun reachesStateService(): Boolean = !failing && clock.now() - lastContact < CONTACT_FRESH

    /**
     * The leader is not heard, and neither is any other node of its zone, or the state service. Two zones that can't
     * reach each other both reach the state
     * service: the workers of the one without the leader were refused by its nodes, and all that ran there ended with
     * their leases (566 tasks of a drawn day).
     * Where nothing changes the state service says nothing for long, and half of the workers' lease could be
     * over before [reachesStateService] notices that it is gone: it is asked.
     */
    private fun isCutOffFrom(leader: NodeName): Boolean {
        if (cluster.hasRecentHeartbeat(leader)) return false
        val its = settings.nodeZones[leader]
        if (its != null &&
            its != settings.zone &&
            settings.nodeZones.none { (node, zone) -> zone == its && cluster.hasRecentHeartbeat(node) }
        ) {
            return true
        }
        val now = clock.now()
        if (lastContact > probedAt && now - lastContact > PROBE_AFTER) {
            probedAt = now
            scope.launch { stateWatch.awaitFreshness() }
        }
        return failing || lastContact <= probedAt && now - probedAt > PROBE_PATIENCE
    }

    private fun tenureIs(leadershipState: LeadershipState) {
        scheduler.tell(SchedulerMessage.LeadershipChanged(leadershipState))
        provisioning.tell(FleetMessage.LeadershipChanged(leadershipState))
        val part = if (leadershipState is LeadershipState.Leader) LEADER_SHARE else FOLLOWER_SHARE
        stateRequests.setRate(share(settings.stateLimits.requestsPerS, part))
        stateWrites.setRate(share(settings.stateLimits.writesPerS, part))
        val term = (leadershipState as? LeadershipState.Leader)?.term
        if (term == acting) return
        if (acting != null) features.termEnds()
        acting = term
        if (leadershipState is LeadershipState.Leader) {
            complete(leadershipState)
            scope.launch { prove(leadershipState) }
        }
    }

    /** A term starts to act once all that was recorded before its claim is known here. */
    private fun complete(leader: LeadershipState.Leader) {
        cluster.checkPreviousLeaders()
        scope.launch {
            while (!stateWatch.awaitFreshness() || !featureSet().prepare()) {
                delay(SYNC_RETRY)
                if ((leadership.leadershipState.value as? LeadershipState.Leader)?.term != leader.term) return@launch
            }
            scheduler.tell(SchedulerMessage.JobsLoaded(leader.term))
            provisioning.tell(FleetMessage.IntentsLoaded(leader.term))
            if (acting == leader.term) features.termBegins(leader)
        }
    }

    /**
     * A leader's rights rest on what it knows, which ages: as often as it renews its lease it asks for all that it may
     * lack.
     */
    private suspend fun prove(leader: LeadershipState.Leader) {
        while ((leadership.leadershipState.value as? LeadershipState.Leader)?.term == leader.term) {
            delay(if (stateWatch.checkFreshness()) times.renewInterval else PROVE_RETRY)
        }
    }

    private fun jobEvent(event: JobEvent) {
        scheduler.tell(SchedulerMessage.JobChanged(event))
        if (event is JobEvent.Opened) provisioning.tell(FleetMessage.JobOpened(event.spec))
    }

    private fun catalogIs(known: Catalog) {
        scheduler.tell(SchedulerMessage.CatalogChanged(known))
        provisioning.tell(FleetMessage.CatalogChanged(known))
    }

    private fun entitled(claimed: LeadershipState.Leader): Boolean =
        (leadership.leadershipState.value as? LeadershipState.Leader)?.let {
            it.term == claimed.term &&
                it.maySendCommands(clock.now())
        }
            ?: false

    private fun fleetPorts(): FleetPorts = object : FleetPorts {
        override fun scheduler(message: SchedulerMessage) = scheduler.tell(message)

        override fun leadership(message: LeadershipMessage) = leadership.tell(message)

        override fun maySendCommands(leadershipState: LeadershipState.Leader): Boolean =
            this@Controller.entitled(leadershipState)

        override fun publishActions(counts: Map<String, Any?>) {
            orderedOfCloud = counts
        }
    }

    private fun clusterPorts(): ClusterPorts = object : ClusterPorts {
        override fun leadershipState(): LeadershipState = leadership.leadershipState.value

        override fun reachesStateService(): Boolean = this@Controller.reachesStateService()

        override fun runningTasks(): Map<JobId, Int> = wiring.running

        override fun openJobsLimit(): Footprint = bound

        override fun observeTerm(term: Term) = leadership.tell(LeadershipMessage.TermObserved(term))

        override fun previousLeaderEnded(term: Term) = scheduler.tell(SchedulerMessage.PreviousLeaderEnded(term))

        override fun previousLeadersStopped(term: Term) = scheduler.tell(SchedulerMessage.PreviousLeadersStopped(term))

        override suspend fun grantDelegation(node: NodeName): DelegationOffer? = leaderDesk.grantDelegation(node)

        override fun delegationGranted(grant: DelegationGrant) = scheduler.tell(SchedulerMessage.DelegationGranted(grant))

        override val longestDelegation: Duration = times.commandWindow + times.answerGracePeriod

        override fun receiveTerminalStates(records: Map<JobId, TerminalRecord>) = records.forEach { (id, record) ->
            jobRegistry.tell(JobMessage.TerminalStateReceived(id, record))
        }

        override fun receiveRunningCounts(counts: Map<JobId, Int>) = jobRegistry.tell(JobMessage.RunningCounts(counts))

        override suspend fun serveUserRequest(request: Request): Response = edge.serveHere(request)

        override suspend fun serveLeaderRequest(request: Request): Response = leaderDesk.handle(request)
    }

    private fun status(): Map<String, Any?> {
        val leadershipState = leadership.leadershipState.value
        return linkedMapOf(
            "node" to settings.node.text,
            "run" to incarnation.text,
            "leading" to (leadershipState is LeadershipState.Leader),
            "leader" to
                if (leadershipState is LeadershipState.Follower) leadershipState.leader?.text else settings.node.text,
            "term" to
                if (
                    leadershipState is LeadershipState.Leader
                ) {
                    leadershipState.term.number
                } else {
                    (leadershipState as LeadershipState.Follower).term.number
                },
            "reaches_state" to reachesStateService(),
            "features" to features.status(),
            "orders" to mapOf("workers" to wiring.ordered, "cloud" to orderedOfCloud),
            "meters" to metrics.read(),
        )
    }

    private companion object {
        const val RADIX = 36

        // The rates are shared by all controllers; what is left over covers clocks that run fast.
        const val USABLE = 0.92
        const val LEADER_SHARE = 0.6
        const val FOLLOWER_SHARE = 0.2
        val CONTACT_FRESH = 13.seconds
        val PROBE_AFTER = 1.seconds
        val PROBE_PATIENCE = 1.seconds
        val SYNC_RETRY = 100.milliseconds
        val PROVE_RETRY = 300.milliseconds
    }
}
