package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.WorldSettings
import org.elderhitch.standin.StandInType
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Two machine types, work that fits only the larger one, and a cloud that takes 1.5 requests a second. */
class ScarceMachinesFaultsTest {
    private val types = listOf(
        StandInType("small", cores = 8.0, accelerators = 0.0, memGb = 16.0, price = 0.5, share = 0.9),
        StandInType("large", cores = 64.0, accelerators = 0.0, memGb = 256.0, price = 4.9, share = 0.1),
    )
    private val settings =
        WorldSettings(
            seed = 4,
            reportS = 2.5,
            leaseS = 14.0,
            machinesPerZone = 40,
            types = types,
            cloudPerS = 1.5,
            mostGpus = 0.0,
        )

    private suspend fun SimulatedCluster.array(id: String, tasks: Int, runs: Double, cores: Double, memGb: Double) =
        submit(
            id,
            "array",
            tasks,
            runs,
            mapOf(
                "cores" to cores,
                "accelerators" to 0.0,
                "memGb" to memGb,
                "urgency" to "normal",
                "lotClass" to id.trimEnd { it.isDigit() },
            ),
        )

    /**
     * Seen on a calm day: 45 requests were prepared in the first seconds, and some 25 went to markets that had just
     * refused, 0.8 s each.
     */
    @Test
    fun `a market that has refused is not asked by what was prepared for it before`() = world(settings) {
        // Far more than all machines hold: each of the eight markets is emptied.
        repeat(6) { array("req-large$it", 20, 60.0, 32.0, 56.0) }
        repeat(20) { array("req-small$it", 60, 60.0, 4.0, 6.0) }
        until("all machines rented", 40.seconds) { platform.cloud.machines().size == 160 }
        val asked = platform.cloud.asked
        val useless = platform.cloud.refused
        // Four markets of 36 and four of 4: eight requests would have done, had it been known what is needed.
        assertTrue(asked <= 30, "$asked requests, $useless refused")
        assertTrue(useless <= 8, "$useless of $asked requests were refused: more than one a market")
        delay(20.seconds)
        assertTrue(platform.cloud.refused - useless <= 8, "${platform.cloud.refused - useless} more refusals in 20 s")
        assertRulesKept()
    }

    /** Without what is kept for it, large work waits for as long as small work keeps coming. */
    @Test
    fun `large tasks have their room while small ones keep coming`() = world(settings) {
        repeat(12) { array("req-first$it", 60, 5.0 + it * 7 % 40, 4.0, 6.0) }
        until("machines up", 90.seconds) { platform.workers().size >= 150 }
        var n = 0
        repeat(30) {
            repeat(2) { array("req-more${n++}", 60, 5.0 + n * 7 % 40, 4.0, 6.0) }
            if (it == 2) array("req-large", 16, 30.0, 32.0, 56.0)
            delay(3.seconds)
        }
        assertEquals("done", standing("req-large"), "after 84 s, 30 of which it runs")
        assertRulesKept()
    }

    /** Seen: a fleet of 220 that nobody had rented took 440 writes and 19 s, at 24 writes a second. */
    @Test
    fun `machines that nobody knows are adopted many at a time`() = world(settings) {
        platform.cloud.give("small", 36)
        platform.cloud.give("large", 4)
        array("req-1", 60, 5.0, 4.0, 6.0)
        until("done", 30.seconds) { standing("req-1") == "done" }
        val intents = platform.state.keys().filter { it.startsWith("v/a/hire/") }
        // They report over 2.5 s, of four markets.
        assertTrue(intents.count { "adopted" in it } in 1..20, "$intents")
        assertEquals(0, platform.cloud.machines().count { it.failed })
        assertRulesKept()
    }
}
