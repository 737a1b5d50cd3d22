package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.SimulationSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Workers that can't open connections to any controller, while commands and probes sent to their own addresses reach
 * them (`docs/design/fault-scenarios.md`).
 */
class OneWayPartitionTest {
    /**
     * Regression: such a machine answered each probe, so it counted as alive, was given new tasks through its own
     * address and was never terminated. But nothing renewed its lease, so all its tasks ended with each agent epoch.
     */
    @Test
    fun `a machine that only answers probes gets no new tasks and is terminated`() = faultScenario(1L..4L, {
        SimulationSettings(it, heartbeatIntervalS = 3.0, leaseS = 17.5, maxGpus = 80.0)
    }) { seed ->
        submit("req-1", "daemon", 6, 0.0, mapOf("cores" to 20.0))
        submit("req-2", "array", 6, 300.0, mapOf("cores" to 20.0))
        untilRunning("req-1", 6)
        untilRunning("req-2", 6)
        val unableToConnect = hosts("req-1").values.toSet().sorted().take(2).toSet()
        cluster.network.unableToConnect = unableToConnect
        delay(9.seconds)
        val startsBefore = starts.size
        // This job would go to the fullest machines, which these are.
        submit("req-3", "array", 20, 5.0)
        delay(10.seconds)
        assertTrue(starts.drop(startsBefore).any { it.first.startsWith("req-3/") }, "some tasks were started")
        assertEquals(
            emptyList(),
            starts.drop(startsBefore).filter { it.second in unableToConnect },
            "seed $seed: no new tasks on a machine whose lease runs out",
        )
        cluster.until("the service's tasks of these machines run elsewhere", 25.seconds) {
            running("req-1") == 6 && hosts("req-1").values.none { it in unableToConnect }
        }
        cluster.until("these machines are terminated", 60.seconds) {
            cluster.platform.cloud.machines().none { it.id in unableToConnect }
        }
        assertTrue(
            cluster.leaseExpirations <= 12,
            "seed $seed: ${cluster.leaseExpirations} tasks ended with their leases",
        )
    }

    /**
     * Probes reach the machines, so the takeover completes at once. Their tasks run until the lease ends, and are then
     * started elsewhere.
     */
    @Test
    fun `machines that can't open connections when the leader changes`() = faultScenario(1L..4L) { seed ->
        submit("req-1", "daemon", 8, 0.0, mapOf("cores" to 20.0, "spread" to true))
        submit("req-2", "array", 10, 60.0)
        untilRunning("req-1", 8)
        untilRunning("req-2", 10)
        val leader = assertNotNull(cluster.leader())
        val unableToConnect = cluster.platform.workers().keys.sorted()
            .filterIndexed { n, _ -> n % 3 == (seed % 3).toInt() }
            .toSet()
        cluster.network.unableToConnect = unableToConnect
        delay((seed * 2).seconds)
        cluster.crash(leader)
        delay(6.seconds)
        cluster.startNode(leader)
        submit("req-3", "array", 10, 10.0)
        cancel("req-2", (cluster.names - leader).first(), 30.seconds)
        delay(cancelLimit)
        cluster.network.unableToConnect = emptySet()
        checker.faultsEnded()
        cluster.until("all tasks of the service run", 60.seconds) { running("req-1") == 8 }
        cluster.until("the remaining array is done", 60.seconds) {
            poll("req-3", cluster.names[0])
            checker.terminalStateOf("req-3") == "done"
        }
    }

    /**
     * An interval shorter than a lease loses no tasks, provided that these machines aren't terminated sooner than
     * others that send no heartbeats.
     */
    @Test
    fun `machines that can't open connections for a few seconds keep their tasks`() = faultScenario(1L..3L) { seed ->
        submit("req-1", "daemon", 8, 0.0, mapOf("cores" to 20.0))
        untilRunning("req-1", 8)
        cluster.network.unableToConnect = hosts("req-1").values.toSet()
        delay((3 + seed).seconds)
        cluster.network.unableToConnect = emptySet()
        delay(30.seconds)
        assertEquals(8, running("req-1"))
        assertTrue((0..7).all { cluster.startsOf["req-1/$it"] == 1 }, "seed $seed: ${cluster.startsOf}")
    }

    /**
     * The tasks on workers that a lease delegate answers run on, though the leader hears of these workers only through
     * its probes. Terminating the machines as one-way partitioned would end the tasks.
     */
    @Test
    fun `workers that a lease delegate answers don't count as one-way partitioned`() = faultScenario(1L..3L, {
        SimulationSettings(
            it,
            heartbeatIntervalS = 3.0,
            leaseS = 17.5,
            maxGpus = 80.0,
            machinesPerZone = 12,
            nodeZones = listOf("a", "a", "b"),
        )
    }) { seed ->
        submit("req-1", "daemon", 8, 0.0, mapOf("cores" to 24.0, "spread" to true))
        untilRunning("req-1", 8)
        ensureFollower("n2")
        delay(15.seconds)
        val zoneBMachines = cluster.platform.workers().keys.filter { cluster.machine(it)?.zone == "b" }.toSet()
        val hostsBefore = hosts("req-1")
        assertTrue(hostsBefore.values.any { it in zoneBMachines })
        // n2 loses the state service and the other controllers; the workers of its zone reach only n2.
        val cut = cutOff("n2", CutMode.RESET, "state", "n0", "n1")
        cluster.network.reachableByUnableToConnect = setOf("n2")
        cluster.network.unableToConnect = zoneBMachines
        delay((22 + seed).seconds)
        assertEquals(hostsBefore, hosts("req-1"), "seed $seed: after more than a lease no task was lost or moved")
        assertEquals(0, cluster.leaseExpirations)
        cluster.network.unableToConnect = emptySet()
        cluster.network.heal(cut)
        delay(30.seconds)
        assertEquals(8, running("req-1"))
        assertTrue((0..7).all { cluster.startsOf["req-1/$it"] == 1 }, "seed $seed: ${cluster.startsOf}")
    }
}
