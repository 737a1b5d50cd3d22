package org.elderhitch.fleet

import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.placement.UnplacedTasks
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class FleetPlanTest {
    private val type =
        TypeInfo(
            MachineType("g8"),
            Resources(48.0, 8.0, 384.0),
            50.0,
            1.0,
            20.0,
            6.0,
            45.seconds,
            listOf(Zone("a"), Zone("b")),
        )
    private val catalog = Catalog(mapOf(type.name to type))
    private val now = MonotonicInstant(0) + 1000.seconds

    private fun spec(
        kind: JobKind = JobKind.ARRAY,
        tasks: Int = 1,
        spot: Boolean = true,
        spread: Boolean = false,
        priority: Priority = Priority.NORMAL,
    ) = JobSpec(
        JobId(
            "req-1",
        ),
        "class",
        TeamName(
            "team",
        ),
        kind, priority, tasks, Resources(4.0, 1.0, 30.0), null, null, false, spread, spot,
        Image("img"), 1.0, 40.seconds, Duration.ZERO, Duration.ZERO, null,
    )

    private fun machine(
        n: Int,
        idle: Duration? = null,
        age: Duration = 500.seconds,
        up: Boolean = true,
        busy: Resources = Resources.NONE,
        ending: Resources = Resources.NONE,
        serving: Resources = Resources.NONE,
    ) = PlannedMachine(
        Machine(MachineId("m$n"), type.name, Zone("a"), false),
        now - age,
        if (up) {
            MachineUse(
                MachineId("m$n"),
                busy,
                Resources.NONE,
                ending,
                serving,
                usable = true,
                idle = idle,
                faulty = false,
            )
        } else {
            null
        },
    )

    private fun plan(
        machines: List<PlannedMachine> = emptyList(),
        unplaced: List<UnplacedTasks> = emptyList(),
        headroom: List<Headroom> = emptyList(),
        arriving: Double = 0.0,
        closed: Set<Market> = emptySet(),
    ) = FleetPlan(PlanInput(catalog, machines, unplaced, headroom, arriving, closed, now), FleetPolicy()).decide()

    @Test
    fun `what is rented holds what is missing, in allowed places only`() {
        val random = Random(7)
        repeat(200) { round ->
            val specs =
                List(random.nextInt(1, 5)) {
                    spec(tasks = random.nextInt(1, 30), spot = random.nextBoolean(), spread = random.nextBoolean())
                }
            val closed = type.zones.flatMap { z ->
                listOf(Market(type.name, z, true), Market(type.name, z, false))
            }.filter {
                random.nextInt(4) ==
                    0
            }.toSet()
            val output = plan(unplaced = specs.map { UnplacedTasks(it, it.tasks, emptyMap()) }, closed = closed)
            assertTrue(output.hire.none { it.market in closed }, "round $round")
            if (specs.none { it.spotAllowed }) assertTrue(output.hire.none { it.market.spot }, "round $round")
            val dear = Market(type.name, Zone("a"), false)
            if (dear !in closed && dear.copy(zone = Zone("b")) !in closed) {
                assertTrue(output.hire.sumOf { it.count } * 8 >= specs.sumOf { it.tasks }, "round $round: too little")
                assertTrue(
                    output.hire.sumOf {
                        it.count
                    } <= (specs.sumOf { it.tasks } + 7) / 8 + 4 * specs.size,
                    "round $round: too much",
                )
            }
        }
    }

    @Test
    fun `machines that boot count, until they are late`() {
        val missing = listOf(UnplacedTasks(spec(tasks = 8), 8, emptyMap()))
        assertEquals(0, plan(listOf(machine(1, age = 20.seconds, up = false)), missing).hire.size)
        assertEquals(1, plan(listOf(machine(1, age = 100.seconds, up = false)), missing).hire.sumOf { it.count })
        assertEquals(listOf(MachineId("m1")), plan(listOf(machine(1, age = 200.seconds, up = false))).release)
    }

    @Test
    fun `idle machines stand by for arrivals, and the rest go back once they are paid for`() {
        val idle = List(5) { machine(it, idle = 20.seconds) }
        assertEquals(5, plan(idle).release.size)
        assertEquals(3, plan(idle, arriving = 12.0).release.size)
        assertEquals(0, plan(listOf(machine(1, idle = 20.seconds, age = 40.seconds))).release.size)
        assertEquals(5, plan(List(5) { machine(it, idle = 50.seconds) }, arriving = 12.0).release.size)
    }

    @Test
    fun `nothing is rented for what ends before a machine would be up, but for production`() {
        val full = listOf(machine(1, busy = type.resources, ending = Resources(32.0, 8.0, 240.0)))
        assertEquals(0, plan(full, listOf(UnplacedTasks(spec(tasks = 8), 8, emptyMap()))).hire.size)
        assertEquals(1, plan(full, listOf(UnplacedTasks(spec(tasks = 9), 9, emptyMap()))).hire.sumOf { it.count })
        val production = spec(JobKind.SERVICE, tasks = 1, spot = false, priority = Priority.PRODUCTION)
        assertEquals(1, plan(full, listOf(UnplacedTasks(production, 1, emptyMap()))).hire.sumOf { it.count })
    }

    @Test
    fun `room for services is kept, not returned`() {
        val service = spec(JobKind.SERVICE, spot = false, priority = Priority.PRODUCTION)
        assertEquals(
            1,
            plan(
                listOf(machine(1, idle = 90.seconds), machine(2, idle = 90.seconds)),
                headroom = listOf(Headroom(service, 8)),
            ).release.size,
        )
        assertEquals(1, plan(headroom = listOf(Headroom(service, 8))).hire.sumOf { it.count })
        // Room held by tasks that would yield serves users who can wait for that, and no others.
        val yielding = machine(
            1,
        ).copy(
            use = MachineUse(
                MachineId("m1"),
                type.resources,
                type.resources,
                Resources.NONE,
                Resources.NONE,
                true,
                null,
                false,
            ),
        )
        assertEquals(0, plan(listOf(yielding), headroom = listOf(Headroom(service, 8))).hire.size)
        assertEquals(
            1,
            plan(listOf(yielding), headroom = listOf(Headroom(service, 8, free = true))).hire.sumOf {
                it.count
            },
        )
    }

    @Test
    fun `the machine with the fewest services is drained where the others have room beside the headroom`() {
        val one = Resources(4.0, 1.0, 30.0)
        fun serving(n: Int, tasks: Int) = machine(n, busy = one * tasks, serving = one * tasks)
        assertEquals(MachineId("m2"), plan(listOf(serving(1, 4), serving(2, 2), serving(3, 3))).drain)
        val service = spec(JobKind.SERVICE, spot = false, priority = Priority.PRODUCTION)
        assertEquals(
            null,
            plan(listOf(serving(1, 4), serving(2, 2), serving(3, 3)), headroom = listOf(Headroom(service, 8))).drain,
        )
        assertEquals(null, plan(listOf(serving(1, 7), serving(2, 6))).drain)
        assertEquals(
            null,
            plan(listOf(serving(1, 4), machine(2, busy = one * 3, serving = one * 2))).drain?.takeIf {
                it.text ==
                    "m2"
            },
        )
    }

    @Test
    fun `machines that boot for nobody are given up, and so are those slower than any that came up`() {
        assertEquals(1, plan(listOf(machine(1, age = 70.seconds, up = false))).release.size)
        assertEquals(0, plan(listOf(machine(1, age = 50.seconds, up = false))).release.size)
        assertEquals(
            0,
            plan(
                listOf(machine(1, age = 70.seconds, up = false)),
                listOf(UnplacedTasks(spec(tasks = 8), 8, emptyMap())),
            ).release.size,
        )
        val boots = BootTimes()
        assertEquals(FleetPlan.HOPELESS_BOOT, boots.hopeless)
        repeat(10) { boots.add(1.2) }
        assertEquals(2.0, boots.hopeless)
        boots.add(2.4)
        assertEquals(3.0, boots.hopeless)
    }

    /**
     * Seen: a morning at two and a half times the usual boot, whose whole fleet was rented a second time after 90 s.
     */
    @Test
    fun `where all machines come late, or none has come, none is rented in their place`() {
        val boots = BootTimes()
        assertEquals(3.5, boots.late(anyUp = false))
        assertEquals(2.0, boots.late(anyUp = true))
        repeat(9) { boots.add(1.0) }
        assertEquals(2.0, boots.late(anyUp = true))
        repeat(20) { boots.add(1.6) }
        assertEquals(3.2, boots.late(anyUp = true))
        repeat(40) { boots.add(0.05) }
        assertEquals(2.0, boots.late(anyUp = true), "at once today says nothing of those that are slow")
    }
}
