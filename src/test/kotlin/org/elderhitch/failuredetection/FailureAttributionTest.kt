package org.elderhitch.failuredetection

import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.ExitCause
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.heartbeat.TaskStatus
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.jobs.sampleJob
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FailureAttributionTest {
    private var now = MonotonicInstant(0) + 1000.seconds
    private val table = TaskTable(SteadyClock { now }, 120.seconds)
    private val attribution = FailureAttribution(table)

    private fun job(id: String, tasks: Int = 40): JobState {
        val spec = sampleJob(id, JobKind.ARRAY, Priority.NORMAL, tasks, Resources(5.0, 1.0, 27.0), runsFor = 40.seconds)
        return JobState(spec, Revision(1)).also { table.jobs[it.id] = it }
    }

    private fun worker(id: String) =
        WorkerState(MachineId(id), MachineType("g8"), Zone("a"), false, now).also { table.workers[it.id] = it }

    /** Records that the worker reports the task as running from now on. */
    private fun confirm(job: JobState, index: Int, attempt: Attempt, worker: WorkerState) {
        val placement = table.place(
            job,
            TaskId(job.id, index),
            attempt,
            worker,
            PlacementState.CONFIRMED,
            MonotonicInstant.NEVER,
        )
        placement.runningSince = now
    }

    private fun recordFailure(job: JobState, worker: WorkerState, task: Int) = attribution.recordTaskFailure(
        worker,
        job,
        TaskStatus(TaskId(job.id, task), Attempt(task.toLong()), TaskPhase.EXITED, ExitCause.ERROR),
        now,
    )

    @Test
    fun `attribution blames the machines when a job that runs well elsewhere fails on them`() {
        val job = job("req-1")
        job.completed.add(39)
        val faulty = List(5) { worker("sick$it") }
        // Failures on five machines would put the job at fault if it did not run well elsewhere.
        repeat(30) { recordFailure(job, faulty[it % 5], it) }
        assertTrue(faulty.all { it.faulty })
        assertTrue(job.notBefore < now, "the job is not delayed")
    }

    @Test
    fun `attribution blames no machine and delays the job when the job fails everywhere`() {
        val job = job("req-1")
        val machines = List(6) { worker("m$it") }
        machines.forEachIndexed { n, machine -> repeat(2) { recordFailure(job, machine, n * 2 + it) } }
        assertTrue(machines.none { it.faulty })
        assertTrue(job.notBefore > now + 10.seconds)
    }

    @Test
    fun `attribution blames the machine when several jobs fail on it or its job runs well elsewhere later`() {
        val machine = worker("m1")
        recordFailure(job("req-1"), machine, 0)
        assertTrue(
            !machine.faulty && machine.quarantinedUntil > now,
            "one failure is no proof, but the machine is quarantined",
        )
        recordFailure(job("req-2"), machine, 0)
        assertTrue(machine.faulty)
        val other = worker("m2")
        val job = job("req-3")
        repeat(2) { recordFailure(job, other, it) }
        assertEquals(false, other.faulty)
        val healthy = worker("m3")
        confirm(job, 5, Attempt(9), healthy)
        now += 20.seconds
        attribution.reassess(now)
        assertTrue(other.faulty && !healthy.faulty)
    }

    /**
     * Regression: seventy tasks of one job failed on fifty machines within 1.5 s, and closed each machine to all jobs
     * for ten seconds.
     */
    @Test
    fun `attribution lifts the quarantine and limits trials when the job is known to be at fault`() {
        val job = job("req-1", tasks = 70)
        assertEquals(null, attribution.trialLimit(job))
        val machines = List(50) { worker("m$it") }
        recordFailure(job, machines[0], 0)
        assertEquals(null, attribution.trialLimit(job), "failures on one machine don't make the job suspect")
        recordFailure(job, machines[1], 1)
        assertEquals(2, attribution.trialLimit(job), "failures on two machines make the job suspect")
        machines.forEachIndexed { n, machine -> recordFailure(job, machine, n) }
        assertTrue(machines.all { it.quarantinedUntil < now && !it.faulty })
        assertEquals(1, attribution.trialLimit(job))
        table.place(job, TaskId(job.id, 60), Attempt(60), worker("m99"), PlacementState.SENT, MonotonicInstant.FOREVER)
        assertEquals(0, attribution.trialLimit(job), "one trial at a time")
    }

    @Test
    fun `attribution distinguishes faulty machines from faulty jobs when both fail in any order`() {
        for (seed in 1..60) {
            table.jobs.clear()
            table.workers.clear()
            val simulation = FailureSimulation(seed)
            simulation.run()
            simulation.check()
        }
    }

    /** Simulates faulty machines, on which every task fails, and faulty jobs, whose tasks all fail everywhere. */
    private inner class FailureSimulation(private val seed: Int) {
        private val random = Random(seed)
        private val faultyMachines = List(random.nextInt(3, 12)) { worker("sick$it") }
        private val healthyMachines = List(30) { worker("well$it") }
        private val faultyJobs = List(random.nextInt(1, 4)) { job("req-bad$it") }
        private val healthyJobs = List(4) { job("req-good$it") }
        private var attempts = 0

        fun run() = repeat(200) {
            now += random.nextInt(50, 400).milliseconds
            val machine = randomOpenMachine()
            val job = if (machine != null) randomStartableJob() else null
            if (machine != null && job != null) {
                runTask(job, machine)
                attribution.reassess(now)
            }
        }

        private fun randomOpenMachine(): WorkerState? =
            (faultyMachines + healthyMachines).filter { !it.faulty && it.quarantinedUntil < now }.randomOrNull(random)

        private fun randomStartableJob(): JobState? =
            (faultyJobs + healthyJobs).filter { it.notBefore < now && (attribution.trialLimit(it) ?: 1) > 0 }
                .randomOrNull(random)

        private fun runTask(job: JobState, machine: WorkerState) {
            val index = attempts++ % 40
            if (machine in faultyMachines || job in faultyJobs) {
                recordFailure(job, machine, index)
            } else if (index !in job.placements) {
                confirm(job, index, Attempt(attempts.toLong()), machine)
            }
        }

        fun check() {
            assertTrue(healthyJobs.all { it.notBefore < now }, "seed $seed: a healthy job is delayed")
            val found = faultyMachines.count { it.faulty }
            val all = faultyMachines.size
            assertTrue(found * 2 > all, "seed $seed: faulty machines found: $found of $all")
            val blamed = healthyMachines.count { it.faulty }
            assertTrue(blamed <= faultyJobs.size, "seed $seed: $blamed healthy machines marked faulty")
        }
    }
}
