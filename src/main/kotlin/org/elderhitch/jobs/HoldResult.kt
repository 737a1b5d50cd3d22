package org.elderhitch.jobs

/** What became of the wish to hold a job. */
public sealed interface HoldResult {
    public data object Held : HoldResult

    /** Something of the job runs or may run, or, for a suspension, nothing does or it can't save. */
    public data class Inconsistent(val reason: String) : HoldResult
    public data object NoSuchJob : HoldResult
    public data class NotNow(val reason: String) : HoldResult
}

/** What became of writing a hold. */
public enum class HoldWriteResult { WRITTEN, JOB_GONE, NOT_WRITTEN, UNKNOWN }
