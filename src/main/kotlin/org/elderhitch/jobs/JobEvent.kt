package org.elderhitch.jobs

import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/** Changes of jobs that the leader's task table follows. */
public sealed interface JobEvent {
    /**
     * A job is open.
     *
     * @property version the version of its record.
     * @property providerOwned whether a [JobProvider] records the completion of the job as a whole, rather than of each
     *     task.
     */
    public data class Opened(val spec: JobSpec, val version: Revision, val providerOwned: Boolean = false) : JobEvent

    /** Completed tasks were recorded. [tasks] contains all so far; only [block] changed, which is now at [version]. */
    public data class TasksCompleted(val id: JobId, val tasks: CompletedTasks, val block: Int, val version: Revision) :
        JobEvent

    /** The job reached a terminal state. */
    public data class Ended(val id: JobId) : JobEvent

    /** The hold of the job changed. [storedHold] is the value under its key; null if the key is absent. */
    public data class HoldChanged(val id: JobId, val storedHold: JobHold?) : JobEvent

    /** The events before this one include every change of any job up to [since], by the clock of this node. */
    public data class FreshnessConfirmed(val since: MonotonicInstant) : JobEvent
}
