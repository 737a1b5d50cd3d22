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

/** The writes that record completed [tasks] of one job, and the conditions on which they depend. */
internal class CompletionWrite(
    val job: JobId,
    val tasks: List<Int>,
    val conditions: List<Condition>,
    val writes: List<Write>,
    /** Written along if the job is complete. */
    val terminalRecord: TerminalRecord?,
)

/**
 * Writes what a leader decides about jobs: completed tasks, packed and once per scheduling cycle, the terminal records
 * of complete jobs, and holds. A job is complete once its terminal record is created: a cancellation would create the
 * same key, so exactly one of the two succeeds. Each write depends on the leader's term.
 */
public class CompletionWriter(
    private val client: StateClient,
    private val jobRegistry: JobRegistry,
    /** The most writes of a transaction. */
    private val maxWrites: Int,
) {
    /** Records the batches and returns the tasks recorded, by job; null: another term has begun. */
    public suspend fun record(
        leadership: LeadershipState.Leader,
        batches: List<CompletionBatch>,
    ): Map<JobId, List<Int>>? {
        val recorded = HashMap<JobId, List<Int>>()
        val queue = ArrayDeque(batches.flatMap(::writesOf))
        while (queue.isNotEmpty()) {
            val group = nextGroup(queue)
            when (val outcome = commit(leadership, group)) {
                is CommitOutcome.Committed -> group.forEach { committed(it, recorded) }

                is CommitOutcome.Conflict -> {
                    if (Keys.TERM in outcome.failed) return null
                    recordSingly(leadership, group.filterNot { it.failedIn(outcome) }, recorded)
                }

                else -> return recorded
            }
        }
        return recorded
    }

    /** As many writes as fit in one transaction, and at least one. */
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

    /** Whether a condition failed: the job was cancelled meanwhile, or an earlier unanswered write was executed. */
    private fun CompletionWrite.failedIn(conflict: CommitOutcome.Conflict): Boolean =
        conditions.any { it.key in conflict.failed }

    private suspend fun recordSingly(
        leadership: LeadershipState.Leader,
        group: List<CompletionWrite>,
        recorded: MutableMap<JobId, List<Int>>,
    ) {
        for (write in group) {
            if (commit(leadership, listOf(write)) is CommitOutcome.Committed) committed(write, recorded)
        }
    }

    private fun committed(write: CompletionWrite, recorded: MutableMap<JobId, List<Int>>) {
        recorded[write.job] = recorded[write.job].orEmpty() + write.tasks
        write.terminalRecord?.let { jobRegistry.tell(JobMessage.TerminalStateRecorded(write.job, it)) }
    }

    private suspend fun commit(leadership: LeadershipState.Leader, group: List<CompletionWrite>): CommitOutcome =
        client.commit(
            listOf(Condition(Keys.TERM, leadership.termRevision)) + group.flatMap { it.conditions }.distinct(),
            group.flatMap { it.writes },
            if (group.any { it.terminalRecord != null }) RequestPriority.END else RequestPriority.PROGRESS,
        )

    /** One write for a complete job, and otherwise one for each block with newly completed tasks. */
    internal fun writesOf(batch: CompletionBatch): List<CompletionWrite> = if (batch.completedTasks.all) {
        listOf(completionOf(batch))
    } else {
        batch.newlyCompleted.groupBy(CompletedTasks::blockOf).map { (block, tasks) -> blockWrite(batch, block, tasks) }
    }

    private fun completionOf(batch: CompletionBatch): CompletionWrite {
        val record = TerminalRecord(TerminalState.DONE, batch.completedTasks.tasks, batch.account)
        return CompletionWrite(
            batch.job,
            batch.newlyCompleted,
            listOf(isOpen(batch), Condition(Keys.terminalRecord(batch.job), Revision.ABSENT)),
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
        // An unanswered write may be executed late. Without this condition it would undo a newer one, and tasks that
        // were reported as completed would be open again for the next leader.
        val unchanged = Condition(key, batch.blockVersions[block] ?: Revision.ABSENT)
        return CompletionWrite(batch.job, tasks, listOf(isOpen(batch), unchanged), listOf(write), null)
    }

    private fun isOpen(batch: CompletionBatch) = Condition(Keys.job(batch.job), batch.version)

    /**
     * Records a hold of a job. [version]: that of the job's record; [holdVersion]: that of the key of its hold. If
     * another term has begun, its leader may have started the job: then nothing is written.
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
     * Nobody else holds jobs in this term: an effective hold that exists was written by an earlier unanswered attempt.
     */
    private suspend fun outcomeOfExistingHold(job: JobId, conflict: CommitOutcome): CommitOutcome {
        val read = client.read(Keys.hold(job), RequestPriority.RECORD) as? ReadOutcome.Found
            ?: return CommitOutcome.Unknown
        val existing = JobHold.decode(read.entry.value, read.entry.version)
        return if (existing?.effective != null) CommitOutcome.Committed(read.entry.version) else conflict
    }

    /** Drops a hold that was recorded while its job ended. */
    public suspend fun dropHold(leadership: LeadershipState.Leader, job: JobId) {
        client.commit(afterEnd(leadership, job), listOf(Write.Drop(Keys.hold(job))), RequestPriority.OTHER)
    }

    /** Drops blocks of completed tasks of a job that ended: its terminal record says as much. */
    public suspend fun dropCompletedTasks(leadership: LeadershipState.Leader, job: JobId, blocks: Collection<Int>) {
        for (chunk in blocks.chunked(maxWrites)) {
            val writes = chunk.map { Write.Drop(Keys.completedTasks(job, it)) }
            client.commit(afterEnd(leadership, job), writes, RequestPriority.OTHER)
        }
    }

    private fun afterEnd(leadership: LeadershipState.Leader, job: JobId) =
        listOf(Condition(Keys.TERM, leadership.termRevision), Condition(Keys.job(job), Revision.ABSENT))

    private companion object {
        const val MAX_HOLD_ATTEMPTS = 3
    }
}
