package org.elderhitch.recovery

import org.elderhitch.failuredetection.FailureAttribution
import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.ExitCause
import org.elderhitch.heartbeat.Heartbeat
import org.elderhitch.heartbeat.HeartbeatSequence
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.heartbeat.TaskStatus
import org.elderhitch.http.Address
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.leadership.FencingToken
import org.elderhitch.scheduler.EventLog
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertSame
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Copies of a task on several workers: one is the placement; the others are stopped, and use capacity until they exit.
 */
class DuplicatePlacementsTest {
    private val now = MonotonicInstant(0) + 1000.seconds
    private val table = TaskTable({ now }, 120.seconds)
    private val taskReconciler = TaskReconciler(table, FailureAttribution(table), { now }, EventLog({ now }, {}, {}))
    private val job = JobSpec(
        JobId("req-1"), "class", TeamName("team"), JobKind.ARRAY, Priority.NORMAL, 6,
        Resources(5.0, 1.0, 27.0), null, null, false, false, true,
        Image("img"), 1.0, 40.seconds, Duration.ZERO, Duration.ZERO, null,
    ).let { JobState(it, Revision(1)) }.also { table.jobs[it.id] = it }
    private val workers =
        List(3) {
            WorkerState(MachineId("m$it"), MachineType("g8"), Zone("a"), false, now)
                .also { worker -> table.workers[worker.id] = worker }
        }
    private var sequence = 0L

    private fun task(index: Int) = TaskId(job.id, index)

    private fun report(worker: WorkerState, vararg tasks: TaskStatus) = taskReconciler.apply(
        worker,
        Heartbeat(
            worker.id,
            Address("10.0.0.1:1"),
            worker.type, worker.zone, false, HeartbeatSequence(1, ++sequence), FencingToken(1), null, tasks.toList(),
        ),
        inReply = false,
    )

    private fun running(index: Int, attempt: Long) = TaskStatus(task(index), Attempt(attempt), TaskPhase.RUNNING, null)

    private fun exited(index: Int, attempt: Long) =
        TaskStatus(task(index), Attempt(attempt), TaskPhase.EXITED, ExitCause.STOPPED)

    @Test
    fun `an unsent start is cancelled when another worker reports the task`() {
        table.place(job, task(0), Attempt(9), workers[0], PlacementState.ASSIGNED, MonotonicInstant.FOREVER)
        report(workers[1], running(0, 3))
        assertSame(workers[1], job.placements[0]?.worker)
        assertTrue(workers[0].placements.isEmpty())
        assertNull(job.surplus)
    }

    @Test
    fun `the copy that was started first stays when both workers report it, in either order`() {
        for (later in listOf(false, true)) {
            val index = if (later) 1 else 0
            report(workers[if (later) 1 else 0], running(index, if (later) 8 else 5))
            report(workers[if (later) 0 else 1], running(index, if (later) 5 else 8))
            assertEquals(Attempt(5), job.placements[index]?.attempt)
            assertNull(job.placements[index]?.stopGrace)
            assertEquals(Duration.ZERO, workers[1].placements[task(index)]?.stopGrace)
            assertEquals(2, job.copies, "both copies use capacity and quota")
        }
    }

    @Test
    fun `a task keeps a placement while any copy of it is left`() {
        report(workers[0], running(0, 5))
        report(workers[1], running(0, 8))
        report(workers[0], exited(0, 5))
        assertSame(workers[1], job.placements[0]?.worker, "the remaining copy becomes the placement until it is gone")
        report(workers[1], exited(0, 8))
        assertTrue(job.placements.isEmpty() && job.surplus == null)
    }

    /** For random reports, the table must contain exactly the tasks that the workers list, and count all of them. */
    @Test
    fun `the table matches random reports and is empty after empty reports`() {
        for (seed in 1..300) {
            val random = Random(seed)
            workers.forEach { table.removeAllOf(it) }
            val actual = HashMap<Pair<Int, Int>, Long>()
            var nextAttempt = 100L
            repeat(40) {
                val workerIndex = random.nextInt(3)
                val index = random.nextInt(6)
                val copyKey = workerIndex to index
                if (random.nextInt(3) > 0) actual.getOrPut(copyKey) { nextAttempt++ } else actual.remove(copyKey)
                report(
                    workers[workerIndex],
                    *actual.filterKeys { it.first == workerIndex }
                        .map { (copy, attempt) -> running(copy.second, attempt) }
                        .toTypedArray(),
                )
                val inTable = workers.indices.flatMap { n ->
                    workers[n].placements.values.map { (n to it.task.index) to it.attempt.number }
                }.toMap()
                val listed = actual.filterKeys { (n, _) -> workers[n].tasks.isNotEmpty() || n == workerIndex }
                for ((copy, attempt) in listed) {
                    if (copy.first == workerIndex) assertEquals(attempt, inTable[copy], "seed $seed: $copy")
                }
                assertEquals(inTable.size, job.copies, "seed $seed: all copies count")
                assertEquals(
                    inTable.keys.map { it.second }.toSet(),
                    job.placements.keys,
                    "seed $seed: each task has one placement",
                )
                for (n in job.placements.keys) {
                    assertTrue(job.surplus?.get(n).orEmpty().all { it.stopGrace == Duration.ZERO })
                }
            }
            workers.forEach { report(it) }
            assertTrue(job.placements.isEmpty() && job.surplus == null && job.copies == 0, "seed $seed")
        }
    }
}
