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
 * Holds of jobs. Only the leader knows whether something of a job was started, so it alone decides on one: from that
 * moment on
 * no scheduling cycle starts anything of the job, and the hold is true once it is recorded under this term. If the
 * write came to nothing, the
 * job goes on as before; if that can't be told, it stays held here for as long as the write may yet come through.
 */
internal class JobHolds(
    private val table: TaskTable,
    private val rules: ClassRules,
    private val ports: SchedulerPorts,
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val waiting = HashMap<JobId, CompletableDeferred<HoldResult>>()
    private val suspended = HashSet<JobId>()

    fun newTerm() {
        waiting.values.forEach { it.complete(HoldResult.NotNow("another term begins")) }
        waiting.clear()
        table.jobs.values.forEach { it.holdPending = false }
    }

    /** [mayHide]: whether an unreported task of the job may run on a machine that has not reported yet. */
    fun ask(
        leadership: LeadershipState.Leader,
        id: JobId,
        kind: HoldKind,
        reason: String,
        mayHide: (JobSpec) -> Boolean,
        reply: CompletableDeferred<HoldResult>,
    ) {
        val job = table.jobs[id]?.takeUnless { it.isTerminal }
        val refusal = when {
            job == null -> HoldResult.NoSuchJob

            job.hold != null -> HoldResult.Held

            job.holdPending -> HoldResult.NotNow("a hold is being recorded")

            job.version <= leadership.termRevision &&
                mayHide(
                    job.spec,
                ) -> HoldResult.NotNow("a machine that may run it has not reported yet")

            kind == HoldKind.SUSPENDED && !job.spec.takesCheckpoints -> HoldResult.Inconsistent(
                "its tasks can't save, so stopping them would lose their work",
            )

            kind == HoldKind.SUSPENDED && job.placements.isEmpty() -> HoldResult.Inconsistent("nothing of it runs")

            kind == HoldKind.USER && job.placements.isNotEmpty() -> HoldResult.Inconsistent(
                "something of it has been started",
            )

            else -> null
        }
        if (job == null || refusal != null) {
            reply.complete(refusal ?: HoldResult.NoSuchJob)
            return
        }
        waiting[id] = reply
        begin(leadership, job, JobHold.of(kind, reason))
    }

    private fun begin(leadership: LeadershipState.Leader, job: JobState, hold: JobHold) {
        job.holdPending = true
        ports.writeHold(leadership, job.id, job.version, job.storedHold?.version ?: Revision.ABSENT, hold)
    }

    fun written(id: JobId, outcome: HoldWriteResult) {
        val reply = waiting.remove(id)
        val job = table.jobs[id]
        // An unknown write may still come through: until it is seen, or the term ends, nothing is started.
        if (outcome == HoldWriteResult.NOT_WRITTEN) job?.holdPending = false
        table.dirty = true
        reply?.complete(
            when (outcome) {
                HoldWriteResult.WRITTEN -> HoldResult.Held
                HoldWriteResult.JOB_GONE -> HoldResult.NoSuchJob
                HoldWriteResult.NOT_WRITTEN, HoldWriteResult.UNKNOWN -> HoldResult.NotNow(
                    "the state service takes no record now",
                )
            },
        )
    }

    /** The state service's word on a job's hold; null: there is none. */
    fun heard(leadership: LeadershipState.Leader?, id: JobId, key: JobHold?) {
        val hold = key?.effective
        if (hold?.kind == HoldKind.SUSPENDED) suspended.add(id) else suspended.remove(id)
        val job = table.jobs[id]
        if (job == null) {
            if (key != null && leadership != null) ports.deleteHold(leadership, id)
            return
        }
        if (hold == null) job.usage.forgetFailures()
        job.storedHold = key
        job.holdPending = false
        table.dirty = true
    }

    /** What is suspended stops with a save; seen in each tick, as a takeover may find tasks of it later. */
    fun stopSuspended() {
        for (id in suspended) {
            val job = table.jobs[id]?.takeUnless { it.isTerminal } ?: continue
            for (p in job.placements.values.toList()) {
                if (p.stopGrace ==
                    null
                ) {
                    table.stop(job, p, job.spec.checkpointDuration + SAVE_MARGIN)
                }
            }
        }
    }

    /** Holds the job if a task of it was started as often as the rule of its class allows. */
    fun failed(leadership: LeadershipState.Leader, job: JobState, index: Int) {
        val most = rules.of(job.spec.jobClass).maxAttempts ?: return
        if (job.hold != null || job.holdPending || job.isTerminal || job.usage.failuresOf(index) < most) return
        log.info("job held job={} rule=attempts task={} starts={}", job.id, index, job.usage.failuresOf(index))
        begin(
            leadership,
            job,
            JobHold.of(
                HoldKind.ATTEMPTS,
                "class ${job.spec.jobClass} has the rule attempts = $most, and task $index was started so often in vain",
            ),
        )
    }

    fun ended(id: JobId) {
        suspended.remove(id)
    }

    fun counts(job: JobState): Boolean = rules.any && rules.of(job.spec.jobClass).maxAttempts != null

    private companion object {
        val SAVE_MARGIN: Duration = 1.seconds
    }
}
