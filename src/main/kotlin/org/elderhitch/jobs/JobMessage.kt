package org.elderhitch.jobs

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/** The messages of [JobRegistry]. */
public sealed interface JobMessage {
    /** Everything that was listed; what was recorded after [revision] may be missing. */
    public data class Snapshot(val entries: List<Entry>, val revision: Revision) : JobMessage

    /** Changes of the state service, in their order. */
    public data class Changed(val changes: List<Change>) : JobMessage

    /** Asks what is known about a job. */
    public data class Lookup(val id: JobId, val reply: CompletableDeferred<JobLookup>) : JobMessage

    /** This node itself wrote the record: it is known before the watch reports it. */
    public data class Recorded(val spec: JobSpec, val version: Revision) : JobMessage

    /** This node itself wrote or read the terminal record. */
    public data class TerminalStateRecorded(val id: JobId, val record: TerminalRecord) : JobMessage

    /** Another controller reports that it has written the terminal record. */
    public data class TerminalStateReceived(val id: JobId, val record: TerminalRecord) : JobMessage

    /**
     * The state service has neither a record nor a terminal record, as read after [JobLookup.Unknown] with this
     * [epoch].
     */
    public data class AbsenceConfirmed(val id: JobId, val epoch: Int) : JobMessage

    /** How many tasks of each job run, as the leader reports it, for display. */
    public data class RunningCounts(val counts: Map<JobId, Int>) : JobMessage

    /** Everything that was recorded at [since] is contained in the messages before this one. */
    public data class FreshAsOf(val since: MonotonicInstant) : JobMessage
}
