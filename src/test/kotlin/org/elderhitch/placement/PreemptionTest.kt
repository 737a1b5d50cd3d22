package org.elderhitch.placement

import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.placement.CycleFixture.decide
import org.elderhitch.placement.CycleFixture.job
import org.elderhitch.placement.CycleFixture.machine
import org.elderhitch.placement.CycleFixture.preemptible
import org.elderhitch.placement.CycleFixture.productionService
import org.elderhitch.placement.CycleFixture.quota
import org.elderhitch.placement.CycleFixture.spec
import org.elderhitch.placement.CycleFixture.taskRequest
import org.elderhitch.placement.CycleFixture.wholeMachineRequest
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Which tasks a scheduling cycle preempts, and for which jobs. */
class PreemptionTest {
    @Test
    fun `a task that no machine has capacity for preempts only tasks of lower priority`() {
        fun full(priority: Priority) =
            machine("m1", free = Resources(0.0, 0.0, 0.0), preemptible = preemptible(8, priority))
        val urgent = job(productionService(1))
        assertEquals(1, decide(listOf(full(Priority.LOW)), listOf(urgent)).preempted.size)
        assertEquals(0, decide(listOf(full(Priority.PRODUCTION)), listOf(urgent)).preempted.size)
        val equal = job(spec(2, priority = Priority.LOW))
        assertEquals(0, decide(listOf(full(Priority.LOW)), listOf(equal)).preempted.size)
    }

    @Test
    fun `a service preempts tasks on a machine with its image if fetching the image elsewhere takes longer`() {
        val victims = preemptible(8, Priority.LOW)
        fun warm(releasing: Resources = Resources.NONE) = machine(
            "m1",
            free = Resources(0.0, 0.0, 0.0),
            images = setOf(Image("img")),
            preemptible = victims,
            releasing = releasing,
        )
        fun service(gb: Double) = job(productionService(1, imageGb = gb))
        val long = decide(listOf(warm(), machine("m2")), listOf(service(50.0)))
        assertEquals(0 to 1, long.placed.size to long.preempted.size)
        assertTrue(long.unplaced.isEmpty(), "no machine is provisioned for it")
        val short = decide(listOf(warm(), machine("m2")), listOf(service(5.0)))
        assertEquals(1 to 0, short.placed.size to short.preempted.size)
        // If enough capacity is already being released, nothing more is preempted.
        val second = decide(listOf(warm(releasing = taskRequest), machine("m2")), listOf(service(50.0)))
        assertEquals(0 to 0, second.placed.size to second.preempted.size)
    }

    @Test
    fun `a service joins a fetch of its image that is nearly complete, rather than start another`() {
        val service = job(productionService(1, imageGb = 20.0))
        val victims = preemptible(4, Priority.LOW)
        fun fetchingMachine(remainingGb: Double) = machine(
            "joined",
            free = Resources.NONE,
            preemptible = victims,
            remainingFetchGb = mapOf(Image("img") to remainingGb),
            fetchGbPerS = 0.25,
        )
        val empty = machine("empty", fetchGbPerS = 0.25)
        assertEquals(1, decide(listOf(fetchingMachine(5.0), empty), listOf(service)).preempted.size)
        assertEquals(
            "empty",
            decide(listOf(fetchingMachine(19.0), empty), listOf(service)).placed.single().machine.text,
        )
    }

    @Test
    fun `nothing is preempted, reserved or provisioned for a job that failed wherever it ran`() {
        val victims = preemptible(8, Priority.LOW)
        val machine = machine("m", free = Resources(16.0, 0.0, 100.0), preemptible = victims)
        for (kind in listOf(JobKind.ARRAY, JobKind.GANG)) {
            val tried = job(spec(1, kind, priority = Priority.HIGH, tasks = 2), isProbe = true)
            val output = decide(listOf(machine), listOf(tried))
            assertTrue(output.preempted.isEmpty() && output.unplaced.isEmpty(), "$kind")
            assertEquals(2, decide(listOf(machine("free")), listOf(tried)).placed.size, "$kind")
        }
    }

    /** Guards against restarting the same eight of 800 small jobs repeatedly, each after minutes of unsaved work. */
    @Test
    fun `tasks that lose least are preempted, and small ones only if large ones do not suffice`() {
        val now = MonotonicInstant(0) + 1000.seconds
        val gang = job(spec(1, JobKind.GANG, priority = Priority.HIGH, resources = wholeMachineRequest, spot = false))
        fun busy(id: String, since: MonotonicInstant?): MachineView {
            val large = List(7) {
                val task = TaskId(JobId("req-large$id"), it)
                PreemptionCandidate(task, Priority.LOW, Resources(5.0, 1.0, 27.0), since)
            }
            val small = List(32) {
                val task = TaskId(JobId("req-small$id"), it)
                PreemptionCandidate(task, Priority.LOW, Resources(0.25, 0.0, 1.0), now - it.seconds)
            }
            return machine(id, free = Resources(5.0, 1.0, 100.0), preemptible = small + large)
        }
        val machines = listOf(busy("1", now - 100.seconds), busy("2", null), busy("3", now - 30.seconds))
        val preempted = SchedulingCycle(CycleInput(machines, listOf(gang), quota(), now = now)).decide().preempted
        assertEquals(7, preempted.count { it.job.text == "req-large2" })
        assertEquals(
            (0..11).toSet(),
            preempted.filter { it.job.text == "req-small2" }.map { it.index }.toSet(),
            "the small tasks with the least unsaved work",
        )
        assertEquals(19, preempted.size)
    }

    /**
     * Guards against costly victims: a job whose 51 tasks all had capacity from its first second needed 102 starts, and
     * in one day 35 tasks of 32 CPUs were stopped for tasks of 4.
     */
    @Test
    fun `preemption spares jobs that are not late and much larger tasks if others can be stopped`() {
        val now = MonotonicInstant(0) + 1000.seconds
        fun victim(job: String, request: Resources, unsavedSeconds: Int) = PreemptionCandidate(
            TaskId(JobId("req-$job"), 0),
            Priority.NORMAL,
            request,
            now - unsavedSeconds.seconds,
        )
        val small = Resources(4.0, 0.0, 6.0)
        val urgent = job(spec(1, priority = Priority.HIGH, resources = small))
        val late = JobView(spec(8, resources = small), Revision(2), listOf(1), emptyMap(), null, isLate = true)
        fun preemptedJobs(vararg machines: MachineView) = SchedulingCycle(
            CycleInput(machines.toList(), listOf(urgent, late), quota(), now = now),
        ).decide().preempted.map { it.job.text }
        fun full(vararg victims: PreemptionCandidate, id: String = "m") =
            machine(id, free = Resources.NONE, preemptible = victims.toList())
        assertEquals(listOf("req-8"), preemptedJobs(full(victim("9", small, 1), victim("8", small, 25))))
        assertEquals(
            listOf("req-9"),
            preemptedJobs(full(victim("9", small, 1), victim("8", small, 45))),
            "a late job is spared if it would lose much more work",
        )
        val large = victim("7", Resources(32.0, 0.0, 56.0), 5)
        assertEquals(listOf("req-9"), preemptedJobs(full(large, victim("9", small, 60))))
        assertEquals(
            listOf("req-9"),
            preemptedJobs(full(large, id = "m1"), full(victim("9", small, 60), id = "m2")),
        )
    }
}
