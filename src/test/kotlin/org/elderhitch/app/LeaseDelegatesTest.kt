package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import org.elderhitch.cluster.PeerHeartbeat
import org.elderhitch.http.Response
import org.elderhitch.lab.Cut
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.SimulationSettings
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
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

    /** Delays the grants that [node] receives from [leader], so that some arrive after the leader's term has ended. */
    private class LateGrants(private val cluster: SimulatedCluster, node: String, leader: String) {
        private val arrivals = ArrayList<MonotonicInstant>()

        init {
            cluster.network.slowPeerAnswers = { caller, answering, answer ->
                val isGrant = caller == node && answering == leader && answer != null && grantsDelegation(answer)
                if (isGrant) arrivals.add(cluster.clock.now() + LATENESS)
                if (isGrant) LATENESS else Duration.ZERO
            }
        }

        @OptIn(ExperimentalSerializationApi::class)
        private fun grantsDelegation(answer: Response): Boolean =
            ProtoBuf.decodeFromByteArray(PeerHeartbeat.serializer(), answer.body).delegateMs > 0

        fun isInTransit(): Boolean = arrivals.any { it > cluster.clock.now() }

        fun countAfter(claim: MonotonicInstant): Int = arrivals.count { it > claim + CLAIM_KNOWN_AFTER }

        private companion object {
            /** Shorter than the time for which a controller waits for the answer. */
            val LATENESS = 900.milliseconds
            val CLAIM_KNOWN_AFTER = 20.milliseconds
        }
    }

    /**
     * Cuts off zone b just after the leader's term has ended by [endTerm] and its successor has heard from all nodes.
     * Returns the number of grants that reached the zone's node after their term had ended.
     */
    private suspend fun SimulatedCluster.cutZoneAfterLateGrant(
        seed: Long,
        endTerm: suspend SimulatedCluster.(leader: String, grants: LateGrants) -> Unit,
    ): Int {
        startServices()
        submit("req-2", "daemon", 18, 0.0, mapOf("cores" to 40.0, "hall" to "a"))
        submit("req-3", "daemon", 24, 0.0, mapOf("cores" to 40.0))
        until("all tasks of the services run", 120.seconds) { onMachine.size == 66 }
        assertTrue(onMachine.any { (task, machine) -> task.startsWith("req-3/") && machine(machine)?.zone == "b" })
        val oldLeader = assertNotNull(leader())
        val oldTerm = leaderTerm()
        // The new leader's probes must not tell the zone's workers of its term.
        cutZoneWorkersFrom("n0", "n1")
        val grants = LateGrants(this, "n2", oldLeader)
        // Each seed ends the old term at another moment of the exchange of heartbeats.
        delay((seed * 120).milliseconds)
        endTerm(oldLeader, grants)
        while (leaderTerm().let { it == null || it == oldTerm }) delay(1.milliseconds)
        val claim = clock.now()
        delay(1500.milliseconds)
        cutZone("b", CutMode.RESET)
        network.refused.remove(oldLeader)
        // Frees machines on which the zone's tasks may be started.
        ask("POST", "/work/req-2/withdraw", node = "n0")
        delay(70.seconds)
        check(violations.isEmpty()) { "seed $seed: ${violations.joinToString("; ")}" }
        return grants.countAfter(claim)
    }

    private fun SimulatedCluster.leaderTerm(): Long? = platform.state.value("v/a/leader")?.long("term")

    private fun SimulatedCluster.cutZoneWorkersFrom(vararg nodes: String) {
        fun isWorkerOfZone(host: String) = host !in names && zoneOf(host) == "b"
        val separates = { from: String, to: String ->
            from in nodes && isWorkerOfZone(to) || to in nodes && isWorkerOfZone(from)
        }
        network.cuts.add(Cut(CutMode.RESET, separates))
    }

    /**
     * Regression (`docs/incidents/stale-grant.md`, invariant `ran_twice`): a node told the next leader that it knew the
     * new term, then received a late grant of the old one, and renewed leases that the leader counted as over.
     */
    @Test
    fun `a grant that arrives after its term has ended renews no lease of a zone that is cut off`() {
        val lateGrants = (1L..16L).sumOf { seed ->
            var received = 0
            runInSimulatedCluster(settings(seed)) {
                received = cutZoneAfterLateGrant(seed) { leader, _ -> network.refused.add(leader) }
            }
            received
        }
        assertTrue(lateGrants >= 4, "$lateGrants late grants")
    }

    /** The same regression: the leader crashes while its grant is in transit, and claims the next term at once. */
    @Test
    fun `a grant of a leader that has crashed and leads again renews no lease of a zone that is cut off`() {
        for (seed in 1L..4L) {
            runInSimulatedCluster(settings(seed)) {
                val received = cutZoneAfterLateGrant(seed) { leader, grants ->
                    while (!grants.isInTransit()) delay(1.milliseconds)
                    crash(leader)
                    delay(200.milliseconds)
                    startNode(leader)
                }
                assertTrue(received > 0, "seed $seed: no late grant")
            }
        }
    }
}
