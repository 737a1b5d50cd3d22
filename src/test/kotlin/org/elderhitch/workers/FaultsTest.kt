package org.elderhitch.workers

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
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class FaultsTest {
    private var now = Moment(0) + 1000.seconds
    private val table = TaskTable(SteadyClock { now })
    private val faults = Faults(table)

    private fun job(id: String, tasks: Int = 40): JobState {
        val spec = JobSpec(
            JobId(id), "class", TeamName("team"), JobKind.ARRAY, Priority.NORMAL, tasks, Resources(5.0, 1.0, 27.0), null, null, false,
            false, true, Image("img"), 1.0, 40.seconds, Duration.ZERO, Duration.ZERO, null,
        )
        return JobState(spec, Revision(1)).also { table.jobs[it.id] = it }
    }

    private fun worker(id: String) =
        WorkerState(MachineId(id), MachineType("g8"), Zone("a"), false, now).also { table.workers[it.id] = it }

    private fun fails(job: JobState, worker: WorkerState, task: Int) =
        faults.erred(worker, job, TaskReport(TaskId(job.id, task), Attempt(task.toLong()), TaskPhase.EXITED, ExitCause.ERROR), now)

    @Test
    fun `thirty errors of one job that runs well elsewhere are the machines'`() {
        val job = job("req-1")
        job.done.add(39)
        val sick = List(5) { worker("sick$it") }
        // Five machines at once: by their number alone these errors would be the job's.
        repeat(30) { fails(job, sick[it % 5], it) }
        assertTrue(sick.all { it.sick })
        assertTrue(job.notBefore < now, "the job waits for nothing")
    }

    @Test
    fun `a job that fails everywhere condemns no machine, and is tried ever more rarely`() {
        val job = job("req-1")
        val machines = List(6) { worker("m$it") }
        machines.forEachIndexed { n, machine -> repeat(2) { fails(job, machine, n * 2 + it) } }
        assertTrue(machines.none { it.sick })
        assertTrue(job.notBefore > now + 10.seconds)
    }

    @Test
    fun `errors of several jobs are the machine's, and so are those whose job proves well later`() {
        val machine = worker("m1")
        fails(job("req-1"), machine, 0)
        assertTrue(!machine.sick && machine.doubtedUntil > now, "one error is no proof, but nothing new goes there")
        fails(job("req-2"), machine, 0)
        assertTrue(machine.sick)
        val other = worker("m2")
        val job = job("req-3")
        repeat(2) { fails(job, other, it) }
        assertEquals(false, other.sick)
        val well = worker("m3")
        table.place(job, TaskId(job.id, 5), Attempt(9), well, Certainty.REPORTED, Moment.NEVER).runsSince = now
        now += 20.seconds
        faults.reconsider(now)
        assertTrue(other.sick && !well.sick)
    }
}
