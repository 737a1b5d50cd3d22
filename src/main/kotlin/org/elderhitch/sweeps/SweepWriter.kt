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

/** The outcome of withdrawing points. */
internal enum class WithdrawalResult { RECORDED, UNAVAILABLE }

/**
 * Records the ends of points, a block at a time, and the manifests of new sweeps. Each block is one value, replaced on
 * condition of its version: when a point is completed and withdrawn at the same time, the first write of the block
 * decides, and the other writer finds the point ended when it reads the block again. A transaction that got no answer
 * and is carried out late fails on the newer version, or is the write that took effect.
 */
internal class SweepWriter(
    private val sweepRegistry: SweepRegistry,
    private val client: StateClient,
    private val sync: suspend () -> Boolean,
    private val txnOps: Int,
) {
    /** Implements [org.elderhitch.jobs.JobProvider.record] for points. */
    suspend fun recordDone(
        leadership: LeadershipState.Leader,
        complete: List<CompletionBatch>,
    ): Map<JobId, List<Int>>? {
        val pointsByBlock = LinkedHashMap<Pair<SweepState, Int>, HashMap<Int, JobAccount?>>()
        for (batch in complete) {
            val (id, point) = SweepId.ofPoint(batch.job) ?: continue
            val state = sweepRegistry.of(id) ?: continue
            pointsByBlock.getOrPut(state to point / Block.SIZE) { HashMap() }[point % Block.SIZE] = batch.account
        }
        for (group in pointsByBlock.entries.chunked(txnOps)) {
            val blocks = group.map { (key, points) -> key.first to key.first.block(key.second).withDone(points) }
            if (write(blocks, Condition(Keys.TERM, leadership.termRevision), RequestPriority.END) == null) return null
        }
        // Only points that are recorded as ended are returned. A point that was withdrawn first has ended too.
        return complete.filter { batch ->
            SweepId.ofPoint(batch.job)?.let { (id, point) -> sweepRegistry.of(id)?.endOf(point) } !=
                null
        }.associate { it.job to it.newlyCompleted }
    }

    /** False if some block could not be written now; null if another term has begun. */
    private suspend fun write(
        blocks: List<Pair<SweepState, Block>>,
        term: Condition?,
        priority: RequestPriority,
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
            priority,
        )
        return when (outcome) {
            is CommitOutcome.Committed -> {
                changed.forEach { (state, block) ->
                    sweepRegistry.applyBlock(state, block.withVersion(outcome.revision))
                }
                true
            }

            is CommitOutcome.Conflict -> {
                if (Keys.TERM in outcome.failed) return null
                // A withdrawal was recorded first, or an earlier attempt of this node: the next attempt starts from
                // the stored blocks.
                sync()
                false
            }

            // The watch shows whether the transaction took effect; the next attempt starts from the version that
            // it left.
            CommitOutcome.Unknown -> {
                sync()
                false
            }

            CommitOutcome.Refused, CommitOutcome.NoSuchLease -> false
        }
    }

    /** Withdraws all open points of [range]; points that have already ended keep their end. */
    suspend fun cancel(state: SweepState, range: IntRange): WithdrawalResult {
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
            var attempts = 0
            while (points.any { state.block(number).endOf(it) == null }) {
                if (++attempts > MAX_ATTEMPTS) return WithdrawalResult.UNAVAILABLE
                write(listOf(state to state.block(number).withCancelled(points)), null, RequestPriority.RECORD)
            }
        }
        return WithdrawalResult.RECORDED
    }

    /**
     * Writes a sweep's manifest unless there is one already. Returns the sweep with the manifest that is then stored,
     * or null if the outcome is unknown.
     */
    suspend fun recordManifest(id: SweepId, manifest: Manifest, firstPart: Revision): RecordedManifest? {
        val key = SweepKeys.manifest(id)
        repeat(MAX_ATTEMPTS) {
            when (
                val outcome = client.commit(
                    listOf(Condition(key, Revision.ABSENT), Condition(SweepKeys.part(id, 0), firstPart)),
                    listOf(Write.Put(key, manifest.encode())),
                    RequestPriority.RECORD,
                )
            ) {
                is CommitOutcome.Committed -> return RecordedManifest(
                    sweepRegistry.add(id, manifest, outcome.revision),
                    isNew = true,
                )

                is CommitOutcome.Conflict -> return if (sync()) {
                    sweepRegistry.of(id)?.let {
                        RecordedManifest(it, isNew = false)
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

    class RecordedManifest(val state: SweepState, val isNew: Boolean)

    private companion object {
        /** The leader writes a block at most once a second; a withdrawal that conflicts with it tries again. */
        const val MAX_ATTEMPTS = 5
    }
}
