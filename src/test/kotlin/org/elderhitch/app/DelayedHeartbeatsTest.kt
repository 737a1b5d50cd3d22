package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.lab.SimulationSettings
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Old heartbeats that reach a leader before newer ones do (`docs/design/fault-scenarios.md`). */
class DelayedHeartbeatsTest {
    /**
     * Copies of heartbeats are held until a new leader's key is written, and then delivered to every controller. They
     * name earlier agent epochs, terms and attempts, machines that are gone or were terminated, tasks that have ended
     * since, and preemption notices.
     */
    @Test
    fun `old heartbeats reach every controller just as a new leader's term begins`() = faultScenario(1L..10L) { seed ->
        val random = Random(seed)
        var delivered = 0
        cluster.network.retainsHeartbeatCopy = { random.nextInt(3) == 0 }
        cluster.platform.state.onPut = { key ->
            if (key == "v/a/leader") {
                cluster.simulationScope.launch {
                    delay(random.nextInt(0, 400).milliseconds)
                    delivered += cluster.network.deliverRetainedHeartbeats()
                }
            }
        }
        submit("req-0", "daemon", 6, 0.0, mapOf("cores" to 20.0, "spread" to true))
        submit("req-1", "array", 10, 25.0)
        submit("req-2", "gang", 3, 30.0, mapOf("samePlace" to true))
        submit("req-3", "array", 8, 300.0)
        untilRunning("req-0", 6)
        repeat(3) { n ->
            delay(random.nextInt(2, 12).seconds)
            // When their old heartbeats arrive, some machines are gone, some have a new agent epoch, and some were
            // preempted after a notice.
            val workers = cluster.platform.workers().toSortedMap()
            workers.keys.filter { random.nextInt(6) == 0 }.forEach(cluster.platform::kill)
            workers.filterKeys {
                cluster.machine(it)?.spot == true
            }.values.filter { random.nextInt(4) == 0 }.forEach { spot ->
                spot.notice = 6.seconds
                cluster.simulationScope.launch {
                    delay(7.seconds)
                    cluster.platform.cloud.remove(spot.id)
                }
            }
            val hanging = workers.values.filter { !it.gone && random.nextInt(4) == 0 }
            hanging.forEach { it.hang() }
            if (n == 1) cancel("req-3", cluster.names.filter(cluster::isUp).random(random), 30.seconds)
            delay(random.nextInt(1, 20).seconds)
            val leader = assertNotNull(cluster.leader())
            // A node that isn't crashed gets copies of heartbeats that it received in an earlier term.
            if (random.nextBoolean()) cluster.crash(leader) else cluster.network.refused.add(leader)
            cluster.untilReplaced(leader, 30.seconds)
            delay(random.nextInt(0, 2000).milliseconds)
            if (!cluster.isUp(leader)) cluster.startNode(leader)
            cluster.network.refused.remove(leader)
            hanging.forEach { it.resume() }
        }
        assertTrue(delivered > 20, "seed $seed: $delivered old heartbeats")
        cluster.network.retainsHeartbeatCopy = { false }
        cluster.platform.state.onPut = {}
        delay(30.seconds)
        checker.faultsEnded()
        cluster.until("all done", 200.seconds) {
            listOf(1, 2).all {
                poll("req-$it", cluster.names[0]) == 200 &&
                    checker.terminalStateOf("req-$it") == "done"
            }
        }
        cluster.until("all tasks of the service run", 60.seconds) { running("req-0") == 6 }
        assertEquals(0, running("req-3"))
        // Machines that were gone before the copies arrived are not adopted: no provisioning intent names them for
        // good.
        val existing = cluster.platform.cloud.machines().map { it.id }.toSet()
        cluster.until("intents name only existing machines", 60.seconds) {
            machinesInIntents() - existing == emptySet<String>()
        }
    }

    /** The machines that provisioning intents name. */
    private fun CheckedCluster.machinesInIntents(): Set<String> = cluster.platform.state.keys()
        .filter { it.startsWith("v/a/hire/") }
        .flatMap { cluster.platform.state.value(it)?.stringsOrNull("stalls").orEmpty() }
        .toSet()

    /**
     * A heartbeat arrives from a machine that was terminated long ago. It is no sign of life: the machine is not
     * adopted for good, and the takeover doesn't wait for its lease.
     */
    @Test
    fun `an old heartbeat of a machine that is gone delays no takeover`() = faultScenario(1L..4L, {
        SimulationSettings(it, heartbeatIntervalS = 3.0, leaseS = 17.5, maxGpus = 60.0)
    }) { seed ->
        submit("req-0", "daemon", 4, 0.0, mapOf("cores" to 20.0))
        submit("req-1", "array", 6, 400.0, mapOf("cores" to 20.0))
        untilRunning("req-0", 4)
        untilRunning("req-1", 6)
        cluster.network.retainsHeartbeatCopy = { true }
        delay(4.seconds)
        cluster.network.retainsHeartbeatCopy = { false }
        val killed = hosts("req-1").values.toSet().sorted().take(2)
        killed.forEach(cluster.platform::kill)
        val leader = assertNotNull(cluster.leader())
        cluster.crash(leader)
        cluster.platform.state.onPut = { key ->
            if (key == "v/a/leader") {
                cluster.simulationScope.launch {
                    delay((seed * 20).milliseconds)
                    cluster.network.deliverRetainedHeartbeats()
                }
            }
        }
        cluster.untilReplaced(leader, 30.seconds)
        cluster.startNode(leader)
        val began = cluster.clock.now()
        cluster.until("the tasks of the killed machines run elsewhere", 60.seconds) { running("req-1") == 6 }
        val took = cluster.clock.now() - began
        // A takeover with a dead and silent machine completes in some 5 s; an old heartbeat of that machine must not
        // extend this to a lease and more.
        assertTrue(took < 16.seconds, "seed $seed: $took")
    }
}
