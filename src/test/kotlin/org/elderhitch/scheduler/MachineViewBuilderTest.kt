package org.elderhitch.scheduler

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.TypeInfo
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.heartbeat.TaskStatus
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.jobs.TaskLimits
import org.elderhitch.jobs.UnusualAmounts
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds

class MachineViewBuilderTest {
    private val now = MonotonicInstant(0)
    private val table = TaskTable(SteadyClock { now }, 120.seconds)
    private val worker = WorkerState(MachineId("m"), MachineType("g8"), Zone("a"), false, now)
    private val type = TypeInfo(
        worker.type,
        Resources.ofMachine(48.0, 8.0, 384.0),
        50.0,
        1.0,
        20.0,
        6.0,
        45.seconds,
        listOf(Zone("a")),
    )

    /**
     * Guards against heartbeats that exceed the limit of a request body: a worker lists ended tasks too, until their
     * completion is recorded, which takes as long as the state service is unavailable.
     */
    @Test
    fun `placed tasks and exited tasks that are not reaped yet take slots of the machine`() {
        val nothing = mapOf("cores" to 0.0, "accelerators" to 0.0, "memGb" to 0.0)
        val spec = UnusualAmounts.job("req-1", "array", 1_000, nothing)
        val job = table.open(JobEvent.Opened(spec, Revision(1)))
        val builder = MachineViewBuilder(table, RunTimeEstimator())
        repeat(30) { n ->
            val task = TaskId(job.id, n)
            table.place(job, task, Attempt(1), worker, PlacementState.CONFIRMED, MonotonicInstant.NEVER)
        }
        worker.tasks = List(100) { TaskStatus(TaskId(job.id, 100 + it), Attempt(1), TaskPhase.EXITED, null) }
        val free = assertNotNull(builder.build(worker, Catalog(mapOf(type.name to type)), now)).load.free
        assertEquals(Resources(48.0, 8.0, 384.0, TaskLimits.MAX_TASKS_PER_MACHINE - 130), free)
    }
}
