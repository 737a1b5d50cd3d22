package org.elderhitch.fleet

import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.UnusualAmounts
import org.elderhitch.json.Json
import org.elderhitch.placement.UnplacedTasks
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import org.junit.jupiter.api.assertTimeoutPreemptively
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import java.time.Duration as JavaDuration

/**
 * The cost of a plan is bounded by machines and jobs, whatever amounts and counts users submit. Guards against plans
 * that keep all controllers from answering (`docs/incidents/amounts-of-zero.md`).
 */
class PlanCostTest {
    private val type = CatalogCodec.decode(
        Json.parseObject(
            Json.bytes(
                mapOf(
                    "name" to "g8", "cores" to 48.0, "accelerators" to 8.0, "memGb" to 384.0, "localGb" to 50.0,
                    "pullGbPerS" to 1.0, "rate" to 20.0, "lowPrice" to 6.0, "readyS" to 45.0,
                    "halls" to listOf("a", "b"),
                ),
            ),
        ),
    )
    private val large = type.copy(
        name = MachineType("g16"),
        resources = type.resources.copy(cpus = 96.0, gpus = 16.0, memoryGb = 768.0),
        price = 39.0,
    )
    private val catalog = Catalog(listOf(type, large).associateBy { it.name })
    private val now = MonotonicInstant(0) + 1000.seconds

    private fun headroom(services: List<JobSpec>): List<Headroom> {
        val arrivals = ArrivalRates()
        services.forEach { arrivals.jobOpened(it, now) }
        return HeadroomCalculator(arrivals, FleetPolicy(), setOf("instant")).headroom(services, catalog, now)
    }

    private fun runningMachines(count: Int) = List(count) { n ->
        val id = MachineId("m$n")
        val none = Resources.NONE
        PlannedMachine(
            Machine(id, type.name, Zone("a"), false),
            now - 500.seconds,
            MachineUse(id, none, none, none, none, isUsable = true, idleFor = 20.seconds, isFaulty = false),
        )
    }

    /** Fails instead of running for as long as a plan of the fault did, which was 45 s. */
    private fun plan(machines: Int, unplaced: List<UnplacedTasks>, headroom: List<Headroom>, what: String): PlanOutput {
        val input = PlanInput(catalog, runningMachines(machines), unplaced, headroom, 0.0, emptySet(), now)
        return assertTimeoutPreemptively(JavaDuration.ofSeconds(20), "$what: the plan is not done") {
            FleetPlan(input, FleetPolicy()).decide()
        }
    }

    private fun describe(spec: JobSpec) = "${spec.kind} of ${spec.tasks} tasks with ${spec.resources}"

    @Test
    fun `a service without amounts needs headroom for at most the tasks that a machine may have`() {
        val spec = UnusualAmounts.job(
            "req-1",
            "daemon",
            1,
            mapOf("cores" to 0.0, "accelerators" to 0.0, "memGb" to 0.0),
        )
        val tasks = headroom(listOf(spec)).sumOf { it.tasks }
        assertTrue(tasks in 1..1_000, "headroom for $tasks tasks")
    }

    /** The submissions of the incident, while no machine is up and while some are. */
    @Test
    fun `a plan with two services without amounts is done at once`() {
        val services = listOf("price-board", "lot-board").map { jobClass ->
            val values = mapOf("cores" to 0.0, "accelerators" to 0.0, "memGb" to 0.0, "lotClass" to jobClass)
            UnusualAmounts.job("req-1", "daemon", 1, values + ("urgency" to "production"))
        }
        for (machines in listOf(0, 2)) {
            val output = plan(machines, emptyList(), headroom(services), "two services, $machines machines")
            assertTrue(output.steps <= 20, "$machines machines: ${output.steps} steps")
        }
    }

    @Test
    fun `a plan for one job takes few steps with any amounts and any count of tasks`() {
        for (spec in UnusualAmounts.jobs()) {
            val unplaced = listOf(UnplacedTasks(spec, spec.tasks, emptyMap()))
            val headroom = if (spec.kind == JobKind.SERVICE) headroom(listOf(spec)) else emptyList()
            for (machines in listOf(0, 3)) {
                val output = plan(machines, unplaced, headroom, describe(spec))
                val considered = machines + output.provision.sumOf { it.count }
                // Each of the two entries considers a machine once to reserve it and once to pack tasks onto it.
                assertTrue(output.steps <= 4L * considered, "${describe(spec)}: ${output.steps} steps")
                assertTrue(considered <= 2_003, "${describe(spec)}: $considered machines")
            }
        }
    }

    @Test
    fun `a plan for instant arrays takes few steps with any amounts`() {
        for (values in UnusualAmounts.fieldValues) {
            val spec = UnusualAmounts.job(
                "req-1",
                "array",
                100_000,
                values + mapOf("lotClass" to "instant", "urgency" to "production"),
            )
            val arrivals = ArrivalRates()
            repeat(50) { arrivals.jobOpened(spec, now) }
            val headroom = HeadroomCalculator(
                arrivals,
                FleetPolicy(),
                setOf("instant"),
            ).headroom(emptyList(), catalog, now)
            val output = plan(3, emptyList(), headroom, describe(spec))
            val considered = 3 + output.provision.sumOf { it.count }
            assertTrue(output.steps <= 2L * considered, "${describe(spec)}: ${output.steps} steps")
        }
    }

    /** A hundred thousand whole-machine tasks of each of 300 jobs: far more than any cloud has machines. */
    @Test
    fun `a plan for many large jobs has a bounded number of new machines`() {
        val unplaced = List(300) { n ->
            val spec = UnusualAmounts.job("req-$n", "gang", 100_000, mapOf("cores" to 48.0))
            UnplacedTasks(spec, spec.tasks, emptyMap())
        }
        val output = plan(10, unplaced, emptyList(), "300 gangs")
        val provisioned = output.provision.sumOf { it.count }
        assertTrue(provisioned in 1_000..2_000, "$provisioned new machines")
        assertTrue(output.steps <= 20_000, "${output.steps} steps")
    }

    @Test
    fun `one machine is provisioned for a service without amounts, of the cheapest type`() {
        val spec = UnusualAmounts.job(
            "req-1",
            "daemon",
            1,
            mapOf(
                "cores" to 0.0,
                "accelerators" to 0.0,
                "memGb" to 0.0,
                "urgency" to "production",
                "borrowedRigs" to false,
            ),
        )
        val output = plan(0, listOf(UnplacedTasks(spec, 1, emptyMap())), emptyList(), describe(spec))
        assertEquals(listOf(type.name to 1), output.provision.map { it.market.type to it.count })
    }

    @Test
    fun `tasks without amounts get as many machines as their slots need`() {
        val spec = UnusualAmounts.job(
            "req-1",
            "gang",
            100_000,
            mapOf("cores" to 0.0, "accelerators" to 0.0, "memGb" to 0.0),
        )
        val output = plan(0, listOf(UnplacedTasks(spec, spec.tasks, emptyMap())), emptyList(), describe(spec))
        val slots = output.provision.sumOf { request ->
            catalog.types.getValue(request.market.type).resources.taskSlots * request.count
        }
        assertTrue(slots >= spec.tasks, "$slots slots for ${spec.tasks} tasks")
    }
}
