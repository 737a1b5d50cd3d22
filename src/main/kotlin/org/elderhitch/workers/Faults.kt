package org.elderhitch.workers

import org.elderhitch.time.Moment
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** Tells faulty machines from faulty jobs: errors of several jobs are the machine's, one job's on several machines the job's. */
internal class Faults {
    private val log = LoggerFactory.getLogger("elderhitch.workers")

    fun erred(worker: WorkerState, job: JobState, task: TaskReport, now: Moment) {
        log.info("task failed task={} machine={}", task.task, worker.id)
        job.erredOn.add(worker.id)
        worker.shun(job.id, now + ERROR_SHUN)
        if (job.erredOn.size >= JOB_AT_FAULT) {
            val back = ERROR_BACKOFF * (1 shl minOf(job.erredOn.size - JOB_AT_FAULT, MAX_DOUBLINGS))
            job.notBefore = now + minOf(back, MAX_BACKOFF)
            return
        }
        worker.erredTasks.add(task.task)
        if (worker.erredTasks.size >= MACHINE_AT_FAULT && !worker.sick) {
            worker.sick = true
            log.info("machine faulty machine={} errors={}", worker.id, worker.erredTasks.size)
        }
    }

    private companion object {
        val ERROR_SHUN = 300.seconds
        val ERROR_BACKOFF = 2.seconds
        val MAX_BACKOFF = 60.seconds
        const val MAX_DOUBLINGS = 5
        const val JOB_AT_FAULT = 3
        const val MACHINE_AT_FAULT = 2
    }
}
