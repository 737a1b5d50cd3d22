package org.elderhitch.jobs

import org.elderhitch.store.Revision

/** What is known here of a job. */
public sealed interface JobLookup {
    /** [epoch] counts the gaps in what was followed: what is read elsewhere holds on only within one. */
    public data class Unknown(val epoch: Int) : JobLookup

    /** The state service said so, and nothing that happened since says otherwise. */
    public data object Absent : JobLookup

    /** [version] is that of the job's record: its place in the order of jobs. */
    public data class Open(
        val spec: JobSpec,
        val version: Revision,
        val standing: JobStatus,
        val holdKey: JobHold? = null,
    ) : JobLookup {
        /** Null: it may be started. */
        public val hold: JobHold? get() = holdKey?.effective
    }

    public data class Ended(val record: TerminalRecord) : JobLookup
}
