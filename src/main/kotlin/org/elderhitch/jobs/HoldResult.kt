package org.elderhitch.jobs

/** The outcome of a request to hold a job. */
public sealed interface HoldResult {
    /** The hold is recorded. */
    public data object Held : HoldResult

    /** A task of the job runs or may run; or, for a suspension, none does, or the job can't checkpoint. */
    public data class Inconsistent(val reason: String) : HoldResult

    public data object NoSuchJob : HoldResult

    /** It could not be decided or recorded now; the request may be repeated. */
    public data class NotNow(val reason: String) : HoldResult
}

/** The outcome of writing a hold to the state service. */
public enum class HoldWriteResult {
    WRITTEN,

    /** The job ended before. */
    JOB_GONE,

    /** Certainly not written. */
    NOT_WRITTEN,

    /** It may have been written, or may be written later. */
    UNKNOWN,
}
