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
    private val has = mapOf(small to Resources(8.0, 0.0, 16.0), large to Resources(64.0, 0.0, 256.0))
    private val team = TeamName("team")
    private val now = MonotonicInstant(0) + 1000.seconds
    private val sack = Resources(4.0, 0.0, 6.0)
    private val kiln = Resources(32.0, 0.0, 56.0)

    private fun spec(id: String, need: Resources, tasks: Int = 1, priority: Priority = Priority.NORMAL) = JobSpec(
        JobId("req-$id"),
        id.takeWhile {
            it.isLetter()
        },
        team, JobKind.ARRAY, priority, tasks, need, null, null, false, false, true, Image("img"), 0.1,
        40.seconds, Duration.ZERO, Duration.ZERO, null,
    )

    private fun machine(id: String, type: MachineType, vararg tenants: Occupant): MachineView {
        val whole = has.getValue(type)
        val free = tenants.fold(whole) { left, tenant -> left - tenant.spec.resources }
        return MachineView(
            MachineId(id),
            type,
            Zone("a"),
            spot = true,
            capacity = whole,
            images = MachineImages(setOf(Image("img")), 1.0, emptyMap()),
            load = MachineLoad(
                free,
                Resources.NONE,
                emptyList(),
                serviceWeight = 0.0,
                empty = tenants.isEmpty(),
                occupants = tenants.toList(),
            ),
        )
    }

    private fun job(spec: JobSpec, order: Long = 1, late: Boolean = false) = JobView(
        spec,
        Revision(order),
        (
            0 until
                spec.tasks
            ).toList(),
        emptyMap(),
        null,
        late = late,
    )

    private fun input(
        machines: List<MachineView>,
        jobs: List<JobView>,
        expected: List<ExpectedArrivals> = emptyList(),
        coming: Map<MachineType, Int> = emptyMap(),
    ) = CycleInput(
        machines,
        jobs,
        QuotaLedger(mapOf(team to Team(team, 0.0, 0.0, null, null)), Resources.NONE),
        now = now,
        expectedArrivals = expected,
        bootingMachines = coming,
    )

    private fun guests(count: Int, until: MonotonicInstant) = Array(count) { Occupant(spec("sack$it", sack), until) }

    /**
     * Seen: each small task that ended on a large machine was followed by another, and a task of half the machine
     * waited 243 s.
     */
    @Test
    fun `a large machine whose guests leave first is not filled up again while a large task waits`() {
        val soon = machine("l1", large, *guests(16, now + 5.seconds).drop(1).toTypedArray())
        val later = machine("l2", large, *guests(16, now + 90.seconds).drop(1).toTypedArray())
        val jobs = listOf(job(spec("sack", sack, 10)), job(spec("kiln", kiln), 2))
        val output = SchedulingCycle(input(listOf(soon, later, machine("s1", small)), jobs)).decide()
        assertEquals(
            mapOf("s1" to 2, "l2" to 1),
            output.placed.groupingBy {
                it.machine.text
            }.eachCount(),
            "none on l1, whose guests leave first",
        )
        assertEquals(listOf(setOf(large)), output.scarceTypes)
        val alone = SchedulingCycle(
            input(listOf(soon, later, machine("s1", small)), listOf(job(spec("sack", sack, 10)))),
        ).decide()
        assertEquals(4, alone.placed.size, "with nothing large in sight the large machines are for all")
    }

    @Test
    fun `small work goes to machines that are of no use to large work, empty and without the image though they be`() {
        val input =
            input(
                listOf(machine("l1", large, Occupant(spec("kiln", kiln), now + 90.seconds)), machine("s1", small)),
                listOf(job(spec("sack", sack, 3))),
            )
        assertEquals(listOf("s1", "s1", "l1"), SchedulingCycle(input).decide().placed.map { it.machine.text })
    }

    @Test
    fun `room is kept for what arrives by the time that guests leave, and no more`() {
        val idle = List(4) { machine("l$it", large) } + machine("s", small, *guests(2, now + 9.seconds))
        fun placed(perS: Double, coming: Int) = SchedulingCycle(
            input(
                idle,
                listOf(job(spec("sack", sack, 100))),
                listOf(ExpectedArrivals(spec("kiln", kiln), perS)),
                mapOf(large to coming),
            ),
        ).decide().placed.size
        assertEquals(64, placed(0.0, 0))
        assertEquals(48, placed(0.4, 0), "two tasks are expected within the least horizon")
        assertEquals(64, placed(0.4, 1), "a machine that boots will take them")
    }

    @Test
    fun `more important work has the room that is kept, last of all`() {
        val machines = listOf(machine("l1", large), machine("s1", small))
        val urgent = job(spec("truck", sack, 4, Priority.HIGH))
        val output = SchedulingCycle(input(machines, listOf(urgent, job(spec("kiln", kiln, 2), 2)))).decide()
        assertEquals(
            mapOf("s1" to 2, "l1" to 2),
            output.placed.filter {
                it.task.job == urgent.spec.id
            }.groupingBy { it.machine.text }.eachCount(),
        )
    }

    @Test
    fun `nothing is kept where all types take all work, or only one type is up`() {
        val jobs = listOf(job(spec("sack", sack, 40)), job(spec("kiln", kiln), 2))
        assertEquals(
            emptyList(),
            ScarceCapacity(input(listOf(machine("l1", large), machine("l2", large)), jobs)).scarceTypes,
        )
        assertEquals(
            emptyList(),
            ScarceCapacity(
                input(listOf(machine("l1", large), machine("s1", small)), listOf(job(spec("sack", sack)))),
            ).scarceTypes,
        )
    }

    /**
     * Both classes ask for more than there is, for ever. Of what it asks for of the contested machines each gets a part
     * in proportion, whatever the other
     * asks for; without the share of those that are late the guests got none of them, without what is kept the confined
     * work got none.
     */
    @Test
    fun `neither confined work nor late guests are kept out of contested machines`() {
        val random = Random(5)
        repeat(40) { n ->
            val larges = random.nextInt(4, 20)
            val kilns = random.nextInt(larges * 2, larges * 8)
            val sacks = random.nextInt(larges * 20, larges * 100)
            val running = HashMap<String, MutableList<Occupant>>()
            var kilnSeconds = 0.0
            var sackSeconds = 0.0
            repeat(STEPS) { step ->
                val at = now + (step * STEP_S).seconds
                running.values.forEach { its -> its.removeAll { it.until <= at } }
                val machines = List(larges) { machine("l$it", large, *running["l$it"].orEmpty().toTypedArray()) }
                val jobs =
                    listOf(job(spec("sack", sack, sacks), late = true), job(spec("kiln", kiln, kilns), 2, late = true))
                val smalls = listOf(machine("s", small, *guests(2, at + 1000.seconds)))
                val cycle =
                    CycleInput(
                        machines + smalls,
                        jobs,
                        QuotaLedger(mapOf(team to Team(team, 0.0, 0.0, null, null)), Resources.NONE),
                        now = at,
                    )
                for (placed in SchedulingCycle(cycle).decide().placed) {
                    val its = jobs.first { it.spec.id == placed.task.job }.spec
                    running.getOrPut(placed.machine.text) { ArrayList() }.add(
                        Occupant(
                            its,
                            at + (20 + random.nextInt(60)).seconds,
                        ),
                    )
                }
                kilnSeconds += running.values.sumOf { its -> its.count { it.spec.resources == kiln } }
                sackSeconds += running.values.sumOf { its -> its.count { it.spec.resources == sack } }
            }
            val all = larges * 64.0 * STEPS
            val asked = kilns * 32.0 + sacks * 4.0
            assertTrue(
                kilnSeconds * 32 > all * kilns * 32 / asked * HALF,
                "$n: confined work held ${kilnSeconds * 32 / all} of the machines, and asked for ${kilns * 32 / asked}",
            )
            assertTrue(
                sackSeconds * 4 > all * sacks * 4 / asked * HALF,
                "$n: guests held ${sackSeconds * 4 / all} of the machines, and asked for ${sacks * 4 / asked}",
            )
        }
    }

    private companion object {
        const val STEPS = 300
        const val STEP_S = 2
        const val HALF = 0.5
    }
}
