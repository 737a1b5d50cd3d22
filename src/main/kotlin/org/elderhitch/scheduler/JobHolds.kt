package org.elderhitch.scheduler

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.jobs.ClassRules
import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.HoldResult
import org.elderhitch.jobs.HoldWriteResult
import org.elderhitch.jobs.JobHold
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.store.Revision
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.TaskTable
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Holds jobs, so that none of their tasks is started.
 *
 * Only the leader knows whether any task of a job was started, so only the leader decides on a hold. From the decision
 * on, no scheduling cycle starts a task of the job. The hold takes effect once it is recorded under this term. If the
 * write fails, the job continues as before; if the outcome is unknown, the leader keeps the job held for as long as the
 * write may still take effect.
 */
internal class JobHolds(
    private val table: TaskTable,
    private val rules: ClassRules,
    private val ports: JobRecordPort,
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val pendingReplies = HashMap<JobId, CompletableDeferred<HoldResult>>()

    /** Jobs whose recorded hold is a suspension. Maintained by followers too. */
    private val suspended = HashSet<JobId>()

    fun resetForNewTerm() {
        pendingReplies.values.forEach { it.complete(HoldResult.NotNow("a new leadership term is starting")) }
        pendingReplies.clear()
        table.jobs.values.forEach { it.holdPending = false }
    }

    /**
     * Decides on a requested hold and, if it is granted, writes it. [mayRunUnreported]: whether an unreported task of
     * the job may be running on a machine that has not reported in this term.
     */
    fun request(
        leader: LeadershipState.Leader,
        message: SchedulerMessage.HoldJob,
        mayRunUnreported: (JobSpec) -> Boolean,
    ) {
        val job = table.jobs[message.id]?.takeUnless { it.isTerminal }
        if (job == null) {
            message.reply.complete(HoldResult.NoSuchJob)
            return
        }
        val result = resultWithoutWrite(job, message.kind) {
            job.version <= leader.termRevision && mayRunUnreported(job.spec)
        }
        if (result != null) {
            message.reply.complete(result)
            return
        }
        pendingReplies[message.id] = message.reply
        write(leader, job, JobHold.of(message.kind, message.reason))
    }

    /** Returns the result if no write is needed, or null if the hold has to be written. */
    private fun resultWithoutWrite(job: JobState, kind: HoldKind, mayRunUnreported: () -> Boolean): HoldResult? = when {
        job.hold != null -> HoldResult.Held
        job.holdPending -> HoldResult.NotNow("a hold of this job is already being recorded")
        mayRunUnreported() -> HoldResult.NotNow("a machine that may be running the job has not reported yet")
        kind == HoldKind.SUSPENDED -> suspensionRefusal(job)
        kind == HoldKind.USER && job.placements.isNotEmpty() ->
            HoldResult.Inconsistent("tasks of the job have already been started")
        else -> null
    }

    private fun suspensionRefusal(job: JobState): HoldResult? = when {
        !job.spec.canCheckpoint ->
            HoldResult.Inconsistent("the job's tasks can't checkpoint, so stopping them would lose their work")
        job.placements.isEmpty() -> HoldResult.Inconsistent("no task of the job is running")
        else -> null
    }

    private fun write(leader: LeadershipState.Leader, job: JobState, hold: JobHold) {
        job.holdPending = true
        ports.writeHold(leader, job.id, job.version, job.storedHold?.version ?: Revision.ABSENT, hold)
    }

    /** Handles the [outcome] of writing a hold. */
    fun onHoldWritten(id: JobId, outcome: HoldWriteResult) {
        val reply = pendingReplies.remove(id)
        val job = table.jobs[id]
        // After an unknown outcome the write may still take effect: no task starts until it is seen or the term ends.
        if (outcome == HoldWriteResult.NOT_WRITTEN) job?.holdPending = false
        table.needsCycle = true
        reply?.complete(
            when (outcome) {
                HoldWriteResult.WRITTEN -> HoldResult.Held
                HoldWriteResult.JOB_GONE -> HoldResult.NoSuchJob
                HoldWriteResult.NOT_WRITTEN, HoldWriteResult.UNKNOWN ->
                    HoldResult.NotNow("the change can't be recorded at the moment")
            },
        )
    }

    /** Applies a change of the job's [stored] hold; null if it was deleted. [leader] is null on a follower. */
    fun onHoldChanged(leader: LeadershipState.Leader?, id: JobId, stored: JobHold?) {
        val hold = stored?.effective
        if (hold?.kind == HoldKind.SUSPENDED) suspended.add(id) else suspended.remove(id)
        val job = table.jobs[id]
        if (job == null) {
            if (stored != null && leader != null) ports.deleteHold(leader, id)
            return
        }
        if (hold == null) job.usage.resetFailures()
        job.storedHold = stored
        job.holdPending = false
        table.needsCycle = true
    }

    /** Stops tasks of suspended jobs with a checkpoint. Called on each tick: a takeover may find such tasks later. */
    fun stopSuspendedJobs() {
        for (id in suspended) {
            val job = table.jobs[id]?.takeUnless { it.isTerminal } ?: continue
            for (placement in job.placements.values.toList()) {
                if (placement.stopGrace == null) table.stop(job, placement, job.spec.checkpointDuration + SAVE_MARGIN)
            }
        }
    }

    /** Holds the job if the failed attempts of its task [index] have reached the limit of its class. */
    fun holdIfAttemptsExhausted(leader: LeadershipState.Leader, job: JobState, index: Int) {
        val maxAttempts = rules.of(job.spec.jobClass).maxAttempts ?: return
        val isHeld = job.hold != null || job.holdPending
        if (isHeld || job.isTerminal || job.usage.failuresOf(index) < maxAttempts) return
        log.info("job held job={} rule=attempts task={} starts={}", job.id, index, job.usage.failuresOf(index))
        val reason = "class ${job.spec.jobClass} has the rule attempts = $maxAttempts, " +
            "and task $index was started so often in vain"
        write(leader, job, JobHold.of(HoldKind.ATTEMPTS, reason))
    }

    /** Handles a job that has reached its terminal state. */
    fun onJobEnded(id: JobId) {
        suspended.remove(id)
    }

    /** Whether failed attempts of the job's tasks are counted, because its class limits them. */
    fun countsFailures(job: JobState): Boolean = rules.hasRules && rules.of(job.spec.jobClass).maxAttempts != null

    private companion object {
        /** Added to the checkpoint duration of a task that is stopped with a checkpoint. */
        val SAVE_MARGIN: Duration = 1.seconds
    }
}
