package org.elderhitch.jobs

import org.elderhitch.store.Revision

/** Newly completed tasks of one job, to be recorded in the state service. */
public class CompletionBatch(
    public val job: JobId,
    /** The version of the job's record. */
    public val version: Revision,
    completedTasks: CompletedTasks,
    /** The completed tasks that the state service does not have yet. */
    public val newlyCompleted: List<Int>,
    /** The usage account, if all tasks of the job are completed. */
    public val account: JobAccount? = null,
    /** Whether a hold of the job is stored, which must be dropped when the job completes. */
    public val hasStoredHold: Boolean = false,
    /** The stored versions of the blocks that have been recorded before, by block number. */
    public val blockVersions: Map<Int, Revision> = emptyMap(),
    /** Whether a [JobProvider] records the job's completion, rather than [CompletionWriter]. */
    public val providerOwned: Boolean = false,
) {
    /**
     * A copy of the completed tasks, taken when the batch was created: a task that completes before the batch is
     * recorded belongs to the next batch. If the batch shared the live set, the last task of a job could complete in
     * between, and the job's terminal record would be written without its account.
     */
    public val completedTasks: CompletedTasks = completedTasks.copy()
}
