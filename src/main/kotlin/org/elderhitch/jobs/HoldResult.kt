package org.elderhitch.jobs

/** The outcome of a request to hold a job. */
public sealed interface HoldResult {
    /** The hold is recorded. */
    public data object Held : HoldResult

    /**
     * The job's state does not allow the hold: a task runs or may run or, for a suspension, no task runs or the job
     * cannot checkpoint.
     */
    public data class Inconsistent(val reason: String) : HoldResult

    public data object NoSuchJob : HoldResult

    /** The request could not be decided or recorded at the moment; it may be retried. */
    public data class NotNow(val reason: String) : HoldResult
}

/** The outcome of writing a hold to the state service. */
public enum class HoldWriteResult {
    WRITTEN,

    /** The job had ended before. */
    JOB_GONE,

    /** The hold is known not to have been written. */
    NOT_WRITTEN,

    /** The hold may have been written, or may still be written later. */
    UNKNOWN,
}
