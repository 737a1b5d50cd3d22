package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.Fate
import org.elderhitch.lab.WorldSettings
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults and user requests within the seconds of a failover (`docs/design/fault-scenarios.md`). */
class FailoverFaultsTest {
    /** What causes the failover. */
    private enum class Change { ROLL, RESIGNATION, CRASH, FREEZE }

    /**
     * One cancellation at each tenth of a second around the claim, through any node, of jobs whose starts are pending:
     * decided, in a heartbeat response, or sent to a worker that receives them late. Lease delegates take part where
     * the zones have controllers of their own.
     */
    @Test
    fun `jobs are withdrawn at each tenth of a second around a change of leader`() = faultScenario(1L..8L, {
        WorldSettings(
            it,
            reportS = 3.0,
            leaseS = 17.5,
            mostGpus = 300.0,
            machinesPerZone = 12,
            nodeZones = if (it % 2 == 0L) {
                listOf("a", "a", "b")
            } else {
                listOf("a", "a", "a")
            },
        )
    }) { seed ->
        val random = Random(seed)
        val change = Change.entries[(seed % 4).toInt()]
        submit("req-0", "daemon", 6, 0.0, mapOf("cores" to 20.0, "spread" to true))
        untilRunning("req-0", 6)
        cluster.lateCommands = { if (random.nextInt(4) == 0) random.nextInt(1, 25).seconds else null }
        val before = term()
        val led = assertNotNull(cluster.leader())
        // One job a tenth of a second comes, and goes one to four seconds later.
        repeat(50) { n ->
            cluster.outside.launch {
                val id = "req-${n + 1}"
                submit(id, listOf("array", "gang", "daemon")[n % 3], 1 + n % 4, 60.0)
                delay(random.nextInt(500, 4000).milliseconds)
                cancel(id, cluster.names.filter(cluster::isUp).random(random), 60.seconds)
            }
            if (n == 25) {
                when (change) {
                    Change.ROLL -> cluster.outside.launch {
                        for (node in cluster.names) {
                            cluster.crash(node)
                            delay(5.seconds)
                            cluster.startNode(node)
                            delay(3.seconds)
                        }
                    }

                    // It hears no worker any more, and lets others claim.
                    Change.RESIGNATION -> cut(CutMode.HOLD) { a, b ->
                        a == led &&
                            b.startsWith("host-") ||
                            b == led &&
                            a.startsWith("host-")
                    }.let { cut ->
                        cluster.outside.launch {
                            delay(25.seconds)
                            cluster.network.heal(cut)
                        }
                    }

                    Change.CRASH -> cluster.outside.launch {
                        cluster.crash(led)
                        delay(5.seconds)
                        cluster.startNode(led)
                    }

                    Change.FREEZE -> cluster.outside.launch {
                        cluster.freeze(led)
                        delay(12.seconds)
                        cluster.thaw(led)
                    }
                }
            }
            delay(100.milliseconds)
        }
        cluster.until("the lead has changed", 60.seconds) { term() > before }
        cluster.until("all are withdrawn", 90.seconds) { (1..50).all { rules.finalOf("req-$it") == "withdrawn" } }
        delay(cancel)
        cluster.lateCommands = { null }
        assertEquals(emptyList(), cluster.onMachine.keys.filter { !it.startsWith("req-0/") }, "seed $seed, $change")
        cluster.until("the service is whole", 60.seconds) { running("req-0") == 6 }
    }

    /**
     * Ten leaders in two minutes, two of which end during an outage of the state service: no job or request is lost,
     * and the last leader finds the tasks that the first one started.
     */
    @Test
    fun `ten leaders in two minutes, inside an outage too`() = faultScenario(1L..5L) { seed ->
        val random = Random(seed)
        submit("req-0", "daemon", 6, 0.0, mapOf("cores" to 20.0, "spread" to true))
        untilRunning("req-0", 6)
        val before = term()
        val began = cluster.clock.now()
        cluster.network.lateCopies = {
            if (random.nextInt(4) == 0) random.nextInt(2_000, 40_000).milliseconds else null
        }
        var submitted = 0
        repeat(10) { n ->
            val led = cluster.leader()
            // Two end inside an outage in which nobody can claim; a lease's time has room for it.
            val inOutage = n == 4 || n == 5
            if (n == 4) cluster.platform.state.down = true
            if (led != null) cluster.crash(led)
            if (!inOutage) {
                submit("req-${++submitted}", "array", 1 + n % 3, 5.0)
                if (n % 3 == 0) cancel("req-$submitted", cluster.names.filter(cluster::isUp).random(random), 30.seconds)
            }
            delay(random.nextInt(500, 3000).milliseconds)
            if (led != null) cluster.startNode(led)
            if (n == 5) cluster.platform.state.down = false
            delay(if (n == 4) 1.seconds else random.nextInt(6, 10).seconds)
        }
        cluster.until("somebody leads", 20.seconds) { cluster.leader() != null }
        assertTrue(term() >= before + 8, "seed $seed: ${term() - before} changes")
        assertTrue(cluster.clock.now() - began < 140.seconds)
        rules.troublesOver()
        cluster.until("all ended", 120.seconds) {
            (1..submitted).all { n ->
                poll("req-$n", cluster.names[n % 3]) == 200 &&
                    rules.finalOf("req-$n") != null
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
     * Machines are up within a second and a half, their names and marks are written late or the answers are lost, and
     * the leader ends at each of the steps up to the first start.
     */
    @Test
    fun `new machines get work at once while writes lag, and the leader ends between names, mark and first start`() {
        val stages = HashSet<Int>()
        faultScenario(1L..12L, {
            WorldSettings(
                it,
                reportS = 3.0,
                leaseS = 17.5,
                mostGpus = 200.0,
                machinesPerZone = 12,
                boot = 1200.milliseconds,
            )
        }) { seed ->
            val random = Random(seed)
            val stage = (seed % 6).toInt()
            cluster.fateOf = { _, commit ->
                if ("v/a/hire/" !in commit || random.nextInt(3) > 0) {
                    Fate.Answered
                } else if (random.nextBoolean()) {
                    Fate.AnswerLost
                } else {
                    Fate.Late(random.nextInt(2, 12).seconds)
                }
            }
            // The intent, the names, the marks of machines that are up, one after the other: the leader ends right
            // after one of them was carried out.
            var writes = 0
            var ended = 0
            cluster.platform.state.onPut = { key ->
                if (key.startsWith("v/a/hire/") && writes++ == stage && ended == 0) {
                    stages.add(stage)
                    ended++
                    cluster.outside.launch {
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
            cluster.until("the leader has ended", 30.seconds) { ended > 0 }
            delay(random.nextInt(0, 6000).milliseconds)
            // Again, while the machines of the first are being taken in.
            cluster.leader()?.let {
                cluster.crash(it)
                delay(2.seconds)
                cluster.startNode(it)
            }
            delay(30.seconds)
            cluster.fateOf = { _, _ -> Fate.Answered }
            rules.troublesOver()
            untilRunning("req-1", 8)
            cluster.until("the rest is done", 120.seconds) {
                poll("req-2", cluster.names[0])
                rules.finalOf("req-2") ==
                    "done"
            }
            // Machines that are not needed are terminated in the end.
            cluster.until("machines without work are returned", 200.seconds) {
                cluster.platform.cloud.machines().size <= 12
            }
        }
        assertEquals(6, stages.size, "the leader ended at each step: $stages")
    }
}
