package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.WorldSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Heartbeats and commands between controllers and workers: routing, order, and late arrival. */
class HeartbeatsAndCommandsTest {
    @Test
    fun `workers are not sent back to a leader that is cut off`() = world {
        delay(5.seconds)
        val leader = assertNotNull(leader())
        val node = names.first { it != leader }
        val report = mapOf(
            "stall" to "host-1", "addr" to "127.0.0.1:1", "rig" to "bench-8", "hall" to "a", "borrowedRigs" to false,
            "shift" to 1, "tallyNo" to 1, "gavel" to 0, "crates" to emptyList<Any>(),
        )
        assertEquals(421 to mapOf<String, Any?>("auctioneer" to leader), ask("POST", "/checkin", report, node))
        (names - leader + listOf("state", "workers")).forEach { cuts.add(leader to it) }
        delay(3.seconds)
        // Its lease still runs, so it still leads by the state service's word; a worker sent there would wait in vain.
        assertEquals(leader, leader())
        assertEquals(503, ask("POST", "/checkin", report, node).first)
    }

    @Test
    fun `a late report changes nothing and renews nothing`() = world {
        delay(5.seconds)
        val leader = assertNotNull(leader())
        suspend fun report(session: Int, sequence: Int) = ask(
            "POST",
            "/checkin",
            mapOf(
                "stall" to "host-1",
                "addr" to "127.0.0.1:1",
                "rig" to "bench-8",
                "hall" to "a",
                "borrowedRigs" to false,
                "shift" to session, "tallyNo" to sequence, "gavel" to 0, "crates" to emptyList<Any>(),
            ),
            leader,
        ).first
        assertEquals(200, report(1, 5))
        assertEquals(503, report(1, 4))
        assertEquals(503, report(1, 5))
        assertEquals(200, report(2, 1))
        assertEquals(503, report(1, 9))
    }

    @Test
    fun `workers that report rarely are told at once what to start`() = world(WorldSettings(reportS = 5.0)) {
        submit("req-1", "daemon", 4, 0.0)
        until("all run", 60.seconds) { onMachine.size == 4 }
        delay(7.seconds)
        val before = clock.now()
        submit("req-2", "array", 4, 3.0)
        until("started", 2.seconds) { startsOf.keys.count { it.startsWith("req-2/") } == 4 }
        until("done", 30.seconds - (clock.now() - before)) { standing("req-2") == "done" }
        assertRulesKept()
    }

    /**
     * A command that nobody answered may be executed minutes later. Were its task started elsewhere meanwhile, or
     * forgotten once it had ended, the late copy would start it a second time.
     */
    @Test
    fun `commands that are executed late start nothing twice`() {
        for (seed in 1L..4L) {
            world(WorldSettings(seed, reportS = 5.0)) {
                val random = kotlin.random.Random(seed)
                lateCommands = { if (random.nextInt(3) == 0) random.nextInt(1, 60).seconds else null }
                submit("req-1", "daemon", 6, 0.0, mapOf("spread" to true))
                submit("req-2", "array", 30, 4.0)
                submit("req-3", "gang", 4, 20.0)
                submit("req-4", "daemon", 5, 0.0)
                delay(40.seconds)
                assertEquals(200, ask("POST", "/work/req-4/withdraw").first)
                onMachine.values.toSet().randomOrNull(random)?.let(platform::kill)
                until("all done", 300.seconds) { standing("req-2") == "done" && standing("req-3") == "done" }
                val starts = startsOf.filterKeys { it.startsWith("req-2") || it.startsWith("req-4") }
                delay(70.seconds)
                assertEquals(starts, startsOf.filterKeys { it in starts }, "started again")
                assertEquals(emptyList(), onMachine.keys.filter { it in starts })
                assertRulesKept()
            }
        }
    }

    /**
     * The answer to a report and a command to the worker's own address travel beside each other: what a worker says in
     * reply to the command proves nothing about starts that are still in the answer.
     */
    @Test
    fun `a command that overtakes the answer to a report starts nothing twice`() {
        for (seed in 1L..6L) {
            world(WorldSettings(seed, reportS = 5.0)) {
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
                until("all done", 300.seconds) { (0..59).all { standing("req-$it") == "done" } }
                assertRulesKept()
            }
        }
    }

    /**
     * Seen: workers that waited for two nodes that didn't answer, one after the other, were taken for a cut of all
     * zones;
     * when the first of them were back, 50 of 84 machines were returned as silent.
     */
    @Test
    fun `workers that wait for two nodes in a row are not returned`() {
        for (seed in 1L..3L) {
            world(WorldSettings(seed)) {
                submit("req-1", "daemon", 36, 0.0, mapOf("cores" to 40.0))
                until("machines up", 60.seconds) { onMachine.size >= 12 }
                delay(20.seconds)
                val leader = assertNotNull(leader())
                val machines = platform.cloud.machines().map { it.id }
                freeze(names[(names.indexOf(leader) + 1) % names.size])
                cuts.add(leader to "workers")
                untilReplaced(leader, 10.seconds)
                delay(25.seconds)
                assertEquals(machines, platform.cloud.machines().map { it.id }, "seed $seed")
            }
        }
    }
}
