package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Consistency of reads: no node may contradict what another node reported a millisecond earlier
 * (`docs/design/fault-scenarios.md`).
 */
class ReadConsistencyTest {
    /** The fault of one node, or with [DELAYED_WATCH] of all nodes, while users poll all of them. */
    private enum class NodeFault { NONE, SLOW_STATE, PAUSES, RELOADS, DELAYED_WATCH }

    private fun CheckedCluster.injectFault(fault: NodeFault, node: String, random: Random) {
        when (fault) {
            NodeFault.NONE -> Unit

            NodeFault.SLOW_STATE ->
                cluster.network.slowStateOf =
                    { if (it == node) random.nextInt(0, 1200).milliseconds else Duration.ZERO }

            // The node may be paused between any two steps, also between the check that it has missed no change and the
            // response that relies on it.
            NodeFault.PAUSES -> cluster.simulationScope.launch {
                while (true) {
                    delay(random.nextInt(1, 400).milliseconds)
                    cluster.pauseNode(node)
                    delay(random.nextInt(1, 1500).milliseconds)
                    cluster.resumeNode(node)
                }
            }

            NodeFault.RELOADS -> cluster.simulationScope.launch {
                while (true) {
                    delay(random.nextInt(1, 300).milliseconds)
                    cluster.network.mustReload.add(node)
                }
            }

            // Blocking watches return late; only the node's own freshness checks get recent changes.
            NodeFault.DELAYED_WATCH ->
                cluster.network.slowState =
                    { if (it.path == "/watch" && it.query["blockMs"] != "0") 3.seconds else Duration.ZERO }
        }
    }

    @Test
    fun `no node reports an older state than any node has reported, milliseconds after a job changed`() =
        faultScenario(1L..10L) { seed ->
            val random = Random(seed)
            val fault = NodeFault.entries[(seed % NodeFault.entries.size).toInt()]
            submit("req-0", "daemon", 4, 0.0, mapOf("spread" to true))
            untilRunning("req-0", 4)
            injectFault(
                fault,
                if (random.nextBoolean()) assertNotNull(cluster.leader()) else cluster.names.random(random),
                random,
            )
            var answered = 0
            repeat(4) { round ->
                val (shortJob, cancelledJob, briefJob) = listOf("req-${round}1", "req-${round}2", "req-${round}3")
                submit(shortJob, "array", 2, 2.0)
                answered += checkReadConsistency(shortJob, random)
                submit(cancelledJob, "array", 3, 200.0)
                submit(briefJob, "array", 2, 60.0)
                answered += checkReadConsistency(briefJob, random, rounds = 1)
                cancel(briefJob, cluster.names.random(random), 30.seconds)
                answered += checkReadConsistency(briefJob, random)
                cluster.until("$shortJob is done", 60.seconds) {
                    poll(shortJob, cluster.names.random(random))
                    checker.terminalStateOf(shortJob) == "done"
                }
                answered += checkReadConsistency(shortJob, random)
                cancel(cancelledJob, cluster.names.random(random), 30.seconds)
                answered += checkReadConsistency(cancelledJob, random)
                // A cancellation of a job that is done gets the response that it is done.
                val node = cluster.names.random(random)
                assertEquals("done", checker.terminalStateOf(shortJob))
                cluster.call(node, "POST", "/work/$shortJob/withdraw", ByteArray(0))?.let {
                    if (it.status == 200) {
                        assertTrue("done" in it.body.decodeToString(), "seed $seed")
                    }
                }
                delay(random.nextInt(1, 3000).milliseconds)
            }
            assertTrue(answered > 150, "seed $seed, $fault: $answered responses")
        }

    /** Jobs are cancelled, polled and submitted again at the moment at which they end. */
    @Test
    fun `cancellations, polls and repeated submissions when a job's last task ends`() = faultScenario(1L..8L) { seed ->
        val random = Random(seed)
        var cancelledCount = 0
        var doneCount = 0
        // A cancellation between the end of the last task and the terminal record: one of the two wins, permanently and
        // on all nodes.
        cluster.platform.state.onPut =
            { key ->
                if (key.startsWith("v/z/end/")) {
                    cluster.simulationScope.launch {
                        checkReadConsistency(key.substringAfterLast('/'), random, rounds = 1)
                    }
                }
            }
        repeat(12) { n ->
            val id = "req-$n"
            submit(id, if (n % 3 == 2) "gang" else "array", 1 + n % 3, 2.0)
            untilRunning(id, 1 + n % 3)
            delay(random.nextInt(0, 2600).milliseconds)
            val node = cluster.names.random(random)
            cluster.simulationScope.launch { checkReadConsistency(id, random) }
            cluster.until("$id has ended", 20.seconds) {
                requestCancellation(id, node)
                checker.terminalStateOf(id) != null
            }
            checkReadConsistency(id, random)
            if (checker.terminalStateOf(id) == "done") doneCount++ else cancelledCount++
        }
        assertTrue(doneCount > 0 && cancelledCount > 0, "seed $seed: $doneCount done, $cancelledCount cancelled")
    }
}
