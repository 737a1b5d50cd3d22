package org.elderhitch.workers

import org.elderhitch.http.Address
import org.elderhitch.jobs.FinishedTasks
import org.elderhitch.jobs.Hold
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.placement.MachineView
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.time.Moment
import kotlin.time.Duration

/** How sure it is that a task is on its machine. */
internal enum class Certainty {
    /** Decided, not sent: can be taken back. */
    ASSIGNED,

    /** Sent: it may be there until a newer report settles it. */
    SENT,

    /** Reported by the worker. */
    REPORTED,
}

internal class Placement(
    val task: TaskId,
    val attempt: Attempt,
    val worker: WorkerState,
    var certainty: Certainty,
    /** A start that was not sent by then is not sent at all. */
    val sendBy: Moment,
    /** Members of a gang that have their image start later, so that they don't wait in vain for those that fetch it. */
    val sendFrom: Moment,
) {
    var phase: TaskPhase = TaskPhase.FETCHING

    /** Told to stop, with this grace; a withdrawal may still cut a saving short. */
    var stop: Duration? = null

    /** The start was sent to the worker's own address and is not answered yet: it may be executed at any time. */
    var onItsWay: Boolean = false

    /** The start was sent in an answer to a report too. */
    var answered: Boolean = false

    /** The stop has been sent at least once. */
    var stopSent: Boolean = false

    /** When it was first seen fetching its image; null: it has not been. */
    var fetchingSince: Moment? = null

    /** The task exited with an error. */
    var failed: Boolean = false

    /** Its run stands in the job's account. */
    var counted: Boolean = false

    /** When it was first seen running; null: it has not been. */
    var runsSince: Moment? = null

    val zone: Zone get() = worker.zone
}

internal class WorkerState(
    val id: MachineId,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    since: Moment,
) {
    var address: Address? = null
    var order: ReportOrder? = null

    /** A report with our term has come: its list is the truth. */
    var settled: Boolean = false

    /** When it last said anything, by whatever way: a report, or a reply to a question or a command. */
    var lastWord: Moment = since

    /** When a report of its own was last answered here. Only that renews its lease: one that answers questions and sends no reports loses all that it runs. */
    var lastReport: Moment = since

    /** Null: it has said nothing yet. */
    var lease: LeaseBelief? = null
        private set
    var notice: Duration? = null
    var tasks: List<TaskReport> = emptyList()
    val placements: HashMap<TaskId, Placement> = HashMap()

    /** Of each task here whose job is not open any more: that job. They are told to stop, and use room until they have. */
    var strangers: List<JobId> = emptyList()
    var idleSince: Moment = since

    /** Errors here by job. */
    val erredJobs: HashMap<JobId, Int> = HashMap()

    /** Its services are being moved elsewhere; until then nothing new comes. */
    var drainedUntil: Moment = Moment.NEVER

    /** Something failed here; until then nothing new comes. */
    var doubtedUntil: Moment = Moment.NEVER
    var sick: Boolean = false
    var releaseAsked: Moment = Moment.NEVER
    var clearAsked: Moment = Moment.NEVER

    /** A command to its own address is not answered yet. */
    var calling: Boolean = false
    var calledAt: Moment = Moment.NEVER

    /** It took no connection since its last report. */
    var unreachable: Boolean = false

    /** Starts sent to its own address that nobody answered: each may still be executed, or executed once more. */
    val loose: HashSet<Pair<TaskId, Attempt>> = HashSet()

    /** Takes a word of the given session that is no [Word.STALE] one, sent at [at] at the latest. */
    fun hears(session: Long, at: Moment, obeys: Boolean): Word {
        val before = lease
        lease = before?.told(session, at, obeys) ?: LeaseBelief.firstWord(session, at, obeys)
        return before?.judge(session) ?: Word.SAME
    }

    /** A report of its known session, which came at [at], is being answered. */
    fun answered(at: Moment) {
        lease = lease?.answered(at)
    }

    /**
     * Whether all that it was given is surely gone with its session; from then on no word of that session counts. [lastAnswer]: by when a
     * lease delegate of its zone may have renewed it.
     */
    fun outlived(now: Moment, times: LeaseTimes, lastAnswer: Moment): Boolean {
        val belief = lease ?: return false
        if (!belief.isOver(now, times, lastAnswer)) return false
        lease = belief.over()
        return true
    }

    val isEmpty: Boolean get() = placements.isEmpty() && tasks.none { it.phase != TaskPhase.EXITED }

    /** As scheduling cycles see the machine; null: it changed since the last one. */
    var view: MachineView? = null
    var viewedAt: Moment = Moment.NEVER

    /** Jobs that failed here lately, and until when they go elsewhere. */
    private val shuns = HashMap<JobId, Moment>()
    val shunnedBy: Set<JobId> get() = if (shuns.isEmpty()) emptySet() else HashSet(shuns.keys)

    fun changed() {
        view = null
    }

    fun shun(job: JobId, until: Moment) {
        shuns[job] = until
        changed()
    }

    /** Lets jobs come back whose time elsewhere is over. */
    fun forgive(now: Moment) {
        if (shuns.isNotEmpty() && shuns.values.removeAll { it < now }) changed()
    }

    /** Images by last use, the latest last; what the machine most likely keeps. */
    private val images = LinkedHashMap<Image, Double>()

    /** A use makes it the last that the machine would drop. */
    fun usesImage(image: Image, gb: Double) {
        images.remove(image)
        images[image] = gb
    }

    /** All images ever used here with their sizes, the latest last. */
    fun usedImages(): Map<Image, Double> = images

    fun cachedImages(cacheGb: Double): Set<Image> {
        var room = cacheGb
        val kept = HashSet<Image>()
        for ((image, gb) in images.entries.reversed()) {
            room -= gb
            if (room < 0) break
            kept.add(image)
        }
        return kept
    }
}

internal class JobState(
    val spec: JobSpec,
    val version: Revision,
    val openedAt: Moment = Moment.NEVER,
    val kept: Boolean = false,
) {
    /** Recorded as finished. */
    val finished = FinishedTasks(spec.tasks)

    /** Reported as done, recorded or not. */
    val done = FinishedTasks(spec.tasks)
    val placements = HashMap<Int, Placement>()

    /**
     * Copies of tasks beside the one in [placements], being stopped: they use room, their zone and their team's limit, and while one is
     * there the task is started nowhere. Null: none, as the rules want it.
     */
    var surplus: HashMap<Int, MutableList<Placement>>? = null
    val copies: Int get() = placements.size + (surplus?.values?.sumOf { it.size } ?: 0)

    /** The versions of its recorded blocks of finished tasks. */
    var blockVersions: Map<Int, Revision> = emptyMap()
    var ended = false

    /** Its ending was not recorded yet when this was proven: no user was told of it before. */
    var endedAfter: Moment = Moment.FOREVER
    val gang = GangState()
    val erredOn = HashSet<MachineId>()
    var notBefore: Moment = Moment.NEVER
    var tally = Tally()

    /** What stands under the key of its hold. */
    var holdKey: Hold? = null

    /** Recorded: nothing of it is started. */
    val hold: Hold? get() = holdKey?.effective

    /** A hold is being recorded, or may be: nothing of it is started either. */
    var holding = false
    val id: JobId get() = spec.id

    fun zones(): Map<Zone, Int> {
        val counts = HashMap<Zone, Int>()
        for (p in placements.values) counts.merge(p.zone, 1, Int::plus)
        surplus?.values?.forEach { copies -> copies.forEach { counts.merge(it.zone, 1, Int::plus) } }
        return counts
    }

    /** Its tasks on machines or on their way there, surplus copies included. */
    fun everywhere(): Sequence<Placement> =
        placements.values.asSequence() + surplus?.values.orEmpty().asSequence().flatten()

    val running: Int get() = placements.values.count {
        it.certainty == Certainty.REPORTED &&
            it.phase == TaskPhase.RUNNING
    }
}
