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
                empty = occupants.isEmpty(),
                occupants = occupants.toList(),
            ),
        )
    }

    private fun job(spec: JobSpec, revision: Long = 1, late: Boolean = false) =
        JobView(spec, Revision(revision), (0 until spec.tasks).toList(), emptyMap(), null, late = late)

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

    private fun flexibleTasks(count: Int, until: MonotonicInstant) =
        Array(count) { Occupant(spec("small$it", smallRequest), until) }

    /**
     * Seen: each small task that ended on a large machine was followed by another, and a task of half the machine
     * waited 243 s.
     */
    @Test
    fun `a large machine whose flexible tasks complete first is not filled again when a large task waits`() {
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
        assertEquals(4, alone.placed.size, "with nothing large in sight the large machines are for all")
    }

    @Test
    fun `small tasks go to empty machines without the image when large tasks fit only on the others`() {
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
    fun `capacity is reserved for large tasks when they are expected before flexible tasks complete`() {
        val idle = List(4) { machine("l$it", large) } + machine("s", small, *flexibleTasks(2, now + 9.seconds))
        fun placed(perS: Double, booting: Int) = SchedulingCycle(
            input(
                idle,
                listOf(job(spec("small", smallRequest, 100))),
                listOf(ExpectedArrivals(spec("large", largeRequest), perS)),
                mapOf(large to booting),
            ),
        ).decide().placed.size
        assertEquals(64, placed(0.0, 0))
        assertEquals(48, placed(0.4, 0), "two tasks are expected within the least horizon")
        assertEquals(64, placed(0.4, 1), "a machine that boots will take them")
    }

    @Test
    fun `more important work uses reserved capacity last when nothing else is free`() {
        val machines = listOf(machine("l1", large), machine("s1", small))
        val urgent = job(spec("truck", smallRequest, 4, Priority.HIGH))
        val output = SchedulingCycle(input(machines, listOf(urgent, job(spec("large", largeRequest, 2), 2)))).decide()
        assertEquals(
            mapOf("s1" to 2, "l1" to 2),
            output.placed.filter { it.task.job == urgent.spec.id }.groupingBy { it.machine.text }.eachCount(),
        )
    }

    @Test
    fun `nothing is reserved when all types take all work, or only one type is up`() {
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

    /** The tasks that run on the machines of the contested type while cycle follows cycle, by machine. */
    private inner class ContestedMachines(private val random: Random) {
        val machineCount = random.nextInt(4, 20)
        val largeTasks = random.nextInt(machineCount * 2, machineCount * 8)
        val smallTasks = random.nextInt(machineCount * 20, machineCount * 100)
        private val running = HashMap<String, MutableList<Occupant>>()

        fun runCycle(at: MonotonicInstant) {
            running.values.forEach { occupants -> occupants.removeAll { it.until <= at } }
            val contested =
                List(machineCount) { machine("l$it", large, *running["l$it"].orEmpty().toTypedArray()) }
            val others = listOf(machine("s", small, *flexibleTasks(2, at + 1000.seconds)))
            val jobs = listOf(
                job(spec("small", smallRequest, smallTasks), late = true),
                job(spec("large", largeRequest, largeTasks), 2, late = true),
            )
            for (placed in SchedulingCycle(input(contested + others, jobs, at = at)).decide().placed) {
                val spec = jobs.first { it.spec.id == placed.task.job }.spec
                val until = at + (20 + random.nextInt(60)).seconds
                running.getOrPut(placed.machine.text) { ArrayList() }.add(Occupant(spec, until))
            }
        }

        /** How many tasks with the request run. */
        fun runningTasks(request: Resources): Int =
            running.values.sumOf { occupants -> occupants.count { it.spec.resources == request } }
    }

    /**
     * Both classes ask for more than there is, for ever. Of the contested machines each gets a part in proportion to
     * what it asks for. Without the share of late flexible work that got none of them, and without reservations the
     * confined work got none.
     */
    @Test
    fun `confined and late flexible work each get half of their part when machines are contested`() {
        val random = Random(5)
        repeat(40) { n ->
            val machines = ContestedMachines(random)
            var largeHeld = 0.0
            var smallHeld = 0.0
            repeat(STEPS) { step ->
                machines.runCycle(now + (step * STEP_S).seconds)
                largeHeld += machines.runningTasks(largeRequest)
                smallHeld += machines.runningTasks(smallRequest)
            }
            val all = machines.machineCount * 64.0 * STEPS
            val large = machines.largeTasks * 32
            val small = machines.smallTasks * 4
            val asked = machines.largeTasks * 32.0 + machines.smallTasks * 4.0
            assertTrue(
                largeHeld * 32 > all * large / asked * HALF,
                "$n: confined work held ${largeHeld * 32 / all} of the machines, and asked for ${large / asked}",
            )
            assertTrue(
                smallHeld * 4 > all * small / asked * HALF,
                "$n: flexible work held ${smallHeld * 4 / all} of the machines, and asked for ${small / asked}",
            )
        }
    }

    private companion object {
        const val STEPS = 300
        const val STEP_S = 2
        const val HALF = 0.5
    }
}
