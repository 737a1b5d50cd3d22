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

/** Tests which machines a fleet plan provisions, terminates and drains. */
class FleetPlanTest {
    private val type = TypeInfo(
        name = MachineType("g8"),
        resources = Resources(48.0, 8.0, 384.0),
        cacheGb = 50.0,
        fetchGbPerS = 1.0,
        price = 20.0,
        spotPrice = 6.0,
        bootTime = 45.seconds,
        zones = listOf(Zone("a"), Zone("b")),
    )
    private val catalog = Catalog(mapOf(type.name to type))
    private val now = MonotonicInstant(0) + 1000.seconds
    private val productionService = spec(JobKind.SERVICE, spot = false, priority = Priority.PRODUCTION)

    private fun spec(
        kind: JobKind = JobKind.ARRAY,
        tasks: Int = 1,
        spot: Boolean = true,
        spread: Boolean = false,
        priority: Priority = Priority.NORMAL,
    ) = JobSpec(
        JobId("req-1"), "class", TeamName("team"), kind, priority, tasks, Resources(4.0, 1.0, 30.0), null, null,
        false, spread, spot, Image("img"), 1.0, 40.seconds, Duration.ZERO, Duration.ZERO, null,
    )

    private fun unplaced(spec: JobSpec) = UnplacedTasks(spec, spec.tasks, emptyMap())

    private fun booting(n: Int, age: Duration) =
        PlannedMachine(Machine(MachineId("m$n"), type.name, Zone("a"), false), now - age, null)

    private fun machine(
        n: Int,
        idle: Duration? = null,
        age: Duration = 500.seconds,
        busy: Resources = Resources.NONE,
        preemptible: Resources = Resources.NONE,
        releasedSoon: Resources = Resources.NONE,
        services: Resources = Resources.NONE,
    ) = booting(n, age).copy(
        use = MachineUse(
            MachineId("m$n"),
            busy,
            preemptible,
            releasedSoon,
            services,
            isUsable = true,
            idleFor = idle,
            isFaulty = false,
        ),
    )

    private fun plan(
        machines: List<PlannedMachine> = emptyList(),
        unplaced: List<UnplacedTasks> = emptyList(),
        headroom: List<Headroom> = emptyList(),
        machinesFilledDuringBoot: Double = 0.0,
        closed: Set<Market> = emptySet(),
    ) = FleetPlan(
        PlanInput(catalog, machines, unplaced, headroom, machinesFilledDuringBoot, closed, now),
        FleetPolicy(),
    ).decide()

    private fun PlanOutput.provisioned(): Int = provision.sumOf { it.count }

    @Test
    fun `plan provisions enough machines in allowed markets when tasks are unplaced`() {
        val random = Random(7)
        repeat(200) { round ->
            val specs = List(random.nextInt(1, 5)) {
                spec(tasks = random.nextInt(1, 30), spot = random.nextBoolean(), spread = random.nextBoolean())
            }
            val closed = type.zones
                .flatMap { zone -> listOf(Market(type.name, zone, true), Market(type.name, zone, false)) }
                .filter { random.nextInt(4) == 0 }
                .toSet()
            val output = plan(unplaced = specs.map(::unplaced), closed = closed)
            assertTrue(output.provision.none { it.market in closed }, "round $round")
            if (specs.none { it.spotAllowed }) assertTrue(output.provision.none { it.market.spot }, "round $round")
            val onDemand = Market(type.name, Zone("a"), false)
            if (onDemand !in closed && onDemand.copy(zone = Zone("b")) !in closed) {
                val tasks = specs.sumOf { it.tasks }
                assertTrue(output.provisioned() * 8 >= tasks, "round $round: too few machines")
                assertTrue(output.provisioned() <= (tasks + 7) / 8 + 4 * specs.size, "round $round: too many machines")
            }
        }
    }

    @Test
    fun `plan counts a booting machine as capacity when it is not late`() {
        val missing = listOf(unplaced(spec(tasks = 8)))
        assertEquals(0, plan(listOf(booting(1, age = 20.seconds)), missing).provision.size)
        assertEquals(1, plan(listOf(booting(1, age = 100.seconds)), missing).provisioned())
        assertEquals(listOf(MachineId("m1")), plan(listOf(booting(1, age = 200.seconds))).terminate)
    }

    @Test
    fun `plan keeps idle machines for arrivals and terminates the others when their minimum charged time is over`() {
        val idle = List(5) { machine(it, idle = 20.seconds) }
        assertEquals(5, plan(idle).terminate.size)
        assertEquals(3, plan(idle, machinesFilledDuringBoot = 12.0).terminate.size)
        assertEquals(0, plan(listOf(machine(1, idle = 20.seconds, age = 40.seconds))).terminate.size)
        assertEquals(
            5,
            plan(List(5) { machine(it, idle = 50.seconds) }, machinesFilledDuringBoot = 12.0).terminate.size,
        )
    }

    @Test
    fun `plan provisions only for production work when running tasks end before a new machine would boot`() {
        val full = listOf(machine(1, busy = type.resources, releasedSoon = Resources(32.0, 8.0, 240.0)))
        assertEquals(0, plan(full, listOf(unplaced(spec(tasks = 8)))).provision.size)
        assertEquals(1, plan(full, listOf(unplaced(spec(tasks = 9)))).provisioned())
        assertEquals(1, plan(full, listOf(unplaced(productionService))).provisioned())
    }

    @Test
    fun `plan keeps idle machines when services need their capacity as headroom`() {
        val headroom = listOf(Headroom(productionService, 8))
        val idle = listOf(machine(1, idle = 90.seconds), machine(2, idle = 90.seconds))
        assertEquals(1, plan(idle, headroom = headroom).terminate.size)
        assertEquals(1, plan(headroom = headroom).provisioned())
        // Preemptible capacity is headroom only for work that can wait for a preemption.
        val preemptible = listOf(machine(1, busy = type.resources, preemptible = type.resources))
        assertEquals(0, plan(preemptible, headroom = headroom).provision.size)
        assertEquals(
            1,
            plan(preemptible, headroom = listOf(Headroom(productionService, 8, mustBeFree = true))).provisioned(),
        )
    }

    @Test
    fun `plan drains the machine with the fewest services when the others have capacity in addition to the headroom`() {
        val perTask = Resources(4.0, 1.0, 30.0)
        fun servingMachine(n: Int, tasks: Int) = machine(n, busy = perTask * tasks, services = perTask * tasks)
        val machines = listOf(servingMachine(1, 4), servingMachine(2, 2), servingMachine(3, 3))
        assertEquals(MachineId("m2"), plan(machines).drain)
        assertEquals(null, plan(machines, headroom = listOf(Headroom(productionService, 8))).drain)
        assertEquals(null, plan(listOf(servingMachine(1, 7), servingMachine(2, 6))).drain)
        val mixed = machine(2, busy = perTask * 3, services = perTask * 2)
        assertEquals(null, plan(listOf(servingMachine(1, 4), mixed)).drain?.takeIf { it.text == "m2" })
    }

    @Test
    fun `plan terminates a booting machine when no task needs it or its boot timeout has passed`() {
        assertEquals(1, plan(listOf(booting(1, age = 70.seconds))).terminate.size)
        assertEquals(0, plan(listOf(booting(1, age = 50.seconds))).terminate.size)
        val missing = listOf(unplaced(spec(tasks = 8)))
        assertEquals(0, plan(listOf(booting(1, age = 70.seconds)), missing).terminate.size)
        val boots = BootTimes()
        assertEquals(BootTimes.DEFAULT_TIMEOUT_MULTIPLE, boots.timeoutMultiple)
        repeat(10) { boots.add(1.2) }
        assertEquals(2.0, boots.timeoutMultiple)
        boots.add(2.4)
        assertEquals(3.0, boots.timeoutMultiple)
    }

    /**
     * Guards against replacing a fleet that boots slowly: at two and a half times the usual boot time, a whole fleet
     * was provisioned a second time after 90 s.
     */
    @Test
    fun `boot times report no machine as late when all boots are slow or none has completed`() {
        val boots = BootTimes()
        assertEquals(3.5, boots.lateMultiple(hasRunningMachines = false))
        assertEquals(2.0, boots.lateMultiple(hasRunningMachines = true))
        repeat(9) { boots.add(1.0) }
        assertEquals(2.0, boots.lateMultiple(hasRunningMachines = true))
        repeat(20) { boots.add(1.6) }
        assertEquals(3.2, boots.lateMultiple(hasRunningMachines = true))
        repeat(40) { boots.add(0.05) }
        assertEquals(2.0, boots.lateMultiple(hasRunningMachines = true), "fast boots don't lower the default limit")
    }
}
