package org.elderhitch.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.features.FeatureSet
import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.CompletionBatch
import org.elderhitch.jobs.CompletionWriter
import org.elderhitch.jobs.HoldWriteResult
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobHold
import org.elderhitch.jobs.JobId
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Keys
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write
import org.elderhitch.tasks.ImageHints
import kotlin.time.Duration.Companion.seconds

/**
 * Writes the scheduler's records to the state service, each in a separate coroutine, and sends the results to the
 * scheduler as messages.
 */
internal class SchedulerStateWriter(
    private val scope: CoroutineScope,
    private val client: StateClient,
    private val completionWriter: CompletionWriter,
    private val leadership: Leadership,
    private val features: () -> FeatureSet,
    private val maxValueBytes: Int,
    private val tellScheduler: (SchedulerMessage) -> Unit,
) {
    private var lastImageHints: Map<String, Any?> = emptyMap()

    /** Records completed tasks; [SchedulerMessage.CompletionsRecorded] lists those that were recorded. */
    fun recordCompletions(leader: LeadershipState.Leader, batches: List<CompletionBatch>) {
        scope.launch {
            val recorded = completionWriter.record(leader, batches.filter { !it.providerOwned })
            val recordedByProviders = recordWithProviders(leader, batches.filter { it.providerOwned })
            if (recorded == null || recordedByProviders == null) {
                leadership.tell(LeadershipMessage.TermObserved(leader.nextTerm))
            }
            tellScheduler(
                SchedulerMessage.CompletionsRecorded(leader.term, recorded.orEmpty() + recordedByProviders.orEmpty()),
            )
        }
    }

    /** Null if another term has begun, or if the provider of a job is disabled. */
    private suspend fun recordWithProviders(
        leader: LeadershipState.Leader,
        batches: List<CompletionBatch>,
    ): Map<JobId, List<Int>>? {
        var recorded: Map<JobId, List<Int>> = emptyMap()
        for ((provider, ownBatches) in batches.groupBy { features().jobProvider(it.job) }) {
            recorded = recorded + (provider?.record(leader, ownBatches) ?: return null)
        }
        return recorded
    }

    /** Deletes the completion records of a terminated job, unless a feature retains them. */
    fun deleteCompletions(leader: LeadershipState.Leader, job: JobId, blocks: Set<Int>) {
        if (!features().retainsCompletions(job)) {
            scope.launch {
                completionWriter.dropCompletedTasks(leader, job, blocks)
            }
        }
    }

    /**
     * Records a hold, replacing revision [replaces] of its key. Each attempt sends [SchedulerMessage.HoldWritten]. The
     * scheduler starts no task of the job until the result is known, so an attempt whose result is unknown is retried
     * without limit.
     */
    fun writeHold(leader: LeadershipState.Leader, job: JobId, version: Revision, replaces: Revision, hold: JobHold) {
        scope.launch {
            var hasUnknownAttempt = false
            while (true) {
                val outcome = completionWriter.hold(leader, job, version, replaces, hold)
                val result = holdWriteResult(outcome, job, hasUnknownAttempt)
                tellScheduler(SchedulerMessage.HoldWritten(leader.term, job, result))
                if (result != HoldWriteResult.UNKNOWN) return@launch
                hasUnknownAttempt = true
                delay(HOLD_RETRY_DELAY)
            }
        }
    }

    /** If [hasUnknownAttempt], an earlier attempt got no response and may be executed even if this one is refused. */
    private fun holdWriteResult(outcome: CommitOutcome, job: JobId, hasUnknownAttempt: Boolean): HoldWriteResult =
        when (outcome) {
            is CommitOutcome.Committed -> HoldWriteResult.WRITTEN

            is CommitOutcome.Conflict -> {
                val onlyJobChanged = Keys.job(job) in outcome.failed && Keys.TERM !in outcome.failed
                if (onlyJobChanged) HoldWriteResult.JOB_GONE else HoldWriteResult.NOT_WRITTEN
            }

            CommitOutcome.Unknown -> HoldWriteResult.UNKNOWN

            CommitOutcome.Refused, CommitOutcome.NoSuchLease ->
                if (hasUnknownAttempt) HoldWriteResult.UNKNOWN else HoldWriteResult.NOT_WRITTEN
        }

    /** Deletes the hold of a job. */
    fun deleteHold(leader: LeadershipState.Leader, job: JobId) {
        scope.launch { completionWriter.dropHold(leader, job) }
    }

    /** Stores which images the machines have, for later terms; skipped if nothing changed since the last call. */
    fun writeImageHints(leader: LeadershipState.Leader, images: Map<MachineId, Map<Image, Double>>) {
        val hints = ImageHints.encode(images, maxValueBytes)
        if (hints == lastImageHints) return
        lastImageHints = hints
        scope.launch {
            client.commit(
                listOf(Condition(Keys.TERM, leader.termRevision)),
                listOf(Write.Put(Keys.IMAGES, hints)),
                RequestPriority.OTHER,
            )
        }
    }

    private companion object {
        val HOLD_RETRY_DELAY = 1.seconds
    }
}
