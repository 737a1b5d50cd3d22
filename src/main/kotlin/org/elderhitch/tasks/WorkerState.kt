package org.elderhitch.tasks

import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.Command
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
import org.elderhitch.placement.MachineView
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/** A worker, the agent on a machine, as the leader knows it from the worker's messages in this term. */
internal class WorkerState(
    val id: MachineId,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    since: MonotonicInstant,
) {
    // ---- messages and lease ----

    /** The worker's own address, for probes and urgent commands; null: unknown. */
    var address: Address? = null

    /** The position of the latest heartbeat that was accepted; null: none was. */
    var heartbeatSequence: HeartbeatSequence? = null

    /** Whether a heartbeat that knows this term has been accepted: [tasks] is all that runs there. */
    var reconciled: Boolean = false

    /** When the latest message of any kind arrived: a heartbeat, or an answer to a probe or a command. */
    var lastSeenAt: MonotonicInstant = since

    /**
     * When a heartbeat was last answered. Only that renews the worker's lease: one that answers probes but sends no
     * heartbeats loses all that it runs.
     */
    var lastHeartbeatAt: MonotonicInstant = since

    /** What is known of the worker's lease; null: no message has arrived. */
    var lease: LeaseView? = null
        private set

    /** How long until the machine is preempted, as of the latest heartbeat; null: no preemption is announced. */
    var preemptionNotice: Duration? = null

    /** Whether a command to the worker's own address is unanswered. */
    var commandInFlight: Boolean = false

    /** When the latest command to the worker's own address ended. */
    var lastCommandAt: MonotonicInstant = MonotonicInstant.NEVER

    /** Whether no connection to the worker was possible since its latest heartbeat. */
    var unreachable: Boolean = false

    /** Starts sent to the worker's own address without an answer: each may be executed yet, or once more. */
    val unacknowledgedStarts: HashSet<Command.Start> = HashSet()

    // ---- tasks ----

    /** The tasks in the latest heartbeat. */
    var tasks: List<TaskStatus> = emptyList()

    /** What the table has on this worker. */
    val placements: HashMap<TaskId, Placement> = HashMap()

    /** The job of each live task here whose job is not open. These tasks are stopped, and use capacity until then. */
    var unknownTaskJobs: List<JobId> = emptyList()

    /** Since when the worker has had no placements. */
    var idleSince: MonotonicInstant = since

    /** Whether nothing is placed here and no reported task is live. */
    val isEmpty: Boolean get() = placements.isEmpty() && tasks.none { it.phase != TaskPhase.EXITED }

    // ---- suitability for new tasks ----

    /** The number of task failures here, by job. */
    val failuresByJob: HashMap<JobId, Int> = HashMap()

    /** Nothing is placed here before this time, because the worker's services are being moved away. */
    var drainingUntil: MonotonicInstant = MonotonicInstant.NEVER

    /** Nothing is placed here before this time, because a task failed here. */
    var quarantinedUntil: MonotonicInstant = MonotonicInstant.NEVER

    /** Whether the machine was found to make tasks fail. */
    var faulty: Boolean = false

    /** When the fleet was asked to terminate the machine; [MonotonicInstant.NEVER]: it was not. */
    var releaseRequestedAt: MonotonicInstant = MonotonicInstant.NEVER

    /** When the fleet was last asked to record that the machine is up. */
    var clearanceRequestedAt: MonotonicInstant = MonotonicInstant.NEVER

    /** Until when each job avoids this worker, because it failed or was refused here. */
    private val avoidedUntil = HashMap<JobId, MonotonicInstant>()

    /** Jobs that avoid this worker. */
    val avoidedBy: Set<JobId> get() = if (avoidedUntil.isEmpty()) emptySet() else HashSet(avoidedUntil.keys)

    /** The worker as scheduling cycles see it; null: it changed since the last one. */
    var view: MachineView? = null

    /** When [view] was made. */
    var viewedAt: MonotonicInstant = MonotonicInstant.NEVER

    /** Images that were used here with their sizes in gigabytes, least recently used first. */
    private val images = LinkedHashMap<Image, Double>()

    /** Records a message of [agentEpoch] that is not [MessageFreshness.STALE] and was sent at [at] at the latest. */
    fun recordMessage(agentEpoch: Long, at: MonotonicInstant, acknowledgesTerm: Boolean): MessageFreshness {
        val before = lease
        lease = before?.afterMessage(agentEpoch, at, acknowledgesTerm)
            ?: LeaseView.fromFirstMessage(agentEpoch, at, acknowledgesTerm)
        return before?.freshnessOf(agentEpoch) ?: MessageFreshness.CURRENT_EPOCH
    }

    /** A heartbeat of the known agent epoch, which arrived at [at], is being answered. */
    fun heartbeatAnswered(at: MonotonicInstant) {
        lease = lease?.afterResponse(at)
    }

    /**
     * Marks the lease as expired if it surely is, and tells whether it is: then no task of the agent epoch is on the
     * worker any more, and no message of that epoch counts. [lastDelegateResponse]: by when a lease delegate of the
     * worker's zone may have renewed the lease.
     */
    fun expireLease(now: MonotonicInstant, timeouts: LeaseTimeouts, lastDelegateResponse: MonotonicInstant): Boolean {
        val current = lease ?: return false
        if (!current.isExpired(now, timeouts, lastDelegateResponse)) return false
        lease = current.expired()
        return true
    }

    /** Discards [view]: something changed that a scheduling cycle has to see. */
    fun changed() {
        view = null
    }

    /** Keeps [job] away from this worker for a while. */
    fun avoid(job: JobId, until: MonotonicInstant) {
        avoidedUntil[job] = until
        changed()
    }

    /** Readmits jobs whose time of avoidance is over. */
    fun expireAvoidance(now: MonotonicInstant) {
        if (avoidedUntil.isNotEmpty() && avoidedUntil.values.removeAll { it < now }) changed()
    }

    /** Makes [image] the most recently used one. */
    fun recordImageUse(image: Image, gigabytes: Double) {
        images.remove(image)
        images[image] = gigabytes
    }

    /** All images ever used here with their sizes in gigabytes, least recently used first. */
    fun usedImages(): Map<Image, Double> = images

    /** The images that a cache of this size most likely holds: the most recently used ones that fit. */
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
}
