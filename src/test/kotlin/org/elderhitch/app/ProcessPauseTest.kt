package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.SimulationSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Controllers whose process is paused, for less or more than the leader's command window. */
class ProcessPauseTest {
    /**
     * When the leader resumes, the heartbeats sent during the pause are still in its receive buffers: no worker has
     * been silent.
     */
    @Test
    fun `a leader that is paused for less than its command window keeps leading, and terminates no machine`() =
        runInSimulatedCluster {
            submit("req-1", "daemon", 36, 0.0, mapOf("cores" to 40.0))
            until("machines up", 60.seconds) { onMachine.size >= 6 }
            delay(20.seconds)
            val leader = assertNotNull(leader())
            val machines = platform.cloud.machines().map { it.id }
            repeat(3) {
                pauseNode(leader)
                // With a renewal every 0.8 s, a pause of 3.4 s exceeded a command window of 4 s in some runs.
                delay(3.seconds)
                resumeNode(leader)
                delay(6.seconds)
                assertEquals(leader, leader())
            }
            assertEquals(machines, platform.cloud.machines().map { it.id })
            assertNoViolations()
        }

    @Test
    fun `a leader that is paused for long is replaced, and resumes as a follower that gives no stale responses`() =
        runInSimulatedCluster {
            submit("req-1", "daemon", 4, 0.0)
            submit("req-2", "array", 20, 6.0)
            until("all run", 60.seconds) { onMachine.size >= 20 }
            val leader = assertNotNull(leader())
            pauseNode(leader)
            untilReplaced(leader, 8.seconds)
            assertEquals("withdrawn", ask("POST", "/work/req-1/withdraw", node = leader()).second["standing"])
            until("the service's tasks are gone", 41.seconds) { onMachine.keys.none { it.startsWith("req-1/") } }
            resumeNode(leader)
            assertEquals("withdrawn", ask("GET", "/work/req-1", node = leader).second["standing"])
            until("array done", 90.seconds) { jobState("req-2") == "done" }
            delay(10.seconds)
            assertNotEquals(leader, leader())
            assertTrue(
                startsOf.filterKeys {
                    it.startsWith("req-1/")
                }.values.all { it == 1 },
                "started again: $startsOf",
            )
            assertNoViolations()
        }

    /**
     * Between any check and the action that depends on it a process may be paused for longer than its command window,
     * its answer grace period or a lease.
     */
    @Test
    fun `controllers that are paused at any moment violate no invariant`() {
        for (seed in 1L..8L) {
            runInSimulatedCluster(SimulationSettings(seed, heartbeatIntervalS = if (seed % 2 == 0L) 1.0 else 5.0)) {
                val random = kotlin.random.Random(seed)
                lateCommands = { if (random.nextInt(6) == 0) random.nextInt(1, 30).seconds else null }
                val cancelledJobs = HashSet<String>()
                submit("req-0", "daemon", 6, 0.0, mapOf("spread" to true))
                repeat(8) { n ->
                    submit(
                        "req-${n + 1}",
                        listOf("array", "gang", "daemon")[n % 3],
                        random.nextInt(1, 5),
                        random.nextInt(2, 20).toDouble(),
                    )
                    delay(random.nextInt(0, 6000).milliseconds)
                    val node = if (random.nextBoolean()) leader() ?: names.random(random) else names.random(random)
                    pauseNode(node)
                    delay(listOf(500, 2500, 3900, 4500, 9000, 16_000, 26_000).random(random).milliseconds)
                    if (n % 3 == 2) {
                        val (status, answer) = ask("POST", "/work/req-${n + 1}/withdraw")
                        if (status == 200 && answer["standing"] == "withdrawn") cancelledJobs.add("req-${n + 1}")
                    }
                    resumeNode(node)
                }
                until("arrays and gangs done", 300.seconds) {
                    listOf(1, 2, 4, 5, 7, 8).all { jobState("req-$it") == "done" }
                }
                until("all tasks of the service run", 120.seconds) { (0..5).all { "req-0/$it" in onMachine } }
                until("tasks of cancelled jobs are gone", 41.seconds) {
                    onMachine.keys.none { it.substringBefore('/') in cancelledJobs }
                }
                cancelledJobs.forEach { id ->
                    names.forEach { assertEquals("withdrawn", ask("GET", "/work/$id", node = it).second["standing"]) }
                }
                assertNoViolations()
            }
        }
    }
}
