package org.elderhitch.workers

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.jobs.ClassRules
import org.elderhitch.jobs.Hold
import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.leadership.Tenure
import org.elderhitch.store.Revision
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What became of the wish to hold a job. */
public sealed interface HoldAnswer {
    public data object Held : HoldAnswer

    /** Something of the job runs or may run, or, for a suspension, nothing does or it can't save. */
    public data class Inconsistent(val reason: String) : HoldAnswer
    public data object NoSuchJob : HoldAnswer
    public data class NotNow(val reason: String) : HoldAnswer
}

/** What became of writing a hold. */
public enum class HoldWrite { WRITTEN, JOB_GONE, NOT_WRITTEN, UNKNOWN }

/**
 * Holds of jobs. Only the leader knows whether something of a job was started, so it alone decides on one: from that moment on
 * no scheduling cycle starts anything of the job, and the hold is true once it is recorded under this term. If the write came to nothing, the
 * job goes on as before; if that can't be told, it stays held here for as long as the write may yet come through.
 */
internal class Holds(private val table: TaskTable, private val rules: ClassRules, private val ports: ForemanPorts) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val waiting = HashMap<JobId, CompletableDeferred<HoldAnswer>>()
    private val suspended = HashSet<JobId>()

    fun newTerm() {
        waiting.values.forEach { it.complete(HoldAnswer.NotNow("another term begins")) }
        waiting.clear()
        table.jobs.values.forEach { it.holding = false }
    }

    /** [mayHide]: whether an unreported task of the job may run on a machine that has not reported yet. */
    fun ask(
        leading: Tenure.Leading,
        id: JobId,
        kind: HoldKind,
        reason: String,
        mayHide: (JobSpec) -> Boolean,
        reply: CompletableDeferred<HoldAnswer>,
    ) {
        val job = table.jobs[id]?.takeUnless { it.ended }
        val refusal = when {
            job == null -> HoldAnswer.NoSuchJob

            job.hold != null -> HoldAnswer.Held

            job.holding -> HoldAnswer.NotNow("a hold is being recorded")

            job.version <= leading.counter &&
                mayHide(
                    job.spec,
                ) -> HoldAnswer.NotNow("a machine that may run it has not reported yet")

            kind == HoldKind.SUSPENDED && !job.spec.saves -> HoldAnswer.Inconsistent(
                "its tasks can't save, so stopping them would lose their work",
            )

            kind == HoldKind.SUSPENDED && job.placements.isEmpty() -> HoldAnswer.Inconsistent("nothing of it runs")

            kind == HoldKind.USER && job.placements.isNotEmpty() -> HoldAnswer.Inconsistent(
                "something of it has been started",
            )

            else -> null
        }
        if (job == null || refusal != null) {
            reply.complete(refusal ?: HoldAnswer.NoSuchJob)
            return
        }
        waiting[id] = reply
        begin(leading, job, Hold.of(kind, reason))
    }

    private fun begin(leading: Tenure.Leading, job: JobState, hold: Hold) {
        job.holding = true
        ports.hold(leading, job.id, job.version, job.holdKey?.version ?: Revision.ABSENT, hold)
    }

    fun written(id: JobId, outcome: HoldWrite) {
        val reply = waiting.remove(id)
        val job = table.jobs[id]
        // An unknown write may still come through: until it is seen, or the term ends, nothing is started.
        if (outcome == HoldWrite.NOT_WRITTEN) job?.holding = false
        table.dirty = true
        reply?.complete(
            when (outcome) {
                HoldWrite.WRITTEN -> HoldAnswer.Held
                HoldWrite.JOB_GONE -> HoldAnswer.NoSuchJob
                HoldWrite.NOT_WRITTEN, HoldWrite.UNKNOWN -> HoldAnswer.NotNow("the state service takes no record now")
            },
        )
    }

    /** The state service's word on a job's hold; null: there is none. */
    fun heard(leading: Tenure.Leading?, id: JobId, key: Hold?) {
        val hold = key?.effective
        if (hold?.kind == HoldKind.SUSPENDED) suspended.add(id) else suspended.remove(id)
        val job = table.jobs[id]
        if (job == null) {
            if (key != null && leading != null) ports.forgetHold(leading, id)
            return
        }
        if (hold == null) job.tally.forgive()
        job.holdKey = key
        job.holding = false
        table.dirty = true
    }

    /** What is suspended stops with a save; seen in each tick, as a takeover may find tasks of it later. */
    fun stopSuspended() {
        for (id in suspended) {
            val job = table.jobs[id]?.takeUnless { it.ended } ?: continue
            for (p in job.placements.values.toList()) {
                if (p.stop ==
                    null
                ) {
                    table.stop(job, p, job.spec.saveTakes + SAVE_MARGIN)
                }
            }
        }
    }

    /** Holds the job if a task of it was started as often as the rule of its class allows. */
    fun failed(leading: Tenure.Leading, job: JobState, index: Int) {
        val most = rules.of(job.spec.jobClass).attempts ?: return
        if (job.hold != null || job.holding || job.ended || job.tally.failuresOf(index) < most) return
        log.info("job held job={} rule=attempts task={} starts={}", job.id, index, job.tally.failuresOf(index))
        begin(
            leading,
            job,
            Hold.of(
                HoldKind.ATTEMPTS,
                "class ${job.spec.jobClass} has the rule attempts = $most, and task $index was started so often in vain",
            ),
        )
    }

    fun ended(id: JobId) {
        suspended.remove(id)
    }

    fun counts(job: JobState): Boolean = rules.any && rules.of(job.spec.jobClass).attempts != null

    private companion object {
        val SAVE_MARGIN: Duration = 1.seconds
    }
}
