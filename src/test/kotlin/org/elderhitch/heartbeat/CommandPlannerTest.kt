package org.elderhitch.heartbeat

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.jobs.sampleJob
import org.elderhitch.leadership.FencingToken
import org.elderhitch.leadership.TokenRange
import org.elderhitch.recovery.ActionLedger
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
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class CommandPlannerTest {
    private val now = MonotonicInstant(0) + 100.seconds
    private val tokens = TokenRange(FencingToken(5), FencingToken(8))
    private val table = TaskTable(SteadyClock { now }, 120.seconds)
    private val worker = WorkerState(MachineId("m"), MachineType("g8"), Zone("a"), false, now)

    private val planner = CommandPlanner(table, ActionLedger(), tokens)

    private fun job(id: String, tasks: Int): JobState {
        val spec = sampleJob(id, JobKind.ARRAY, Priority.LOW, tasks, Resources(0.25, 0.0, 1.0), runsFor = 4.seconds)
        return JobState(spec, Revision(1)).also { table.jobs[it.id] = it }
    }

    private fun place(job: JobState, tasks: Int, firstAttempt: Long, state: PlacementState, sendBy: MonotonicInstant) =
        repeat(tasks) {
            table.place(job, TaskId(job.id, it), Attempt(firstAttempt + it), worker, state, sendBy)
        }

    private fun terminalJob(id: String, tasks: Int): JobState {
        val job = job(id, tasks)
        place(job, tasks, firstAttempt = 0, PlacementState.CONFIRMED, MonotonicInstant.NEVER)
        return job
    }

    /**
     * Regression: starts beyond the size limit of a response counted as sent, and were waited for until a heartbeat.
     */
    @Test
    fun `planner defers commands that exceed the size of a response to the next one`() {
        val job = job("req-1", 1000)
        val terminal = terminalJob("req-2", 300)
        place(job, 1000, firstAttempt = 1000, PlacementState.ASSIGNED, now + 5.seconds)
        table.markTerminal(terminal)
        val sent = ArrayList<Command>()
        repeat(4) {
            val response = planner.planResponse(worker, now, terminalStops = emptyList())
            assertTrue(response.size <= 400, "${response.size} commands")
            sent.addAll(response)
            executeOnWorker(response, terminal)
        }
        assertEquals(1000, sent.count { it is Command.Start })
        assertEquals(300, sent.takeWhile { it is Command.Stop }.size, "stops precede starts")
        assertTrue(worker !in table.undelivered)
    }

    /** Checks that only starts in the response count as sent, confirms them, and removes the stopped tasks. */
    private fun executeOnWorker(response: List<Command>, terminal: JobState) {
        val started = response.filterIsInstance<Command.Start>().map { it.task }.toSet()
        for (placement in worker.placements.values.toList()) {
            assertEquals(
                placement.task in started,
                placement.state == PlacementState.SENT,
                "${placement.task} must count as sent exactly if the response contains it",
            )
            if (placement.state == PlacementState.SENT) placement.confirm()
            if (placement.stopGrace != null) table.remove(terminal, placement)
        }
    }

    /**
     * Regression: a job with more tasks on a machine than fit into a response was cancelled. None of its stops were
     * sent, and the machine was not answered until its lease had expired, which ended the tasks of all other jobs there
     * too. Outside the command window the stops are still sent all or none, since there may be no further response.
     */
    @Test
    fun `planner spreads stops that exceed the size of a response over several responses`() {
        val terminal = terminalJob("req-1", 900)
        table.markTerminal(terminal)
        assertEquals(TerminalStops.Undeliverable, terminalStops(mayStart = false))
        val direct = planner.planDirectCommands(worker, now)
        assertTrue(direct.size in 1..400, "${direct.size} in one request")
        var responses = 0
        while (worker.placements.isNotEmpty()) {
            val deliverable = assertIs<TerminalStops.Deliverable>(terminalStops(mayStart = true))
            val stops = planner.planResponse(worker, now, deliverable.commands).filterIsInstance<Command.Stop>()
            assertTrue(stops.size in 1..400, "${stops.size} in one response")
            stops.forEach { stop -> worker.placements[stop.task]?.let { table.remove(terminal, it) } }
            responses++
        }
        assertEquals(3, responses)
    }

    /** Starts a task directly, and lets the worker report that it has exited. */
    private fun startDirectlyAndExit(job: JobState, attempt: Long): Command.Start {
        place(job, 1, attempt, PlacementState.ASSIGNED, now + 5.seconds)
        val start = assertIs<Command.Start>(planner.planDirectCommands(worker, now).single())
        table.remove(job, worker.placements.getValue(start.task))
        worker.tasks = listOf(TaskStatus(start.task, start.attempt, TaskPhase.EXITED, ExitCause.ERROR))
        return start
    }

    @Test
    fun `planner raises the token with which it reaps a task that was started directly`() {
        worker.recordToken(tokens, FencingToken(5))
        val start = startDirectlyAndExit(job("req-1", 1), attempt = 1)
        val reap = Command.Reap(start.task, start.attempt)
        assertEquals(listOf<Command>(reap), planner.planResponse(worker, now, emptyList()))
        assertEquals(FencingToken(6), worker.token)
        // The worker didn't get that response.
        assertEquals(listOf<Command>(reap), planner.planResponse(worker, now, emptyList()))
        assertEquals(FencingToken(6), worker.token)
        worker.recordToken(tokens, FencingToken(6))
        assertFalse(worker.directStarts.mayBeRepeated(start.task, start.attempt, FencingToken(0)))
    }

    @Test
    fun `planner reaps no task that was started directly while a request is in transit`() {
        worker.recordToken(tokens, FencingToken(5))
        startDirectlyAndExit(job("req-1", 1), attempt = 1)
        worker.commandInFlight = true
        assertEquals(emptyList(), planner.planResponse(worker, now, emptyList()))
        assertEquals(FencingToken(5), worker.token)
        worker.commandInFlight = false
        assertEquals(1, planner.planResponse(worker, now, emptyList()).size)
    }

    @Test
    fun `planner starts no other attempt of a task directly before the worker has dropped the first`() {
        worker.recordToken(tokens, FencingToken(5))
        val job = job("req-1", 1)
        val first = startDirectlyAndExit(job, attempt = 1)
        place(job, 1, firstAttempt = 2, PlacementState.ASSIGNED, now + 5.seconds)
        assertEquals(emptyList(), planner.planDirectCommands(worker, now))
        val expected = listOf(Command.Reap(first.task, Attempt(1)), Command.Start(first.task, Attempt(2)))
        assertEquals(expected, planner.planResponse(worker, now, emptyList()))
        assertEquals(FencingToken(6), worker.token)
    }

    /** A start that was never answered counts as well: it may be executed late. */
    @Test
    fun `planner lets no other attempt replace one whose direct start may still arrive`() {
        worker.recordToken(tokens, FencingToken(5))
        val job = job("req-1", 1)
        val first = startDirectlyAndExit(job, attempt = 1)
        worker.tasks = emptyList()
        place(job, 1, firstAttempt = 2, PlacementState.ASSIGNED, now + 5.seconds)
        assertEquals(emptyList(), planner.planDirectCommands(worker, now))
        worker.commandInFlight = true
        assertEquals(emptyList(), planner.planResponse(worker, now, emptyList()))
        worker.commandInFlight = false
        assertEquals(
            listOf<Command>(Command.Start(first.task, Attempt(2))),
            planner.planResponse(worker, now, emptyList()),
        )
        assertEquals(FencingToken(6), worker.token)
    }

    @Test
    fun `planner starts tasks in responses alone once the last token of the term is in use`() {
        worker.recordToken(tokens, tokens.last)
        val job = job("req-1", 1)
        place(job, 1, firstAttempt = 1, PlacementState.ASSIGNED, now + 5.seconds)
        assertEquals(emptyList(), planner.planDirectCommands(worker, now))
        assertEquals(1, planner.planResponse(worker, now, emptyList()).size)
        assertEquals(tokens.last, worker.token)
    }

    private fun terminalStops(mayStart: Boolean): TerminalStops {
        val reported =
            worker.placements.values.map { TaskStatus(it.task, it.attempt, TaskPhase.RUNNING, cause = null) }
        return planner.stopsOfTerminalJobs(worker, reported, tableComplete = true, mayStart)
    }
}
