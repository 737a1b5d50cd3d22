package org.elderhitch.failuredetection

import org.elderhitch.heartbeat.TaskStatus
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.Placement
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/**
 * Attributes task failures to faulty machines or faulty jobs. A machine is at fault if tasks of several jobs fail on
 * it, or several tasks of a job that runs well elsewhere. A job is at fault if it fails on several machines and runs on
 * none. Until the cause is known, the machine of a failure is quarantined: it always has free capacity, and would be
 * assigned one task after another.
 *
 * A misconfigured job fails wherever it runs. Once it is known to be at fault, its failures count against no machine.
 * Otherwise seventy tasks that fail on fifty machines within a second would close each of these machines to all jobs.
 */
internal class FailureAttribution(private val table: TaskTable) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")

    /**
     * Records that [task] exited with an error on [worker], and blames the job or the machine if the cause is clear.
     */
    fun recordTaskFailure(worker: WorkerState, job: JobState, task: TaskStatus, now: MonotonicInstant) {
        log.info("task failed task={} machine={}", task.task, worker.id)
        job.failedOn.add(worker.id)
        worker.avoid(job.id, now + JOB_AVOIDANCE)
        worker.failuresByJob.merge(job.id, 1, Int::plus)
        if (isJobFaulty(job) && !runsElsewhere(job, worker)) {
            blameJob(job, now)
        } else {
            worker.quarantinedUntil = now + QUARANTINE
            blameMachineIfFaulty(worker, now)
        }
    }

    /** Delays further starts of the job, and ends the quarantine of machines that only this job's failures caused. */
    private fun blameJob(job: JobState, now: MonotonicInstant) {
        val doublings = minOf(job.failedOn.size - FAULTY_JOB_MACHINES, MAX_BACKOFF_DOUBLINGS)
        val backoff = INITIAL_BACKOFF * (1 shl doublings)
        if (job.notBefore < now) {
            log.info(
                "job at fault job={} machines={} again_ms={}",
                job.id,
                job.failedOn.size,
                backoff.inWholeMilliseconds,
            )
        }
        job.notBefore = now + minOf(backoff, MAX_BACKOFF)
        for (id in job.failedOn) {
            val worker = table.workers[id] ?: continue
            val counted = worker.failuresByJob.remove(job.id) != null
            if (counted && worker.failuresByJob.isEmpty()) worker.quarantinedUntil = MonotonicInstant.NEVER
        }
    }

    /**
     * Returns how many more tasks of a job may be started while it isn't known whether the job can run at all, or null
     * if there is no limit. The tasks already placed will show it, and more of them would only fail as well.
     */
    fun trialLimit(job: JobState): Int? {
        if (job.failedOn.size < SUSPECT_JOB_MACHINES || runsElsewhere(job, excluded = null)) return null
        val trials = if (isJobFaulty(job)) 1 else SUSPECT_JOB_TRIALS
        return trials - job.placements.size
    }

    fun isJobFaulty(job: JobState): Boolean = job.failedOn.size >= FAULTY_JOB_MACHINES

    /** Reassesses earlier failures: a job that failed on one machine may have proved since to run well elsewhere. */
    fun reassess(now: MonotonicInstant) {
        for (worker in table.workers.values) {
            if (worker.failuresByJob.isNotEmpty()) blameMachineIfFaulty(worker, now)
        }
        for (job in table.jobs.values) {
            if (job.notBefore > now && isProvenElsewhere(job, null, now)) job.notBefore = MonotonicInstant.NEVER
        }
    }

    private fun blameMachineIfFaulty(worker: WorkerState, now: MonotonicInstant) {
        if (worker.faulty || worker.failuresByJob.values.sum() < FAULTY_MACHINE_FAILURES) return
        val anyJobProvenElsewhere = worker.failuresByJob.keys.any { id ->
            table.jobs[id]?.let { job -> isProvenElsewhere(job, worker, now) } ?: false
        }
        if (worker.failuresByJob.size < FAULTY_MACHINE_JOBS && !anyJobProvenElsewhere) return
        worker.faulty = true
        worker.failuresByJob.keys.forEach { table.jobs[it]?.failedOn?.remove(worker.id) }
        log.info(
            "machine faulty machine={} errors={} jobs={}",
            worker.id,
            worker.failuresByJob.values.sum(),
            worker.failuresByJob.size,
        )
    }

    /**
     * Whether the machine of a failure may be blamed, because a task of the job has completed, or has run elsewhere for
     * [PROVEN_AFTER].
     */
    private fun isProvenElsewhere(job: JobState, excluded: WorkerState?, now: MonotonicInstant): Boolean =
        job.completed.count > 0 ||
            job.placements.values.any { placement ->
                val runningSince = placement.runningSince
                isOnOtherHealthyMachine(placement, excluded) &&
                    runningSince != null &&
                    now - runningSince > PROVEN_AFTER
            }

    /** Whether the job must not be blamed for a failure, because one of its tasks has completed or ran elsewhere. */
    private fun runsElsewhere(job: JobState, excluded: WorkerState?): Boolean = job.completed.count > 0 ||
        job.placements.values.any { isOnOtherHealthyMachine(it, excluded) && it.runningSince != null }

    private fun isOnOtherHealthyMachine(placement: Placement, excluded: WorkerState?): Boolean =
        placement.worker !== excluded && placement.worker.failuresByJob.isEmpty()

    private companion object {
        /** How long a job avoids a machine on which one of its tasks failed. */
        val JOB_AVOIDANCE = 300.seconds

        /** How long a machine is assigned no new tasks after a failure. */
        val QUARANTINE = 10.seconds
        val INITIAL_BACKOFF = 2.seconds
        val MAX_BACKOFF = 60.seconds
        const val MAX_BACKOFF_DOUBLINGS = 5

        /** A task that has run for this long proves that its job can run. */
        val PROVEN_AFTER = 10.seconds
        const val SUSPECT_JOB_MACHINES = 2
        const val FAULTY_JOB_MACHINES = 3
        const val FAULTY_MACHINE_JOBS = 2
        const val FAULTY_MACHINE_FAILURES = 2

        /** Two tasks on two machines: if one machine is faulty, the other shows that the job can run. */
        const val SUSPECT_JOB_TRIALS = 2
    }
}
