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
 * Holds of jobs. Only the leader knows whether any task of a job was started, so it alone decides on a hold. From that
 * moment no scheduling cycle starts a task of the job, and the hold is in force once it is recorded under this term. If
 * the write fails, the job goes on as before; if its outcome is unknown, the job stays held here for as long as the
 * write may still come through.
 */
internal class JobHolds(
    private val table: TaskTable,
    private val rules: ClassRules,
    private val ports: JobRecordPort,
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val pendingReplies = HashMap<JobId, CompletableDeferred<HoldResult>>()

    /** Jobs whose recorded hold is a suspension; followed in every role. */
    private val suspended = HashSet<JobId>()

    fun newTerm() {
        pendingReplies.values.forEach { it.complete(HoldResult.NotNow("another term begins")) }
        pendingReplies.clear()
        table.jobs.values.forEach { it.holdPending = false }
    }

    /**
     * Decides on a requested hold and has it written. [mayRunUnreported]: whether an unreported task of the job may run
     * on a machine that has not been heard from in this term.
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
        val answer = answerWithoutWrite(job, message.kind) {
            job.version <= leader.termRevision && mayRunUnreported(job.spec)
        }
        if (answer != null) {
            message.reply.complete(answer)
            return
        }
        pendingReplies[message.id] = message.reply
        write(leader, job, JobHold.of(message.kind, message.reason))
    }

    /** Null: the hold has to be written. */
    private fun answerWithoutWrite(job: JobState, kind: HoldKind, mayRunUnreported: () -> Boolean): HoldResult? = when {
        job.hold != null -> HoldResult.Held
        job.holdPending -> HoldResult.NotNow("a hold is being recorded")
        mayRunUnreported() -> HoldResult.NotNow("a machine that may run it has not reported yet")
        kind == HoldKind.SUSPENDED -> suspensionRefusal(job)
        kind == HoldKind.USER && job.placements.isNotEmpty() ->
            HoldResult.Inconsistent("something of it has been started")
        else -> null
    }

    private fun suspensionRefusal(job: JobState): HoldResult? = when {
        !job.spec.takesCheckpoints ->
            HoldResult.Inconsistent("its tasks can't save, so stopping them would lose their work")
        job.placements.isEmpty() -> HoldResult.Inconsistent("nothing of it runs")
        else -> null
    }

    private fun write(leader: LeadershipState.Leader, job: JobState, hold: JobHold) {
        job.holdPending = true
        ports.writeHold(leader, job.id, job.version, job.storedHold?.version ?: Revision.ABSENT, hold)
    }

    /** Takes the [outcome] of writing a hold. */
    fun written(id: JobId, outcome: HoldWriteResult) {
        val reply = pendingReplies.remove(id)
        val job = table.jobs[id]
        // An unknown write may still come through: until it is seen, or the term ends, nothing is started.
        if (outcome == HoldWriteResult.NOT_WRITTEN) job?.holdPending = false
        table.dirty = true
        reply?.complete(
            when (outcome) {
                HoldWriteResult.WRITTEN -> HoldResult.Held
                HoldWriteResult.JOB_GONE -> HoldResult.NoSuchJob
                HoldWriteResult.NOT_WRITTEN, HoldWriteResult.UNKNOWN ->
                    HoldResult.NotNow("the state service takes no record now")
            },
        )
    }

    /** Takes what the state service now [stored] as the job's hold; null: none. [leader]: null on a follower. */
    fun changed(leader: LeadershipState.Leader?, id: JobId, stored: JobHold?) {
        val hold = stored?.effective
        if (hold?.kind == HoldKind.SUSPENDED) suspended.add(id) else suspended.remove(id)
        val job = table.jobs[id]
        if (job == null) {
            if (stored != null && leader != null) ports.deleteHold(leader, id)
            return
        }
        if (hold == null) job.usage.forgetFailures()
        job.storedHold = stored
        job.holdPending = false
        table.dirty = true
    }

    /** Has the tasks of suspended jobs save and stop. Called at each tick, as a takeover may find such tasks later. */
    fun stopSuspended() {
        for (id in suspended) {
            val job = table.jobs[id]?.takeUnless { it.isTerminal } ?: continue
            for (placement in job.placements.values.toList()) {
                if (placement.stopGrace == null) table.stop(job, placement, job.spec.checkpointDuration + SAVE_MARGIN)
            }
        }
    }

    /** Holds the job if its task [index] was started as often as the rule of its class allows. */
    fun holdIfExhausted(leader: LeadershipState.Leader, job: JobState, index: Int) {
        val maxAttempts = rules.of(job.spec.jobClass).maxAttempts ?: return
        val isHeld = job.hold != null || job.holdPending
        if (isHeld || job.isTerminal || job.usage.failuresOf(index) < maxAttempts) return
        log.info("job held job={} rule=attempts task={} starts={}", job.id, index, job.usage.failuresOf(index))
        val reason = "class ${job.spec.jobClass} has the rule attempts = $maxAttempts, " +
            "and task $index was started so often in vain"
        write(leader, job, JobHold.of(HoldKind.ATTEMPTS, reason))
    }

    /** The job has reached its terminal state. */
    fun ended(id: JobId) {
        suspended.remove(id)
    }

    /** Whether failures of the job's tasks are counted, because its class limits their attempts. */
    fun countsFailures(job: JobState): Boolean = rules.any && rules.of(job.spec.jobClass).maxAttempts != null

    private companion object {
        /** Given to a task on top of the time that it takes to save. */
        val SAVE_MARGIN: Duration = 1.seconds
    }
}
