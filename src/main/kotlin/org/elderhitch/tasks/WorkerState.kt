package org.elderhitch.tasks

import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.HeartbeatSequence
import org.elderhitch.heartbeat.LeaseTimeouts
import org.elderhitch.heartbeat.LeaseView
import org.elderhitch.heartbeat.MessageFreshness
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.heartbeat.TaskStatus
import org.elderhitch.http.Address
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.placement.MachineView
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

internal class WorkerState(
    val id: MachineId,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    since: MonotonicInstant,
) {
    var address: Address? = null
    var heartbeatSequence: HeartbeatSequence? = null

    /** A report with our term has come: its list is the truth. */
    var reconciled: Boolean = false

    /** When it last said anything, by whatever way: a report, or a reply to a question or a command. */
    var lastSeenAt: MonotonicInstant = since

    /**
     * When a report of its own was last answered here. Only that renews its lease: one that answers questions and sends
     * no reports loses all that it runs.
     */
    var lastHeartbeatAt: MonotonicInstant = since

    /** Null: it has said nothing yet. */
    var lease: LeaseView? = null
        private set
    var preemptionNotice: Duration? = null
    var tasks: List<TaskStatus> = emptyList()
    val placements: HashMap<TaskId, Placement> = HashMap()

    /**
     * Of each task here whose job is not open any more: that job. They are told to stop, and use room until they have.
     */
    var unknownTaskJobs: List<JobId> = emptyList()
    var idleSince: MonotonicInstant = since

    /** Errors here by job. */
    val failuresByJob: HashMap<JobId, Int> = HashMap()

    /** Its services are being moved elsewhere; until then nothing new comes. */
    var drainingUntil: MonotonicInstant = MonotonicInstant.NEVER

    /** Something failed here; until then nothing new comes. */
    var quarantinedUntil: MonotonicInstant = MonotonicInstant.NEVER
    var faulty: Boolean = false
    var releaseRequestedAt: MonotonicInstant = MonotonicInstant.NEVER
    var clearanceRequestedAt: MonotonicInstant = MonotonicInstant.NEVER

    /** A command to its own address is not answered yet. */
    var commandInFlight: Boolean = false
    var lastCommandAt: MonotonicInstant = MonotonicInstant.NEVER

    /** It took no connection since its last report. */
    var unreachable: Boolean = false

    /** Starts sent to its own address that nobody answered: each may still be executed, or executed once more. */
    val unacknowledgedStarts: HashSet<Pair<TaskId, Attempt>> = HashSet()

    /** Records a message of [agentEpoch] that is not [MessageFreshness.STALE] and was sent at [at] at the latest. */
    fun recordMessage(agentEpoch: Long, at: MonotonicInstant, acknowledgesTerm: Boolean): MessageFreshness {
        val before = lease
        lease = before?.afterMessage(agentEpoch, at, acknowledgesTerm)
            ?: LeaseView.fromFirstMessage(agentEpoch, at, acknowledgesTerm)
        return before?.freshnessOf(agentEpoch) ?: MessageFreshness.CURRENT_EPOCH
    }

    /** A heartbeat of the known agent epoch, received at [at], is being answered. */
    fun heartbeatAnswered(at: MonotonicInstant) {
        lease = lease?.afterResponse(at)
    }

    /**
     * Marks the lease as expired if it surely is, and tells whether it is: then no task of the agent epoch is on the
     * worker any more, and no message of that epoch counts. [lastDelegateResponse]: by when a lease delegate of the
     * worker's zone may have renewed the lease.
     */
    fun expireLease(
        now: MonotonicInstant,
        timeouts: LeaseTimeouts,
        lastDelegateResponse: MonotonicInstant,
    ): Boolean {
        val current = lease ?: return false
        if (!current.isExpired(now, timeouts, lastDelegateResponse)) return false
        lease = current.expired()
        return true
    }

    val isEmpty: Boolean get() = placements.isEmpty() && tasks.none { it.phase != TaskPhase.EXITED }

    /** As scheduling cycles see the machine; null: it changed since the last one. */
    var view: MachineView? = null
    var viewedAt: MonotonicInstant = MonotonicInstant.NEVER

    /** Jobs that failed here lately, and until when they go elsewhere. */
    private val avoidedUntil = HashMap<JobId, MonotonicInstant>()
    val avoidedBy: Set<JobId> get() = if (avoidedUntil.isEmpty()) emptySet() else HashSet(avoidedUntil.keys)

    fun changed() {
        view = null
    }

    fun avoid(job: JobId, until: MonotonicInstant) {
        avoidedUntil[job] = until
        changed()
    }

    /** Lets jobs come back whose time elsewhere is over. */
    fun forgive(now: MonotonicInstant) {
        if (avoidedUntil.isNotEmpty() && avoidedUntil.values.removeAll { it < now }) changed()
    }

    /** Images by last use, the latest last; what the machine most likely keeps. */
    private val images = LinkedHashMap<Image, Double>()

    /** A use makes it the last that the machine would drop. */
    fun recordImageUse(image: Image, gb: Double) {
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
