package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.jobs.TaskLimits
import org.elderhitch.jobs.UnusualAmounts
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant
import org.junit.jupiter.api.assertTimeoutPreemptively
import java.time.Duration
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * The cost of a scheduling cycle is bounded by machines, jobs and stated limits, whatever amounts and counts users
 * submit. Guards against cycles that keep all controllers from answering (`docs/incidents/amounts-of-zero.md`).
 */
class CycleCostTest {
    private val team = TeamName("team")

    private fun machine(n: Int, type: String = if (n % 3 == 0) "g8" else "g16"): MachineView {
        val capacity = if (type ==
            "g8"
        ) {
            Resources.ofMachine(48.0, 8.0, 384.0)
        } else {
            Resources.ofMachine(96.0, 16.0, 768.0)
        }
        val load = MachineLoad(capacity, Resources.NONE, emptyList(), serviceWeight = 0.0, isEmpty = true)
        val images = MachineImages(emptySet(), 1.0, emptyMap())
        return MachineView(MachineId("m$n"), MachineType(type), Zone("a"), false, capacity, images, load)
    }

    /** A machine whose slots are all taken by preemptible tasks of the job. */
    private fun fullMachine(n: Int, job: JobSpec): MachineView {
        val limit = TaskLimits.MAX_TASKS_PER_MACHINE
        val victims = List(limit) {
            PreemptionCandidate(TaskId(job.id, n * limit + it), job.priority, job.resources)
        }
        val empty = machine(n)
        val free = empty.capacity - job.resources * limit
        val load = MachineLoad(free, Resources.NONE, victims, serviceWeight = 0.0, isEmpty = false)
        return MachineView(empty.id, empty.type, empty.zone, empty.spot, empty.capacity, empty.images, load)
    }

    private fun view(spec: JobSpec, pending: Int = spec.tasks, revision: Long = 1) =
        JobView(spec, Revision(revision), (0 until pending).toList(), emptyMap(), null, isLate = true)

    private fun pendingLimit(spec: JobSpec) = if (spec.kind == JobKind.GANG) spec.tasks else minOf(spec.tasks, 1_000)

    private fun cycle(
        machines: List<MachineView>,
        jobs: List<JobView>,
        what: String,
        reservations: List<CapacityReservation> = emptyList(),
        expected: List<ExpectedArrivals> = emptyList(),
        hostResourcesPerGpu: Resources = Resources.NONE,
    ): CycleOutput {
        val quota = QuotaLedger(mapOf(team to Team(team, 0.0, 0.0, null, null)), Resources.NONE)
        val input = CycleInput(
            machines,
            jobs,
            quota,
            reservations,
            now = MonotonicInstant(0),
            hostResourcesPerGpu = hostResourcesPerGpu,
            expectedArrivals = expected,
            bootingMachines = mapOf(MachineType("g8") to 3),
        )
        return assertTimeoutPreemptively(Duration.ofSeconds(20), "$what: the cycle is not done") {
            SchedulingCycle(input).decide()
        }
    }

    private fun describe(spec: JobSpec) = "${spec.kind} of ${spec.tasks} tasks with ${spec.resources}"

    /** An array that can run on the larger machines only, so that capacity is reserved for it. */
    private fun confinedArray(id: String) = UnusualAmounts.job(
        id,
        "array",
        4,
        mapOf("cores" to 60.0, "accelerators" to 0.0, "memGb" to 100.0, "urgency" to "idle"),
    )

    @Test
    fun `other jobs are placed beside a job with any amounts and any count of tasks`() {
        val machines = List(6) { machine(it) }
        for (spec in UnusualAmounts.jobs()) {
            val other = confinedArray("req-9")
            val jobs = listOf(view(spec, pendingLimit(spec), revision = 2), view(other))
            val output = cycle(
                machines,
                jobs,
                describe(spec),
                expected = listOf(ExpectedArrivals(spec, tasksPerS = 50_000.0), ExpectedArrivals(other, 0.1)),
            )
            val perMachine = output.placed.groupBy { it.machine }.values.maxOfOrNull { it.size } ?: 0
            assertTrue(
                perMachine <= TaskLimits.MAX_TASKS_PER_MACHINE,
                "${describe(spec)}: $perMachine tasks on a machine",
            )
            assertTrue(output.machineVisits <= 5_000, "${describe(spec)}: ${output.machineVisits} visits")
            assertTrue(output.placed.size <= 6 * TaskLimits.MAX_TASKS_PER_MACHINE, describe(spec))
        }
    }

    @Test
    fun `a reservation for any amounts and any count of tasks takes few steps`() {
        val machines = List(6) { machine(it) }
        for (spec in UnusualAmounts.jobs()) {
            val reservations = listOf(CapacityReservation(spec, Int.MAX_VALUE), CapacityReservation(spec, spec.tasks))
            val output = cycle(machines, listOf(view(confinedArray("req-9"))), describe(spec), reservations)
            assertTrue(output.machineVisits <= 200, "${describe(spec)}: ${output.machineVisits} visits")
        }
    }

    @Test
    fun `expected arrivals with any amounts reserve no more than the machines have`() {
        val machines = List(6) { machine(it) }
        for (values in UnusualAmounts.fieldValues) {
            val spec = UnusualAmounts.job("req-7", "array", 100_000, values + ("rigs" to listOf("g16")))
            val jobs = listOf(view(spec, 1_000), view(confinedArray("req-9"), revision = 2))
            val output = cycle(machines, jobs, describe(spec), expected = listOf(ExpectedArrivals(spec, 1e12)))
            assertTrue(output.reservedMachineCount <= machines.size, describe(spec))
        }
    }

    @Test
    fun `a hundred thousand tasks without amounts fill the slots of all machines and no more`() {
        val nothing = mapOf("cores" to 0.0, "accelerators" to 0.0, "memGb" to 0.0)
        val machines = List(3) { machine(it) }
        val arrays = List(4) { view(UnusualAmounts.job("req-$it", "array", 1_000, nothing), revision = it.toLong()) }
        val output = cycle(machines, arrays, "arrays without amounts")
        assertEquals(3 * TaskLimits.MAX_TASKS_PER_MACHINE, output.placed.size)
        assertEquals(4_000 - output.placed.size, output.unplaced.sumOf { it.count }, "the rest waits for machines")

        val gang = view(UnusualAmounts.job("req-7", "gang", 100_000, nothing))
        val waiting = cycle(machines, listOf(gang), "gang without amounts")
        assertEquals(0, waiting.placed.size)
        assertEquals(100_000, waiting.unplaced.single().count)
        assertTrue(waiting.machineVisits <= 100, "${waiting.machineVisits} visits")
    }

    @Test
    fun `a full machine's slots are freed by preemption like its other resources`() {
        val nothing = mapOf("cores" to 0.0, "accelerators" to 0.0, "memGb" to 0.0)
        val idle = UnusualAmounts.job("req-1", "array", 1_000, nothing + ("urgency" to "idle"))
        val urgent = UnusualAmounts.job("req-2", "array", 3, mapOf("urgency" to "urgent"))
        val output = cycle(listOf(fullMachine(0, idle)), listOf(view(urgent)), "preemption")
        assertEquals(3, output.preempted.size)
        assertEquals(emptyList(), output.placed)
        assertEquals(emptyList(), output.unplaced.map { it.count })
    }

    /** Guards against sorting all tasks of all machines again for each task that needs a preemption. */
    @Test
    fun `thousands of preemptions on machines full of tasks without amounts are decided quickly`() {
        val nothing = mapOf("cores" to 0.0, "accelerators" to 0.0, "memGb" to 0.0)
        val idle = UnusualAmounts.job("req-1", "array", 100_000, nothing + ("urgency" to "idle"))
        val machines = List(800) { fullMachine(it, idle) }
        val urgent = List(3) { UnusualAmounts.job("req-2$it", "array", 1_000, nothing + ("urgency" to "urgent")) }
        val output = cycle(machines, urgent.map { view(it) }, "thousands of preemptions")
        assertEquals(3_000, output.preempted.toSet().size)
        assertEquals(emptyList(), output.unplaced.map { it.count })
    }

    /** Random mixes of jobs with unusual amounts keep the limits of each machine. */
    @Test
    fun `random mixes keep the capacity of each machine`() {
        val random = Random(13)
        repeat(150) { round ->
            val machines = List(random.nextInt(1, 6)) { machine(it) }
            val specs = List(random.nextInt(1, 8)) { n ->
                val kind = listOf("daemon", "array", "gang").random(random)
                val values = listOf("cores", "accelerators", "memGb", "pullGb", "haulS").associateWith {
                    UnusualAmounts.amounts.random(random)
                }
                UnusualAmounts.job("req-$n", kind, UnusualAmounts.taskCounts.take(3).random(random), values)
            }
            val jobs = specs.mapIndexed { n, spec -> view(spec, pendingLimit(spec), n.toLong()) }
            val reservations = specs.map { CapacityReservation(it, random.nextInt(0, 100_000)) }
            val output = cycle(machines, jobs, "round $round", reservations)
            val byId = specs.associateBy { it.id }
            for ((id, placed) in output.placed.groupBy { it.machine }) {
                val sum = placed.fold(Resources.NONE) { sum, task -> sum + byId.getValue(task.task.job).resources }
                val capacity = machines.single { it.id == id }.capacity
                // Each of 400 tasks may exceed the rest of a machine by the tolerance for rounding.
                assertTrue(sum.fitsIn(capacity + Resources(1e-3, 1e-3, 1e-3)), "round $round: $sum on $id")
            }
        }
    }
}
