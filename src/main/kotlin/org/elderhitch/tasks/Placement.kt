package org.elderhitch.tasks

import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.TaskId
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/** What the leader knows about whether a placed task is on its worker. */
internal enum class PlacementState {
    /** Decided by a scheduling cycle and not sent yet; can still be cancelled. */
    ASSIGNED,

    /** Sent to the worker. The task may be there until a later heartbeat shows whether it is. */
    SENT,

    /** Listed by the worker as one of its tasks. */
    CONFIRMED,
}

/**
 * The placement of a task on a worker, in the leader's task table.
 *
 * Life cycle:
 * ```
 *   scheduling cycle --> ASSIGNED --sent--> SENT --listed by the worker--> CONFIRMED --> removed
 *                           |                 |
 *                           |                 +-- missing from a later heartbeat --> removed
 *                           +-- cancelled, or not sent by [sendBy] --> removed
 *   listed by the worker, not in the table --> CONFIRMED
 * ```
 * A stop does not change the state: [stopGrace] is set, and the placement occupies capacity and quota until the worker
 * no longer lists the task, or is known to have lost it. Only [TaskTable] adds and removes placements.
 */
internal class Placement(
    val task: TaskId,
    val attempt: Attempt,
    val worker: WorkerState,
    state: PlacementState,
    /** The latest time at which the start may be sent for the first time. */
    val sendBy: MonotonicInstant,
    /**
     * The earliest time at which the start may be sent. Starts of gang members whose worker has the image may be
     * delayed, so that these members don't time out while the others fetch it.
     */
    val sendFrom: MonotonicInstant,
) {
    var state: PlacementState = state
        private set

    /** The phase in the worker's latest report. */
    var phase: TaskPhase = TaskPhase.FETCHING

    /** The grace period of the requested stop, which can only be shortened; null if no stop is requested. */
    var stopGrace: Duration? = null

    /** Whether a start sent directly to the worker's address is unacknowledged. The worker may still execute it. */
    var directStartPending: Boolean = false

    /** Whether the start was sent in a heartbeat response. */
    var sentInResponse: Boolean = false
        private set

    /** Whether the stop has been sent at least once. */
    var stopSent: Boolean = false

    /** When the task was first reported as fetching its image; null if it never was. */
    var fetchingSince: MonotonicInstant? = null

    /** Whether the task exited with an error. */
    var failed: Boolean = false

    /** Whether the attempt is already included in the job's [JobUsage]. */
    var accounted: Boolean = false

    /** When the task was first reported as running; null if it never was. */
    var runningSince: MonotonicInstant? = null

    val zone: Zone get() = worker.zone

    /** Marks the start as sent in a heartbeat response, for the first time or again. */
    fun markSentInResponse() {
        state = PlacementState.SENT
        sentInResponse = true
    }

    /** Marks the start as sent directly to the worker's address, not acknowledged yet. */
    fun markSentDirectly() {
        state = PlacementState.SENT
        directStartPending = true
    }

    /** Marks the task as listed by its worker. */
    fun confirm() {
        state = PlacementState.CONFIRMED
    }
}
