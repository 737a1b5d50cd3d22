package org.elderhitch.failuredetection

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class ProbeRateLimiterTest {
    /**
     * Returns the probes allowed in each tick of six seconds while [perTick] machines reconnect unprompted per tick.
     */
    private fun allowedProbes(machines: Int, perTick: Int, previousLeaderExited: Boolean): List<Int> {
        val limiter = ProbeRateLimiter()
        return List(60) { tick ->
            val unaccounted = maxOf(0, machines - perTick * tick)
            limiter.allow(unaccounted, 100.milliseconds * tick, previousLeaderExited)
        }
    }

    @Test
    fun `limiter allows no probes while machines reconnect unprompted, and the maximum once they don't`() {
        for (leaderEnded in listOf(false, true)) {
            assertTrue(allowedProbes(600, perTick = 120, leaderEnded).subList(1, 5).all { it == 0 })
            // No machine reconnects: all wait for an answer from a leader that is partitioned or down.
            assertTrue(
                allowedProbes(600, perTick = 0, leaderEnded).drop(1).all { it == ProbeRateLimiter.MAX_PROBES_PER_TICK },
            )
        }
        // A few machines reconnect by chance because their heartbeats were due.
        assertEquals(
            ProbeRateLimiter.MAX_PROBES_PER_TICK,
            allowedProbes(600, perTick = 3, previousLeaderExited = false)[2],
        )
    }

    /**
     * Regression, from a simulated day with 1,182 machines: a controller that had just started sent 882 probes while
     * 650 workers sent heartbeats as fast as it accepted them.
     */
    @Test
    fun `limiter allows no probes for four seconds when machines reconnect slowly after the previous leader ended`() {
        val slow = allowedProbes(650, perTick = 4, previousLeaderExited = true)
        assertTrue(slow.subList(1, 40).all { it == 0 }, "$slow")
        assertTrue(slow.drop(40).all { it == ProbeRateLimiter.MAX_PROBES_PER_TICK }, "$slow")
        // All but the last ten have reconnected; those are probed.
        val fast = allowedProbes(650, perTick = 64, previousLeaderExited = true)
        assertEquals(ProbeRateLimiter.MAX_PROBES_PER_TICK, fast.drop(12).first())
    }
}
