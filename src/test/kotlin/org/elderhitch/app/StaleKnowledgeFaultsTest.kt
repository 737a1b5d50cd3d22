package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.SimulationSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Overlapping faults in which a leader doesn't know of cancellations that were confirmed to users, or can't carry them
 * out (`docs/design/fault-scenarios.md`).
 */
class StaleKnowledgeFaultsTest {
    /**
     * The state service refuses the leader alone while another node confirms a cancellation, and then answers no node
     * for longer than `cancel_s`.
     */
    @Test
    fun `tasks cancelled while only the leader is refused are gone in time during a following outage`() =
        faultScenario(1L..6L) { seed ->
            submit("req-1", "array", 10, 300.0)
            submit("req-2", "daemon", 6, 0.0)
            untilRunning("req-1", 10)
            val leader = assertNotNull(cluster.leader())
            cluster.network.refused.add(leader)
            delay((seed * 400).milliseconds)
            cancelUnseenByPeers("req-1", cluster.names.first { it != leader })
            assertEquals(10, running("req-1"), "the leader doesn't know of the cancellation")
            delay(200.milliseconds)
            cluster.platform.state.down = true
            delay(11.seconds)
            cluster.network.refused.remove(leader)
            delay(cancelLimit + 1.seconds)
            assertEquals(0, running("req-1"))
            cluster.platform.state.down = false
            cluster.until("all tasks of the service run", 60.seconds) { running("req-2") == 6 }
            delay(cancelLimit)
            assertEquals(0, running("req-1"))
        }

    /**
     * A renewed lease proves leadership, but not knowledge of what was recorded. Regression: without a freshness check
     * a leader kept cancelled tasks running for as long as its watch received no events.
     */
    @Test
    fun `a leader that renews its lease but receives no changes keeps neither cancelled tasks nor leadership`() =
        faultScenario(1L..3L) {
            submit("req-1", "array", 10, 300.0)
            untilRunning("req-1", 10)
            val leader = assertNotNull(cluster.leader())
            cluster.network.withoutWatchResponses.add(leader)
            delay(3.seconds)
            cancelUnseenByPeers("req-1", cluster.names.first { it != leader })
            delay(cancelLimit + 1.seconds)
            assertEquals(0, running("req-1"))
            assertNotEquals(leader, cluster.leader(), "it renewed its lease but didn't learn of changes")
            submit("req-2", "array", 2, 5.0)
            cluster.until("the next leader completes a job", 60.seconds) {
                poll("req-2", cluster.names.first { it != leader })
                checker.terminalStateOf("req-2") == "done"
            }
        }

    /**
     * After an outage the lease has its full duration again at once, but the leader learns of earlier cancellations
     * only with the next watch response.
     */
    @Test
    fun `a leader that renews its lease before it learns of cancellations starts no cancelled task`() =
        faultScenario(1L..3L) { seed ->
            submit("req-1", "array", 10, 300.0)
            untilRunning("req-1", 10)
            val leader = assertNotNull(cluster.leader())
            cluster.network.refused.add(leader)
            delay(1.seconds)
            cancelUnseenByPeers("req-1", cluster.names.first { it != leader })
            cluster.platform.state.down = true
            cluster.network.refused.remove(leader)
            delay(cancelLimit + 5.seconds)
            assertEquals(0, running("req-1"), "the workers' leases have ended")
            val startsBefore = cluster.startsOf.values.sum()
            // The leader's lease is renewed at once, while the watch takes some seconds to report the changes.
            cluster.network.slowState = { if (it.path == "/watch") (2 + seed).seconds else Duration.ZERO }
            cluster.platform.state.down = false
            delay(12.seconds)
            cluster.network.slowState = { Duration.ZERO }
            delay(10.seconds)
            assertEquals(startsBefore, cluster.startsOf.values.sum(), "no cancelled task was started again")
        }

    /** A stop is lost. Regression: responses that the leader gave after its command window contained no stops. */
    @Test
    fun `a stop that a worker did not receive is repeated in responses of a leader past its command window`() =
        faultScenario(1L..4L) { seed ->
            submit("req-1", "array", 10, 300.0)
            untilRunning("req-1", 10)
            val leader = assertNotNull(cluster.leader())
            cluster.network.unableToReceive = hosts("req-1").values.toSet()
            delay(500.milliseconds)
            cancel("req-1", cluster.names.first { it != leader })
            delay(4.seconds + (seed * 300).milliseconds)
            cluster.platform.state.down = true
            delay(1.seconds)
            assertEquals(10, running("req-1"), "the stops were lost")
            cluster.network.unableToReceive = emptySet()
            cluster.until("tasks gone by responses of a leader that may start none", 10.seconds) {
                running("req-1") == 0
            }
            delay(cancelLimit)
            cluster.platform.state.down = false
            delay(20.seconds)
        }

    /**
     * Each of two leaders answers heartbeats for an answer grace period of its own without a stop: the first doesn't
     * know of the cancellation, and the second answers workers whose tasks are not accounted for yet.
     */
    @Test
    fun `two leaders in a row keep a cancelled task for no longer than one does`() = faultScenario(1L..4L) { seed ->
        submit("req-1", "array", 10, 300.0)
        untilRunning("req-1", 10)
        val firstLeader = assertNotNull(cluster.leader())
        val others = cluster.names - firstLeader
        // The first leader loses the state service and the other controllers; users and workers reach it.
        cutOff(firstLeader, if (seed % 2 == 0L) CutMode.HOLD else CutMode.RESET, "state", *others.toTypedArray())
        delay(500.milliseconds)
        cancel("req-1", others.first())
        cluster.until("another leads", 15.seconds) { cluster.leader() in others }
        assertEquals(10, running("req-1"), "workers still send heartbeats to the first leader")
        // Probes of the second leader to the workers' own addresses are lost, until it is past its command window as
        // well.
        cluster.network.cutPairs.addAll(others.map { it to "workers" })
        delay((8 + seed * 2).seconds)
        cluster.platform.state.down = true
        delay(2.seconds)
        delay(cancelLimit - 12.seconds)
        cluster.platform.state.down = false
        delay(10.seconds)
        assertEquals(0, running("req-1"))
    }

    /**
     * A leader learns of a cancellation late. Regression: a lease delegate that was appointed at that moment kept the
     * tasks alive as if the cancellation had just been confirmed.
     */
    @Test
    fun `a zone that is cut off when its leader learns of an old cancellation is not kept alive for too long`() =
        faultScenario(1L..3L, {
            SimulationSettings(
                it,
                heartbeatIntervalS = 3.0,
                machinesPerZone = 12,
                maxGpus = 60.0,
                leaseS = 17.5,
                nodeZones = listOf("a", "a", "b"),
            )
        }) { seed ->
            submit("req-1", "daemon", 8, 0.0, mapOf("cores" to 40.0, "spread" to true))
            untilRunning("req-1", 8)
            ensureFollower("n2")
            delay(20.seconds)
            val leader = assertNotNull(cluster.leader())
            val zoneBMachines = hosts("req-1").values.filter { cluster.machine(it)?.zone == "b" }.toSet()
            assertTrue(zoneBMachines.isNotEmpty())
            cluster.network.refused.add(leader)
            delay(1.seconds)
            cancelUnseenByPeers("req-1", cluster.names.first { it != leader && it != "n2" })
            cluster.platform.state.down = true
            cluster.network.refused.remove(leader)
            delay((14 + seed).seconds)
            // The workers of zone b don't receive the stops that the leader sends as soon as it learns of the
            // cancellation.
            cluster.network.unableToReceive = zoneBMachines
            cluster.platform.state.down = false
            delay(1500.milliseconds)
            assertTrue(hosts("req-1").values.any { it in zoneBMachines })
            cut(CutMode.RESET) { a, b -> (cluster.zoneOf(a) == "b") != (cluster.zoneOf(b) == "b") }
            cluster.network.unableToReceive = emptySet()
            delay(cancelLimit)
            assertEquals(0, running("req-1"))
        }
}
