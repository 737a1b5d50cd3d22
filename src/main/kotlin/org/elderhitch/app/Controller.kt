package org.elderhitch.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.cluster.Cluster
import org.elderhitch.cluster.ClusterPorts
import org.elderhitch.delegates.Grant
import org.elderhitch.delegates.Named
import org.elderhitch.features.FeatureContext
import org.elderhitch.features.FeatureSet
import org.elderhitch.features.Features
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.CatalogKeeper
import org.elderhitch.fleet.CloudClient
import org.elderhitch.fleet.CloudTurns
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.fleet.FleetPorts
import org.elderhitch.fleet.Renter
import org.elderhitch.http.Handler
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.Admission
import org.elderhitch.jobs.EndRecord
import org.elderhitch.jobs.Footprint
import org.elderhitch.jobs.JobBook
import org.elderhitch.jobs.JobDesk
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobMessage
import org.elderhitch.jobs.Recorder
import org.elderhitch.jobs.TaskId
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.Tenure
import org.elderhitch.leadership.TenureTimes
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Settings
import org.elderhitch.store.Feed
import org.elderhitch.store.RateBudget
import org.elderhitch.store.StateClient
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallClock
import org.elderhitch.workers.Foreman
import org.elderhitch.workers.ForemanMessage
import org.elderhitch.workers.MachineId
import org.elderhitch.workers.WorkerLine
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
    wall: WallClock,
    random: Random,
    features: Features = Features.NONE,
    private val bound: Footprint = Footprint.bound(Runtime.getRuntime().maxMemory()),
    /** Told after each scheduling cycle how many looks at machines and candidates it took. */
    onCycle: (looks: Long) -> Unit = {},
    /** Something recorded needs a feature that is off here: serving on would tell users falsely. */
    onUnserved: (reason: String) -> Unit = { error(it) },
) {
    private val incarnation = Incarnation(random.nextLong().toULong().toString(RADIX))
    private val times = TenureTimes.of(settings.workers)
    private val meters = Meters(clock)
    private val stateRequests = RateBudget(clock, share(settings.stateLimits.requestsPerS, FOLLOWER_SHARE))
    private val stateWrites = RateBudget(clock, share(settings.stateLimits.writesPerS, FOLLOWER_SHARE))
    private var lastContact = Moment.NEVER
    private var failing = false
    private var probedAt = Moment.NEVER
    private var acting: Term? = null
    private var orderedOfCloud: Map<String, Any?> = emptyMap()

    private val client =
        StateClient(transport, settings.state, settings.stateLimits, stateRequests, stateWrites) { answered ->
            failing = !answered
            if (answered) lastContact = clock.now()
        }
    private val book: JobBook = JobBook(scope, ::jobEvent)
    private val leadership: Leadership = Leadership(scope, settings.node, incarnation, client, times, clock, random)
    private val cloud = CloudClient(
        transport,
        settings.cloud,
        RateBudget(
            clock,
            settings.cloudLimits.requestsPerS * CloudTurns.USABLE,
        ),
    )
    private val wiring: ForemanWiring = ForemanWiring(
        scope, client,
        Recorder(
            client,
            book,
            settings.stateLimits.txnOps,
        ),
        book, WorkerLine(transport), leadership, ::featureSet,
        settings.stateLimits.valueBytes, ::entitled, ::cutOff, { renter }, { foreman.tell(it) },
    )
    private val foreman: Foreman =
        Foreman(scope, times, settings.workers, settings.teams, settings.objectives, settings.node, settings.nodeZones, clock, wiring, wall, features.rules, onCycle, policy.silentReturnShare, settings.cpuShare) {
            featureSet().keeper(it)?.open(it)
        }
    private val renter: Renter =
        Renter(scope, cloud, client, policy, settings.instantClasses, settings.cloudLimits, clock, fleetPorts())
    private val catalog: CatalogKeeper =
        CatalogKeeper(scope, cloud, client, settings.stateLimits.valueBytes, { feed.loaded }, ::catalogIs)
    private val feed: Feed =
        Feed(scope, client, clock, FeedFan(book, renter, catalog, foreman, leadership, ::featureSet, onUnserved))
    private val leaderDesk: LeaderDesk =
        LeaderDesk(foreman, {
            leadership.tenure.value
        }) { leader, path, body, timeout -> cluster.atLeader(leader, path, body, timeout) }
    private val desk = JobDesk(
        book, feed, client, settings.teams, { catalog.canEverRun(it) }, settings.stateLimits.valueBytes, wall,
        {
            leaderDesk.account(it.id)
        }, features.rules, Admission(bound) { cluster.leastBound() }, { featureSet().keeper(it) },
        { id, record -> cluster.tellEnded(id, record) },
    )
    private val cluster: Cluster =
        Cluster(scope, settings.node, incarnation, settings.peers, transport, clock, clusterPorts())
    private val features: FeatureSet = FeatureSet(
        features.factories.map {
            it.make(
                FeatureContext(scope, settings, clock, wall, random, client, desk, meters, feed::sync, {
                    leadership.tenure.value
                }, leaderDesk::hold, ::jobEvent, { id: JobId ->
                    wiring.running[id]
                        ?: 0
                }, leaderDesk::atFault),
            )
        },
    )
    private val edge: Edge =
        Edge(desk, foreman, cluster, ::reachesState, { feed.loaded }, meters, this.features, leaderDesk, ::status)

    /** For users, workers and probes. */
    public val clients: Handler get() = edge

    /** For the other controllers. */
    public val peers: Handler get() = cluster

    public fun start() {
        book.start()
        foreman.start()
        renter.start()
        leadership.start()
        scope.launch { leadership.tenure.collect(::tenureIs) }
        features.start()
        feed.start()
        catalog.start(leadership.tenure)
        cluster.start()
        meters.gauge("jobs.running_tasks") { wiring.running.values.sum() }
        meters.gauge("jobs.open_bytes") { book.footprint.bytes }
        meters.gauge("jobs.most_bytes") { (cluster.leastBound() ?: bound).bytes }
        meters.gauge("term") { (leadership.tenure.value as? Tenure.Leading)?.term?.number ?: 0 }
    }

    /** Where the leader believes each task to be; null: this node doesn't lead. */
    internal suspend fun survey(): Map<TaskId, MachineId>? = leaderDesk.survey()

    private fun featureSet(): FeatureSet = features

    private fun share(whole: Double, part: Double): Double =
        if (settings.peers.isEmpty()) whole * USABLE else whole * USABLE * part

    private fun reachesState(): Boolean = !failing && clock.now() - lastContact < CONTACT_FRESH

    /**
     * The leader is not heard, and neither is any other node of its zone, or the state service. Two zones that can't reach each other both reach the state
     * service: the workers of the one without the leader were refused by its nodes, and all that ran there ended with their leases (566 tasks of a drawn day).
     * Where nothing changes the state service says nothing for long, and half of the workers' lease could be
     * over before [reachesState] notices that it is gone: it is asked.
     */
    private fun cutOff(leader: NodeName): Boolean {
        if (cluster.hears(leader)) return false
        val its = settings.nodeZones[leader]
        if (its != null &&
            its != settings.zone &&
            settings.nodeZones.none { (node, zone) -> zone == its && cluster.hears(node) }
        ) {
            return true
        }
        val now = clock.now()
        if (lastContact > probedAt && now - lastContact > PROBE_AFTER) {
            probedAt = now
            scope.launch { feed.sync() }
        }
        return failing || lastContact <= probedAt && now - probedAt > PROBE_PATIENCE
    }

    private fun tenureIs(tenure: Tenure) {
        foreman.tell(ForemanMessage.TenureIs(tenure))
        renter.tell(FleetMessage.TenureIs(tenure))
        val part = if (tenure is Tenure.Leading) LEADER_SHARE else FOLLOWER_SHARE
        stateRequests.setRate(share(settings.stateLimits.requestsPerS, part))
        stateWrites.setRate(share(settings.stateLimits.writesPerS, part))
        val term = (tenure as? Tenure.Leading)?.term
        if (term == acting) return
        if (acting != null) features.termEnds()
        acting = term
        if (tenure is Tenure.Leading) {
            complete(tenure)
            scope.launch { prove(tenure) }
        }
    }

    /** A term starts to act once all that was recorded before its claim is known here. */
    private fun complete(leading: Tenure.Leading) {
        cluster.checkFormer()
        scope.launch {
            while (!feed.sync() || !featureSet().prepare()) {
                delay(SYNC_RETRY)
                if ((leadership.tenure.value as? Tenure.Leading)?.term != leading.term) return@launch
            }
            foreman.tell(ForemanMessage.TableComplete(leading.term))
            renter.tell(FleetMessage.TableComplete(leading.term))
            if (acting == leading.term) features.termBegins(leading)
        }
    }

    /** A leader's rights rest on what it knows, which ages: as often as it renews its lease it asks for all that it may lack. */
    private suspend fun prove(leading: Tenure.Leading) {
        while ((leadership.tenure.value as? Tenure.Leading)?.term ==
            leading.term
        ) {
            delay(if (feed.prove()) times.renewEvery else PROVE_RETRY)
        }
    }

    private fun jobEvent(event: JobEvent) {
        foreman.tell(ForemanMessage.Job(event))
        if (event is JobEvent.Opened) renter.tell(FleetMessage.JobOpened(event.spec))
    }

    private fun catalogIs(known: Catalog) {
        foreman.tell(ForemanMessage.CatalogIs(known))
        renter.tell(FleetMessage.CatalogIs(known))
    }

    private fun entitled(claimed: Tenure.Leading): Boolean =
        (leadership.tenure.value as? Tenure.Leading)?.let { it.term == claimed.term && it.mayCommand(clock.now()) }
            ?: false

    private fun fleetPorts(): FleetPorts = object : FleetPorts {
        override fun foreman(message: ForemanMessage) = foreman.tell(message)

        override fun leadership(message: LeadershipMessage) = leadership.tell(message)

        override fun entitled(tenure: Tenure.Leading): Boolean = this@Controller.entitled(tenure)

        override fun ordered(counts: Map<String, Any?>) {
            orderedOfCloud = counts
        }
    }

    private fun clusterPorts(): ClusterPorts = object : ClusterPorts {
        override fun tenure(): Tenure = leadership.tenure.value

        override fun reachesState(): Boolean = this@Controller.reachesState()

        override fun running(): Map<JobId, Int> = wiring.running

        override fun bound(): Footprint = bound

        override fun termSeen(term: Term) = leadership.tell(LeadershipMessage.TermSeen(term))

        override fun formerEnded(term: Term) = foreman.tell(ForemanMessage.FormerEnded(term))

        override fun formerStopped(term: Term) = foreman.tell(ForemanMessage.FormerStopped(term))

        override suspend fun nameDelegate(node: NodeName): Named? = leaderDesk.nameDelegate(node)

        override fun delegateNamed(grant: Grant) = foreman.tell(ForemanMessage.DelegateNamed(grant))

        override val longestGrant: Duration = times.window + times.hold

        override fun ended(endings: Map<JobId, EndRecord>) = endings.forEach { (id, record) ->
            book.tell(JobMessage.EndedElsewhere(id, record))
        }

        override fun leaderCounts(counts: Map<JobId, Int>) = book.tell(JobMessage.Running(counts))

        override suspend fun serve(request: Request): Response = edge.serveHere(request)

        override suspend fun lead(request: Request): Response = leaderDesk.handle(request)
    }

    private fun status(): Map<String, Any?> {
        val tenure = leadership.tenure.value
        return linkedMapOf(
            "node" to settings.node.text,
            "run" to incarnation.text,
            "leading" to (tenure is Tenure.Leading),
            "leader" to if (tenure is Tenure.Following) tenure.leader?.text else settings.node.text,
            "term" to if (tenure is Tenure.Leading) tenure.term.number else (tenure as Tenure.Following).term.number,
            "reaches_state" to reachesState(),
            "features" to features.status(),
            "orders" to mapOf("workers" to wiring.ordered, "cloud" to orderedOfCloud),
            "meters" to meters.read(),
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
