package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.placement.CycleFixture.decide
import org.elderhitch.placement.CycleFixture.job
import org.elderhitch.placement.CycleFixture.machine
import org.elderhitch.placement.CycleFixture.machineCapacity
import org.elderhitch.placement.CycleFixture.preemptible
import org.elderhitch.placement.CycleFixture.quota
import org.elderhitch.placement.CycleFixture.spec
import org.elderhitch.placement.CycleFixture.team
import org.elderhitch.placement.CycleFixture.wholeMachineRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** How a scheduling cycle places gangs and reserves machines and quota for them. */
class GangPlacementTest {
    private val busyRequest = Resources(5.0, 1.0, 27.0)

    private fun busy(id: String, zone: String, priority: Priority, count: Int = 8, spot: Boolean = false) = machine(
        id,
        zone,
        spot,
        machineCapacity - busyRequest * count,
        preemptible = preemptible(count, priority, busyRequest, "req-9$id"),
    )

    @Test
    fun `machines that a gang can use are reserved while it waits for more`() {
        val gang = job(spec(1, JobKind.GANG, 2, Priority.HIGH, wholeMachineRequest, oneZone = true), revision = 2)
        val array = job(spec(2, tasks = 8), revision = 1)
        assertEquals(emptyList(), decide(listOf(machine("m1")), listOf(gang, array)).placed)
        // Once the gang fits in one zone, the machines of other zones are free for other jobs.
        val output = decide(
            listOf(machine("m1", "a"), machine("m2", "b"), machine("m3", "b"), machine("m4", "c")),
            listOf(gang, array),
        )
        assertEquals(
            setOf(MachineId("m2"), MachineId("m3")),
            output.placed.filter { it.task.job == gang.spec.id }.map { it.machine }.toSet(),
        )
        assertEquals(8, output.placed.count { it.task.job == array.spec.id })
    }

    /** Without preemption only two thirds of the gangs started within 30 s; the rest waited for machines to boot. */
    @Test
    fun `low-priority tasks are preempted for a gang only if that frees all machines that it needs`() {
        val gang = job(spec(1, JobKind.GANG, 2, Priority.HIGH, wholeMachineRequest, oneZone = true, spot = false))
        val tooFew = listOf(
            busy("1", "a", Priority.LOW),
            busy("2", "b", Priority.LOW),
            busy("3", "a", Priority.NORMAL),
            busy("4", "a", Priority.LOW, spot = true),
        )
        assertTrue(decide(tooFew, listOf(gang)).let { it.preempted.isEmpty() && it.unplaced.size == 1 })
        val enough = tooFew + busy("5", "b", Priority.LOW, 3) + busy("6", "a", Priority.LOW)
        val output = decide(enough, listOf(gang))
        assertEquals(setOf("req-92", "req-95"), output.preempted.map { it.job.text }.toSet())
        assertEquals(11, output.preempted.size)
        assertTrue(output.placed.isEmpty() && output.unplaced.isEmpty())
        // While they stop, nothing else is preempted, and jobs of lower priority do not use what is free there.
        val stopping = enough.map {
            if (it.id.text in setOf("2", "5")) {
                machine(it.id.text, "b", free = it.load.free, releasing = machineCapacity - it.load.free)
            } else {
                it
            }
        }
        val array = job(spec(2, tasks = 30, priority = Priority.LOW, resources = busyRequest), revision = 2)
        val next = decide(stopping, listOf(gang, array))
        assertTrue(next.preempted.isEmpty() && next.placed.none { it.machine.text in setOf("2", "5") })
    }

    /** Guards against starving gangs of a team at its limit: released quota went to single tasks of its arrays. */
    @Test
    fun `released quota is reserved for a gang that comes first in the placement order`() {
        val gang =
            job(spec(1, JobKind.GANG, tasks = 2, priority = Priority.HIGH, resources = Resources(40.0, 8.0, 300.0)))
        val array = job(spec(2, tasks = 50), revision = 2)
        val machines = List(8) { machine("m$it") }
        fun ledger(usedGpus: Double, service: Boolean) =
            quota(24.0).apply { addUsage(team, Resources(0.0, usedGpus, 0.0), service) }
        assertEquals(
            emptyList(),
            decide(machines, listOf(gang, array), ledger(12.0, service = false)).placed,
            "the gang waits for four more GPUs",
        )
        assertEquals(2 + 8, decide(machines, listOf(gang, array), ledger(0.0, service = false)).placed.size)
        // Services end only when they are cancelled: no quota is reserved for a gang that would have to wait for that.
        assertEquals(12, decide(machines, listOf(gang, array), ledger(12.0, service = true)).placed.size)
    }
}
