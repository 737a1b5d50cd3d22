package org.elderhitch.workers

import org.elderhitch.jobs.JobId
import org.elderhitch.time.Moment
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/**
 * Tells faulty machines from faulty jobs. A machine is at fault when tasks of several jobs fail there, or some of a job
 * that runs well elsewhere; a job is when it fails on several machines and runs well on none. Until it is clear, nothing
 * new goes to a machine where something failed: it is always free, and would take task after task.
 */
internal class Faults(private val table: TaskTable) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")

    fun erred(worker: WorkerState, job: JobState, task: TaskReport, now: Moment) {
        log.info("task failed task={} machine={}", task.task, worker.id)
        job.erredOn.add(worker.id)
        worker.shun(job.id, now + ERROR_SHUN)
        worker.doubtedUntil = now + DOUBT
        worker.erredJobs.merge(job.id, 1, Int::plus)
        if (job.erredOn.size >= JOB_AT_FAULT && !runsWell(job, worker, now)) {
            val back = ERROR_BACKOFF * (1 shl minOf(job.erredOn.size - JOB_AT_FAULT, MAX_DOUBLINGS))
            job.notBefore = now + minOf(back, MAX_BACKOFF)
            // What such a job does says nothing of the machines that it was on.
            job.erredOn.forEach { table.workers[it]?.erredJobs?.remove(job.id) }
            return
        }
        judge(worker, now)
    }

    /** Time brings evidence too: jobs that failed on a machine prove well elsewhere. */
    fun reconsider(now: Moment) {
        for (worker in table.workers.values) if (worker.erredJobs.isNotEmpty()) judge(worker, now)
    }

    private fun judge(worker: WorkerState, now: Moment) {
        if (worker.sick || worker.erredJobs.values.sum() < ERRORS_AT_FAULT) return
        val proven = worker.erredJobs.keys.any { id: JobId -> table.jobs[id]?.let { runsWell(it, worker, now) } ?: false }
        if (worker.erredJobs.size < JOBS_AT_FAULT && !proven) return
        worker.sick = true
        log.info("machine faulty machine={} errors={} jobs={}", worker.id, worker.erredJobs.values.sum(), worker.erredJobs.size)
    }

    private fun runsWell(job: JobState, besides: WorkerState, now: Moment): Boolean =
        job.done.count > 0 || job.placements.values.any { p ->
            p.worker !== besides && p.worker.erredJobs.isEmpty() && p.runsSince.let { it != null && now - it > PROVEN }
        }

    private companion object {
        val ERROR_SHUN = 300.seconds
        val ERROR_BACKOFF = 2.seconds
        val MAX_BACKOFF = 60.seconds
        val DOUBT = 10.seconds
        val PROVEN = 10.seconds
        const val MAX_DOUBLINGS = 5
        const val JOB_AT_FAULT = 3
        const val JOBS_AT_FAULT = 2
        const val ERRORS_AT_FAULT = 2
    }
}
