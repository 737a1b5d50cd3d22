package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.SimulationSettings
import org.elderhitch.lab.TransactionOutcome
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults and user requests during the seconds of a failover (`docs/design/fault-scenarios.md`). */
class FailoverFaultsTest {
    /** The event that causes the failover. */
    private enum class FailoverCause { ROLLING_RESTART, RESIGNATION, CRASH, PAUSE }

    /**
     * One cancellation at each tenth of a second around the claim, through any node, of jobs whose task starts are
     * pending: placed but not yet sent, in a heartbeat response, or in a command that the worker receives late. Where
     * the zones have controllers of their own, lease delegates take part.
     */
    @Test
    fun `jobs are cancelled at each tenth of a second around a change of leader`() = faultScenario(1L..8L, {
        SimulationSettings(
            it,
            heartbeatIntervalS = 3.0,
            leaseS = 17.5,
            maxGpus = 300.0,
            machinesPerZone = 12,
            nodeZones = if (it % 2 == 0L) {
                listOf("a", "a", "b")
            } else {
                listOf("a", "a", "a")
            },
        )
    }) { seed ->
        val random = Random(seed)
        val cause = FailoverCause.entries[(seed % 4).toInt()]
        submit("req-0", "daemon", 6, 0.0, mapOf("cores" to 20.0, "spread" to true))
        untilRunning("req-0", 6)
        cluster.lateCommands = { if (random.nextInt(4) == 0) random.nextInt(1, 25).seconds else null }
        val termBefore = term()
        val leader = assertNotNull(cluster.leader())
        // One job is submitted each tenth of a second, and cancelled 0.5 to 4 seconds later.
        repeat(50) { n ->
            cluster.simulationScope.launch {
                val id = "req-${n + 1}"
                submit(id, listOf("array", "gang", "daemon")[n % 3], 1 + n % 4, 60.0)
                delay(random.nextInt(500, 4000).milliseconds)
                cancel(id, cluster.names.filter(cluster::isUp).random(random), 60.seconds)
            }
            if (n == 25) {
                when (cause) {
                    FailoverCause.ROLLING_RESTART -> cluster.simulationScope.launch {
                        for (node in cluster.names) {
                            cluster.crash(node)
                            delay(5.seconds)
                            cluster.startNode(node)
                            delay(3.seconds)
                        }
                    }

                    // No worker reaches the leader any more, so it resigns and lets other nodes claim.
                    FailoverCause.RESIGNATION -> cut(CutMode.HOLD) { a, b ->
                        a == leader &&
                            b.startsWith("host-") ||
                            b == leader &&
                            a.startsWith("host-")
                    }.let { cut ->
                        cluster.simulationScope.launch {
                            delay(25.seconds)
                            cluster.network.heal(cut)
                        }
                    }

                    FailoverCause.CRASH -> cluster.simulationScope.launch {
                        cluster.crash(leader)
                        delay(5.seconds)
                        cluster.startNode(leader)
                    }

                    FailoverCause.PAUSE -> cluster.simulationScope.launch {
                        cluster.pauseNode(leader)
                        delay(12.seconds)
                        cluster.resumeNode(leader)
                    }
                }
            }
            delay(100.milliseconds)
        }
        cluster.until("the leader has changed", 60.seconds) { term() > termBefore }
        cluster.until("all are cancelled", 90.seconds) {
            (1..50).all { checker.terminalStateOf("req-$it") == "withdrawn" }
        }
        delay(cancelLimit)
        cluster.lateCommands = { null }
        assertEquals(emptyList(), cluster.onMachine.keys.filter { !it.startsWith("req-0/") }, "seed $seed, $cause")
        cluster.until("all tasks of the service run", 60.seconds) { running("req-0") == 6 }
    }

    /**
     * Ten leaders in two minutes, two of which crash during an outage of the state service: no job or request is lost,
     * and the last leader finds the tasks that the first one started.
     */
    @Test
    fun `ten leaders in two minutes, two of them during an outage`() = faultScenario(1L..5L) { seed ->
        val random = Random(seed)
        submit("req-0", "daemon", 6, 0.0, mapOf("cores" to 20.0, "spread" to true))
        untilRunning("req-0", 6)
        val termBefore = term()
        val began = cluster.clock.now()
        cluster.network.lateCopies = {
            if (random.nextInt(4) == 0) random.nextInt(2_000, 40_000).milliseconds else null
        }
        var submitted = 0
        repeat(10) { n ->
            val leader = cluster.leader()
            // Two leaders crash during an outage in which no node can claim; it is shorter than a worker's lease.
            val inOutage = n == 4 || n == 5
            if (n == 4) cluster.platform.state.down = true
            if (leader != null) cluster.crash(leader)
            if (!inOutage) {
                submit("req-${++submitted}", "array", 1 + n % 3, 5.0)
                if (n % 3 == 0) cancel("req-$submitted", cluster.names.filter(cluster::isUp).random(random), 30.seconds)
            }
            delay(random.nextInt(500, 3000).milliseconds)
            if (leader != null) cluster.startNode(leader)
            if (n == 5) cluster.platform.state.down = false
            delay(if (n == 4) 1.seconds else random.nextInt(6, 10).seconds)
        }
        cluster.until("a node leads", 20.seconds) { cluster.leader() != null }
        assertTrue(term() >= termBefore + 8, "seed $seed: ${term() - termBefore} changes")
        assertTrue(cluster.clock.now() - began < 140.seconds)
        checker.faultsEnded()
        cluster.until("all ended", 120.seconds) {
            (1..submitted).all { n ->
                poll("req-$n", cluster.names[n % 3]) == 200 &&
                    checker.terminalStateOf("req-$n") != null
            }
        }
        assertEquals(6, running("req-0"))
        assertTrue(
            (0..5).all {
                cluster.startsOf["req-0/$it"] == 1
            },
            "seed $seed: ${cluster.startsOf.filterKeys { it.startsWith("req-0/") }}",
        )
    }

    /**
     * Machines boot within a second and a half. Transactions that write provisioning intents are executed late or lose
     * their responses, and the leader crashes after each of the steps up to the first task start.
     */
    @Test
    fun `new machines get tasks at once while writes lag, and the leader crashes between the provisioning steps`() {
        val testedStages = HashSet<Int>()
        faultScenario(1L..12L, {
            SimulationSettings(
                it,
                heartbeatIntervalS = 3.0,
                leaseS = 17.5,
                maxGpus = 200.0,
                machinesPerZone = 12,
                boot = 1200.milliseconds,
            )
        }) { seed ->
            val random = Random(seed)
            val stage = (seed % 6).toInt()
            cluster.transactionOutcome = { _, commit ->
                if ("v/a/hire/" !in commit || random.nextInt(3) > 0) {
                    TransactionOutcome.Answered
                } else if (random.nextBoolean()) {
                    TransactionOutcome.AnswerLost
                } else {
                    TransactionOutcome.Late(random.nextInt(2, 12).seconds)
                }
            }
            // The leader writes, one after the other: the intent, the machine names, and that machines are up. It
            // crashes right after one of these writes was executed.
            var writes = 0
            var crashes = 0
            cluster.platform.state.onPut = { key ->
                if (key.startsWith("v/a/hire/") && writes++ == stage && crashes == 0) {
                    testedStages.add(stage)
                    crashes++
                    cluster.simulationScope.launch {
                        delay(random.nextInt(0, 30).milliseconds)
                        cluster.leader()?.let {
                            cluster.crash(it)
                            delay(random.nextInt(200, 6000).milliseconds)
                            cluster.startNode(it)
                        }
                    }
                }
            }
            submit("req-1", "daemon", 8, 0.0, mapOf("cores" to 24.0, "spread" to true))
            submit("req-2", "array", 30, 20.0)
            cluster.until("the leader has crashed", 30.seconds) { crashes > 0 }
            delay(random.nextInt(0, 6000).milliseconds)
            // Crashes again, while the new leader adopts the machines of the first one.
            cluster.leader()?.let {
                cluster.crash(it)
                delay(2.seconds)
                cluster.startNode(it)
            }
            delay(30.seconds)
            cluster.transactionOutcome = { _, _ -> TransactionOutcome.Answered }
            checker.faultsEnded()
            untilRunning("req-1", 8)
            cluster.until("the array is done", 120.seconds) {
                poll("req-2", cluster.names[0])
                checker.terminalStateOf("req-2") == "done"
            }
            // Machines that are no longer needed are terminated.
            cluster.until("surplus machines are terminated", 200.seconds) {
                cluster.platform.cloud.machines().size <= 12
            }
        }
        assertEquals(6, testedStages.size, "the leader crashed after each step: $testedStages")
    }
}
