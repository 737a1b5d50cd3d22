package org.elderhitch.tasks

import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.TaskId
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/** How sure it is that a task is on its machine. */
internal enum class PlacementState {
    /** Decided, not sent: can be taken back. */
    ASSIGNED,

    /** Sent: it may be there until a newer report settles it. */
    SENT,

    /** Reported by the worker. */
    CONFIRMED,
}

internal class Placement(
    val task: TaskId,
    val attempt: Attempt,
    val worker: WorkerState,
    var state: PlacementState,
    /** A start that was not sent by then is not sent at all. */
    val sendBy: MonotonicInstant,
    /** Members of a gang that have their image start later, so that they don't wait in vain for those that fetch it. */
    val sendFrom: MonotonicInstant,
) {
    var phase: TaskPhase = TaskPhase.FETCHING

    /** Told to stop, with this grace; a withdrawal may still cut a saving short. */
    var stopGrace: Duration? = null

    /** The start was sent to the worker's own address and is not answered yet: it may be executed at any time. */
    var directStartPending: Boolean = false

    /** The start was sent in an answer to a report too. */
    var sentInResponse: Boolean = false

    /** The stop has been sent at least once. */
    var stopSent: Boolean = false

    /** When it was first seen fetching its image; null: it has not been. */
    var fetchingSince: MonotonicInstant? = null

    /** The task exited with an error. */
    var failed: Boolean = false

    /** Its run stands in the job's account. */
    var accounted: Boolean = false

    /** When it was first seen running; null: it has not been. */
    var runningSince: MonotonicInstant? = null

    val zone: Zone get() = worker.zone
}
