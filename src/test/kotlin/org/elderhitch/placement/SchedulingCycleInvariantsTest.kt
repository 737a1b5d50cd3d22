package org.elderhitch.placement

import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.placement.CycleFixture.decide
import org.elderhitch.placement.CycleFixture.job
import org.elderhitch.placement.CycleFixture.machine
import org.elderhitch.placement.CycleFixture.machineCapacity
import org.elderhitch.placement.CycleFixture.quota
import org.elderhitch.placement.CycleFixture.spec
import org.elderhitch.placement.CycleFixture.taskRequest
import org.elderhitch.placement.CycleFixture.wholeMachineRequest
import org.elderhitch.settings.Zone
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A scheduling cycle enforces limits, placement constraints and capacities for random and for large inputs. */
class SchedulingCycleInvariantsTest {
    @Test
    fun `a cycle enforces limits, placement constraints and capacities for random input`() {
        val random = Random(6)
        repeat(400) { cycle ->
            val zones = listOf("a", "b", "c")
            val machines = List(random.nextInt(1, 12)) {
                machine(
                    "m$it",
                    zones.random(random),
                    random.nextBoolean(),
                    machineCapacity * 1 - taskRequest * random.nextInt(8),
                    listOf("g8", "g4").random(random),
                )
            }
            val jobs = List(random.nextInt(1, 12)) { n ->
                val kind = JobKind.entries.random(random)
                job(
                    spec(
                        n, kind, random.nextInt(1, 9), Priority.entries.random(random),
                        Resources(
                            random.nextInt(1, 20).toDouble(),
                            random.nextInt(0, 4).toDouble(),
                            random.nextInt(1, 100).toDouble(),
                        ),
                        spread = kind != JobKind.GANG && random.nextBoolean(),
                        oneZone = kind == JobKind.GANG && random.nextBoolean(),
                        spot = random.nextBoolean(),
                        zone = if (random.nextInt(4) == 0) Zone(zones.random(random)) else null,
                        types = if (random.nextInt(3) == 0) setOf(MachineType("g8")) else null,
                    ),
                    revision = n.toLong() + 1,
                )
            }
            val limit = random.nextInt(4, 40).toDouble()
            val output = decide(machines, jobs, quota(limit))
            assertConstraintsHold("scheduling cycle $cycle", machines, jobs, output, limit)
        }
    }

    /**
     * The cost of a cycle must grow with the free capacity, not with jobs x tasks x machines: here that would examine
     * machines 12 million times, which takes a small controller longer than a worker's lease.
     */
    @Test
    fun `a cycle enforces limits and examines few machines when a large fleet is full and has a backlog`() {
        val random = Random(7)
        repeat(3) { cycle ->
            val task = Resources(5.0, 1.0, 27.0)
            val machines = List(1300) { n ->
                val busy = if (random.nextInt(20) == 0) random.nextInt(9) else 8
                val running =
                    List(busy) { PreemptionCandidate(TaskId(JobId("req-old"), n * 8 + it), Priority.NORMAL, task) }
                machine(
                    "m$n",
                    listOf("a", "b").random(random),
                    n % 2 == 0,
                    machineCapacity - task * busy,
                    images = setOf(Image("img-${n % 9}")),
                    preemptible = running,
                )
            }
            val jobs = List(240) { n ->
                when (n % 3) {
                    0 -> job(spec(n, JobKind.ARRAY, 60, resources = task, image = "img-${n % 16}"), n.toLong())

                    1 -> job(
                        spec(
                            n,
                            JobKind.GANG,
                            1 shl (n % 4),
                            Priority.HIGH,
                            wholeMachineRequest,
                            oneZone = true,
                            spot = false,
                        ),
                        n.toLong(),
                    )

                    else -> job(
                        spec(n, JobKind.ARRAY, 40, resources = Resources(3.0, 1.0, 20.0), image = "img-${n % 16}"),
                        n.toLong(),
                    )
                }
            }
            val output = decide(machines, jobs, quota(200.0))
            assertConstraintsHold("scheduling cycle $cycle", machines, jobs, output, 200.0)
            assertTrue(output.placed.isNotEmpty(), "scheduling cycle $cycle: no task was placed")
            // Typically about 7,900.
            val visits = output.machineVisits
            assertTrue(visits < 20_000, "scheduling cycle $cycle: $visits machine visits")
        }
    }

    private fun assertConstraintsHold(
        context: String,
        machines: List<MachineView>,
        jobs: List<JobView>,
        output: CycleOutput,
        limit: Double,
    ) {
        val specs = jobs.associate { it.spec.id to it.spec }
        val byMachine = machines.associateBy { it.id }
        assertEquals(output.placed.size, output.placed.map { it.task }.toSet().size, "$context: task placed twice")
        assertTrue(
            output.placed.sumOf { specs.getValue(it.task.job).resources.gpus } <= limit + 1e-6,
            "$context: the team's limit is exceeded",
        )
        for ((id, placed) in output.placed.groupBy { it.machine }) {
            val requested = placed.fold(Resources.NONE) { sum, p -> sum + specs.getValue(p.task.job).resources }
            assertTrue(requested.fitsIn(byMachine.getValue(id).load.free), "$context: the capacity of $id is exceeded")
        }
        for ((id, placed) in output.placed.groupBy { it.task.job }) {
            val spec = specs.getValue(id)
            val where = placed.map { byMachine.getValue(it.machine) }
            assertTrue(where.all { spec.spotAllowed || !it.spot }, "$context: spot machine not allowed")
            assertTrue(where.all { spec.zone == null || it.zone == spec.zone }, "$context: zone not allowed")
            assertTrue(where.all { spec.types == null || it.type in spec.types }, "$context: type not allowed")
            if (spec.oneZone) assertEquals(1, where.map { it.zone }.toSet().size, "$context: several zones")
            assertTrue(
                where.groupBy { it.zone }.values.all { it.size <= spec.maxTasksPerZone },
                "$context: too many tasks in a zone",
            )
            if (spec.kind == JobKind.GANG) assertEquals(spec.tasks, placed.size, "$context: gang placed incompletely")
        }
    }
}
