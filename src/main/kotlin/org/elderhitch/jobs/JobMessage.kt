package org.elderhitch.jobs

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/** Messages to [JobRegistry]. */
public sealed interface JobMessage {
    /** All listed entries; writes after [revision] may be missing. */
    public data class Snapshot(val entries: List<Entry>, val revision: Revision) : JobMessage

    /** Changes in the state service, in commit order. */
    public data class Changed(val changes: List<Change>) : JobMessage

    /** Requests what is known about a job. */
    public data class Lookup(val id: JobId, val reply: CompletableDeferred<JobLookup>) : JobMessage

    /** This node wrote the record itself, so it is known here before the watch reports it. */
    public data class Recorded(val spec: JobSpec, val version: Revision) : JobMessage

    /** This node wrote or read the terminal record itself. */
    public data class TerminalStateRecorded(val id: JobId, val record: TerminalRecord) : JobMessage

    /** Another controller reported that it wrote the terminal record. */
    public data class TerminalStateReceived(val id: JobId, val record: TerminalRecord) : JobMessage

    /**
     * The state service has neither a record nor a terminal record of the job: this was read after a lookup had
     * returned [JobLookup.Unknown] with this [epoch].
     */
    public data class AbsenceConfirmed(val id: JobId, val epoch: Int) : JobMessage

    /** The number of running tasks per job as reported by the leader; for display only. */
    public data class RunningCounts(val counts: Map<JobId, Int>) : JobMessage

    /** The messages before this one contain everything that was recorded up to [since]. */
    public data class FreshnessConfirmed(val since: MonotonicInstant) : JobMessage
}
