package org.elderhitch.jobs

import org.elderhitch.store.Revision

/** Newly finished tasks of one job, to be recorded in the state service. */
public class CompletionBatch(
    public val job: JobId,
    public val version: Revision,
    finished: CompletedTasks,
    public val fresh: List<Int>,
    /** Of a job that is complete. */
    public val account: JobAccount? = null,
    public val held: Boolean = false,
    /** Of the blocks that are recorded already. */
    public val blockVersions: Map<Int, Revision> = emptyMap(),
    /** By a [org.elderhitch.jobs.JobProvider]. */
    public val kept: Boolean = false,
) {
    /**
     * As it was when the batch was made: a task that completes before it is recorded belongs to the next one. While
     * this was the live set, such a last task
     * ended its job without an account (`docs/incidents/endings-without-account.md`).
     */
    public val state: CompletedTasks = finished.copy()
}
