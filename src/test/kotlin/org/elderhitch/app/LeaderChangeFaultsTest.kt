package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.SimulationSettings
import org.elderhitch.lab.TransactionOutcome
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Overlapping faults during one or more leader changes (`docs/design/fault-scenarios.md`). */
class LeaderChangeFaultsTest {
    private val large = mapOf("cores" to 40.0)

    /** While the leader changes twice, some machines are unreachable or can send but not receive. */
    @Test
    fun `two leader changes while machines with long tasks are unreachable or can't receive for longer than a lease`() =
        faultScenario(1L..8L) { seed ->
            submit("req-1", "array", 12, 240.0, large)
            submit("req-2", "daemon", 4, 0.0, large + ("spread" to true))
            untilRunning("req-1", 12)
            untilRunning("req-2", 4)
            val affected = hosts("req-1").values.toSet().sorted().take(5).toSet()
            if (seed % 2 == 0L) cluster.silentWorkers = affected else cluster.network.unableToReceive = affected
            // In half of the runs the cloud is unavailable: terminating the machines would resolve where their tasks
            // are.
            if (seed % 4 < 2) cluster.platform.cloud.down = true
            val termBefore = term()
            val firstLeader = assertNotNull(cluster.leader())
            cluster.crash(firstLeader)
            val secondLeader = awaitSuccessor(firstLeader)
            delay((seed * 2).seconds)
            cluster.startNode(firstLeader)
            cluster.crash(secondLeader)
            awaitSuccessor(secondLeader)
            cluster.startNode(secondLeader)
            assertTrue(term() >= termBefore + 2, "the leader changed twice")
            delay(20.seconds)
            cluster.silentWorkers = emptySet()
            cluster.network.unableToReceive = emptySet()
            delay(5.seconds)
            cluster.platform.cloud.down = false
            cluster.until("all done", 500.seconds) {
                cluster.names.all { poll("req-1", it) == 200 } &&
                    checker.terminalStateOf("req-1") == "done"
            }
            assertEquals(4, running("req-2"))
        }

    /**
     * Shortly before the longest time of a takeover has passed, a machine becomes reachable for one heartbeat, and is
     * then cut off again. Regression: the response renewed the lease of the tasks that an earlier term had started
     * there, and at the end of that time they were started elsewhere while they still ran.
     */
    @Test
    fun `a machine that got one response before the takeover ended is not assumed to be empty`() =
        faultScenario(1L..3L) { seed ->
            submit("req-1", "array", 10, 400.0, large)
            submit("req-2", "array", 2, 400.0, large)
            untilRunning("req-1", 10)
            untilRunning("req-2", 2)
            val oldLeader = assertNotNull(cluster.leader())
            val unreachable = hosts("req-1").values.toSet().sorted()[seed.toInt()]
            cluster.platform.cloud.down = true
            val cut = cutOff(oldLeader, CutMode.RESET, "state", *(cluster.names - oldLeader).toTypedArray())
            val began = cluster.clock.now()
            // Frees capacity for tasks that the new leader may declare lost.
            cancel("req-2", awaitSuccessor(oldLeader))
            // The old leader answers the machine for the whole of its answer grace period.
            delay(began + 26.seconds - cluster.clock.now())
            cluster.silentWorkers = setOf(unreachable)
            val worker = cluster.platform.workers().getValue(unreachable)
            val lastRenewalByOldLeader = worker.renewedAt
            delay(began + 36.seconds - cluster.clock.now())
            cluster.silentWorkers = emptySet()
            cluster.until("answered by the new leader", 8.seconds) {
                delay(20.milliseconds)
                worker.renewedAt > lastRenewalByOldLeader
            }
            cluster.silentWorkers = setOf(unreachable)
            assertTrue(hosts("req-1").values.contains(unreachable), "its lease was valid until then")
            delay(16.seconds)
            cluster.silentWorkers = emptySet()
            cluster.network.heal(cut)
            cluster.platform.cloud.down = false
            delay(30.seconds)
            assertEquals(10, running("req-1"))
            assertEquals(0, running("req-2"))
        }

    /**
     * Commands to workers' own addresses, and the responses to them, take seconds to minutes, and machines hang in
     * between and resume.
     */
    @Test
    fun `delayed commands and responses while machines hang and leaders change`() = faultScenario(1L..6L, {
        SimulationSettings(it, heartbeatIntervalS = 5.0, leaseS = 31.0, maxGpus = 60.0)
    }) { seed ->
        val random = Random(seed)
        cluster.lateCommands = { if (random.nextInt(3) == 0) random.nextInt(1, 70).seconds else null }
        cluster.network.slowReplies =
            { if (random.nextInt(3) == 0) random.nextInt(500, 12_000).milliseconds else Duration.ZERO }
        submit("req-0", "daemon", 4, 0.0, mapOf("spread" to true))
        repeat(10) { n ->
            submit(
                "req-${n + 1}",
                listOf("array", "gang", "daemon")[n % 3],
                random.nextInt(1, 4),
                random.nextInt(3, 25).toDouble(),
            )
            delay(random.nextInt(200, 4000).milliseconds)
            val hanging = cluster.platform.workers().toSortedMap().values.filter { random.nextInt(4) == 0 }
            hanging.forEach { it.hang() }
            if (n == 4 || n == 7) {
                cluster.leader()?.let { leader ->
                    cluster.crash(leader)
                    delay(5.seconds)
                    cluster.startNode(leader)
                }
            }
            delay(random.nextInt(500, 9000).milliseconds)
            // The machines hang for less or more than the lease, so they resume in the same agent epoch or in the next
            // one.
            if (n % 3 == 2) cancel("req-${n + 1}", cluster.names.filter(cluster::isUp).random(random), 30.seconds)
            cluster.simulationScope.launch {
                delay(random.nextInt(1, 40).seconds)
                hanging.forEach { it.resume() }
            }
        }
        delay(75.seconds)
        assertTrue(cluster.network.lateDeliveries > 0, "no command was delayed")
        cluster.lateCommands = { null }
        cluster.network.slowReplies = { Duration.ZERO }
        cluster.until("all done", 300.seconds) {
            listOf(1, 2, 4, 5, 7, 8, 10).all {
                poll("req-$it", cluster.names[0]) == 200 &&
                    checker.terminalStateOf("req-$it") == "done"
            }
        }
        cluster.until("all tasks of the service run", 120.seconds) { running("req-0") == 4 }
    }

    /** Leadership changes twice within a second, during claims and loading; then all nodes crash, and one restarts. */
    @Test
    fun `leadership changes twice within a second, then all crash and one restarts`() = faultScenario(1L..10L) { seed ->
        val random = Random(seed)
        submit("req-1", "daemon", 6, 0.0, large + ("spread" to true))
        submit("req-2", "array", 12, 60.0)
        untilRunning("req-1", 6)
        untilRunning("req-2", 12)
        val termBefore = term()
        repeat(4) {
            val leader = cluster.leader() ?: cluster.names.random(random)
            cluster.crash(leader)
            // The leader's key still exists: the same node claims over it at once, or another node does when its lease
            // has expired.
            delay(random.nextInt(0, 1000).milliseconds)
            cluster.startNode(leader)
            delay(random.nextInt(10, 1000).milliseconds)
            val node = cluster.names.random(random)
            cluster.crash(node)
            delay(random.nextInt(0, 1000).milliseconds)
            cluster.startNode(node)
            delay(random.nextInt(0, 4000).milliseconds)
        }
        cluster.names.forEach(cluster::crash)
        delay(random.nextInt(50, 1000).milliseconds)
        val restarted = cluster.names.random(random)
        cluster.startNode(restarted)
        cluster.until("the restarted node leads", 15.seconds) { cluster.leader() == restarted }
        assertTrue(term() > termBefore + 2, "the term changed repeatedly")
        cancel("req-2", restarted)
        delay(3.seconds)
        (cluster.names - restarted).forEach(cluster::startNode)
        delay(cancelLimit + 1.seconds)
        assertEquals(0, running("req-2"))
        assertEquals(6, running("req-1"))
        assertTrue(
            (0..5).all {
                cluster.startsOf["req-1/$it"] == 1
            },
            "seed $seed: no replica was lost: ${cluster.startsOf}",
        )
    }

    /**
     * Workers and users still reach a leader that has lost the state service and the other controllers. Jobs are
     * cancelled through the new leader, and through a node that learns of the change late.
     */
    @Test
    fun `jobs cancelled through the new leader while workers and users still reach the old one`() =
        faultScenario(1L..8L) { seed ->
            submit("req-1", "array", 8, 300.0)
            submit("req-2", "array", 8, 300.0)
            submit("req-3", "daemon", 6, 0.0)
            untilRunning("req-1", 8)
            untilRunning("req-2", 8)
            untilRunning("req-3", 6)
            val oldLeader = assertNotNull(cluster.leader())
            val (peer1, peer2) = cluster.names - oldLeader
            val cut = cutOff(oldLeader, if (seed % 2 == 0L) CutMode.HOLD else CutMode.RESET, "state", peer1, peer2)
            // In every third run changes reach the nodes late.
            if (seed % 3 == 0L) {
                cluster.network.slowState =
                    { if (it.path == "/watch" && it.query["blockMs"] != "0") 1500.milliseconds else Duration.ZERO }
            }
            cancel("req-1", peer1)
            val newLeader = awaitSuccessor(oldLeader)
            cancel("req-2", if (newLeader == peer1) peer2 else peer1)
            assertEquals(16, running("req-1") + running("req-2"), "the old leader still answers the workers")
            // Users who ask the old leader get no state that is older than one already reported.
            repeat(8) {
                for (id in listOf("req-1", "req-2", "req-3")) poll(id, oldLeader)
                delay(4.seconds)
            }
            cluster.network.heal(cut)
            cluster.network.slowState = { Duration.ZERO }
            delay(cancelLimit - 32.seconds)
            assertEquals(0, running("req-1") + running("req-2"))
            for (node in cluster.names) assertEquals(200, poll("req-2", node))
            cluster.until("all tasks of the service run", 60.seconds) { running("req-3") == 6 }
        }

    /**
     * The state service takes seconds, refuses the leader alone, and then all nodes, while users submit, poll and
     * cancel.
     */
    @Test
    fun `a slow state service that refuses the leader and then all causes no stale response and no lost job`() =
        faultScenario(1L..5L) { seed ->
            val random = Random(seed)
            repeat(6) { submit("req-$it", "array", 3, 20.0 + it) }
            cluster.network.slowState =
                { if (random.nextInt(3) == 0) random.nextInt(200, 3000).milliseconds else Duration.ZERO }
            val leader = assertNotNull(cluster.leader())
            var round = 0
            cluster.simulationScope.launch {
                while (true) {
                    for (n in 0..5) poll("req-$n", cluster.names[(round + n) % 3])
                    round++
                    delay(1.seconds)
                }
            }
            delay(15.seconds)
            for (n in 0..1) if (checker.terminalStateOf("req-$n") == null) checker.recordCancellationRequest("req-$n")
            cluster.network.refused.add(leader)
            // Concurrently, so that some cancellations are confirmed and some are interrupted by the outage.
            for (n in 0..1) {
                cluster.simulationScope.launch {
                    if (checker.terminalStateOf("req-$n") == null) {
                        cancel("req-$n", cluster.names.first { it != leader }, 120.seconds)
                    }
                }
            }
            delay((seed * 300).milliseconds)
            cluster.platform.state.down = true
            delay(10.seconds)
            cluster.network.refused.remove(leader)
            delay(cancelLimit)
            cluster.platform.state.down = false
            cluster.network.slowState = { Duration.ZERO }
            val over = cluster.clock.now()
            cluster.until("every poll is answered", 75.seconds) {
                (0..5).all { n ->
                    cluster.names.all {
                        poll("req-$n", it) ==
                            200
                    }
                }
            }
            assertTrue(cluster.clock.now() - over < 75.seconds)
            cluster.until("all ended", 200.seconds) { (0..5).all { checker.terminalStateOf("req-$it") != null } }
        }

    /**
     * Copies of heartbeats arrive from two seconds to far more than a lease later, at later leaders and around
     * responses to commands. They name earlier agent epochs and attempts.
     */
    @Test
    fun `late copies of heartbeats change nothing during takeovers`() = faultScenario(1L..6L) { seed ->
        val random = Random(seed)
        cluster.network.lateCopies = { if (random.nextBoolean()) random.nextInt(2_000, 60_000).milliseconds else null }
        submit("req-0", "daemon", 6, 0.0, large + ("spread" to true))
        repeat(6) {
            submit(
                "req-${it + 1}",
                listOf("array", "gang")[it % 2],
                random.nextInt(2, 6),
                random.nextInt(5, 30).toDouble(),
            )
        }
        untilRunning("req-0", 6)
        repeat(3) {
            val hanging = cluster.platform.workers().toSortedMap().values.filter { random.nextInt(3) == 0 }
            hanging.forEach { it.hang() }
            val leader = assertNotNull(cluster.leader())
            // A node that keeps running gets copies of heartbeats that it received in an earlier term; one that crashes
            // has lost them with its connections.
            if (it == 1) cluster.crash(leader) else cluster.network.refused.add(leader)
            delay(random.nextInt(6, 20).seconds)
            if (it == 1) cluster.startNode(leader) else cluster.network.refused.remove(leader)
            hanging.forEach { it.resume() }
            cluster.until("a node leads", 15.seconds) { cluster.leader() != null }
            delay(random.nextInt(1, 10).seconds)
        }
        assertTrue(cluster.network.copies > 10, "${cluster.network.copies} copies")
        cluster.until("all done", 300.seconds) {
            (1..6).all {
                poll("req-$it", cluster.names[0]) == 200 &&
                    checker.terminalStateOf("req-$it") == "done"
            }
        }
        cluster.until("all tasks of the service run", 120.seconds) { running("req-0") == 6 }
    }

    /**
     * One task ends long before the others, and the leader changes in between, once or twice. The job must be done when
     * its last task is, neither earlier nor never.
     */
    @Test
    fun `jobs of few tasks that end far apart across leader changes`() = faultScenario(1L..6L) { seed ->
        val random = Random(seed)
        // The machine of one task of each array dies, so this task ends far later than its siblings.
        submit("req-1", "array", 2, 15.0, large)
        submit("req-2", "array", 3, 15.0, large)
        submit("req-3", "gang", 2, 15.0, large + ("samePlace" to true))
        submit("req-4", "daemon", 3, 0.0, large + ("spread" to true))
        untilRunning("req-1", 2)
        untilRunning("req-2", 3)
        delay(8.seconds)
        for (task in listOf("req-1/1", "req-2/2")) cluster.onMachine[task]?.let(cluster.platform::kill)
        // The siblings have completed; the leader that receives their results may be gone before it has recorded them.
        if (seed % 3 == 0L) {
            cluster.transactionOutcome =
                { _, commit ->
                    if ("v/a/fin/" in commit && random.nextBoolean()) {
                        TransactionOutcome.Late(random.nextInt(2, 12).seconds)
                    } else {
                        TransactionOutcome.Answered
                    }
                }
        }
        delay((4 + seed % 3).seconds)
        repeat(if (seed % 2 == 0L) 2 else 1) {
            val leader = assertNotNull(cluster.leader())
            cluster.crash(leader)
            awaitSuccessor(leader)
            cluster.startNode(leader)
            delay(random.nextInt(100, 3000).milliseconds)
        }
        for (n in 1..3) assertNotEquals("withdrawn", checker.terminalStateOf("req-$n"))
        cluster.until("all done", 200.seconds) {
            (1..3).all { n ->
                cluster.names.all { poll("req-$n", it) == 200 } &&
                    checker.terminalStateOf("req-$n") == "done"
            }
        }
        cluster.until("all tasks of the service run", 120.seconds) { running("req-4") == 3 }
        // A completed task is not run again: its worker keeps the result until it is recorded.
        assertEquals(1, cluster.startsOf["req-1/0"], "${cluster.startsOf}")
    }
}
