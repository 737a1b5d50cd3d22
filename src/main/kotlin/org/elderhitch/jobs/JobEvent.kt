package org.elderhitch.jobs

import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/** What happens to jobs, as the leader's task table follows it. */
public sealed interface JobEvent {
    /**
     * A job is open. [version]: that of its record. [providerOwned]: a [JobProvider] records it as a whole, not task by
     * task.
     */
    public data class Opened(val spec: JobSpec, val version: Revision, val providerOwned: Boolean = false) : JobEvent

    /** Completed tasks were recorded: [tasks] are all so far; [block], now at [version], is the one that changed. */
    public data class TasksCompleted(val id: JobId, val tasks: CompletedTasks, val block: Int, val version: Revision) :
        JobEvent

    /** The job reached a terminal state. */
    public data class Ended(val id: JobId) : JobEvent

    /** [storedHold]: what is stored under the key of the job's hold; null: nothing. */
    public data class HoldChanged(val id: JobId, val storedHold: JobHold?) : JobEvent

    /** Everything that had happened to any job at [since], on this node's clock, is in the events before this one. */
    public data class FreshAsOf(val since: MonotonicInstant) : JobEvent
}
