package org.elderhitch.failuredetection

import org.elderhitch.heartbeat.TaskStatus
import org.elderhitch.jobs.JobId
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/**
 * Tells faulty machines from faulty jobs. A machine is at fault when tasks of several jobs fail there, or some of a job
 * that runs well elsewhere; a job is when it fails on several machines and runs on none. Until it is clear, nothing new
 * goes to a machine where something failed: it is always free, and would take task after task.
 *
 * A job submitted with a mistake fails wherever it goes. Of seventy tasks that failed on fifty machines within a
 * second,
 * each closed its machine to everybody for a while; so once the job is known to be at fault, its machines are open
 * again.
 */
internal class FailureAttribution(private val table: TaskTable) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")

    fun recordTaskFailure(worker: WorkerState, job: JobState, task: TaskStatus, now: MonotonicInstant) {
        log.info("task failed task={} machine={}", task.task, worker.id)
        job.failedOn.add(worker.id)
        worker.avoid(job.id, now + ERROR_SHUN)
        worker.failuresByJob.merge(job.id, 1, Int::plus)
        if (job.failedOn.size >= JOB_AT_FAULT && !runsSomewhere(job, worker)) {
            cordon(job, now)
            return
        }
        worker.quarantinedUntil = now + DOUBT
        judge(worker, now)
    }

    /** What such a job does says nothing of the machines that it was on. */
    private fun cordon(job: JobState, now: MonotonicInstant) {
        val back = ERROR_BACKOFF * (1 shl minOf(job.failedOn.size - JOB_AT_FAULT, MAX_DOUBLINGS))
        if (job.notBefore <
            now
        ) {
            log.info(
                "job at fault job={} machines={} again_ms={}",
                job.id,
                job.failedOn.size,
                back.inWholeMilliseconds,
            )
        }
        job.notBefore = now + minOf(back, MAX_BACKOFF)
        for (id in job.failedOn) {
            val worker = table.workers[id] ?: continue
            if (worker.failuresByJob.remove(job.id) != null &&
                worker.failuresByJob.isEmpty()
            ) {
                worker.quarantinedUntil = MonotonicInstant.NEVER
            }
        }
    }

    /**
     * How many tasks of a job may be started now, while it isn't known whether it can run at all: those that are on
     * their
     * way tell, and the others would only fail beside them. Null: as many as there are.
     */
    fun trialLimit(job: JobState): Int? {
        if (job.failedOn.size < SUSPECT || runsSomewhere(job, besides = null)) return null
        return (if (job.failedOn.size < JOB_AT_FAULT) PROBES else 1) - job.placements.size
    }

    fun isFaulty(job: JobState): Boolean = job.failedOn.size >= JOB_AT_FAULT

    /** Time brings evidence too: jobs that failed on a machine prove well elsewhere. */
    fun reassess(now: MonotonicInstant) {
        for (worker in table.workers.values) if (worker.failuresByJob.isNotEmpty()) judge(worker, now)
        for (job in table.jobs.values) {
            if (job.notBefore > now &&
                runsWell(job, null, now)
            ) {
                job.notBefore = MonotonicInstant.NEVER
            }
        }
    }

    private fun judge(worker: WorkerState, now: MonotonicInstant) {
        if (worker.faulty || worker.failuresByJob.values.sum() < ERRORS_AT_FAULT) return
        val proven = worker.failuresByJob.keys.any { id: JobId ->
            table.jobs[id]?.let { runsWell(it, worker, now) } ?: false
        }
        if (worker.failuresByJob.size < JOBS_AT_FAULT && !proven) return
        worker.faulty = true
        worker.failuresByJob.keys.forEach { table.jobs[it]?.failedOn?.remove(worker.id) }
        log.info(
            "machine faulty machine={} errors={} jobs={}",
            worker.id,
            worker.failuresByJob.values.sum(),
            worker.failuresByJob.size,
        )
    }

    /** Enough to blame a machine: that a task of the job is seen running for a moment is not. */
    private fun runsWell(job: JobState, besides: WorkerState?, now: MonotonicInstant): Boolean = job.completed.count > 0 ||
        job.placements.values.any { p ->
            p.worker !== besides && p.worker.failuresByJob.isEmpty() && p.runningSince.let { it != null && now - it > PROVEN }
        }

    /** Enough not to blame the job. */
    private fun runsSomewhere(job: JobState, besides: WorkerState?): Boolean = job.completed.count > 0 ||
        job.placements.values.any { it.worker !== besides && it.worker.failuresByJob.isEmpty() && it.runningSince != null }

    private companion object {
        val ERROR_SHUN = 300.seconds
        val ERROR_BACKOFF = 2.seconds
        val MAX_BACKOFF = 60.seconds
        val DOUBT = 10.seconds
        val PROVEN = 10.seconds
        const val MAX_DOUBLINGS = 5
        const val SUSPECT = 2
        const val JOB_AT_FAULT = 3
        const val JOBS_AT_FAULT = 2
        const val ERRORS_AT_FAULT = 2

        /** On two machines at once: if one of them is the faulty one, the other tells. */
        const val PROBES = 2
    }
}
