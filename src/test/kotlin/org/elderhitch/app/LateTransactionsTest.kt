package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.features.Features
import org.elderhitch.jobs.ClassRule
import org.elderhitch.jobs.ClassRules
import org.elderhitch.lab.Fate
import org.elderhitch.lab.WorldSettings
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Transactions without an answer, of each kind: carried out 2 to 12 s late, after newer ones of the same controller,
 * or at once, while other nodes read what they wrote (`docs/design/fault-scenarios.md`).
 */
class LateTransactionsTest {
    /**
     * The shapes of the table of keys in `docs/design.md` that the core writes; those of sweeps and DRMAA have late
     * writes of their own in their tests.
     */
    private val shapes = mapOf(
        "claim" to Regex("v/a/(term|leader)"),
        "record" to Regex("v/a/job/[^/]+"),
        "ending" to Regex("v/z/end/[^/]+"),
        "finished" to Regex("v/a/fin/[^/]+/[0-9]+"),
        "hold" to Regex("v/a/hold/[^/]+"),
        "hire" to Regex("v/a/hire/[^/]+"),
        "types" to Regex("v/a/types"),
        "images" to Regex("v/a/images"),
    )

    private val elsewhere =
        listOf(Regex("v/a/sweeps/.*"), Regex("v/sweeps/p/.*"), Regex("v/a/drmaa/.*"), Regex("v/drmaa/.*"))

    private fun keysOf(commit: String): List<String> = Regex("\"(?:put|drop)\":\"([^\"]+)\"").findAll(commit).map {
        it.groupValues[1]
    }.toList()

    private fun shapeOf(key: String): String? = shapes.entries.firstOrNull { it.value.matches(key) }?.key

    private val features = Features(ClassRules(mapOf("thrice" to ClassRule(maxAttempts = 2))), emptyList())

    @Test
    fun `no late transaction of any kind undoes a newer one`() = eachKind { Fate.Late(it.nextInt(2, 12).seconds) }

    /**
     * Users look at all nodes as soon as a record or an ending is there: the node that wrote it is the last to know.
     */
    @Test
    fun `a transaction of any kind that is executed at once without an answer undoes nothing`() =
        eachKind(looks = true) {
            Fate.AnswerLost
        }

    private fun eachKind(looks: Boolean = false, fate: (Random) -> Fate) {
        val seen = HashMap<String, Int>()
        for ((shape, _) in shapes) {
            for (seed in 1L..2L) {
                val random = Random(seed * 31 + shape.hashCode())
                faultScenario(seed..seed, {
                    WorldSettings(it, reportS = 3.0, leaseS = 17.5, mostGpus = 60.0, features = features)
                }) {
                    cluster.fateOf = { _, commit ->
                        val keys = keysOf(commit)
                        val unknown = keys.filter {
                            shapeOf(it) == null && elsewhere.none { known -> known.matches(it) }
                        }
                        if (unknown.isNotEmpty()) {
                            rules.broken.add(
                                "key shape" to
                                    "$unknown stand in no row: give them a case here and a row in docs/design.md",
                            )
                        }
                        // Some kinds are written once: the first of each kind goes astray, and two of three later ones.
                        if (keys.any { shapeOf(it) == shape } && (shape !in seen || random.nextInt(3) > 0)) {
                            seen.merge(shape, 1, Int::plus)
                            fate(random)
                        } else {
                            Fate.Answered
                        }
                    }
                    if (looks) {
                        cluster.platform.state.onPut = { key ->
                            if (shapeOf(key) == "record" || shapeOf(key) == "ending") {
                                cluster.outside.launch {
                                    checkReadConsistency(key.substringAfterLast('/'), random, rounds = 1)
                                }
                            }
                        }
                    }
                    cluster.failing = { task, _ -> task == "req-3/0" }
                    // The hint and the machine types are written now and then only; a new leader claims.
                    submit("req-1", "array", 5, 8.0)
                    submit("req-2", "daemon", 4, 0.0, mapOf("spread" to true))
                    submit("req-3", "array", 2, 5.0, mapOf("lotClass" to "thrice"))
                    submit("req-4", "array", 8, 300.0)
                    untilRunning("req-2", 4)
                    delay(6.seconds)
                    cancel("req-4", cluster.names.random(random), 60.seconds)
                    repeat(2) {
                        cluster.until("somebody leads", 40.seconds) { cluster.leader() != null }
                        val led = checkNotNull(cluster.leader())
                        cluster.crash(led)
                        delay(6.seconds)
                        cluster.startNode(led)
                        delay(8.seconds)
                        submit("req-${5 + it}", "array", 4, 6.0)
                    }
                    delay(cancel)
                    cluster.fateOf = { _, _ -> Fate.Answered }
                    cluster.until("all done", 200.seconds) {
                        listOf(1, 5, 6).all { n ->
                            poll("req-$n", cluster.names[0]) == 200 &&
                                rules.finalOf("req-$n") == "done"
                        }
                    }
                    cluster.until("services whole", 120.seconds) { running("req-2") == 4 }
                    assertEquals(0, running("req-4"), "$shape, seed $seed")
                }
            }
        }
        assertEquals(shapes.keys, seen.keys, "a kind of write always got its answer")
    }

    /**
     * Found by its version alone, it was written once more: seconds in which its machines were given nothing, and a
     * change more.
     */
    @Test
    fun `an intent that is there though its answer was lost is not written again`() = faultScenario(1L..3L) {
        var lost = 0
        val marked = HashMap<String, Int>()
        cluster.fateOf = { _, commit -> if ("\"up\"" in commit && lost++ == 0) Fate.AnswerLost else Fate.Answered }
        cluster.platform.state.onPut =
            { key ->
                if (shapeOf(key) == "hire" && cluster.platform.state.value(key)?.has("up") == true) {
                    marked.merge(key, 1, Int::plus)
                }
            }
        submit("req-1", "array", 4, 30.0)
        untilRunning("req-1", 4)
        assertTrue(lost > 0, "an answer was lost")
        // All machines of a request boot within a tick of each other here.
        assertEquals(setOf(1), marked.values.toSet(), "$marked")
    }
}
