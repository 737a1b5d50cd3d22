package org.elderhitch.failuredetection

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class ProbeRateLimiterTest {
    /** How many may be asked in each tick of six seconds, of machines that come by themselves at [perTick]. */
    private fun asked(machines: Int, perTick: Int, previousLeaderEnded: Boolean): List<Int> {
        val pace = ProbeRateLimiter()
        return List(60) { n -> pace.allow(maxOf(0, machines - perTick * n), 100.milliseconds * n, previousLeaderEnded) }
    }

    @Test
    fun `machines that come by themselves are not asked, and those that don't are asked at once`() {
        for (stopped in listOf(false, true)) {
            assertTrue(asked(600, perTick = 120, stopped).subList(1, 5).all { it == 0 })
            // Nobody comes: they wait for the answer of a leader that is cut off, or for one that is down.
            assertTrue(asked(600, perTick = 0, stopped).drop(1).all { it == ProbeRateLimiter.PER_TICK })
        }
        // A few come by chance, as their reports were due.
        assertEquals(ProbeRateLimiter.PER_TICK, asked(600, perTick = 3, previousLeaderEnded = false)[2])
    }

    /**
     * Seen on a simulated day at 1,182 machines: a controller that had just started asked 882 times while 650 workers
     * reported to it as fast as it took them.
     */
    @Test
    fun `after a crash of all nobody is asked while any come, for four seconds at most`() {
        val slow = asked(650, perTick = 4, previousLeaderEnded = true)
        assertTrue(slow.subList(1, 40).all { it == 0 }, "$slow")
        assertTrue(slow.drop(40).all { it == ProbeRateLimiter.PER_TICK }, "$slow")
        // All but the last ten have come: those are asked.
        assertEquals(ProbeRateLimiter.PER_TICK, asked(650, perTick = 64, previousLeaderEnded = true).drop(12).first())
    }
}
