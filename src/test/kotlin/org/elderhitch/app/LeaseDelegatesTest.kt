package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.Cut
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.SimulationSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Zones that are cut off together with a controller, for longer than a lease (`docs/design/recovery.md`). */
class LeaseDelegatesTest {
    private fun SimulatedCluster.cutZone(zone: String, mode: CutMode): Cut {
        val cut = Cut(mode) { from, to -> (zoneOf(from) == zone) != (zoneOf(to) == zone) }
        network.cuts.add(cut)
        return cut
    }

    private fun settings(seed: Long) = SimulationSettings(
        seed,
        heartbeatIntervalS = 3.0,
        machinesPerZone = 30,
        maxGpus = 400.0,
        leaseS = 24.0,
        nodeZones = listOf("a", "a", "b"),
    )

    private suspend fun SimulatedCluster.startServices() {
        submit("req-1", "daemon", 24, 0.0, mapOf("cores" to 40.0, "spread" to true))
        until("all tasks of the service run", 120.seconds) { onMachine.keys.count { it.startsWith("req-1/") } == 24 }
        // The node in zone b must not lead: otherwise the zone would keep its leader and need no lease delegate.
        if (leader() == "n2") {
            crash("n2")
            untilReplaced("n2", 30.seconds)
            startNode("n2")
        }
        delay(20.seconds)
    }

    /**
     * The lease is 24 s, and the lease delegate answers for some 26 s: a cut of 34 s ends no tasks and starts none
     * again.
     */
    @Test
    fun `tasks in a zone that is cut off for longer than a lease keep running`() {
        for (mode in CutMode.entries) {
            for (seed in 1L..3L) {
                runInSimulatedCluster(settings(seed)) {
                    startServices()
                    val before = onMachine.toMap()
                    val startsBefore = startsOf.values.sum()
                    assertTrue(before.values.any { machine(it)?.zone == "b" })
                    val cut = cutZone("b", mode)
                    delay(34.seconds)
                    assertEquals(before, onMachine.toMap(), "seed $seed: at the end of the cut")
                    network.heal(cut)
                    delay(20.seconds)
                    assertEquals(before, onMachine.toMap(), "seed $seed: after the cut")
                    assertEquals(startsBefore, startsOf.values.sum(), "no task was started again")
                    until("the leader knows of all tasks", 10.seconds) { taskPlacements()?.size == 24 }
                    assertNoViolations()
                }
            }
        }
    }

    /**
     * Two zones that can't reach each other both reach the state service and users. Regression, seen on the Chamo
     * works: 566 tasks of the zone without the leader ended with their leases. Its nodes learned from the state service
     * who leads, and redirected the workers to that leader, which they couldn't reach.
     */
    @Test
    fun `tasks in a zone that can't reach the leader's zone keep running, though both reach the state service`() {
        for (mode in CutMode.entries) {
            for (seed in 1L..3L) {
                runInSimulatedCluster(settings(seed)) {
                    startServices()
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
                    until("the leader knows of all tasks", 10.seconds) { taskPlacements()?.size == 24 }
                    assertNoViolations()
                }
            }
        }
    }

    /**
     * No task is started elsewhere before the last lease that the lease delegate may have renewed has ended, and all
     * tasks are started soon after that.
     */
    @Test
    fun `the tasks of a zone that stays cut off start elsewhere a lease after its delegate's last response`() {
        for (seed in 1L..3L) {
            runInSimulatedCluster(settings(seed)) {
                submit("req-2", "daemon", 6, 0.0, mapOf("cores" to 40.0))
                startServices()
                val cut = cutZone("b", CutMode.RESET)
                until("all tasks of the services run outside zone b", 90.seconds) {
                    onMachine.values.all { machine(it)?.zone == "a" } &&
                        onMachine.keys.count { it.startsWith("req-2/") } == 6
                }
                network.heal(cut)
                until("all tasks of the services run again", 60.seconds) { onMachine.size == 30 }
                assertNoViolations()
            }
        }
    }

    /**
     * Invariant `ran_cancelled`: when a job is cancelled at any moment around the cut, its tasks in the zone are gone
     * within `cancel_s` (54 s here) of the confirmation to its user.
     */
    @Test
    fun `the tasks of a job that is cancelled while its zone is cut off are gone in time`() {
        for (seed in 1L..6L) {
            runInSimulatedCluster(settings(seed)) {
                startServices()
                val earlyStatus = if (seed % 2 == 0L) null else ask("POST", "/work/req-1/withdraw", node = "n0").first
                network.cuts.add(Cut(CutMode.HOLD) { from, to -> (zoneOf(from) == "b") != (zoneOf(to) == "b") })
                if (earlyStatus == null) {
                    delay((seed - 1).seconds)
                    ask("POST", "/work/req-1/withdraw", node = "n0")
                }
                delay(54.seconds)
                assertEquals(emptyMap(), onMachine.toMap(), "seed $seed")
                assertNoViolations()
            }
        }
    }

    /**
     * The leader crashes during the cut, and its successor must wait until the delegations that the crashed leader
     * granted have ended.
     */
    @Test
    fun `tasks that a lease delegate of an earlier term keeps alive are not started twice by a new leader`() {
        for (seed in 1L..6L) {
            runInSimulatedCluster(settings(seed)) {
                submit("req-2", "array", 60, 90.0, mapOf("cores" to 12.0))
                startServices()
                val cut = cutZone("b", if (seed % 2 == 0L) CutMode.HOLD else CutMode.RESET)
                delay((seed * 2).seconds)
                val leader = leader()
                if (leader != null) crash(leader)
                delay(6.seconds)
                if (leader != null) startNode(leader)
                delay((12 + seed * 3).seconds)
                network.heal(cut)
                until("all tasks of the service run", 120.seconds) {
                    onMachine.keys.count { it.startsWith("req-1/") } == 24
                }
                until("array done", 400.seconds) { jobState("req-2") == "done" }
                assertNoViolations()
            }
        }
    }

    /**
     * While the lease delegate is paused, its clock runs on and its delegation ends. It checks that before it answers.
     */
    @Test
    fun `a lease delegate that is paused until its delegation has ended answers no heartbeat afterwards`() {
        for (seed in 1L..4L) {
            runInSimulatedCluster(settings(seed)) {
                startServices()
                val cut = cutZone("b", CutMode.RESET)
                delay(8.seconds)
                pauseNode("n2")
                delay((36 + seed * 4).seconds)
                resumeNode("n2")
                delay(20.seconds)
                network.heal(cut)
                until("all tasks of the service run", 90.seconds) { onMachine.size == 24 }
                assertNoViolations()
            }
        }
    }
}
