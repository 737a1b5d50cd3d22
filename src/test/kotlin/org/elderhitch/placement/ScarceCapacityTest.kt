package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How a scheduling cycle reserves machines for jobs that are confined to certain machine types. */
class ScarceCapacityTest {
    private val small = MachineType("small")
    private val large = MachineType("large")
    private val capacities = mapOf(small to Resources(8.0, 0.0, 16.0), large to Resources(64.0, 0.0, 256.0))
    private val team = TeamName("team")
    private val now = MonotonicInstant(0) + 1000.seconds
    private val smallRequest = Resources(4.0, 0.0, 6.0)
    private val largeRequest = Resources(32.0, 0.0, 56.0)

    private fun spec(id: String, resources: Resources, tasks: Int = 1, priority: Priority = Priority.NORMAL) = JobSpec(
        JobId("req-$id"),
        id.takeWhile { it.isLetter() },
        team, JobKind.ARRAY, priority, tasks, resources, null, null, false, false, true, Image("img"), 0.1,
        40.seconds, Duration.ZERO, Duration.ZERO, null,
    )

    private fun machine(id: String, type: MachineType, vararg occupants: Occupant): MachineView {
        val capacity = capacities.getValue(type)
        val free = occupants.fold(capacity) { left, occupant -> left - occupant.spec.resources }
        return MachineView(
            MachineId(id),
            type,
            Zone("a"),
            spot = true,
            capacity = capacity,
            images = MachineImages(setOf(Image("img")), 1.0, emptyMap()),
            load = MachineLoad(
                free,
                Resources.NONE,
                emptyList(),
                serviceWeight = 0.0,
                isEmpty = occupants.isEmpty(),
                occupants = occupants.toList(),
            ),
        )
    }

    private fun job(spec: JobSpec, revision: Long = 1, isLate: Boolean = false) =
        JobView(spec, Revision(revision), (0 until spec.tasks).toList(), emptyMap(), null, isLate = isLate)

    private fun input(
        machines: List<MachineView>,
        jobs: List<JobView>,
        expected: List<ExpectedArrivals> = emptyList(),
        booting: Map<MachineType, Int> = emptyMap(),
        at: MonotonicInstant = now,
    ) = CycleInput(
        machines,
        jobs,
        QuotaLedger(mapOf(team to Team(team, 0.0, 0.0, null, null)), Resources.NONE),
        now = at,
        expectedArrivals = expected,
        bootingMachines = booting,
    )

    private fun flexibleTasks(count: Int, expectedEnd: MonotonicInstant) =
        Array(count) { Occupant(spec("small$it", smallRequest), expectedEnd) }

    /**
     * Guards against starving large tasks: each small task that ended on a large machine was followed by another, and a
     * task that needs half of such a machine waited 243 s.
     */
    @Test
    fun `the large machine whose flexible tasks complete first is not refilled with them while a large task waits`() {
        val soon = machine("l1", large, *flexibleTasks(16, now + 5.seconds).drop(1).toTypedArray())
        val later = machine("l2", large, *flexibleTasks(16, now + 90.seconds).drop(1).toTypedArray())
        val jobs = listOf(job(spec("small", smallRequest, 10)), job(spec("large", largeRequest), 2))
        val output = SchedulingCycle(input(listOf(soon, later, machine("s1", small)), jobs)).decide()
        assertEquals(
            mapOf("s1" to 2, "l2" to 1),
            output.placed.groupingBy { it.machine.text }.eachCount(),
            "none on l1, whose flexible tasks complete first",
        )
        assertEquals(listOf(setOf(large)), output.scarceTypes)
        val alone = SchedulingCycle(
            input(listOf(soon, later, machine("s1", small)), listOf(job(spec("small", smallRequest, 10)))),
        ).decide()
        assertEquals(4, alone.placed.size, "without large tasks all jobs may use the large machines")
    }

    @Test
    fun `small tasks avoid the machine type that large tasks are confined to, even if the other machine is empty`() {
        val input =
            input(
                listOf(
                    machine("l1", large, Occupant(spec("large", largeRequest), now + 90.seconds)),
                    machine("s1", small),
                ),
                listOf(job(spec("small", smallRequest, 3))),
            )
        assertEquals(listOf("s1", "s1", "l1"), SchedulingCycle(input).decide().placed.map { it.machine.text })
    }

    @Test
    fun `capacity is reserved for large tasks that are expected before flexible tasks complete`() {
        val idle = List(4) { machine("l$it", large) } + machine("s", small, *flexibleTasks(2, now + 9.seconds))
        fun placedCount(tasksPerS: Double, booting: Int) = SchedulingCycle(
            input(
                idle,
                listOf(job(spec("small", smallRequest, 100))),
                listOf(ExpectedArrivals(spec("large", largeRequest), tasksPerS)),
                mapOf(large to booting),
            ),
        ).decide().placed.size
        assertEquals(64, placedCount(0.0, 0))
        assertEquals(48, placedCount(0.4, 0), "two tasks are expected within the minimum horizon")
        assertEquals(64, placedCount(0.4, 1), "the expected tasks fit on the booting machine")
    }

    @Test
    fun `jobs of higher priority use reserved capacity only after all other capacity`() {
        val machines = listOf(machine("l1", large), machine("s1", small))
        val urgent = job(spec("truck", smallRequest, 4, Priority.HIGH))
        val output = SchedulingCycle(input(machines, listOf(urgent, job(spec("large", largeRequest, 2), 2)))).decide()
        assertEquals(
            mapOf("s1" to 2, "l1" to 2),
            output.placed.filter { it.task.job == urgent.spec.id }.groupingBy { it.machine.text }.eachCount(),
        )
    }

    @Test
    fun `nothing is reserved if all jobs fit on all types, or only one type is up`() {
        val jobs = listOf(job(spec("small", smallRequest, 40)), job(spec("large", largeRequest), 2))
        assertEquals(
            emptyList(),
            ScarceCapacity(input(listOf(machine("l1", large), machine("l2", large)), jobs)).scarceTypes,
        )
        assertEquals(
            emptyList(),
            ScarceCapacity(
                input(listOf(machine("l1", large), machine("s1", small)), listOf(job(spec("small", smallRequest)))),
            ).scarceTypes,
        )
    }

    /** Simulates consecutive scheduling cycles in which large and small tasks compete for the large machines. */
    private inner class ContestedMachines(private val random: Random) {
        val machineCount = random.nextInt(4, 20)
        val largeTasks = random.nextInt(machineCount * 2, machineCount * 8)
        val smallTasks = random.nextInt(machineCount * 20, machineCount * 100)
        private val running = HashMap<String, MutableList<Occupant>>()

        fun runCycle(at: MonotonicInstant) {
            running.values.forEach { occupants -> occupants.removeAll { it.expectedEnd <= at } }
            val contested =
                List(machineCount) { machine("l$it", large, *running["l$it"].orEmpty().toTypedArray()) }
            val others = listOf(machine("s", small, *flexibleTasks(2, at + 1000.seconds)))
            val jobs = listOf(
                job(spec("small", smallRequest, smallTasks), isLate = true),
                job(spec("large", largeRequest, largeTasks), 2, isLate = true),
            )
            for (placed in SchedulingCycle(input(contested + others, jobs, at = at)).decide().placed) {
                val spec = jobs.first { it.spec.id == placed.task.job }.spec
                val expectedEnd = at + (20 + random.nextInt(60)).seconds
                running.getOrPut(placed.machine.text) { ArrayList() }.add(Occupant(spec, expectedEnd))
            }
        }

        /** The number of running tasks with the given request. */
        fun runningTasks(request: Resources): Int =
            running.values.sumOf { occupants -> occupants.count { it.spec.resources == request } }
    }

    /**
     * Both job classes always request more than the machines have. Each must get a part in proportion to what it
     * requests. Without a share for late flexible jobs those got nothing, and without reservations the confined
     * jobs got nothing.
     */
    @Test
    fun `confined and late flexible jobs each get at least half of their share of contested machines`() {
        val random = Random(5)
        repeat(40) { round ->
            val machines = ContestedMachines(random)
            var largeHeld = 0.0
            var smallHeld = 0.0
            repeat(STEPS) { step ->
                machines.runCycle(now + (step * STEP_S).seconds)
                largeHeld += machines.runningTasks(largeRequest)
                smallHeld += machines.runningTasks(smallRequest)
            }
            val capacity = machines.machineCount * 64.0 * STEPS
            val large = machines.largeTasks * 32
            val small = machines.smallTasks * 4
            val requested = machines.largeTasks * 32.0 + machines.smallTasks * 4.0
            assertTrue(
                largeHeld * 32 > capacity * large / requested * HALF,
                "$round: confined jobs held ${largeHeld * 32 / capacity} of capacity, requested ${large / requested}",
            )
            assertTrue(
                smallHeld * 4 > capacity * small / requested * HALF,
                "$round: flexible jobs held ${smallHeld * 4 / capacity} of capacity, requested ${small / requested}",
            )
        }
    }

    private companion object {
        const val STEPS = 300
        const val STEP_S = 2
        const val HALF = 0.5
    }
}
