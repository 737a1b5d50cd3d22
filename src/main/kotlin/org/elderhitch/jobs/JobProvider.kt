package org.elderhitch.jobs

import org.elderhitch.leadership.LeadershipState

/**
 * Manages jobs that are not stored under individual keys of the state service, and recognises them by the form of their
 * ids. For users and for the leader's task table they are ordinary jobs. All functions are called on the controller's
 * only thread, so those that don't suspend must return without blocking.
 */
public interface JobProvider {
    /** Whether [id] has the form of the ids of this provider's jobs. */
    public fun owns(id: JobId): Boolean

    /** Like [JobService.show]; returns [JobResponse.Unknown] only if the state service confirmed that there is none. */
    public suspend fun show(id: JobId): JobResponse

    /** Like [JobService.cancel]: the cancellation is recorded before this returns. */
    public suspend fun cancel(id: JobId): JobResponse

    /** Describes a job that a worker reports and that the leader's task table lacks; null if it is not open. */
    public fun open(id: JobId): JobEvent.Opened?

    /** Records complete jobs and returns the recorded tasks by job; null if another term has begun. */
    public suspend fun record(
        leadership: LeadershipState.Leader,
        complete: List<CompletionBatch>,
    ): Map<JobId, List<Int>>?
}
