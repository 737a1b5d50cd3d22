package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.SimulationSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Heartbeats and commands between controllers and workers: redirection, order, and late arrival. */
class HeartbeatsAndCommandsTest {
    @Test
    fun `workers are not redirected to a leader that is cut off`() = runInSimulatedCluster {
        delay(5.seconds)
        val leader = assertNotNull(leader())
        val node = names.first { it != leader }
        val heartbeat = mapOf(
            "stall" to "host-1", "addr" to "127.0.0.1:1", "rig" to "bench-8", "hall" to "a", "borrowedRigs" to false,
            "shift" to 1, "tallyNo" to 1, "gavel" to 0, "crates" to emptyList<Any>(),
        )
        assertEquals(421 to mapOf<String, Any?>("auctioneer" to leader), ask("POST", "/checkin", heartbeat, node))
        (names - leader + listOf("state", "workers")).forEach { cuts.add(leader to it) }
        delay(3.seconds)
        // The leader's lease is still valid, so it still leads according to the state service; a worker redirected
        // there would wait in vain.
        assertEquals(leader, leader())
        assertEquals(503, ask("POST", "/checkin", heartbeat, node).first)
    }

    @Test
    fun `a late heartbeat changes nothing and renews no lease`() = runInSimulatedCluster {
        delay(5.seconds)
        val leader = assertNotNull(leader())
        suspend fun sendHeartbeat(agentEpoch: Int, sequence: Int) = ask(
            "POST",
            "/checkin",
            mapOf(
                "stall" to "host-1",
                "addr" to "127.0.0.1:1",
                "rig" to "bench-8",
                "hall" to "a",
                "borrowedRigs" to false,
                "shift" to agentEpoch, "tallyNo" to sequence, "gavel" to 0, "crates" to emptyList<Any>(),
            ),
            leader,
        ).first
        assertEquals(200, sendHeartbeat(1, 5))
        assertEquals(503, sendHeartbeat(1, 4))
        assertEquals(503, sendHeartbeat(1, 5))
        assertEquals(200, sendHeartbeat(2, 1))
        assertEquals(503, sendHeartbeat(1, 9))
    }

    @Test
    fun `workers with a long heartbeat interval are sent new tasks at once`() =
        runInSimulatedCluster(SimulationSettings(heartbeatIntervalS = 5.0)) {
            submit("req-1", "daemon", 4, 0.0)
            until("all run", 60.seconds) { onMachine.size == 4 }
            delay(7.seconds)
            val before = clock.now()
            submit("req-2", "array", 4, 3.0)
            until("started", 2.seconds) { startsOf.keys.count { it.startsWith("req-2/") } == 4 }
            until("done", 30.seconds - (clock.now() - before)) { jobState("req-2") == "done" }
            assertNoViolations()
        }

    /**
     * A command without a response may be executed minutes later. If its task were started elsewhere meanwhile, or
     * forgotten once it had ended, the late copy would start it a second time.
     */
    @Test
    fun `commands that are executed late start no task twice`() {
        for (seed in 1L..4L) {
            runInSimulatedCluster(SimulationSettings(seed, heartbeatIntervalS = 5.0)) {
                val random = kotlin.random.Random(seed)
                lateCommands = { if (random.nextInt(3) == 0) random.nextInt(1, 60).seconds else null }
                submit("req-1", "daemon", 6, 0.0, mapOf("spread" to true))
                submit("req-2", "array", 30, 4.0)
                submit("req-3", "gang", 4, 20.0)
                submit("req-4", "daemon", 5, 0.0)
                delay(40.seconds)
                assertEquals(200, ask("POST", "/work/req-4/withdraw").first)
                onMachine.values.toSet().randomOrNull(random)?.let(platform::kill)
                until("all done", 300.seconds) { jobState("req-2") == "done" && jobState("req-3") == "done" }
                val startsBefore = startsOf.filterKeys { it.startsWith("req-2") || it.startsWith("req-4") }
                delay(70.seconds)
                assertEquals(startsBefore, startsOf.filterKeys { it in startsBefore }, "started again")
                assertEquals(emptyList(), onMachine.keys.filter { it in startsBefore })
                assertNoViolations()
            }
        }
    }

    /**
     * The response to a heartbeat and a command to the worker's own address may overtake each other: the worker's
     * response to the command proves nothing about task starts in a heartbeat response that is still on its way.
     */
    @Test
    fun `a command that overtakes the response to a heartbeat starts no task twice`() {
        for (seed in 1L..6L) {
            runInSimulatedCluster(SimulationSettings(seed, heartbeatIntervalS = 5.0)) {
                val random = kotlin.random.Random(seed)
                slowAnswers = { random.nextInt(0, 3000).milliseconds }
                repeat(60) { n ->
                    submit(
                        "req-$n",
                        "array",
                        random.nextInt(1, 9),
                        random.nextInt(2, 6).toDouble(),
                        mapOf("cores" to listOf(4.0, 12.0, 24.0).random(random)),
                    )
                    delay(random.nextInt(50, 800).milliseconds)
                }
                until("all done", 300.seconds) { (0..59).all { jobState("req-$it") == "done" } }
                assertNoViolations()
            }
        }
    }

    /**
     * Regression: workers that waited for two unresponsive nodes, one after the other, were taken for a partition of
     * all zones. When the first of them were back, 50 of 84 machines were terminated as silent.
     */
    @Test
    fun `machines whose workers wait for two nodes in a row are not terminated`() {
        for (seed in 1L..3L) {
            runInSimulatedCluster(SimulationSettings(seed)) {
                submit("req-1", "daemon", 36, 0.0, mapOf("cores" to 40.0))
                until("machines up", 60.seconds) { onMachine.size >= 12 }
                delay(20.seconds)
                val leader = assertNotNull(leader())
                val machinesBefore = platform.cloud.machines().map { it.id }
                pauseNode(names[(names.indexOf(leader) + 1) % names.size])
                cuts.add(leader to "workers")
                untilReplaced(leader, 10.seconds)
                delay(25.seconds)
                assertEquals(machinesBefore, platform.cloud.machines().map { it.id }, "seed $seed")
            }
        }
    }
}
