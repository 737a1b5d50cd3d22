package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.Cut
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.WorldSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Zones that are cut off with a controller in them, for longer than a lease (`docs/design/recovery.md`). */
class LeaseDelegatesTest {
    private fun SimulatedCluster.cut(zone: String, mode: CutMode): Cut {
        val cut = Cut(mode) { from, to -> (zoneOf(from) == zone) != (zoneOf(to) == zone) }
        network.cuts.add(cut)
        return cut
    }

    private fun settings(seed: Long) = WorldSettings(
        seed,
        reportS = 3.0,
        machinesPerZone = 30,
        mostGpus = 400.0,
        leaseS = 24.0,
        nodeZones = listOf("a", "a", "b"),
    )

    private suspend fun SimulatedCluster.services() {
        submit("req-1", "daemon", 24, 0.0, mapOf("cores" to 40.0, "spread" to true))
        until("services whole", 120.seconds) { onMachine.keys.count { it.startsWith("req-1/") } == 24 }
        // The node in zone b must not lead, or it would hold the zone by itself.
        if (leader() == "n2") {
            crash("n2")
            untilReplaced("n2", 30.seconds)
            startNode("n2")
        }
        delay(20.seconds)
    }

    /**
     * The lease is 24 s, and the lease delegate answers for some 26 s: a cut of 34 s kills nothing, and starts nothing
     * anew.
     */
    @Test
    fun `what runs in a zone that is cut off for longer than a lease runs on`() {
        for (mode in CutMode.entries) {
            for (seed in 1L..3L) {
                world(settings(seed)) {
                    services()
                    val before = onMachine.toMap()
                    val starts = startsOf.values.sum()
                    assertTrue(before.values.any { machine(it)?.zone == "b" })
                    val cut = cut("b", mode)
                    delay(34.seconds)
                    assertEquals(before, onMachine.toMap(), "seed $seed: at the end of the cut")
                    network.heal(cut)
                    delay(20.seconds)
                    assertEquals(before, onMachine.toMap(), "seed $seed: after the cut")
                    assertEquals(starts, startsOf.values.sum(), "nothing was started anew")
                    until("the leader knows", 10.seconds) { survey()?.size == 24 }
                    assertRulesKept()
                }
            }
        }
    }

    /**
     * Two zones that can't reach each other both reach the state service, and users. Seen on the Chamo works: 566 tasks
     * of the zone without the leader ended with
     * their leases, since its nodes, which heard from the state service who leads, sent the workers on to it.
     */
    @Test
    fun `what runs in a zone that can't reach the leader's runs on, though both reach the state service`() {
        for (mode in CutMode.entries) {
            for (seed in 1L..3L) {
                world(settings(seed)) {
                    services()
                    val before = onMachine.toMap()
                    val cut = Cut(mode) { from, to ->
                        (zoneOf(from) to zoneOf(to)).let { (a, b) ->
                            a != null &&
                                b != null &&
                                a != b
                        }
                    }
                    network.cuts.add(cut)
                    delay(34.seconds)
                    assertEquals(before, onMachine.toMap(), "seed $seed: at the end of the cut")
                    network.heal(cut)
                    delay(20.seconds)
                    assertEquals(before, onMachine.toMap(), "seed $seed: after the cut")
                    until("the leader knows", 10.seconds) { survey()?.size == 24 }
                    assertRulesKept()
                }
            }
        }
    }

    /**
     * Nothing is started elsewhere before the last lease that the lease delegate may have renewed is over, and
     * everything soon after it.
     */
    @Test
    fun `a zone that stays away is replaced once its lease delegate's last answer and a lease are over`() {
        for (seed in 1L..3L) {
            world(settings(seed)) {
                submit("req-2", "daemon", 6, 0.0, mapOf("cores" to 40.0))
                services()
                val cut = cut("b", CutMode.RESET)
                until("services whole without zone b", 90.seconds) {
                    onMachine.values.all { machine(it)?.zone == "a" } &&
                        onMachine.keys.count { it.startsWith("req-2/") } == 6
                }
                network.heal(cut)
                until("all whole", 60.seconds) { onMachine.size == 30 }
                assertRulesKept()
            }
        }
    }

    /**
     * `ran_cancelled`: withdrawn at any moment around the cut, a task of the zone is gone within `cancel_s` (54 s here)
     * of its user's answer.
     */
    @Test
    fun `a job that is withdrawn while its zone is cut off is gone in time`() {
        for (seed in 1L..6L) {
            world(settings(seed)) {
                services()
                val cancelled = if (seed % 2 == 0L) null else ask("POST", "/work/req-1/withdraw", node = "n0").first
                network.cuts.add(Cut(CutMode.HOLD) { from, to -> (zoneOf(from) == "b") != (zoneOf(to) == "b") })
                if (cancelled == null) {
                    delay((seed - 1).seconds)
                    ask("POST", "/work/req-1/withdraw", node = "n0")
                }
                delay(54.seconds)
                assertEquals(emptyMap(), onMachine.toMap(), "seed $seed")
                assertRulesKept()
            }
        }
    }

    /** The leader dies during the cut, and its successor must outwait what it promised. */
    @Test
    fun `a lease delegate of an earlier term keeps what a new leader has not heard of from being started twice`() {
        for (seed in 1L..6L) {
            world(settings(seed)) {
                submit("req-2", "array", 60, 90.0, mapOf("cores" to 12.0))
                services()
                val cut = cut("b", if (seed % 2 == 0L) CutMode.HOLD else CutMode.RESET)
                delay((seed * 2).seconds)
                val led = leader()
                if (led != null) crash(led)
                delay(6.seconds)
                if (led != null) startNode(led)
                delay((12 + seed * 3).seconds)
                network.heal(cut)
                until("whole", 120.seconds) { onMachine.keys.count { it.startsWith("req-1/") } == 24 }
                until("array done", 400.seconds) { standing("req-2") == "done" }
                assertRulesKept()
            }
        }
    }

    /** Its grant has ended by its own clock, which ran on, and it says nothing before it has looked at it. */
    @Test
    fun `a lease delegate that stood still through its time answers nobody when it wakes`() {
        for (seed in 1L..4L) {
            world(settings(seed)) {
                services()
                val cut = cut("b", CutMode.RESET)
                delay(8.seconds)
                freeze("n2")
                delay((36 + seed * 4).seconds)
                thaw("n2")
                delay(20.seconds)
                network.heal(cut)
                until("whole", 90.seconds) { onMachine.size == 24 }
                assertRulesKept()
            }
        }
    }
}
