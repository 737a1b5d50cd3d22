package org.elderhitch.jobs

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

public sealed interface JobMessage {
    /** All that was listed; what was recorded after [revision] may be missing. */
    public data class Snapshot(val entries: List<Entry>, val revision: Revision) : JobMessage
    public data class Changed(val changes: List<Change>) : JobMessage
    public data class Lookup(val id: JobId, val reply: CompletableDeferred<JobLookup>) : JobMessage

    /** This node itself wrote the record or the ending: known before the feed brings it. */
    public data class Recorded(val spec: JobSpec, val version: Revision) : JobMessage
    public data class TerminalStateRecorded(val id: JobId, val record: TerminalRecord) : JobMessage

    /** Another controller says that it has recorded the ending. */
    public data class TerminalStateReceived(val id: JobId, val record: TerminalRecord) : JobMessage

    /** The state service knows neither a record nor an ending, read after [JobLookup.Unknown] was answered. */
    public data class AbsenceConfirmed(val id: JobId, val epoch: Int) : JobMessage

    /** How many tasks of each job run; the leader's word, for display. */
    public data class RunningCounts(val counts: Map<JobId, Int>) : JobMessage

    /** All that was recorded at [since] has been told before. */
    public data class FreshAsOf(val since: MonotonicInstant) : JobMessage
}

/** What happens to jobs, for the leader's table. */
public sealed interface JobEvent {
    /** [kept]: by a [JobProvider], which records it as a whole and not by its tasks. */
    public data class Opened(val spec: JobSpec, val version: Revision, val kept: Boolean = false) : JobEvent
    public data class TasksCompleted(val id: JobId, val tasks: CompletedTasks, val block: Int, val version: Revision) :
        JobEvent
    public data class Ended(val id: JobId) : JobEvent

    /** [key]: what stands under the key of the job's hold; null: nothing does. */
    public data class HoldChanged(val id: JobId, val key: JobHold?) : JobEvent

    /**
     * Nothing that had happened to any job at [since], on this node's clock, is missing from the events before this
     * one.
     */
    public data class FreshAsOf(val since: MonotonicInstant) : JobEvent
}
