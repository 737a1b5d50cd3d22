package org.elderhitch.jobs

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Keys
import org.elderhitch.store.ReadOutcome
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write

/** The writes that record the completed [tasks] of one job, with their preconditions. */
internal class CompletionWrite(
    val job: JobId,
    val tasks: List<Int>,
    val conditions: List<Condition>,
    val writes: List<Write>,
    /** The terminal record among [writes]; null unless the job is complete. */
    val terminalRecord: TerminalRecord?,
)

/**
 * Writes a leader's decisions about jobs to the state service: completed tasks, packed into blocks and once per
 * scheduling cycle, the terminal records of complete jobs, and holds. A job is complete once its terminal record is
 * created. A cancellation creates the same key, so exactly one of the two succeeds. Each write is conditional on the
 * leader's term.
 */
public class CompletionWriter(
    private val client: StateClient,
    private val jobRegistry: JobRegistry,
    /** The maximum number of writes in one transaction. */
    private val maxWrites: Int,
) {
    /** Records the batches and returns the recorded tasks by job; null if another term has begun. */
    public suspend fun record(
        leadership: LeadershipState.Leader,
        batches: List<CompletionBatch>,
    ): Map<JobId, List<Int>>? {
        val recorded = HashMap<JobId, List<Int>>()
        val queue = ArrayDeque(batches.flatMap(::writesOf))
        while (queue.isNotEmpty()) {
            val group = nextGroup(queue)
            when (val outcome = commit(leadership, group)) {
                is CommitOutcome.Committed -> group.forEach { onCommitted(it, recorded) }

                is CommitOutcome.Conflict -> {
                    if (Keys.TERM in outcome.failed) return null
                    recordIndividually(leadership, group.filterNot { it.failedIn(outcome) }, recorded)
                }

                else -> return recorded
            }
        }
        return recorded
    }

    /** Removes as many entries from [queue] as fit into one transaction, but at least one. */
    private fun nextGroup(queue: ArrayDeque<CompletionWrite>): List<CompletionWrite> {
        val group = ArrayList<CompletionWrite>()
        var size = 0
        while (queue.isNotEmpty() && (group.isEmpty() || size + queue.first().writes.size <= maxWrites)) {
            val next = queue.removeFirst()
            group.add(next)
            size += next.writes.size
        }
        return group
    }

    /**
     * Whether a precondition of this write failed: the job was cancelled in the meantime, or an earlier write without
     * a response has been executed after all.
     */
    private fun CompletionWrite.failedIn(conflict: CommitOutcome.Conflict): Boolean =
        conditions.any { it.key in conflict.failed }

    private suspend fun recordIndividually(
        leadership: LeadershipState.Leader,
        group: List<CompletionWrite>,
        recorded: MutableMap<JobId, List<Int>>,
    ) {
        for (write in group) {
            if (commit(leadership, listOf(write)) is CommitOutcome.Committed) onCommitted(write, recorded)
        }
    }

    private fun onCommitted(write: CompletionWrite, recorded: MutableMap<JobId, List<Int>>) {
        recorded[write.job] = recorded[write.job].orEmpty() + write.tasks
        write.terminalRecord?.let { jobRegistry.tell(JobMessage.TerminalStateRecorded(write.job, it)) }
    }

    private suspend fun commit(leadership: LeadershipState.Leader, group: List<CompletionWrite>): CommitOutcome =
        client.commit(
            listOf(Condition(Keys.TERM, leadership.termRevision)) + group.flatMap { it.conditions }.distinct(),
            group.flatMap { it.writes },
            if (group.any { it.terminalRecord != null }) RequestPriority.END else RequestPriority.PROGRESS,
        )

    /** A single [CompletionWrite] if the job is complete, and otherwise one per block with newly completed tasks. */
    internal fun writesOf(batch: CompletionBatch): List<CompletionWrite> = if (batch.completedTasks.allDone) {
        listOf(completionWrite(batch))
    } else {
        batch.newlyCompleted.groupBy(CompletedTasks::blockOf).map { (block, tasks) -> blockWrite(batch, block, tasks) }
    }

    private fun completionWrite(batch: CompletionBatch): CompletionWrite {
        val record = TerminalRecord(TerminalState.DONE, batch.completedTasks.tasks, batch.account)
        return CompletionWrite(
            batch.job,
            batch.newlyCompleted,
            listOf(jobIsUnchanged(batch), Condition(Keys.terminalRecord(batch.job), Revision.ABSENT)),
            listOfNotNull(
                Write.Put(Keys.terminalRecord(batch.job), record.encode()),
                Write.Drop(Keys.job(batch.job)),
                if (batch.hasStoredHold) Write.Drop(Keys.hold(batch.job)) else null,
            ),
            record,
        )
    }

    private fun blockWrite(batch: CompletionBatch, block: Int, tasks: List<Int>): CompletionWrite {
        val key = Keys.completedTasks(batch.job, block)
        val write = Write.Put(key, mapOf(JobRegistry.PACKED_TASKS to batch.completedTasks.pack(block)))
        // A write without a response may be executed late. Without this condition it would overwrite a newer value,
        // and the next leader would run tasks again that had been reported as completed.
        val blockIsUnchanged = Condition(key, batch.blockVersions[block] ?: Revision.ABSENT)
        return CompletionWrite(batch.job, tasks, listOf(jobIsUnchanged(batch), blockIsUnchanged), listOf(write), null)
    }

    private fun jobIsUnchanged(batch: CompletionBatch) = Condition(Keys.job(batch.job), batch.version)

    /**
     * Records a hold of a job. Nothing is written if another term has begun, since the new leader may have started the
     * job.
     *
     * @param version the version of the job's record.
     * @param holdVersion the version of the key of the job's hold.
     */
    public suspend fun hold(
        leadership: LeadershipState.Leader,
        job: JobId,
        version: Revision,
        holdVersion: Revision,
        hold: JobHold,
    ): CommitOutcome {
        val conditions = listOf(
            Condition(Keys.TERM, leadership.termRevision),
            Condition(Keys.job(job), version),
            Condition(Keys.hold(job), holdVersion),
        )
        val writes = listOf(Write.Put(Keys.hold(job), hold.encode()))
        var outcome = client.commit(conditions, writes, RequestPriority.RECORD)
        var attempts = 1
        while (outcome == CommitOutcome.Unknown && attempts < MAX_HOLD_ATTEMPTS) {
            outcome = client.commit(conditions, writes, RequestPriority.RECORD)
            attempts++
        }
        val holdExists = (outcome as? CommitOutcome.Conflict)?.failed == setOf(Keys.hold(job))
        return if (holdExists) outcomeOfExistingHold(job, outcome) else outcome
    }

    /**
     * Only this leader writes holds in its term, so an effective hold that exists was written by an earlier attempt
     * that got no response.
     */
    private suspend fun outcomeOfExistingHold(job: JobId, conflict: CommitOutcome): CommitOutcome {
        val read = client.read(Keys.hold(job), RequestPriority.RECORD) as? ReadOutcome.Found
            ?: return CommitOutcome.Unknown
        val existing = JobHold.decode(read.entry.value, read.entry.version)
        return if (existing?.effective != null) CommitOutcome.Committed(read.entry.version) else conflict
    }

    /** Drops a hold that was recorded while its job was ending. */
    public suspend fun dropHold(leadership: LeadershipState.Leader, job: JobId) {
        client.commit(conditionsAfterEnd(leadership, job), listOf(Write.Drop(Keys.hold(job))), RequestPriority.OTHER)
    }

    /** Drops blocks of completed tasks of a job that has ended; its terminal record makes them redundant. */
    public suspend fun dropCompletedTasks(leadership: LeadershipState.Leader, job: JobId, blocks: Collection<Int>) {
        for (chunk in blocks.chunked(maxWrites)) {
            val writes = chunk.map { Write.Drop(Keys.completedTasks(job, it)) }
            client.commit(conditionsAfterEnd(leadership, job), writes, RequestPriority.OTHER)
        }
    }

    private fun conditionsAfterEnd(leadership: LeadershipState.Leader, job: JobId) =
        listOf(Condition(Keys.TERM, leadership.termRevision), Condition(Keys.job(job), Revision.ABSENT))

    private companion object {
        const val MAX_HOLD_ATTEMPTS = 3
    }
}
