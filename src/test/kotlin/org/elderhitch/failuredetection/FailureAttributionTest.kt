package org.elderhitch.failuredetection

import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.ExitCause
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.heartbeat.TaskStatus
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FailureAttributionTest {
    private var now = MonotonicInstant(0) + 1000.seconds
    private val table = TaskTable(SteadyClock { now }, 120.seconds)
    private val faults = FailureAttribution(table)

    private fun job(id: String, tasks: Int = 40): JobState {
        val spec = JobSpec(
            JobId(
                id,
            ),
            "class",
            TeamName(
                "team",
            ),
            JobKind.ARRAY, Priority.NORMAL, tasks, Resources(5.0, 1.0, 27.0), null, null, false,
            false, true, Image("img"), 1.0, 40.seconds, Duration.ZERO, Duration.ZERO, null,
        )
        return JobState(spec, Revision(1)).also { table.jobs[it.id] = it }
    }

    private fun worker(id: String) =
        WorkerState(MachineId(id), MachineType("g8"), Zone("a"), false, now).also { table.workers[it.id] = it }

    private fun fails(job: JobState, worker: WorkerState, task: Int) = faults.recordTaskFailure(
        worker,
        job,
        TaskStatus(TaskId(job.id, task), Attempt(task.toLong()), TaskPhase.EXITED, ExitCause.ERROR),
        now,
    )

    @Test
    fun `thirty errors of one job that runs well elsewhere are the machines'`() {
        val job = job("req-1")
        job.completed.add(39)
        val sick = List(5) { worker("sick$it") }
        // Five machines at once: by their number alone these errors would be the job's.
        repeat(30) { fails(job, sick[it % 5], it) }
        assertTrue(sick.all { it.faulty })
        assertTrue(job.notBefore < now, "the job waits for nothing")
    }

    @Test
    fun `a job that fails everywhere cordons no machine, and is tried ever more rarely`() {
        val job = job("req-1")
        val machines = List(6) { worker("m$it") }
        machines.forEachIndexed { n, machine -> repeat(2) { fails(job, machine, n * 2 + it) } }
        assertTrue(machines.none { it.faulty })
        assertTrue(job.notBefore > now + 10.seconds)
    }

    @Test
    fun `errors of several jobs are the machine's, and so are those whose job proves well later`() {
        val machine = worker("m1")
        fails(job("req-1"), machine, 0)
        assertTrue(!machine.faulty && machine.quarantinedUntil > now, "one error is no proof, but nothing new goes there")
        fails(job("req-2"), machine, 0)
        assertTrue(machine.faulty)
        val other = worker("m2")
        val job = job("req-3")
        repeat(2) { fails(job, other, it) }
        assertEquals(false, other.faulty)
        val well = worker("m3")
        table.place(job, TaskId(job.id, 5), Attempt(9), well, PlacementState.CONFIRMED, MonotonicInstant.NEVER).runningSince =
            now
        now += 20.seconds
        faults.reassess(now)
        assertTrue(other.faulty && !well.faulty)
    }

    /** Seen: seventy tasks of one job failed on fifty machines within 1.5 s, and closed each to everybody for ten. */
    @Test
    fun `machines are open again once the job is known to be at fault, and it is only probed`() {
        val job = job("req-1", tasks = 70)
        assertEquals(null, faults.trialLimit(job))
        val machines = List(50) { worker("m$it") }
        fails(job, machines[0], 0)
        assertEquals(null, faults.trialLimit(job), "one error is no suspicion")
        fails(job, machines[1], 1)
        assertEquals(2, faults.trialLimit(job), "two machines are")
        machines.forEachIndexed { n, machine -> fails(job, machine, n) }
        assertTrue(machines.all { it.quarantinedUntil < now && !it.faulty })
        assertEquals(1, faults.trialLimit(job))
        table.place(job, TaskId(job.id, 60), Attempt(60), worker("m99"), PlacementState.SENT, MonotonicInstant.FOREVER)
        assertEquals(0, faults.trialLimit(job), "one at a time")
    }

    @Test
    fun `faulty machines and faulty jobs at the same time are told apart, whatever the order`() {
        for (seed in 1..60) {
            val random = kotlin.random.Random(seed)
            table.jobs.clear()
            table.workers.clear()
            val sick = List(random.nextInt(3, 12)) { worker("sick$it") }
            val well = List(30) { worker("well$it") }
            val bad = List(random.nextInt(1, 4)) { job("req-bad$it") }
            val good = List(4) { job("req-good$it") }
            var attempt = 0
            repeat(200) {
                now += random.nextInt(50, 400).milliseconds
                val machine =
                    (sick + well).filter { !it.faulty && it.quarantinedUntil < now }.randomOrNull(random) ?: return@repeat
                val job =
                    (bad + good).filter {
                        it.notBefore < now && faults.trialLimit(it).let { n -> n == null || n > 0 }
                    }.randomOrNull(random)
                        ?: return@repeat
                val index = attempt++ % 40
                if (machine in sick || job in bad) {
                    fails(job, machine, index)
                } else if (index !in job.placements) {
                    table.place(
                        job,
                        TaskId(job.id, index),
                        Attempt(attempt.toLong()),
                        machine,
                        PlacementState.CONFIRMED,
                        MonotonicInstant.NEVER,
                    ).runningSince =
                        now
                }
                faults.reassess(now)
            }
            assertTrue(good.all { it.notBefore < now }, "seed $seed: a good job waits")
            assertTrue(
                sick.count {
                    it.faulty
                } * 2 > sick.size,
                "seed $seed: faulty machines found: ${sick.count { it.faulty }} of ${sick.size}",
            )
            val returned = well.count { it.faulty }
            assertTrue(returned <= bad.size, "seed $seed: $returned good machines cordoned")
        }
    }
}
