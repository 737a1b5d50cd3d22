package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.SimulationSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Machines that are lost, cut off or just provisioned. */
class MachineLossTest {
    /**
     * The tasks on machines of a zone that is cut off from everything run on. Silent machines are otherwise terminated
     * one by one; terminating the whole zone would end its tasks and leave the deployment without these machines long
     * after the cut.
     */
    @Test
    fun `machines of a zone that is cut off are not terminated, and are used again after the cut`() =
        runInSimulatedCluster {
            submit("req-1", "daemon", 10, 0.0, mapOf("cores" to 40.0))
            until("all run", 90.seconds) { onMachine.size == 10 }
            val zoneMachines = platform.cloud.machines()
                .filter { it.zone == "b" && it.id in onMachine.values }
                .map { it.id }
                .toSet()
            assertTrue(zoneMachines.size >= 4, "$zoneMachines")
            silentWorkers = zoneMachines
            delay(40.seconds)
            assertTrue(
                platform.cloud.machines().map { it.id }.containsAll(zoneMachines),
                "terminated: ${zoneMachines - platform.cloud.machines().map { it.id }.toSet()}",
            )
            silentWorkers = emptySet()
            until("all run again", 60.seconds) { onMachine.size == 10 }
            assertNoViolations()
        }

    @Test
    fun `lost machines are replaced in any order of crashes`() {
        for (seed in 1L..4L) {
            runInSimulatedCluster(SimulationSettings(seed)) {
                submit("req-1", "daemon", 6, 0.0, mapOf("spread" to true))
                submit("req-2", "array", 20, 8.0)
                submit("req-3", "gang", 4, 20.0)
                until("all tasks of the service run", 60.seconds) { (0..5).all { "req-1/$it" in onMachine } }
                val random = kotlin.random.Random(seed)
                repeat(4) {
                    onMachine.values.toSet().randomOrNull(random)?.let(platform::kill)
                    delay(random.nextInt(1, 8).seconds)
                    val node = names.random(random)
                    crash(node)
                    delay(random.nextInt(1, 9).seconds)
                    startNode(node)
                }
                until("all done", 300.seconds) { jobState("req-2") == "done" && jobState("req-3") == "done" }
                until("all tasks of the service run again", 120.seconds) { (0..5).all { "req-1/$it" in onMachine } }
                assertNoViolations()
            }
        }
    }

    /**
     * Regression: while a morning's fleet booted, each plan provisioned one or two machines too many, some twenty of
     * 165.
     */
    @Test
    fun `machines that have just booted are not provisioned a second time`() {
        for (seed in 1L..6L) {
            runInSimulatedCluster(SimulationSettings(seed)) {
                submit("req-1", "array", 8, 60.0, mapOf("cores" to 40.0))
                until("all run", 60.seconds) { onMachine.size == 8 }
                delay(5.seconds)
                assertEquals(8, platform.cloud.machines().size, "seed $seed")
            }
        }
    }
}
