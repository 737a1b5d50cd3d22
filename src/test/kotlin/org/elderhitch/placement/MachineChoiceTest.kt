package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
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
import org.elderhitch.store.Revision
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Which machines a scheduling cycle places tasks on. */
class MachineChoiceTest {
    @Test
    fun `tasks of the job that are already placed count towards its zone constraints`() {
        val machines = listOf(machine("a1", "a"), machine("b1", "b"))
        val spread = JobView(
            spec(1, JobKind.SERVICE, 3, spread = true, spot = false),
            Revision(1),
            pending = listOf(2),
            tasksPerZone = mapOf(Zone("a") to 2),
            joinAttempt = null,
        )
        assertEquals(listOf(MachineId("b1")), decide(machines, listOf(spread)).placed.map { it.machine })
        val oneZone = JobView(
            spec(2, JobKind.GANG, 2, oneZone = true),
            Revision(1),
            pending = listOf(1),
            tasksPerZone = mapOf(Zone("b") to 1),
            joinAttempt = null,
        )
        assertEquals(listOf(MachineId("b1")), decide(machines, listOf(oneZone)).placed.map { it.machine })
    }

    @Test
    fun `a task goes to a machine with its image, then to the fullest, and last to an empty one`() {
        fun emptier() = machine("m1", free = machineCapacity - taskRequest)
        fun fuller() = machine("m2", free = machineCapacity - Resources(4.0, 3.0, 30.0))
        assertEquals(MachineId("m2"), decide(listOf(emptier(), fuller()), listOf(job(spec(1)))).placed.single().machine)
        val warm = machine("m3", free = machineCapacity - taskRequest, images = setOf(Image("img")))
        assertEquals(
            MachineId("m3"),
            decide(listOf(emptier(), fuller(), warm), listOf(job(spec(2)))).placed.single().machine,
        )
        // Avoiding a short fetch does not justify using an empty machine, which a gang could use as a whole.
        val emptyWarm = machine("m4", images = setOf(Image("img")))
        assertEquals(MachineId("m2"), decide(listOf(emptyWarm, fuller()), listOf(job(spec(3)))).placed.single().machine)
    }

    @Test
    fun `services leave half a machine to preemptible tasks unless other jobs need whole machines`() {
        fun halfServices() = machine("m1", free = machineCapacity - Resources(16.0, 4.0, 120.0), serviceWeight = 26.0)
        fun fewServices() = machine("m2", free = machineCapacity - Resources(16.0, 4.0, 120.0), serviceWeight = 5.0)
        val service = job(productionService(1))
        fun chosenMachine(wholeMachinesNeeded: Boolean) = SchedulingCycle(
            CycleInput(
                listOf(halfServices(), fewServices()),
                listOf(service),
                quota(),
                wholeMachinesNeeded = wholeMachinesNeeded,
            ),
        ).decide().placed.single().machine
        assertEquals(MachineId("m2"), chosenMachine(wholeMachinesNeeded = false))
        assertEquals(MachineId("m1"), chosenMachine(wholeMachinesNeeded = true))
    }

    @Test
    fun `services are packed onto machines with services even if other machines are fuller`() {
        val fullOfTasks = machine("m1", free = machineCapacity - Resources(28.0, 7.0, 210.0))
        val someServices = machine("m2", free = machineCapacity - Resources(8.0, 2.0, 60.0), serviceWeight = 10.0)
        val service = job(productionService(1))
        assertEquals(
            MachineId("m2"),
            decide(listOf(fullOfTasks, someServices), listOf(service)).placed.single().machine,
        )
        assertEquals(
            MachineId("m1"),
            decide(listOf(fullOfTasks, someServices), listOf(job(spec(2)))).placed.single().machine,
        )
    }

    /**
     * Guards against concentrating fetches: after a zone failed, replicas with a dozen images were placed on two
     * machines, which then fetched for four minutes.
     */
    @Test
    fun `services that must fetch different images are spread over machines`() {
        val part = machineCapacity - taskRequest
        val machines = List(6) { machine("m$it", free = part) }
        val jobs = List(6) {
            job(productionService(it, imageGb = 8.0).copy(image = Image("img-$it")), it + 1L)
        }
        assertEquals(6, decide(machines, jobs).placed.map { it.machine }.toSet().size)
        val busy = machine(
            "m1",
            free = machineCapacity - Resources(8.0, 2.0, 60.0),
            remainingFetchGb = mapOf(Image("other") to 8.0),
        )
        assertEquals(
            MachineId("m2"),
            decide(listOf(busy, machine("m2", free = part)), listOf(job(spec(9)))).placed.single().machine,
        )
        // Tasks that share an image share its fetch.
        val same = List(3) { job(productionService(it, imageGb = 8.0), it + 1L) }
        assertEquals(1, decide(machines, same).placed.map { it.machine }.toSet().size)
    }

    /**
     * Guards against idle GPUs: 25,000 tasks that request a quarter of a CPU each used the CPUs of all machines, so no
     * task could use the GPUs.
     */
    @Test
    fun `tasks that use no GPUs leave the CPUs that the free GPUs need`() {
        val hostResourcesPerGpu = Resources(5.0, 0.0, 36.0)
        val small = spec(1, tasks = 1000, resources = Resources(0.25, 0.0, 1.8))
        val gpuTasks = spec(2, tasks = 8, resources = Resources(5.0, 1.0, 36.0))
        fun cycle(jobs: List<JobView>, machine: MachineView) =
            SchedulingCycle(CycleInput(listOf(machine), jobs, quota(), hostResourcesPerGpu = hostResourcesPerGpu))
                .decide().placed
        val first = cycle(listOf(job(small)), machine("m"))
        assertEquals(32, first.size, "8 of 48 CPUs remain beside the 8 GPUs")
        val left = machineCapacity - small.resources * first.size
        assertEquals(8, cycle(listOf(job(gpuTasks)), machine("m", free = left)).size)
        val busy = machine("m", free = Resources(8.0, 0.0, 96.0))
        assertEquals(32, cycle(listOf(job(small)), busy).size, "all CPUs may be used when no GPU is free")
        assertEquals(
            1,
            cycle(listOf(job(spec(3, resources = Resources(16.0, 0.0, 64.0)))), machine("m")).size,
            "a task that never fits beside the GPUs is exempt",
        )
        assertEquals(
            192,
            SchedulingCycle(CycleInput(listOf(machine("m")), listOf(job(small)), quota())).decide().placed.size,
            "no job uses GPUs",
        )
    }

    /**
     * Guards against slow cold starts: services that were placed later fetched 21 GB again elsewhere, since machines
     * that had their images were full of services.
     */
    @Test
    fun `while most of the fleet boots, services use half of a machine and the largest images come first`() {
        val services = List(4) {
            val spec = spec(it, JobKind.SERVICE, 4, Priority.PRODUCTION, image = "img$it", imageGb = 5.0 + it)
            job(spec, revision = it + 1L)
        }
        val machines = List(2) { machine("m$it") }
        fun whileBooting(jobs: List<JobView>, on: List<MachineView>) =
            SchedulingCycle(CycleInput(on, jobs, quota(), mostlyBooting = true)).decide()
        val output = whileBooting(services, machines)
        assertEquals(listOf(3, 2, 1).map { JobId("req-$it") }, output.placed.map { it.task.job }.distinct())
        assertTrue(
            output.placed.groupBy { it.machine }.values.all { it.size == 5 },
            "five services weigh 25, and half a machine weighs 28",
        )
        assertEquals(6, output.unplaced.sumOf { it.count })
        assertEquals(16, decide(machines, services).placed.size, "no capacity is held back after the cold start")
        val warm = machine(
            "m",
            free = machineCapacity - taskRequest * 4,
            images = setOf(Image("img0")),
            serviceWeight = 20.0,
        )
        assertEquals(
            4,
            whileBooting(listOf(services[0]), listOf(warm)).placed.size,
            "a machine with the image is used at once",
        )
    }
}
