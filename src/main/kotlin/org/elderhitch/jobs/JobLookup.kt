package org.elderhitch.jobs

import org.elderhitch.store.Revision

/** What this node knows about a job without querying the state service. */
public sealed interface JobLookup {
    /**
     * Nothing is known about the job. [epoch] is the number of snapshots that [JobRegistry] has received: if a later
     * read finds the job absent from the state service, that result is valid only while the epoch is the same.
     */
    public data class Unknown(val epoch: Int) : JobLookup

    /** The state service confirmed that the job does not exist, and no later change has created it. */
    public data object Absent : JobLookup

    /** The job is open. [version] is the version of its record, which orders jobs by submission. */
    public data class Open(
        val spec: JobSpec,
        val version: Revision,
        val status: JobStatus,
        /** The value stored under the key of its hold; null if the key is absent. */
        val storedHold: JobHold? = null,
    ) : JobLookup {
        /** The hold that prevents the job from being started, if any. */
        public val hold: JobHold? get() = storedHold?.effective
    }

    /** The job has ended, and its terminal record is still in the cache. */
    public data class Ended(val record: TerminalRecord) : JobLookup
}
