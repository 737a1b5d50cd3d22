package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.features.Features
import org.elderhitch.jobs.ClassRule
import org.elderhitch.jobs.ClassRules
import org.elderhitch.lab.SimulationSettings
import org.elderhitch.lab.TransactionOutcome
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Transactions of each kind without a response: executed 2 to 12 s late, after newer ones of the same controller, or at
 * once, while other nodes read what they wrote (`docs/design/fault-scenarios.md`).
 */
class LateTransactionsTest {
    /**
     * Patterns of the keys that the core writes, by kind, as in the table of keys in `docs/design.md`. Late writes of
     * sweeps and DRMAA are covered by their own tests.
     */
    private val keyPatterns = mapOf(
        "claim" to Regex("v/a/(term|leader)"),
        "record" to Regex("v/a/job/[^/]+"),
        "ending" to Regex("v/z/end/[^/]+"),
        "finished" to Regex("v/a/fin/[^/]+/[0-9]+"),
        "hold" to Regex("v/a/hold/[^/]+"),
        "hire" to Regex("v/a/hire/[^/]+"),
        "types" to Regex("v/a/types"),
        "images" to Regex("v/a/images"),
    )

    private val featureKeyPatterns =
        listOf(Regex("v/a/sweeps/.*"), Regex("v/sweeps/p/.*"), Regex("v/a/drmaa/.*"), Regex("v/drmaa/.*"))

    private fun keysOf(commit: String): List<String> = Regex("\"(?:put|drop)\":\"([^\"]+)\"").findAll(commit).map {
        it.groupValues[1]
    }.toList()

    private fun kindOf(key: String): String? = keyPatterns.entries.firstOrNull { it.value.matches(key) }?.key

    private val features = Features(ClassRules(mapOf("thrice" to ClassRule(maxAttempts = 2))), emptyList())

    @Test
    fun `no late transaction of any kind overwrites a newer one`() = forEachKind {
        TransactionOutcome.Late(it.nextInt(2, 12).seconds)
    }

    /**
     * Users poll all nodes as soon as a job record or terminal record is written: the node that wrote it learns of it
     * last.
     */
    @Test
    fun `a transaction of any kind that is executed at once without a response overwrites nothing`() =
        forEachKind(pollsOnWrite = true) {
            TransactionOutcome.AnswerLost
        }

    private fun forEachKind(pollsOnWrite: Boolean = false, outcome: (Random) -> TransactionOutcome) {
        val affectedCounts = HashMap<String, Int>()
        for ((kind, _) in keyPatterns) {
            for (seed in 1L..2L) {
                val random = Random(seed * 31 + kind.hashCode())
                faultScenario(seed..seed, {
                    SimulationSettings(it, heartbeatIntervalS = 3.0, leaseS = 17.5, maxGpus = 60.0, features = features)
                }) {
                    cluster.transactionOutcome = { _, commit ->
                        val keys = keysOf(commit)
                        val unknownKeys = keys.filter {
                            kindOf(it) == null && featureKeyPatterns.none { known -> known.matches(it) }
                        }
                        if (unknownKeys.isNotEmpty()) {
                            checker.violations.add(
                                "key pattern" to
                                    "$unknownKeys match no pattern: add a kind here and a row in docs/design.md",
                            )
                        }
                        // Some kinds are written only once, so the first transaction of each kind loses its response,
                        // and then two of three.
                        if (keys.any { kindOf(it) == kind } && (kind !in affectedCounts || random.nextInt(3) > 0)) {
                            affectedCounts.merge(kind, 1, Int::plus)
                            outcome(random)
                        } else {
                            TransactionOutcome.Answered
                        }
                    }
                    if (pollsOnWrite) {
                        cluster.platform.state.onPut = { key ->
                            if (kindOf(key) == "record" || kindOf(key) == "ending") {
                                cluster.simulationScope.launch {
                                    checkReadConsistency(key.substringAfterLast('/'), random, rounds = 1)
                                }
                            }
                        }
                    }
                    cluster.failing = { task, _ -> task == "req-3/0" }
                    // The image hints and the machine types are written only now and then; a new leader writes a claim.
                    submit("req-1", "array", 5, 8.0)
                    submit("req-2", "daemon", 4, 0.0, mapOf("spread" to true))
                    submit("req-3", "array", 2, 5.0, mapOf("lotClass" to "thrice"))
                    submit("req-4", "array", 8, 300.0)
                    untilRunning("req-2", 4)
                    delay(6.seconds)
                    cancel("req-4", cluster.names.random(random), 60.seconds)
                    repeat(2) {
                        cluster.until("a node leads", 40.seconds) { cluster.leader() != null }
                        val leader = checkNotNull(cluster.leader())
                        cluster.crash(leader)
                        delay(6.seconds)
                        cluster.startNode(leader)
                        delay(8.seconds)
                        submit("req-${5 + it}", "array", 4, 6.0)
                    }
                    delay(cancelLimit)
                    cluster.transactionOutcome = { _, _ -> TransactionOutcome.Answered }
                    cluster.until("all done", 200.seconds) {
                        listOf(1, 5, 6).all { n ->
                            poll("req-$n", cluster.names[0]) == 200 &&
                                checker.terminalStateOf("req-$n") == "done"
                        }
                    }
                    cluster.until("all tasks of the service run", 120.seconds) { running("req-2") == 4 }
                    assertEquals(0, running("req-4"), "$kind, seed $seed")
                }
            }
        }
        assertEquals(keyPatterns.keys, affectedCounts.keys, "some kind of transaction never lost its response")
    }

    /**
     * Regression: a provisioning intent was recognised by its version alone and written once more, so its machines were
     * given no tasks for seconds, and the state service got one write more than needed.
     */
    @Test
    fun `an intent whose write was executed but lost its response is not written again`() = faultScenario(1L..3L) {
        var lost = 0
        val upWrites = HashMap<String, Int>()
        cluster.transactionOutcome = { _, commit ->
            if ("\"up\"" in commit && lost++ == 0) TransactionOutcome.AnswerLost else TransactionOutcome.Answered
        }
        cluster.platform.state.onPut =
            { key ->
                if (kindOf(key) == "hire" && cluster.platform.state.value(key)?.has("up") == true) {
                    upWrites.merge(key, 1, Int::plus)
                }
            }
        submit("req-1", "array", 4, 30.0)
        untilRunning("req-1", 4)
        assertTrue(lost > 0, "no response was lost")
        // In this simulation all machines of a request boot within one tick, so one write suffices.
        assertEquals(setOf(1), upWrites.values.toSet(), "$upWrites")
    }
}
