package org.elderhitch.jobs

/** The answer to a user's request about a job; the request router turns it into an HTTP response. */
public sealed interface JobResponse {
    /** The job is recorded. [isNew]: by this request, and not by an earlier one. */
    public data class Accepted(val id: JobId, val status: JobStatus, val isNew: Boolean) : JobResponse

    public data class State(val id: JobId, val status: JobStatus) : JobResponse

    /** The request can't be understood. */
    public data class Malformed(val reason: String) : JobResponse

    /** The job could never run in this deployment. */
    public data class NeverRuns(val reason: String) : JobResponse

    /** There is no such job. */
    public data object Unknown : JobResponse

    /** This node can't establish or record it now; the request may be repeated. */
    public data class NotNow(val reason: String) : JobResponse

    /** No node accepts the job now: what is open is near what the controllers can hold. */
    public data object Full : JobResponse
}
