package org.elderhitch.heartbeat

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.recovery.ActionLedger
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
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class CommandPlannerTest {
    private val now = MonotonicInstant(0) + 100.seconds
    private val table = TaskTable(SteadyClock { now }, 120.seconds)
    private val worker = WorkerState(MachineId("m"), MachineType("g8"), Zone("a"), false, now)

    private fun job(id: String, tasks: Int): JobState {
        val spec = JobSpec(
            JobId(
                id,
            ),
            "class",
            TeamName(
                "team",
            ),
            JobKind.ARRAY, Priority.LOW, tasks, Resources(0.25, 0.0, 1.0), null, null, false, false,
            true, Image("img"), 1.0, 4.seconds, Duration.ZERO, Duration.ZERO, null,
        )
        return JobState(spec, Revision(1)).also { table.jobs[it.id] = it }
    }

    /**
     * An answer's line has a limit. Starts beyond it counted as sent, and were waited for until a report disowned them.
     */
    @Test
    fun `what an answer can't hold waits for the next one`() {
        val job = job("req-1", 1000)
        val ended = job("req-2", 300)
        repeat(300) {
            table.place(
                ended,
                TaskId(ended.id, it),
                Attempt(it.toLong()),
                worker,
                PlacementState.CONFIRMED,
                MonotonicInstant.NEVER,
            )
        }
        repeat(1000) {
            table.place(
                job,
                TaskId(job.id, it),
                Attempt(1000L + it),
                worker,
                PlacementState.ASSIGNED,
                now + 5.seconds,
            )
        }
        table.markTerminal(ended)
        val commands = CommandPlanner(table, ActionLedger())
        val seen = ArrayList<Command>()
        repeat(4) {
            val answer = commands.planResponse(worker, now, terminalStops = emptyList())
            assertTrue(answer.size <= 400, "${answer.size} commands")
            seen.addAll(answer)
            val started = answer.filterIsInstance<Command.Start>().map { it.task }.toSet()
            for (p in worker.placements.values.toList()) {
                assertEquals(
                    p.task in started,
                    p.state == PlacementState.SENT,
                    "${p.task} counts as sent and is not in the answer",
                )
                if (p.state == PlacementState.SENT) p.confirm()
                if (p.stopGrace != null) table.remove(ended, p)
            }
        }
        assertEquals(1000, seen.count { it is Command.Start })
        assertEquals(300, seen.takeWhile { it is Command.Stop }.size, "stops come first")
        assertTrue(worker !in table.undelivered)
    }

    /**
     * A job with more tasks on a machine than an answer holds was withdrawn: none of its stops went out, and the
     * machine was not answered until its lease had ended, with all that
     * others ran there. Outside the window it still is all or none, since there may be no next answer.
     */
    @Test
    fun `more stops than an answer holds are told in several`() {
        val ended = job("req-1", 900)
        repeat(900) {
            table.place(
                ended,
                TaskId(ended.id, it),
                Attempt(it.toLong()),
                worker,
                PlacementState.CONFIRMED,
                MonotonicInstant.NEVER,
            )
        }
        table.markTerminal(ended)
        val commands = CommandPlanner(table, ActionLedger())
        fun reported() = worker.placements.values.map { TaskStatus(it.task, it.attempt, TaskPhase.RUNNING, null) }
        fun stops(mayStart: Boolean) =
            commands.stopsOfTerminalJobs(worker, reported(), tableComplete = true, mayStart)
        assertEquals(TerminalStops.Undeliverable, stops(mayStart = false))
        val direct = commands.planDirectCommands(worker, now)
        assertTrue(direct.size in 1..400, "${direct.size} in one request")
        var answers = 0
        while (worker.placements.isNotEmpty()) {
            val terminal = assertIs<TerminalStops.Deliverable>(stops(mayStart = true))
            val sent = commands.planResponse(worker, now, terminal.commands).filterIsInstance<Command.Stop>()
            assertTrue(sent.size in 1..400, "${sent.size} in one answer")
            sent.forEach { stop -> worker.placements[stop.task]?.let { table.remove(ended, it) } }
            answers++
        }
        assertEquals(3, answers)
    }
}
