package org.elderhitch.jobs

import org.elderhitch.leadership.LeadershipState

/**
 * Keeps jobs that are recorded otherwise than under keys of their own, and knows them by the form of their ids. To
 * users, and to the leader's
 * table, they are jobs like all others. Runs on the controller's one thread; what is called without `suspend` returns
 * at once.
 */
public interface JobProvider {
    public fun keeps(id: JobId): Boolean

    /** As [JobService.show] has it; [JobResponse.Unknown] only on the state service's word. */
    public suspend fun show(id: JobId): JobResponse

    /** As [JobService.cancel] has it: recorded before told. */
    public suspend fun cancel(id: JobId): JobResponse

    /** A job that a worker reports and the leader's table lacks; null: it is not open. */
    public fun open(id: JobId): JobEvent.Opened?

    /** Records jobs that are complete, and says which tasks are; null: another term has begun. */
    public suspend fun record(
        leadership: LeadershipState.Leader,
        complete: List<CompletionBatch>,
    ): Map<JobId, List<Int>>?
}
