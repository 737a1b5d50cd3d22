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

/** What one job's newly finished tasks need written, and under which conditions. */
internal class CompletionWrite(
    val job: JobId,
    val fresh: List<Int>,
    val conditions: List<Condition>,
    val writes: List<Write>,
    val ending: TerminalRecord?,
)

/**
 * Writes finished tasks, packed, once per scheduling cycle, and decides that a job is done: on the key of its ending,
 * which a
 * withdrawal would create as well, so that exactly one of them wins.
 */
public class CompletionWriter(
    private val client: StateClient,
    private val jobRegistry: JobRegistry,
    private val txnOps: Int,
) {
    /** What was recorded; null: another term has begun. */
    public suspend fun record(
        leadership: LeadershipState.Leader,
        batches: List<CompletionBatch>,
    ): Map<JobId, List<Int>>? {
        val recorded = HashMap<JobId, List<Int>>()
        val queue = ArrayDeque(batches.flatMap(::items))
        while (queue.isNotEmpty()) {
            val group = ArrayList<CompletionWrite>()
            while (queue.isNotEmpty() &&
                (group.isEmpty() || group.sumOf { it.writes.size } + queue.first().writes.size <= txnOps)
            ) {
                group.add(queue.removeFirst())
            }
            when (val outcome = commit(leadership, group)) {
                is CommitOutcome.Committed -> group.forEach { done(it, recorded) }

                is CommitOutcome.Conflict -> {
                    if (Keys.TERM in outcome.failed) return null
                    // Withdrawn meanwhile, or an earlier try of ours came through: the rest goes on without those.
                    for (item in group) {
                        if (item.conditions.any { it.key in outcome.failed }) continue
                        if (commit(leadership, listOf(item)) is CommitOutcome.Committed) done(item, recorded)
                    }
                }

                else -> return recorded
            }
        }
        return recorded
    }

    private fun done(item: CompletionWrite, recorded: MutableMap<JobId, List<Int>>) {
        recorded[item.job] = recorded[item.job].orEmpty() + item.fresh
        item.ending?.let { jobRegistry.tell(JobMessage.TerminalStateRecorded(item.job, it)) }
    }

    private suspend fun commit(leadership: LeadershipState.Leader, items: List<CompletionWrite>): CommitOutcome =
        client.commit(
            listOf(Condition(Keys.TERM, leadership.termRevision)) + items.flatMap { it.conditions }.distinct(),
            items.flatMap { it.writes },
            if (items.any { it.ending != null }) RequestPriority.END else RequestPriority.PROGRESS,
        )

    internal fun items(batch: CompletionBatch): List<CompletionWrite> {
        val open = Condition(Keys.job(batch.job), batch.version)
        if (batch.state.all) {
            val ending = TerminalRecord(TerminalState.DONE, batch.state.tasks, batch.account)
            return listOf(
                CompletionWrite(
                    batch.job,
                    batch.fresh,
                    listOf(open, Condition(Keys.terminalRecord(batch.job), Revision.ABSENT)),
                    listOfNotNull(
                        Write.Put(Keys.terminalRecord(batch.job), ending.encode()),
                        Write.Drop(Keys.job(batch.job)),
                        if (batch.held) Write.Drop(Keys.hold(batch.job)) else null,
                    ),
                    ending,
                ),
            )
        }
        return batch.fresh.groupBy(CompletedTasks::blockOf).map { (block, tasks) ->
            val write = Write.Put(Keys.finished(batch.job, block), mapOf("f" to batch.state.pack(block)))
            // A write without an answer may be carried out late: without the version it would undo a newer one, and
            // tasks that were
            // told as done would be open again for whoever starts then.
            val before = Condition(write.key, batch.blockVersions[block] ?: Revision.ABSENT)
            CompletionWrite(batch.job, tasks, listOf(open, before), listOf(write), null)
        }
    }

    /**
     * Keeps a job from being started; [before]: the version of its hold's key. Whoever has begun another term meanwhile
     * may have started it: then nothing is written.
     */
    public suspend fun hold(
        leadership: LeadershipState.Leader,
        job: JobId,
        version: Revision,
        before: Revision,
        hold: JobHold,
    ): CommitOutcome {
        val conditions =
            listOf(
                Condition(Keys.TERM, leadership.termRevision),
                Condition(Keys.job(job), version),
                Condition(Keys.hold(job), before),
            )
        var outcome: CommitOutcome = CommitOutcome.Unknown
        repeat(HOLD_TRIES) {
            outcome =
                client.commit(conditions, listOf(Write.Put(Keys.hold(job), hold.encode())), RequestPriority.RECORD)
            if ((outcome as? CommitOutcome.Conflict)?.failed == setOf(Keys.hold(job))) {
                // Nobody else holds jobs in this term: a hold that is there is the one that an earlier try left.
                val there =
                    client.read(Keys.hold(job), RequestPriority.RECORD) as? ReadOutcome.Found
                        ?: return CommitOutcome.Unknown
                return if (JobHold.decode(there.entry.value, there.entry.version)?.effective !=
                    null
                ) {
                    CommitOutcome.Committed(there.entry.version)
                } else {
                    outcome
                }
            }
            if (outcome != CommitOutcome.Unknown) return outcome
        }
        return outcome
    }

    /** A hold that was recorded while its job ended keeps nothing any more. */
    public suspend fun forgetHold(leadership: LeadershipState.Leader, job: JobId) {
        client.commit(
            listOf(Condition(Keys.TERM, leadership.termRevision), Condition(Keys.job(job), Revision.ABSENT)),
            listOf(Write.Drop(Keys.hold(job))),
            RequestPriority.OTHER,
        )
    }

    /** The finished blocks of an ended job say nothing that its ending doesn't. */
    public suspend fun forget(leadership: LeadershipState.Leader, job: JobId, blocks: Collection<Int>) {
        for (chunk in blocks.chunked(txnOps)) {
            client.commit(
                listOf(Condition(Keys.TERM, leadership.termRevision), Condition(Keys.job(job), Revision.ABSENT)),
                chunk.map { Write.Drop(Keys.finished(job, it)) },
                RequestPriority.OTHER,
            )
        }
    }

    private companion object {
        const val HOLD_TRIES = 3
    }
}
