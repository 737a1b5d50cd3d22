package org.elderhitch.tasks

import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.TaskId
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/** How certain the leader is that a placed task is on its worker. */
internal enum class PlacementState {
    /** Decided by a scheduling cycle, not sent: it can be cancelled. */
    ASSIGNED,

    /** Sent to the worker: the task may be there until a newer heartbeat tells. */
    SENT,

    /** Listed by the worker. */
    CONFIRMED,
}

/**
 * A task on a worker, as the leader's table has it.
 *
 * The life of a placement:
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
     * The earliest time at which the start may be sent. Gang members whose worker has the image are sent later, so that
     * they don't exhaust their waiting time while the others fetch it.
     */
    val sendFrom: MonotonicInstant,
) {
    var state: PlacementState = state
        private set

    /** The phase that the worker last reported. */
    var phase: TaskPhase = TaskPhase.FETCHING

    /** The grace of the stop that was decided; null: the task is not being stopped. It may only become shorter. */
    var stopGrace: Duration? = null

    /** Whether a start sent to the worker's own address is unanswered: the worker may execute it at any time. */
    var directStartPending: Boolean = false

    /** Whether the start was sent in a heartbeat response. */
    var sentInResponse: Boolean = false
        private set

    /** Whether the stop has been sent at least once. */
    var stopSent: Boolean = false

    /** When the task was first seen fetching its image; null: it never was. */
    var fetchingSince: MonotonicInstant? = null

    /** Whether the task exited with an error. */
    var failed: Boolean = false

    /** Whether the attempt is part of the job's [JobUsage] already. */
    var accounted: Boolean = false

    /** When the task was first seen running; null: it never was. */
    var runningSince: MonotonicInstant? = null

    val zone: Zone get() = worker.zone

    /** The start goes out in a heartbeat response, for the first time or again. */
    fun markSentInResponse() {
        state = PlacementState.SENT
        sentInResponse = true
    }

    /** The start goes out to the worker's own address. */
    fun markSentDirectly() {
        state = PlacementState.SENT
        directStartPending = true
    }

    /** The worker lists the task. */
    fun confirm() {
        state = PlacementState.CONFIRMED
    }
}
