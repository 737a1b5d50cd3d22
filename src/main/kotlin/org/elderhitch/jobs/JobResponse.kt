package org.elderhitch.jobs

/** What a user is told; the edge turns it into statuses. */
public sealed interface JobResponse {
    public data class Accepted(val id: JobId, val standing: JobStatus, val isNew: Boolean) : JobResponse
    public data class State(val id: JobId, val standing: JobStatus) : JobResponse
    public data class Malformed(val reason: String) : JobResponse
    public data class NeverRuns(val reason: String) : JobResponse
    public data object Unknown : JobResponse

    /** This node can't tell or record it now. */
    public data class NotNow(val reason: String) : JobResponse

    /** No node takes it now: what is open is near what the controllers can hold. */
    public data object Full : JobResponse
}
