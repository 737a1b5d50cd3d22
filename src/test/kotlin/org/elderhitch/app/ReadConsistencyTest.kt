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
 * Consistency of reads: no node may contradict, a millisecond later, what another told (`docs/design/fault-scenarios.md`).
 */
class ReadConsistencyTest {
    /** The fault of one node while users poll all of them. */
    private enum class Handicap { NONE, SLOW, FREEZES, RELOADS, BEHIND }

    private fun WatchedCluster.handicap(kind: Handicap, node: String, random: Random) {
        when (kind) {
            Handicap.NONE -> Unit

            Handicap.SLOW ->
                cluster.network.slowStateOf =
                    { if (it == node) random.nextInt(0, 1200).milliseconds else Duration.ZERO }

            // Between any two steps: between the proof that nothing is missing and the answer that rests on it too.
            Handicap.FREEZES -> cluster.outside.launch {
                while (true) {
                    delay(random.nextInt(1, 400).milliseconds)
                    cluster.freeze(node)
                    delay(random.nextInt(1, 1500).milliseconds)
                    cluster.thaw(node)
                }
            }

            Handicap.RELOADS -> cluster.outside.launch {
                while (true) {
                    delay(random.nextInt(1, 300).milliseconds)
                    cluster.network.forgottenBy.add(node)
                }
            }

            // Its open watches bring nothing; only what it asks for itself does.
            Handicap.BEHIND ->
                cluster.network.slowState =
                    { if (it.path == "/watch" && it.query["blockMs"] != "0") 3.seconds else Duration.ZERO }
        }
    }

    @Test
    fun `no node tells anything older than any node told, milliseconds after a job changed`() =
        faultScenario(1L..10L) { seed ->
            val random = Random(seed)
            val kind = Handicap.entries[(seed % Handicap.entries.size).toInt()]
            submit("req-0", "daemon", 4, 0.0, mapOf("spread" to true))
            untilRunning("req-0", 4)
            handicap(
                kind,
                if (random.nextBoolean()) assertNotNull(cluster.leader()) else cluster.names.random(random),
                random,
            )
            var answered = 0
            repeat(4) { round ->
                val (short, cancelled, atOnce) = listOf("req-${round}1", "req-${round}2", "req-${round}3")
                submit(short, "array", 2, 2.0)
                answered += checkReadConsistency(short, random)
                submit(cancelled, "array", 3, 200.0)
                submit(atOnce, "array", 2, 60.0)
                answered += checkReadConsistency(atOnce, random, rounds = 1)
                cancel(atOnce, cluster.names.random(random), 30.seconds)
                answered += checkReadConsistency(atOnce, random)
                cluster.until("$short is done", 60.seconds) {
                    poll(short, cluster.names.random(random))
                    rules.finalOf(short) ==
                        "done"
                }
                answered += checkReadConsistency(short, random)
                cancel(cancelled, cluster.names.random(random), 30.seconds)
                answered += checkReadConsistency(cancelled, random)
                // Whoever withdraws what is done is told that it is done.
                val asked = cluster.names.random(random)
                assertEquals("done", rules.finalOf(short))
                cluster.call(asked, "POST", "/work/$short/withdraw", ByteArray(0))?.let {
                    if (it.status == 200) {
                        assertTrue("done" in it.body.decodeToString(), "seed $seed")
                    }
                }
                delay(random.nextInt(1, 3000).milliseconds)
            }
            assertTrue(answered > 150, "seed $seed, $kind: $answered answers")
        }

    /** The moment at which a job ends is the moment at which it is withdrawn, asked about and submitted again. */
    @Test
    fun `withdrawals, questions and repeats at the very end of a job's last task`() = faultScenario(1L..8L) { seed ->
        val random = Random(seed)
        var cancelled = 0
        var done = 0
        // Withdrawn between the end of the last task and its record: either wins, for ever and at all nodes.
        cluster.platform.state.onPut =
            { key ->
                if (key.startsWith("v/z/end/")) {
                    cluster.outside.launch {
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
            cluster.outside.launch { checkReadConsistency(id, random) }
            cluster.until("$id has ended", 20.seconds) {
                requestCancellation(id, node)
                rules.finalOf(id) != null
            }
            checkReadConsistency(id, random)
            if (rules.finalOf(id) == "done") done++ else cancelled++
        }
        assertTrue(done > 0 && cancelled > 0, "seed $seed: $done done, $cancelled withdrawn")
    }
}
