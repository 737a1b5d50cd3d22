package org.elderhitch.jobs

/** The result of a user's request about a job, which the request router converts to an HTTP response. */
public sealed interface JobResponse {
    /** The job is recorded. [isNew] tells whether this request recorded it, rather than an earlier one. */
    public data class Accepted(val id: JobId, val status: JobStatus, val isNew: Boolean) : JobResponse

    public data class State(val id: JobId, val status: JobStatus) : JobResponse

    /** The request is invalid. */
    public data class Malformed(val reason: String) : JobResponse

    /** The job can never run in this deployment. */
    public data class NeverRuns(val reason: String) : JobResponse

    /** There is no such job. */
    public data object Unknown : JobResponse

    /** This node cannot answer or record the request at the moment; it may be retried. */
    public data class NotNow(val reason: String) : JobResponse

    /** No node accepts the job at the moment: the open jobs nearly fill the controllers' memory bound. */
    public data object Full : JobResponse
}
