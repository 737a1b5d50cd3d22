package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.WorldSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Overlapping faults in which a leader doesn't know of cancellations that users were told of, or can't carry them out
 * (`docs/design/fault-scenarios.md`).
 */
class StaleKnowledgeFaultsTest {
    /**
     * The state service refuses the leader alone while another node confirms a cancellation, and then answers nobody
     * for longer than `cancel_s`.
     */
    @Test
    fun `tasks withdrawn while the leader alone is refused are gone in time through an outage for all`() =
        faultScenario(1L..6L) { seed ->
            submit("req-1", "array", 10, 300.0)
            submit("req-2", "daemon", 6, 0.0)
            untilRunning("req-1", 10)
            val leader = assertNotNull(cluster.leader())
            cluster.network.refused.add(leader)
            delay((seed * 400).milliseconds)
            cancelUnseenByPeers("req-1", cluster.names.first { it != leader })
            assertEquals(10, running("req-1"), "the leader had not heard of it")
            delay(200.milliseconds)
            cluster.platform.state.down = true
            delay(11.seconds)
            cluster.network.refused.remove(leader)
            delay(cancel + 1.seconds)
            assertEquals(0, running("req-1"))
            cluster.platform.state.down = false
            cluster.until("the service is back", 60.seconds) { running("req-2") == 6 }
            delay(cancel)
            assertEquals(0, running("req-1"))
        }

    /**
     * (a) A renewed lease proves leadership, but not knowledge of what was recorded. Regression: without a freshness
     * check a leader kept cancelled tasks for as long as its watch was silent.
     */
    @Test
    fun `a leader that renews its lease and hears no changes neither keeps withdrawn tasks nor the lead`() =
        faultScenario(1L..3L) {
            submit("req-1", "array", 10, 300.0)
            untilRunning("req-1", 10)
            val leader = assertNotNull(cluster.leader())
            cluster.network.watchless.add(leader)
            delay(3.seconds)
            cancelUnseenByPeers("req-1", cluster.names.first { it != leader })
            delay(cancel + 1.seconds)
            assertEquals(0, running("req-1"))
            assertNotEquals(leader, cluster.leader(), "it renewed its lease and could do nothing")
            submit("req-2", "array", 2, 5.0)
            cluster.until("others serve", 60.seconds) {
                poll("req-2", cluster.names.first { it != leader })
                rules.finalOf("req-2") ==
                    "done"
            }
        }

    /**
     * (b) After an outage the lease has its full time again at once; what was withdrawn before it comes with the next
     * watch.
     */
    @Test
    fun `a leader whose lease is back before its knowledge starts nothing that was withdrawn`() =
        faultScenario(1L..3L) { seed ->
            submit("req-1", "array", 10, 300.0)
            untilRunning("req-1", 10)
            val leader = assertNotNull(cluster.leader())
            cluster.network.refused.add(leader)
            delay(1.seconds)
            cancelUnseenByPeers("req-1", cluster.names.first { it != leader })
            cluster.platform.state.down = true
            cluster.network.refused.remove(leader)
            delay(cancel + 5.seconds)
            assertEquals(0, running("req-1"), "its leases are over")
            val starts = cluster.startsOf.values.sum()
            // The lease is renewed at once, while all that changed takes some seconds to be told.
            cluster.network.slowState = { if (it.path == "/watch") (2 + seed).seconds else Duration.ZERO }
            cluster.platform.state.down = false
            delay(12.seconds)
            cluster.network.slowState = { Duration.ZERO }
            delay(10.seconds)
            assertEquals(starts, cluster.startsOf.values.sum(), "nothing of it was started again")
        }

    /** (c) A stop is lost. Regression: responses that the leader gave after its lease window contained no stops. */
    @Test
    fun `a stop that a deaf worker did not hear goes with the answers that a leader past its window gives`() =
        faultScenario(1L..4L) { seed ->
            submit("req-1", "array", 10, 300.0)
            untilRunning("req-1", 10)
            val leader = assertNotNull(cluster.leader())
            cluster.network.deaf = hosts("req-1").values.toSet()
            delay(500.milliseconds)
            cancel("req-1", cluster.names.first { it != leader })
            delay(4.seconds + (seed * 300).milliseconds)
            cluster.platform.state.down = true
            delay(1.seconds)
            assertEquals(10, running("req-1"), "the stops were lost")
            cluster.network.deaf = emptySet()
            cluster.until("gone by the answers of a leader that may start nothing", 10.seconds) {
                running("req-1") == 0
            }
            delay(cancel)
            cluster.platform.state.down = false
            delay(20.seconds)
        }

    /**
     * (d) Each of two leaders answers heartbeats for a grace period of its own without a stop: the first doesn't know
     * of the cancellation, and the second answers workers that are not accounted for.
     */
    @Test
    fun `a chain of leaders keeps a withdrawn task for no longer than one`() = faultScenario(1L..4L) { seed ->
        submit("req-1", "array", 10, 300.0)
        untilRunning("req-1", 10)
        val first = assertNotNull(cluster.leader())
        val others = cluster.names - first
        // It loses the state service and the other controllers; users and workers reach it.
        cutOff(first, if (seed % 2 == 0L) CutMode.HOLD else CutMode.RESET, "state", *others.toTypedArray())
        delay(500.milliseconds)
        cancel("req-1", others.first())
        cluster.until("another leads", 15.seconds) { cluster.leader() in others }
        assertEquals(10, running("req-1"), "workers stay with the first")
        // What the second asks them at their own addresses is lost, until it is past its window as well.
        cluster.network.pairs.addAll(others.map { it to "workers" })
        delay((8 + seed * 2).seconds)
        cluster.platform.state.down = true
        delay(2.seconds)
        delay(cancel - 12.seconds)
        cluster.platform.state.down = false
        delay(10.seconds)
        assertEquals(0, running("req-1"))
    }

    /**
     * (e) A leader learns of a cancellation late. Regression: a lease delegate named in that moment kept the tasks as
     * if users had just been told.
     */
    @Test
    fun `a zone that is cut off when its leader learns of an old withdrawal is kept for no longer than that allows`() =
        faultScenario(1L..3L, {
            WorldSettings(
                it,
                reportS = 3.0,
                machinesPerZone = 12,
                mostGpus = 60.0,
                leaseS = 17.5,
                nodeZones = listOf("a", "a", "b"),
            )
        }) { seed ->
            submit("req-1", "daemon", 8, 0.0, mapOf("cores" to 40.0, "spread" to true))
            untilRunning("req-1", 8)
            ensureFollower("n2")
            delay(20.seconds)
            val leader = assertNotNull(cluster.leader())
            val there = hosts("req-1").values.filter { cluster.machine(it)?.zone == "b" }.toSet()
            assertTrue(there.isNotEmpty())
            cluster.network.refused.add(leader)
            delay(1.seconds)
            cancelUnseenByPeers("req-1", cluster.names.first { it != leader && it != "n2" })
            cluster.platform.state.down = true
            cluster.network.refused.remove(leader)
            delay((14 + seed).seconds)
            // The workers of zone b don't hear the stops that the leader sends as soon as it knows.
            cluster.network.deaf = there
            cluster.platform.state.down = false
            delay(1500.milliseconds)
            assertTrue(hosts("req-1").values.any { it in there })
            cut(CutMode.RESET) { a, b -> (cluster.zoneOf(a) == "b") != (cluster.zoneOf(b) == "b") }
            cluster.network.deaf = emptySet()
            delay(cancel)
            assertEquals(0, running("req-1"))
        }
}
