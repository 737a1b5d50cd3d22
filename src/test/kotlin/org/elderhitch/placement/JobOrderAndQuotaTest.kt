package org.elderhitch.placement

import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.placement.CycleFixture.decide
import org.elderhitch.placement.CycleFixture.job
import org.elderhitch.placement.CycleFixture.machine
import org.elderhitch.placement.CycleFixture.machineCapacity
import org.elderhitch.placement.CycleFixture.productionService
import org.elderhitch.placement.CycleFixture.quota
import org.elderhitch.placement.CycleFixture.spec
import org.elderhitch.placement.CycleFixture.taskRequest
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** The order in which a scheduling cycle places jobs, and the limits and reservations that it enforces. */
class JobOrderAndQuotaTest {
    @Test
    fun `capacity reserved for production is used only by production jobs`() {
        val service = productionService(1)
        fun placed(job: JobView) = SchedulingCycle(
            CycleInput(listOf(machine("m1")), listOf(job), quota(), listOf(CapacityReservation(service, 3))),
        ).decide().placed.size
        assertEquals(5, placed(job(spec(2, tasks = 8))))
        assertEquals(8, placed(job(productionService(2, tasks = 8))))
    }

    @Test
    fun `quota that unresponsive workers may be using is not given to other tasks`() {
        val output = decide(
            listOf(machine("m1")),
            listOf(job(spec(1, tasks = 8))),
            quota(10.0, reserved = machineCapacity),
        )
        assertEquals(2, output.placed.size)
    }

    @Test
    fun `of jobs with equal priority the one that is due sooner is placed first`() {
        val now = MonotonicInstant(0) + 1000.seconds
        val large = job(spec(1, tasks = 1000, resources = taskRequest), revision = 1, dueAt = now + 400.seconds)
        val small = job(spec(2, tasks = 8), revision = 2, dueAt = now + 180.seconds)
        val output = decide(listOf(machine("m")), listOf(large, small))
        assertTrue(output.placed.all { it.task.job == small.spec.id } && output.placed.size == 8)
    }

    /**
     * Guards against provisioning machines that a team's limit lets nobody use. In simulated day 103 a team used 999 of
     * its 1,000 GPUs; 414 machines were provisioned for all tasks that waited for the last one, and terminated unused.
     */
    @Test
    fun `only unplaced tasks that the team's limit allows are reported`() {
        val jobs = List(6) { job(spec(it, tasks = 50), revision = it + 1L) }
        for (freeGpus in 1..9) {
            val output =
                decide(listOf(machine("m1", free = Resources(48.0, 3.0, 384.0))), jobs, quota(freeGpus.toDouble()))
            assertEquals(minOf(freeGpus, 3), output.placed.size)
            assertEquals(freeGpus - minOf(freeGpus, 3), output.unplaced.sumOf { it.count }, "$freeGpus GPUs free")
        }
        val gangs = List(4) {
            job(spec(it, JobKind.GANG, tasks = 2, resources = Resources(40.0, 8.0, 300.0)), revision = it + 1L)
        }
        assertEquals(2, decide(emptyList(), gangs, quota(40.0)).unplaced.size)
        // Tasks that wait for a zone without machines do not prevent the report of others.
        val otherZone = job(spec(8, tasks = 50, zone = Zone("b")), revision = 1)
        assertEquals(
            mapOf("req-8" to 9, "req-9" to 5),
            decide(emptyList(), listOf(otherZone, job(spec(9, tasks = 5), revision = 2)), quota(9.0))
                .unplaced.associate { it.spec.id.text to it.count },
        )
    }

    @Test
    fun `the first task of a starved job is placed before other tasks of the same priority`() {
        val starved = job(spec(1, tasks = 40), revision = 9, dueAt = MonotonicInstant(0) + 900.seconds)
            .splitOffFirstTask()
        assertEquals(listOf(1, 39), starved.map { it.pending.size })
        val small = job(spec(2, tasks = 20), revision = 1, dueAt = MonotonicInstant(0) + 10.seconds)
        val urgent = job(spec(3, tasks = 3, priority = Priority.HIGH), revision = 2)
        fun placed(limit: Double) =
            decide(listOf(machine("m1")), starved + small + urgent, quota(limit)).placed.map { it.task.toString() }
        assertEquals(listOf("req-3/0", "req-3/1", "req-3/2", "req-1/0", "req-2/0"), placed(5.0))
        assertEquals(listOf("req-3/0", "req-3/1"), placed(2.0))
    }
}
