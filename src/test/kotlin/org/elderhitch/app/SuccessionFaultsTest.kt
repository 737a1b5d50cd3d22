package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.Fate
import org.elderhitch.lab.WorldSettings
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Overlapping faults around one or more changes of leader (`docs/design/fault-scenarios.md`). */
class SuccessionFaultsTest {
    private val large = mapOf("cores" to 40.0)

    /** Machines are unreachable, or send without receiving, while the leader changes twice. */
    @Test
    fun `two successions while machines with long tasks are unreachable or deaf for longer than a lease`() =
        faultScenario(1L..8L) { seed ->
            submit("req-1", "array", 12, 240.0, large)
            submit("req-2", "daemon", 4, 0.0, large + ("spread" to true))
            untilRunning("req-1", 12)
            untilRunning("req-2", 4)
            val some = hosts("req-1").values.toSet().sorted().take(5).toSet()
            if (seed % 2 == 0L) cluster.silentWorkers = some else cluster.network.deaf = some
            // Returned machines would settle what this is about.
            if (seed % 4 < 2) cluster.platform.cloud.down = true
            val before = term()
            val first = assertNotNull(cluster.leader())
            cluster.crash(first)
            val second = replaced(first)
            delay((seed * 2).seconds)
            cluster.startNode(first)
            cluster.crash(second)
            replaced(second)
            cluster.startNode(second)
            assertTrue(term() >= before + 2, "two successions")
            delay(20.seconds)
            cluster.silentWorkers = emptySet()
            cluster.network.deaf = emptySet()
            delay(5.seconds)
            cluster.platform.cloud.down = false
            cluster.until("all done", 500.seconds) {
                cluster.names.all { poll("req-1", it) == 200 } &&
                    rules.finalOf("req-1") == "done"
            }
            assertEquals(4, running("req-2"))
        }

    /**
     * A machine returns for one heartbeat shortly before the takeover's longest time is over, and is cut off again.
     * Regression: the response renewed the lease of what an earlier term had started there, and at the end of that time
     * the task was started elsewhere while it still ran.
     */
    @Test
    fun `a machine that was answered once before the takeover ended is not taken for empty`() =
        faultScenario(1L..3L) { seed ->
            submit("req-1", "array", 10, 400.0, large)
            submit("req-2", "array", 2, 400.0, large)
            untilRunning("req-1", 10)
            untilRunning("req-2", 2)
            val old = assertNotNull(cluster.leader())
            val away = hosts("req-1").values.toSet().sorted()[seed.toInt()]
            cluster.platform.cloud.down = true
            val cut = cutOff(old, CutMode.RESET, "state", *(cluster.names - old).toTypedArray())
            val began = cluster.clock.now()
            // Room for what the new leader takes for lost.
            cancel("req-2", replaced(old))
            // The old leader keeps it for the whole of its hold time.
            delay(began + 26.seconds - cluster.clock.now())
            cluster.silentWorkers = setOf(away)
            val worker = cluster.platform.workers().getValue(away)
            val lastByOld = worker.renewedAt
            delay(began + 36.seconds - cluster.clock.now())
            cluster.silentWorkers = emptySet()
            cluster.until("answered by the new leader", 8.seconds) {
                delay(20.milliseconds)
                worker.renewedAt > lastByOld
            }
            cluster.silentWorkers = setOf(away)
            assertTrue(hosts("req-1").values.contains(away), "its lease held until then")
            delay(16.seconds)
            cluster.silentWorkers = emptySet()
            cluster.network.heal(cut)
            cluster.platform.cloud.down = false
            delay(30.seconds)
            assertEquals(10, running("req-1"))
            assertEquals(0, running("req-2"))
        }

    /**
     * Commands to workers' own addresses, and the replies to them, take seconds to minutes, and the machines hang
     * meanwhile and go on.
     */
    @Test
    fun `commands and replies that are held up while machines hang and leaders change`() = faultScenario(1L..6L, {
        WorldSettings(it, reportS = 5.0, leaseS = 31.0, mostGpus = 60.0)
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
                cluster.leader()?.let { led ->
                    cluster.crash(led)
                    delay(5.seconds)
                    cluster.startNode(led)
                }
            }
            delay(random.nextInt(500, 9000).milliseconds)
            // Shorter or longer than the lease: in the same session, or in the next.
            if (n % 3 == 2) cancel("req-${n + 1}", cluster.names.filter(cluster::isUp).random(random), 30.seconds)
            cluster.outside.launch {
                delay(random.nextInt(1, 40).seconds)
                hanging.forEach { it.resume() }
            }
        }
        delay(75.seconds)
        assertTrue(cluster.network.lateOnes > 0, "no command was late")
        cluster.lateCommands = { null }
        cluster.network.slowReplies = { Duration.ZERO }
        cluster.until("all done", 300.seconds) {
            listOf(1, 2, 4, 5, 7, 8, 10).all {
                poll("req-$it", cluster.names[0]) == 200 &&
                    rules.finalOf("req-$it") == "done"
            }
        }
        cluster.until("services whole", 120.seconds) { running("req-0") == 4 }
    }

    /** Leadership changes twice within a second, amid claims and loads; then all nodes end, and one returns. */
    @Test
    fun `hand over and back within a second, and all end and one returns`() = faultScenario(1L..10L) { seed ->
        val random = Random(seed)
        submit("req-1", "daemon", 6, 0.0, large + ("spread" to true))
        submit("req-2", "array", 12, 60.0)
        untilRunning("req-1", 6)
        untilRunning("req-2", 12)
        val before = term()
        repeat(4) {
            val led = cluster.leader() ?: cluster.names.random(random)
            cluster.crash(led)
            // Its key is still there: the same node claims over it at once, or another does when the lease is over.
            delay(random.nextInt(0, 1000).milliseconds)
            cluster.startNode(led)
            delay(random.nextInt(10, 1000).milliseconds)
            val next = cluster.names.random(random)
            cluster.crash(next)
            delay(random.nextInt(0, 1000).milliseconds)
            cluster.startNode(next)
            delay(random.nextInt(0, 4000).milliseconds)
        }
        cluster.names.forEach(cluster::crash)
        delay(random.nextInt(50, 1000).milliseconds)
        val one = cluster.names.random(random)
        cluster.startNode(one)
        cluster.until("it leads", 15.seconds) { cluster.leader() == one }
        assertTrue(term() > before + 2, "terms changed")
        cancel("req-2", one)
        delay(3.seconds)
        (cluster.names - one).forEach(cluster::startNode)
        delay(cancel + 1.seconds)
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
     * Workers and users still reach the leader that lost all else; withdrawals go through the new one, and through a
     * node that learns of it late.
     */
    @Test
    fun `jobs withdrawn through the new leader while workers and users still reach the old one`() =
        faultScenario(1L..8L) { seed ->
            submit("req-1", "array", 8, 300.0)
            submit("req-2", "array", 8, 300.0)
            submit("req-3", "daemon", 6, 0.0)
            untilRunning("req-1", 8)
            untilRunning("req-2", 8)
            untilRunning("req-3", 6)
            val old = assertNotNull(cluster.leader())
            val (one, two) = cluster.names - old
            val cut = cutOff(old, if (seed % 2 == 0L) CutMode.HOLD else CutMode.RESET, "state", one, two)
            // One of the others hears of changes late.
            if (seed % 3 == 0L) {
                cluster.network.slowState =
                    { if (it.path == "/watch" && it.query["blockMs"] != "0") 1500.milliseconds else Duration.ZERO }
            }
            cancel("req-1", one)
            val new = replaced(old)
            cancel("req-2", if (new == one) two else one)
            assertEquals(16, running("req-1") + running("req-2"), "workers report to the old one, which knows nothing")
            // Users at the old one are told nothing older.
            repeat(8) {
                for (id in listOf("req-1", "req-2", "req-3")) poll(id, old)
                delay(4.seconds)
            }
            cluster.network.heal(cut)
            cluster.network.slowState = { Duration.ZERO }
            delay(cancel - 32.seconds)
            assertEquals(0, running("req-1") + running("req-2"))
            for (node in cluster.names) assertEquals(200, poll("req-2", node))
            cluster.until("the service is whole", 60.seconds) { running("req-3") == 6 }
        }

    /**
     * The state service takes seconds, refuses the leader alone, and then all; users submit, ask and withdraw all the
     * time.
     */
    @Test
    fun `a slow state service that refuses the leader and then everybody gives no older answer and forgets nobody`() =
        faultScenario(1L..5L) { seed ->
            val random = Random(seed)
            repeat(6) { submit("req-$it", "array", 3, 20.0 + it) }
            cluster.network.slowState =
                { if (random.nextInt(3) == 0) random.nextInt(200, 3000).milliseconds else Duration.ZERO }
            val led = assertNotNull(cluster.leader())
            var round = 0
            cluster.outside.launch {
                while (true) {
                    for (n in 0..5) poll("req-$n", cluster.names[(round + n) % 3])
                    round++
                    delay(1.seconds)
                }
            }
            delay(15.seconds)
            for (n in 0..1) if (rules.finalOf("req-$n") == null) rules.asksToWithdraw("req-$n")
            cluster.network.refused.add(led)
            // At once, so that some are confirmed and some are caught by the outage.
            for (n in 0..1) {
                cluster.outside.launch {
                    if (rules.finalOf("req-$n") == null) {
                        cancel("req-$n", cluster.names.first { it != led }, 120.seconds)
                    }
                }
            }
            delay((seed * 300).milliseconds)
            cluster.platform.state.down = true
            delay(10.seconds)
            cluster.network.refused.remove(led)
            delay(cancel)
            cluster.platform.state.down = false
            cluster.network.slowState = { Duration.ZERO }
            val over = cluster.clock.now()
            cluster.until("every question is answered", 75.seconds) {
                (0..5).all { n ->
                    cluster.names.all {
                        poll("req-$n", it) ==
                            200
                    }
                }
            }
            assertTrue(cluster.clock.now() - over < 75.seconds)
            cluster.until("all ended", 200.seconds) { (0..5).all { rules.finalOf("req-$it") != null } }
        }

    /**
     * Copies of heartbeats arrive from two seconds to far more than a lease later, at later leaders and around replies
     * to commands. They name earlier agent epochs and attempts.
     */
    @Test
    fun `late copies of reports change nothing through takeovers`() = faultScenario(1L..6L) { seed ->
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
            val led = assertNotNull(cluster.leader())
            // A node that goes on gets copies of what came to it in an earlier term; one that crashes has lost them
            // with its connections.
            if (it == 1) cluster.crash(led) else cluster.network.refused.add(led)
            delay(random.nextInt(6, 20).seconds)
            if (it == 1) cluster.startNode(led) else cluster.network.refused.remove(led)
            hanging.forEach { it.resume() }
            cluster.until("somebody leads", 15.seconds) { cluster.leader() != null }
            delay(random.nextInt(1, 10).seconds)
        }
        assertTrue(cluster.network.copies > 10, "${cluster.network.copies} copies")
        cluster.until("all done", 300.seconds) {
            (1..6).all {
                poll("req-$it", cluster.names[0]) == 200 &&
                    rules.finalOf("req-$it") == "done"
            }
        }
        cluster.until("services whole", 120.seconds) { running("req-0") == 6 }
    }

    /**
     * One task ends long before the others, and the leader changes in between, once or twice. The job must be done when
     * its last task is, neither before nor never.
     */
    @Test
    fun `jobs of few tasks whose ends lie far apart across changes of leader`() = faultScenario(1L..6L) { seed ->
        val random = Random(seed)
        // One machine at a time dies, so its tasks end far later than their siblings.
        submit("req-1", "array", 2, 15.0, large)
        submit("req-2", "array", 3, 15.0, large)
        submit("req-3", "gang", 2, 15.0, large + ("samePlace" to true))
        submit("req-4", "daemon", 3, 0.0, large + ("spread" to true))
        untilRunning("req-1", 2)
        untilRunning("req-2", 3)
        delay(8.seconds)
        for (task in listOf("req-1/1", "req-2/2")) cluster.onMachine[task]?.let(cluster.platform::kill)
        // Completed now; whoever leads when its worker says so may be gone before it is recorded.
        if (seed % 3 == 0L) {
            cluster.fateOf =
                { _, commit ->
                    if ("v/a/fin/" in commit && random.nextBoolean()) {
                        Fate.Late(random.nextInt(2, 12).seconds)
                    } else {
                        Fate.Answered
                    }
                }
        }
        delay((4 + seed % 3).seconds)
        repeat(if (seed % 2 == 0L) 2 else 1) {
            val led = assertNotNull(cluster.leader())
            cluster.crash(led)
            replaced(led)
            cluster.startNode(led)
            delay(random.nextInt(100, 3000).milliseconds)
        }
        for (n in 1..3) assertNotEquals("withdrawn", rules.finalOf("req-$n"))
        cluster.until("all done", 200.seconds) {
            (1..3).all { n ->
                cluster.names.all { poll("req-$n", it) == 200 } &&
                    rules.finalOf("req-$n") == "done"
            }
        }
        cluster.until("the service is whole", 120.seconds) { running("req-4") == 3 }
        // What completed before is not run again: its result was kept until it was recorded.
        assertEquals(1, cluster.startsOf["req-1/0"], "${cluster.startsOf}")
    }
}
