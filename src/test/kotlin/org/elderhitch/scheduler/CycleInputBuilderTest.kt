package org.elderhitch.scheduler

import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.failuredetection.FailureAttribution
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.json.Json
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.placement.CycleInput
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import org.elderhitch.store.LeaseId
import org.elderhitch.store.Revision
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class CycleInputBuilderTest {
    private var now = MonotonicInstant(0) + 100.seconds
    private val table = TaskTable(SteadyClock { now }, 120.seconds)
    private val worker = WorkerState(MachineId("m"), MachineType("g8"), Zone("a"), false, now)
    private val leadership = LeadershipState.Leader(
        Term(3),
        Revision(5),
        LeaseId(1),
        MonotonicInstant.FOREVER,
        MonotonicInstant.FOREVER,
        null,
        now,
    )

    private fun open(id: String, tasks: Int, values: Map<String, Any?> = emptyMap()): JobState {
        val job = ClassArchiveTraining.exampleJob(id, "array") + ("crates" to tasks) + values
        val spec = JobCodec.decodeSubmission(Json.parseObject(Json.bytes(job)))
        return table.open(JobEvent.Opened(spec, Revision(7)))
    }

    /** Returns the number of pending tasks and whether the job is starved, for each view of the job. */
    private fun pendingAndStarved(id: String, gpuLimit: Double?): List<Pair<Int, Boolean>> =
        build(gpuLimit).jobs.filter { it.spec.id.text == id }.map { it.pending.size to it.isStarved }

    private fun build(gpuLimit: Double? = null): CycleInput {
        val teams = TeamName("team").let { mapOf(it to Team(it, 0.0, 0.0, null, gpuLimit)) }
        val context = CycleContext(
            leadership,
            now,
            CloudView(Catalog.EMPTY),
            reservations = emptyList(),
            unreportedResources = Resources.NONE,
            mayRunUnreported = { false },
            isUsable = { false },
        )
        return CycleInputBuilder(table, FailureAttribution(table), teams, emptyList()).build(context)
    }

    /**
     * Guards against a job that switches off the protection of idle GPUs for all others: CPUs per GPU are a quotient,
     * and a tiny amount of GPUs made it larger than any machine.
     */
    @Test
    fun `the CPUs that a GPU needs do not depend on jobs with a tiny amount of GPUs`() {
        open("req-1", 1, mapOf("cores" to 4.0, "accelerators" to 1.0, "memGb" to 30.0))
        open("req-2", 1, mapOf("cores" to 3.0, "accelerators" to 0.5, "memGb" to 8.0))
        for ((n, gpus) in listOf(0.0, 1e-300, 1e-9, 1e-3).withIndex()) {
            open("req-1$n", 1, mapOf("cores" to 1.0, "accelerators" to gpus, "memGb" to 1.0))
        }
        assertEquals(Resources(6.0, 0.0, 30.0), build().hostResourcesPerGpu)
    }

    /**
     * Regression: at a team's limit, small jobs were placed before large ones for as long as there were any, and the
     * large ones started only after ten minutes (on simulated day 103).
     */
    @Test
    fun `build splits off the first task of an array that is starved at its team's limit`() {
        val small = open("req-1", 30)
        repeat(9) {
            table.place(
                small,
                TaskId(small.id, it),
                Attempt(it.toLong()),
                worker,
                PlacementState.CONFIRMED,
                MonotonicInstant.NEVER,
            )
        }
        val large = open("req-2", 50)
        now += 20.seconds
        assertEquals(listOf(50 to false), pendingAndStarved("req-2", gpuLimit = 10.0), "before the threshold")
        now += 20.seconds
        assertEquals(listOf(1 to true, 49 to false), pendingAndStarved("req-2", gpuLimit = 10.0))
        assertEquals(
            listOf(50 to false),
            pendingAndStarved("req-2", gpuLimit = null),
            "only machines are short, and more are provisioned",
        )
        assertEquals(listOf(50 to false), pendingAndStarved("req-2", gpuLimit = 100.0))
        assertEquals(listOf(21 to false), pendingAndStarved("req-1", gpuLimit = 10.0), "tasks have started")
        table.place(large, TaskId(large.id, 0), Attempt(90), worker, PlacementState.ASSIGNED, MonotonicInstant.FOREVER)
        assertEquals(listOf(49 to false), pendingAndStarved("req-2", gpuLimit = 10.0))
    }
}
