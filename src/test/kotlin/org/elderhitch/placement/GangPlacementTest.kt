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

/** How a scheduling cycle places gangs, and what it reserves for them. */
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
    fun `machines that a gang could use are reserved when it waits for others`() {
        val gang = job(spec(1, JobKind.GANG, 2, Priority.HIGH, wholeMachineRequest, oneZone = true), revision = 2)
        val array = job(spec(2, tasks = 8), revision = 1)
        assertEquals(emptyList(), decide(listOf(machine("m1")), listOf(gang, array)).placed)
        // Once the gang has its zone, machines elsewhere are free for others.
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

    /** Seen: two thirds of the gangs started within 30 s beside low-priority tasks; the rest waited for boots. */
    @Test
    fun `low-priority tasks are preempted for a gang when that frees all machines that it needs`() {
        val gang = job(spec(1, JobKind.GANG, 2, Priority.HIGH, wholeMachineRequest, oneZone = true, spot = false))
        val one = listOf(
            busy("1", "a", Priority.LOW),
            busy("2", "b", Priority.LOW),
            busy("3", "a", Priority.NORMAL),
            busy("4", "a", Priority.LOW, spot = true),
        )
        assertTrue(decide(one, listOf(gang)).let { it.preempted.isEmpty() && it.unplaced.size == 1 })
        val two = one + busy("5", "b", Priority.LOW, 3) + busy("6", "a", Priority.LOW)
        val output = decide(two, listOf(gang))
        assertEquals(setOf("req-92", "req-95"), output.preempted.map { it.job.text }.toSet())
        assertEquals(11, output.preempted.size)
        assertTrue(output.placed.isEmpty() && output.unplaced.isEmpty())
        // While they stop, nothing else is preempted, and less important work doesn't use what is free there.
        val stopping = two.map {
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

    /** Gangs of a team at its limit starved beside its arrays: quota that came free went to single tasks. */
    @Test
    fun `quota that comes free is reserved for a gang when that is placed first`() {
        val gang =
            job(spec(1, JobKind.GANG, tasks = 2, priority = Priority.HIGH, resources = Resources(40.0, 8.0, 300.0)))
        val array = job(spec(2, tasks = 50), revision = 2)
        val machines = List(8) { machine("m$it") }
        fun ledger(used: Double, service: Boolean) = quota(24.0).apply { add(team, Resources(0.0, used, 0.0), service) }
        assertEquals(
            emptyList(),
            decide(machines, listOf(gang, array), ledger(12.0, service = false)).placed,
            "it waits for four more",
        )
        assertEquals(2 + 8, decide(machines, listOf(gang, array), ledger(0.0, service = false)).placed.size)
        // Services end only when cancelled: nothing waits behind a gang that waits for that.
        assertEquals(12, decide(machines, listOf(gang, array), ledger(12.0, service = true)).placed.size)
    }
}
