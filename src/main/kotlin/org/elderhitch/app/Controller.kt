package org.elderhitch.app

import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.cluster.Cluster
import org.elderhitch.cluster.ClusterPorts
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.CatalogKeeper
import org.elderhitch.fleet.CloudClient
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.fleet.FleetPorts
import org.elderhitch.fleet.Renter
import org.elderhitch.http.Address
import org.elderhitch.http.Handler
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobBook
import org.elderhitch.jobs.JobDesk
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobMessage
import org.elderhitch.jobs.Recorder
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.Tenure
import org.elderhitch.leadership.TenureTimes
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Settings
import org.elderhitch.settings.Zone
import org.elderhitch.store.Change
import org.elderhitch.store.Condition
import org.elderhitch.store.Entry
import org.elderhitch.store.Feed
import org.elderhitch.store.FeedListener
import org.elderhitch.store.Keys
import org.elderhitch.store.Purpose
import org.elderhitch.store.RateBudget
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import org.elderhitch.workers.Command
import org.elderhitch.workers.FinishedBatch
import org.elderhitch.workers.Foreman
import org.elderhitch.workers.ForemanMessage
import org.elderhitch.workers.ForemanPorts
import org.elderhitch.workers.ImageHints
import org.elderhitch.workers.MachineId
import org.elderhitch.workers.WorkerLine

/** One controller: its slices, and who tells whom what. Clock, random numbers and network come from outside. */
public class Controller(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val policy: FleetPolicy,
    transport: Transport,
    private val clock: SteadyClock,
    random: Random,
) {
    private val incarnation = Incarnation(random.nextLong().toULong().toString(RADIX))
    private val times = TenureTimes.of(settings.workers)
    private val meters = Meters(clock)
    private val stateRequests = RateBudget(clock, share(settings.stateLimits.requestsPerS, FOLLOWER_SHARE))
    private val stateWrites = RateBudget(clock, share(settings.stateLimits.writesPerS, FOLLOWER_SHARE))
    private var lastContact = Moment.NEVER
    private var failing = false
    private var running: Map<JobId, Int> = emptyMap()
    private var completing: Term? = null
    private var lastHint: Map<String, Any?> = emptyMap()

    private val client = StateClient(transport, settings.state, settings.stateLimits, stateRequests, stateWrites) { answered ->
        failing = !answered
        if (answered) lastContact = clock.now()
    }
    private val book: JobBook = JobBook(scope, ::jobEvent)
    private val leadership: Leadership = Leadership(scope, settings.node, incarnation, client, times, clock, random)
    private val cloud = CloudClient(transport, settings.cloud, RateBudget(clock, settings.cloudLimits.requestsPerS * CLOUD_SHARE))
    private val foreman: Foreman = Foreman(scope, times, settings.workers, settings.teams, settings.objectives, nodeZones(), clock, foremanPorts())
    private val renter: Renter = Renter(scope, cloud, client, policy, instantClasses(), settings.cloudLimits.listLag, clock, fleetPorts())
    private val line = WorkerLine(transport)
    private val recorder = Recorder(client, book, settings.stateLimits.txnOps)
    private val catalog: CatalogKeeper = CatalogKeeper(scope, cloud, client, settings.stateLimits.valueBytes, ::catalogIs)
    private val feed: Feed = Feed(scope, client, clock, feedListener())
    private val desk = JobDesk(book, feed, client, settings.teams, { catalog.canEverRun(it) }, settings.stateLimits.valueBytes)
    private val cluster: Cluster = Cluster(scope, settings.node, incarnation, settings.peers, transport, clock, clusterPorts())
    private val edge: Edge = Edge(desk, foreman, cluster, ::reachesState, { feed.loaded }, meters, ::status)

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
        feed.start()
        catalog.start(leadership.tenure)
        cluster.start()
        meters.gauge("jobs.running_tasks") { running.values.sum() }
        meters.gauge("term") { (leadership.tenure.value as? Tenure.Leading)?.term?.number ?: 0 }
    }

    /** Classes whose aim on starting leaves no time to stop other work first: a save, two reports and a round. */
    private fun instantClasses(): Set<String> = settings.objectives
        .filter { it.kind == "wait" && it.within != null && it.within < settings.workers.report * 2 + STOPPING }
        .map { it.jobClass }.toSet()

    private fun nodeZones(): Map<NodeName, Zone> =
        settings.peers.mapNotNull { peer -> peer.zone?.let { peer.name to it } }.toMap() + (settings.node to settings.zone)

    private fun share(whole: Double, part: Double): Double =
        if (settings.peers.isEmpty()) whole * USABLE else whole * USABLE * part

    private fun reachesState(): Boolean = !failing && clock.now() - lastContact < CONTACT_FRESH

    private fun tenureIs(tenure: Tenure) {
        foreman.tell(ForemanMessage.TenureIs(tenure))
        renter.tell(FleetMessage.TenureIs(tenure))
        val part = if (tenure is Tenure.Leading) LEADER_SHARE else FOLLOWER_SHARE
        stateRequests.setRate(share(settings.stateLimits.requestsPerS, part))
        stateWrites.setRate(share(settings.stateLimits.writesPerS, part))
        if (tenure is Tenure.Leading) {
            if (completing != tenure.term) {
                completing = tenure.term
                complete(tenure)
            }
        }
    }

    /** A term starts to act once all that was recorded before its claim is known here. */
    private fun complete(leading: Tenure.Leading) {
        if (leading.former?.node == settings.node) foreman.tell(ForemanMessage.FormerStopped(leading.term))
        scope.launch {
            while (!feed.sync()) {
                delay(SYNC_RETRY)
                if ((leadership.tenure.value as? Tenure.Leading)?.term != leading.term) return@launch
            }
            foreman.tell(ForemanMessage.TableComplete(leading.term))
            renter.tell(FleetMessage.TableComplete(leading.term))
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

    private fun feedListener(): FeedListener = object : FeedListener {
        override fun snapshot(entries: List<Entry>, revision: Revision) {
            book.tell(JobMessage.Snapshot(entries))
            renter.tell(FleetMessage.Snapshot(entries))
            entries.firstOrNull { it.key == Keys.TYPES }?.let { catalog.stored(it) }
            entries.firstOrNull { it.key == Keys.IMAGES }?.let { hinted(it) }
            leadership.tell(LeadershipMessage.LeaderSeen(entries.firstOrNull { it.key == Keys.LEADER }))
        }

        override fun changed(changes: List<Change>, revision: Revision) {
            if (changes.isEmpty()) return
            book.tell(JobMessage.Changed(changes))
            renter.tell(FleetMessage.Changed(changes))
            changes.lastOrNull { it.key == Keys.IMAGES }?.let { change -> (change as? Change.Put)?.let { hinted(it.entry) } }
            val last = changes.lastOrNull { it.key == Keys.LEADER } ?: return
            leadership.tell(LeadershipMessage.LeaderSeen((last as? Change.Put)?.entry))
        }
    }

    private fun hinted(entry: Entry) = foreman.tell(ForemanMessage.ImagesHinted(ImageHints.decode(entry.value)))

    private fun foremanPorts(): ForemanPorts = object : ForemanPorts {
        override fun fleet(message: FleetMessage) = renter.tell(message)

        override fun leadership(message: LeadershipMessage) = leadership.tell(message)

        override fun record(tenure: Tenure.Leading, finished: List<FinishedBatch>) {
            scope.launch {
                val recorded = recorder.record(tenure, finished)
                if (recorded == null) leadership.tell(LeadershipMessage.TermSeen(Term(tenure.term.number + 1)))
                foreman.tell(ForemanMessage.Recorded(tenure.term, recorded.orEmpty()))
            }
        }

        override fun forget(tenure: Tenure.Leading, job: JobId, blocks: Set<Int>) {
            scope.launch { recorder.forget(tenure, job, blocks) }
        }

        override fun hint(tenure: Tenure.Leading, images: Map<MachineId, Map<Image, Double>>) {
            val value = ImageHints.encode(images, settings.stateLimits.valueBytes)
            if (value == lastHint) return
            lastHint = value
            scope.launch {
                client.commit(listOf(Condition(Keys.TERM, tenure.counter)), listOf(Write.Put(Keys.IMAGES, value)), Purpose.OTHER)
            }
        }

        override fun ask(tenure: Tenure.Leading, at: Address, machine: MachineId) {
            scope.launch { foreman.tell(ForemanMessage.Asked(tenure.term, machine, line.ask(at, tenure.term) { entitled(tenure) })) }
        }

        override fun command(tenure: Tenure.Leading, to: Address, machine: MachineId, session: Long, commands: List<Command>) {
            scope.launch {
                val outcome = line.send(to, tenure.term, session, commands) { entitled(tenure) }
                val starts = commands.filterIsInstance<Command.Start>().map { it.task to it.attempt }.toSet()
                foreman.tell(ForemanMessage.Commanded(tenure.term, machine, session, starts, outcome))
            }
        }

        override fun running(counts: Map<JobId, Int>) {
            running = counts
            book.tell(JobMessage.Running(counts))
        }
    }

    private fun entitled(claimed: Tenure.Leading): Boolean =
        (leadership.tenure.value as? Tenure.Leading)?.let { it.term == claimed.term && it.mayCommand(clock.now()) } ?: false

    private fun fleetPorts(): FleetPorts = object : FleetPorts {
        override fun foreman(message: ForemanMessage) = foreman.tell(message)

        override fun leadership(message: LeadershipMessage) = leadership.tell(message)

        override fun entitled(tenure: Tenure.Leading): Boolean = this@Controller.entitled(tenure)
    }

    private fun clusterPorts(): ClusterPorts = object : ClusterPorts {
        override fun tenure(): Tenure = leadership.tenure.value

        override fun reachesState(): Boolean = this@Controller.reachesState()

        override fun running(): Map<JobId, Int> = this@Controller.running

        override fun termSeen(term: Term) = leadership.tell(LeadershipMessage.TermSeen(term))

        override fun formerStopped(term: Term) = foreman.tell(ForemanMessage.FormerStopped(term))

        override fun leaderCounts(counts: Map<JobId, Int>) = book.tell(JobMessage.Running(counts))

        override suspend fun serve(request: Request): Response = edge.serveHere(request)
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
            "meters" to meters.read(),
        )
    }

    private companion object {
        const val RADIX = 36

        // The rates are shared by all controllers; what is left over covers clocks that run fast.
        const val USABLE = 0.92
        const val LEADER_SHARE = 0.6
        const val FOLLOWER_SHARE = 0.2
        const val CLOUD_SHARE = 0.8
        val CONTACT_FRESH = 13.seconds
        val STOPPING = 6.seconds
        val SYNC_RETRY = 100.milliseconds
    }
}
