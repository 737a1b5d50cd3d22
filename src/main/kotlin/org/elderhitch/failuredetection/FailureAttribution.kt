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
 * Tells faulty machines from faulty jobs. A machine is at fault when tasks of several jobs fail on it, or several of a
 * job that runs well elsewhere; a job is when it fails on several machines and runs on none. Until that is clear,
 * nothing new goes to a machine where something failed: it always has capacity, and would take task after task.
 *
 * A job submitted with a mistake fails wherever it runs. Once it is known to be at fault, its failures count against no
 * machine: of seventy tasks that failed on fifty machines within a second, each closed its machine to all jobs.
 */
internal class FailureAttribution(private val table: TaskTable) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")

    /** Records that the [task] exited with an error on the [worker], and blames the job or the machine if it can. */
    fun recordTaskFailure(worker: WorkerState, job: JobState, task: TaskStatus, now: MonotonicInstant) {
        log.info("task failed task={} machine={}", task.task, worker.id)
        job.failedOn.add(worker.id)
        worker.avoid(job.id, now + AVOIDANCE)
        worker.failuresByJob.merge(job.id, 1, Int::plus)
        if (isFaulty(job) && !runsElsewhere(job, worker)) {
            blameJob(job, now)
        } else {
            worker.quarantinedUntil = now + QUARANTINE
            blameMachineIfFaulty(worker, now)
        }
    }

    /** Delays the job's next tries, and lifts the quarantine of machines that it alone was the cause of. */
    private fun blameJob(job: JobState, now: MonotonicInstant) {
        val doublings = minOf(job.failedOn.size - FAULTY_JOB_MACHINES, MAX_DOUBLINGS)
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
     * How many tasks of a job may be started now while it isn't known whether it can run at all: those that are placed
     * already will show it, and more would only fail as well. Null if there is no limit.
     */
    fun trialLimit(job: JobState): Int? {
        if (job.failedOn.size < SUSPECT_JOB_MACHINES || runsElsewhere(job, except = null)) return null
        val trials = if (isFaulty(job)) 1 else SUSPECT_JOB_TRIALS
        return trials - job.placements.size
    }

    fun isFaulty(job: JobState): Boolean = job.failedOn.size >= FAULTY_JOB_MACHINES

    /** Judges again with what has happened since: a job that failed on a machine may run well elsewhere by now. */
    fun reassess(now: MonotonicInstant) {
        for (worker in table.workers.values) {
            if (worker.failuresByJob.isNotEmpty()) blameMachineIfFaulty(worker, now)
        }
        for (job in table.jobs.values) {
            if (job.notBefore > now && runsWellElsewhere(job, null, now)) job.notBefore = MonotonicInstant.NEVER
        }
    }

    private fun blameMachineIfFaulty(worker: WorkerState, now: MonotonicInstant) {
        if (worker.faulty || worker.failuresByJob.values.sum() < FAULTY_MACHINE_FAILURES) return
        val jobsRunWell = worker.failuresByJob.keys.any { id ->
            table.jobs[id]?.let { job -> runsWellElsewhere(job, worker, now) } ?: false
        }
        if (worker.failuresByJob.size < FAULTY_MACHINE_JOBS && !jobsRunWell) return
        worker.faulty = true
        worker.failuresByJob.keys.forEach { table.jobs[it]?.failedOn?.remove(worker.id) }
        log.info(
            "machine faulty machine={} errors={} jobs={}",
            worker.id,
            worker.failuresByJob.values.sum(),
            worker.failuresByJob.size,
        )
    }

    /** Enough to blame the machine of a failure: a task of the job has completed, or has run elsewhere for a while. */
    private fun runsWellElsewhere(job: JobState, except: WorkerState?, now: MonotonicInstant): Boolean =
        job.completed.count > 0 ||
            job.placements.values.any { placement ->
                val runningSince = placement.runningSince
                isOnOtherSoundMachine(placement, except) && runningSince != null && now - runningSince > PROVEN_AFTER
            }

    /** Enough not to blame the job of a failure: a task of it has completed, or was seen running elsewhere. */
    private fun runsElsewhere(job: JobState, except: WorkerState?): Boolean = job.completed.count > 0 ||
        job.placements.values.any { isOnOtherSoundMachine(it, except) && it.runningSince != null }

    private fun isOnOtherSoundMachine(placement: Placement, except: WorkerState?): Boolean =
        placement.worker !== except && placement.worker.failuresByJob.isEmpty()

    private companion object {
        /** For how long a job's tasks go elsewhere after one failed on a machine. */
        val AVOIDANCE = 300.seconds

        /** For how long nothing new goes to a machine after a failure. */
        val QUARANTINE = 10.seconds
        val INITIAL_BACKOFF = 2.seconds
        val MAX_BACKOFF = 60.seconds
        const val MAX_DOUBLINGS = 5

        /** A task that has run for so long shows that its job can run. */
        val PROVEN_AFTER = 10.seconds
        const val SUSPECT_JOB_MACHINES = 2
        const val FAULTY_JOB_MACHINES = 3
        const val FAULTY_MACHINE_JOBS = 2
        const val FAULTY_MACHINE_FAILURES = 2

        /** On two machines at once: if one of them is the faulty one, the other shows it. */
        const val SUSPECT_JOB_TRIALS = 2
    }
}
