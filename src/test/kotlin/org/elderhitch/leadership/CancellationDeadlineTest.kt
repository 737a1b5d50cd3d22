package org.elderhitch.leadership

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks the proof in `docs/design.md` that a cancelled task ends within the cancellation time. */
class CancellationDeadlineTest {
    private fun violations(guard: OmittedGuard): Int =
        SEEDS.count { CancellationSimulation(it, guard).overrun() != null }

    @Test
    fun `a cancelled task ends in time when terms, renewals and freshness checks follow a random schedule`() {
        for (seed in SEEDS) assertEquals(null, CancellationSimulation(seed, OmittedGuard.NONE).overrun(), "seed $seed")
    }

    /** Uses the same schedules as the test above, so it shows that each guard is necessary. */
    @Test
    fun `a cancelled task outlives its time when any one guard is left out`() {
        for (guard in OmittedGuard.entries - OmittedGuard.NONE) assertTrue(violations(guard) > 0, "$guard")
    }

    private companion object {
        val SEEDS = 1..3000
    }
}
