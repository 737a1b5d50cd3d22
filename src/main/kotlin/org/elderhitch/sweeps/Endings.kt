package org.elderhitch.sweeps

import org.elderhitch.jobs.CompletionBatch
import org.elderhitch.jobs.JobAccount
import org.elderhitch.jobs.JobId
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Keys
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write

/** What became of the wish to withdraw points. */
internal enum class Withdrawal { RECORDED, NOT_NOW }

/**
 * Ends points, a block at a time. Each block is one value, replaced under the version that it replaces: of an end and a
 * withdrawal of the same point
 * whoever replaces the block first has decided, and the other finds the point ended when it reads the block again. A
 * transaction
 * without an answer that is carried out late meets a newer version, or is the one that came through.
 */
internal class Endings(
    private val sweepRegistry: SweepRegistry,
    private val client: StateClient,
    private val sync: suspend () -> Boolean,
    private val txnOps: Int,
) {
    /** As [org.elderhitch.jobs.JobProvider.record] has it. */
    suspend fun done(leadership: LeadershipState.Leader, complete: List<CompletionBatch>): Map<JobId, List<Int>>? {
        val wanted = LinkedHashMap<Pair<SweepState, Int>, HashMap<Int, JobAccount?>>()
        for (batch in complete) {
            val (id, point) = SweepId.ofPoint(batch.job) ?: continue
            val state = sweepRegistry.of(id) ?: continue
            wanted.getOrPut(state to point / Block.SIZE) { HashMap() }[point % Block.SIZE] = batch.account
        }
        for (group in wanted.entries.chunked(txnOps)) {
            val blocks = group.map { (at, points) -> at.first to at.first.block(at.second).withDone(points) }
            if (write(blocks, Condition(Keys.TERM, leadership.termRevision), RequestPriority.END) == null) return null
        }
        // Only what is recorded now is told: a point that was withdrawn first is ended too, and needs nothing more.
        return complete.filter { batch ->
            SweepId.ofPoint(batch.job)?.let { (id, point) -> sweepRegistry.of(id)?.endOf(point) } !=
                null
        }.associate { it.job to it.newlyCompleted }
    }

    /** False: some block could not be written now; null: another term has begun. */
    private suspend fun write(
        blocks: List<Pair<SweepState, Block>>,
        term: Condition?,
        purpose: RequestPriority,
    ): Boolean? {
        val changed = blocks.filter { (state, block) -> block !== state.block(block.number) }
        if (changed.isEmpty()) return true
        val conditions = changed.map { (state, block) ->
            Condition(SweepKeys.block(state.id, block.number), block.version)
        }
        val outcome = client.commit(
            listOfNotNull(term) + conditions,
            changed.map { (state, block) ->
                Write.Put(SweepKeys.block(state.id, block.number), block.encode())
            },
            purpose,
        )
        return when (outcome) {
            is CommitOutcome.Committed -> {
                changed.forEach { (state, block) -> sweepRegistry.written(state, block.written(outcome.revision)) }
                true
            }

            is CommitOutcome.Conflict -> {
                if (Keys.TERM in outcome.failed) return null
                // A withdrawal came first, or an earlier try of ours: the next round starts from what stands there.
                sync()
                false
            }

            // What it did is seen by the feed; the next try meets the version that it left, or its own.
            CommitOutcome.Unknown -> {
                sync()
                false
            }

            CommitOutcome.Refused, CommitOutcome.NoSuchLease -> false
        }
    }

    /** Recorded for all open points of [range] when it says so; those that had ended keep their end. */
    suspend fun cancel(state: SweepState, range: IntRange): Withdrawal {
        for (number in range.first / Block.SIZE..range.last / Block.SIZE) {
            val first = number * Block.SIZE
            val points = (
                maxOf(
                    range.first,
                    first,
                )..minOf(range.last, first + Block.SIZE - 1, state.points - 1)
                ).filter {
                state.endOf(it) !=
                    PointEnd.SKIPPED
            }.map { it - first }
            var tries = 0
            while (points.any { state.block(number).endOf(it) == null }) {
                if (++tries > TRIES) return Withdrawal.NOT_NOW
                write(listOf(state to state.block(number).withWithdrawn(points)), null, RequestPriority.RECORD)
            }
        }
        return Withdrawal.RECORDED
    }

    /**
     * Puts a sweep's manifest, if nothing stands there; the manifest that stands there afterwards, or null if that
     * can't be told.
     */
    suspend fun accept(id: SweepId, manifest: Manifest, firstPart: Revision): Accepted? {
        val key = SweepKeys.manifest(id)
        repeat(TRIES) {
            when (
                val outcome = client.commit(
                    listOf(Condition(key, Revision.ABSENT), Condition(SweepKeys.part(id, 0), firstPart)),
                    listOf(Write.Put(key, manifest.encode())),
                    RequestPriority.RECORD,
                )
            ) {
                is CommitOutcome.Committed -> return Accepted(
                    sweepRegistry.recorded(id, manifest, outcome.revision),
                    isNew = true,
                )

                is CommitOutcome.Conflict -> return if (sync()) {
                    sweepRegistry.of(id)?.let {
                        Accepted(it, isNew = false)
                    }
                } else {
                    null
                }

                CommitOutcome.Unknown -> Unit

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> return null
            }
        }
        return null
    }

    class Accepted(val state: SweepState, val isNew: Boolean)

    private companion object {
        /** The leader writes a block once a second at most; a withdrawal that meets it reads again. */
        const val TRIES = 5
    }
}
