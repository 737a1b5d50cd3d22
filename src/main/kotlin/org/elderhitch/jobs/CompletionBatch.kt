package org.elderhitch.jobs

import org.elderhitch.store.Revision

/** Newly completed tasks of one job, to be recorded in the state service. */
public class CompletionBatch(
    public val job: JobId,
    /** The version of the job's record. */
    public val version: Revision,
    completedTasks: CompletedTasks,
    /** The tasks that the state service lacks. */
    public val newlyCompleted: List<Int>,
    /** The usage account of a job that is complete. */
    public val account: JobAccount? = null,
    /** Whether a hold of the job is stored, which its completion drops. */
    public val hasStoredHold: Boolean = false,
    /** The versions of the blocks that are recorded already, by block number. */
    public val blockVersions: Map<Int, Revision> = emptyMap(),
    /** Whether a [JobProvider] records the job, instead of [CompletionWriter]. */
    public val providerOwned: Boolean = false,
) {
    /**
     * The completed tasks when the batch was made: a task that completes before the batch is recorded belongs to the
     * next one. With the live set such a last task ended its job without an account
     * (`docs/incidents/endings-without-account.md`).
     */
    public val completedTasks: CompletedTasks = completedTasks.copy()
}
