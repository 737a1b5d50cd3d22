package org.elderhitch.jobs

import org.elderhitch.leadership.LeadershipState

/**
 * Owns jobs that are recorded otherwise than under keys of their own, and recognises them by the form of their ids. To
 * users, and to the leader's task table, they are jobs like all others. Runs on the controller's one thread; functions
 * without `suspend` return at once.
 */
public interface JobProvider {
    /** Whether the id has the form of this provider's jobs. */
    public fun owns(id: JobId): Boolean

    /** As [JobService.show]; [JobResponse.Unknown] only if the state service confirmed it. */
    public suspend fun show(id: JobId): JobResponse

    /** As [JobService.cancel]: recorded before it is answered. */
    public suspend fun cancel(id: JobId): JobResponse

    /** The description of a job that a worker reports and the leader's task table lacks; null: it is not open. */
    public fun open(id: JobId): JobEvent.Opened?

    /** Records jobs that are complete, and returns the tasks recorded; null: another term has begun. */
    public suspend fun record(
        leadership: LeadershipState.Leader,
        complete: List<CompletionBatch>,
    ): Map<JobId, List<Int>>?
}
