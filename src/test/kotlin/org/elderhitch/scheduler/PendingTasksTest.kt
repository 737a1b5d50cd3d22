package org.elderhitch.scheduler

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.jobs.UnusualAmounts
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

class PendingTasksTest {
    private val now = MonotonicInstant(0)
    private val table = TaskTable(SteadyClock { now }, EXPIRY)
    private val worker = WorkerState(MachineId("m"), MachineType("g8"), Zone("a"), false, now)

    private fun open(tasks: Int): JobState {
        table.jobs.clear()
        return table.open(JobEvent.Opened(UnusualAmounts.job("req-1", "gang", tasks, emptyMap()), Revision(1)))
    }

    @Test
    fun `pending tasks are those without a completion and without a placement, in ascending order`() {
        val random = Random(5)
        repeat(300) { round ->
            val job = open(random.nextInt(1, 40))
            val expected = ArrayList<Int>()
            for (index in 0 until job.spec.tasks) {
                val isCompleted = random.nextInt(3) == 0
                val isPlaced = random.nextInt(3) == 0
                if (isCompleted) job.completed.add(index)
                if (isPlaced) place(job, index)
                if (!isCompleted && !isPlaced) expected.add(index)
            }
            val pending = PendingTasks(job)
            assertEquals(expected, pending.toList(), "round $round")
            assertEquals(expected.size, pending.size, "round $round")
            assertEquals(expected.isEmpty(), pending.isEmpty(), "round $round")
        }
    }

    private fun place(job: JobState, index: Int) = table.place(
        job,
        TaskId(job.id, index),
        Attempt(1),
        worker,
        PlacementState.CONFIRMED,
        MonotonicInstant.NEVER,
    )

    private companion object {
        val EXPIRY = kotlin.time.Duration.ZERO
    }
}
