package org.elderhitch.jobs

import org.elderhitch.store.Revision

/** What this node knows about a job without asking the state service. */
public sealed interface JobLookup {
    /**
     * Nothing is known. [epoch] counts the snapshots that [JobRegistry] received: an absence that is read from the
     * state service is valid only within the epoch in which it was asked for.
     */
    public data class Unknown(val epoch: Int) : JobLookup

    /** The state service confirmed that the job does not exist, and no change since then created it. */
    public data object Absent : JobLookup

    /** The job is open. [version]: that of its record, which orders jobs by their submission. */
    public data class Open(
        val spec: JobSpec,
        val version: Revision,
        val status: JobStatus,
        /** What is stored under the key of its hold, if anything. */
        val storedHold: JobHold? = null,
    ) : JobLookup {
        /** The hold that keeps the job from being started; null: there is none. */
        public val hold: JobHold? get() = storedHold?.effective
    }

    /** The job ended, and how is still cached here. */
    public data class Ended(val record: TerminalRecord) : JobLookup
}
