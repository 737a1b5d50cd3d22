package org.elderhitch.tasks

import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.DirectStarts
import org.elderhitch.heartbeat.HeartbeatSequence
import org.elderhitch.heartbeat.LeaseTimeouts
import org.elderhitch.heartbeat.LeaseView
import org.elderhitch.heartbeat.MessageFreshness
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.heartbeat.TaskStatus
import org.elderhitch.http.Address
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.leadership.FencingToken
import org.elderhitch.leadership.TokenRange
import org.elderhitch.placement.MachineView
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/** The leader's state of a worker, the agent on a machine, built from the worker's messages in this term. */
internal class WorkerState(
    val id: MachineId,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    since: MonotonicInstant,
) {
    // ---- messages and lease ----

    /** The worker's address, for probes and urgent commands; null if unknown. */
    var address: Address? = null

    /** The sequence of the latest accepted heartbeat; null if none was accepted. */
    var heartbeatSequence: HeartbeatSequence? = null

    /** Whether a heartbeat that acknowledges this term was accepted, so that [tasks] lists all that runs there. */
    var reconciled: Boolean = false

    /** When the latest message of any kind arrived: a heartbeat, or a response to a probe or a command. */
    var lastSeenAt: MonotonicInstant = since

    /**
     * When a heartbeat was last answered. Only heartbeats renew the worker's lease: a worker that responds to probes
     * but sends no heartbeats loses all its tasks.
     */
    var lastHeartbeatAt: MonotonicInstant = since

    /** What is known of the worker's lease; null until the first message arrives. */
    var lease: LeaseView? = null
        private set

    /** Time left until the cloud preempts the machine, as of the latest heartbeat; null if no notice was given. */
    var preemptionNotice: Duration? = null

    /** Whether a request with commands, sent directly to the worker's address, is in progress. */
    var commandInFlight: Boolean = false

    /** When the latest direct request with commands ended. */
    var lastCommandAt: MonotonicInstant = MonotonicInstant.NEVER

    /** Whether connecting to the worker has failed since its latest heartbeat. */
    var unreachable: Boolean = false

    /** The fencing token of messages to the worker: the highest one of this term that either side has sent. */
    var token: FencingToken = FencingToken.NONE
        private set

    /** The highest fencing token of this term that the worker has reported. */
    private var reportedToken: FencingToken = FencingToken.NONE

    /** Directly sent starts that the worker may still execute, or execute again. */
    val directStarts: DirectStarts = DirectStarts()

    // ---- tasks ----

    /** The tasks in the latest heartbeat. */
    var tasks: List<TaskStatus> = emptyList()

    /** The placements on this worker in the task table, surplus copies included. */
    val placements: HashMap<TaskId, Placement> = HashMap()

    /** The job of each live task here whose job is not open. These tasks are stopped; until then they use capacity. */
    var unknownTaskJobs: List<JobId> = emptyList()

    /** When the worker last became free of placements. */
    var idleSince: MonotonicInstant = since

    /** Whether nothing is placed here and no reported task is live. */
    val isEmpty: Boolean get() = placements.isEmpty() && tasks.none { it.phase != TaskPhase.EXITED }

    // ---- suitability for new tasks ----

    /** The number of task failures here, by job. */
    val failuresByJob: HashMap<JobId, Int> = HashMap()

    /** No task is placed here before this time, because the machine is being drained. */
    var drainingUntil: MonotonicInstant = MonotonicInstant.NEVER

    /** No task is placed here before this time, because a task failed here. */
    var quarantinedUntil: MonotonicInstant = MonotonicInstant.NEVER

    /** Whether task failures were attributed to the machine. */
    var faulty: Boolean = false

    /** When the fleet was asked to terminate the machine; [MonotonicInstant.NEVER] if it was not. */
    var terminationRequestedAt: MonotonicInstant = MonotonicInstant.NEVER

    /** When the fleet was last asked to record that the machine is up. */
    var upConfirmationRequestedAt: MonotonicInstant = MonotonicInstant.NEVER

    /** Until when tasks of each job are not placed here, because one failed or was refused here. */
    private val avoidedUntil = HashMap<JobId, MonotonicInstant>()

    /** Jobs whose tasks are not placed here at present. */
    val avoidedBy: Set<JobId> get() = if (avoidedUntil.isEmpty()) emptySet() else HashSet(avoidedUntil.keys)

    /** The cached view for scheduling cycles; null if the worker changed since it was built. */
    var view: MachineView? = null

    /** When [view] was built. */
    var viewedAt: MonotonicInstant = MonotonicInstant.NEVER

    /** At most [MAX_IMAGES] images used on this machine with their sizes in gigabytes, least recently used first. */
    private val images = LinkedHashMap<Image, Double>()

    /** Records a message of [agentEpoch] that is not [MessageFreshness.STALE] and was sent no later than [at]. */
    fun recordMessage(agentEpoch: Long, at: MonotonicInstant, acknowledgesTerm: Boolean): MessageFreshness {
        val before = lease
        lease = before?.afterMessage(agentEpoch, at, acknowledgesTerm)
            ?: LeaseView.fromFirstMessage(agentEpoch, at, acknowledgesTerm)
        return before?.freshnessOf(agentEpoch) ?: MessageFreshness.CURRENT_EPOCH
    }

    /** Records that a heartbeat of the current agent epoch, which arrived at [at], is being answered. */
    fun heartbeatAnswered(at: MonotonicInstant) {
        lease = lease?.afterResponse(at)
    }

    /**
     * Marks the lease as expired if it certainly is, and returns whether it is. After that no task of the agent epoch
     * is on the worker any more, and messages of that epoch are ignored. [lastDelegateResponse]: the latest time at
     * which a lease delegate of the worker's zone may have renewed the lease.
     */
    fun expireLease(now: MonotonicInstant, timeouts: LeaseTimeouts, lastDelegateResponse: MonotonicInstant): Boolean {
        val current = lease ?: return false
        if (!current.isExpired(now, timeouts, lastDelegateResponse)) return false
        lease = current.expired()
        return true
    }

    /** Records that the worker has seen [seen]. [tokens]: those of this term. */
    fun recordToken(tokens: TokenRange, seen: FencingToken) {
        token = maxOf(token, tokens.first)
        if (seen !in tokens || seen <= reportedToken) return
        reportedToken = seen
        token = maxOf(token, seen)
        for ((task, attempt) in directStarts.removeBelow(seen)) {
            placements[task]?.takeIf { it.attempt == attempt }?.directStartPending = false
        }
    }

    /** Sends further messages with [higher]: once the worker has seen one, it refuses all direct requests before it. */
    fun raiseToken(higher: FencingToken) {
        token = maxOf(token, higher)
    }

    /** Discards the cached [view] after a change that is relevant to scheduling cycles. */
    fun invalidateView() {
        view = null
    }

    /** Keeps tasks of [job] from being placed here [until] the given time. */
    fun avoid(job: JobId, until: MonotonicInstant) {
        avoidedUntil[job] = until
        invalidateView()
    }

    /** Lets jobs whose avoidance has expired use this worker again. */
    fun expireAvoidance(now: MonotonicInstant) {
        if (avoidedUntil.isNotEmpty() && avoidedUntil.values.removeAll { it < now }) invalidateView()
    }

    /** Marks [image] as the most recently used one. */
    fun recordImageUse(image: Image, gigabytes: Double) {
        images.remove(image)
        images[image] = gigabytes
        if (images.size > MAX_IMAGES) images.remove(images.keys.first())
    }

    /** All images recorded by [recordImageUse] with their sizes in gigabytes, least recently used first. */
    fun usedImages(): Map<Image, Double> = images

    /** The images most likely in a cache of [cacheGigabytes]: the most recently used ones that fit into it. */
    fun cachedImages(cacheGigabytes: Double): Set<Image> {
        var free = cacheGigabytes
        val cached = HashSet<Image>()
        for ((image, gigabytes) in images.entries.reversed()) {
            free -= gigabytes
            if (free < 0) break
            cached.add(image)
        }
        return cached
    }

    private companion object {
        /** Any number of images of size 0 would count as cached. */
        const val MAX_IMAGES = 256
    }
}
