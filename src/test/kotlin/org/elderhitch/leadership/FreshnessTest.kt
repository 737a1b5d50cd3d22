package org.elderhitch.leadership

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tries the proof of `docs/design.md`, "For how long a withdrawn task may be kept", on random schedules. */
class FreshnessTest {
    private fun violations(guard: Guard): Int = SEEDS.count { CancellationSimulation(it, guard).overrun() != null }

    @Test
    fun `a cancelled task ends in time when terms, renewals and freshness checks follow a random schedule`() {
        for (seed in SEEDS) assertEquals(null, CancellationSimulation(seed, Guard.ALL).overrun(), "seed $seed")
    }

    /** On the same schedules: so each guard is needed. */
    @Test
    fun `a cancelled task outlives its time when any one guard is left out`() {
        for (guard in Guard.entries - Guard.ALL) assertTrue(violations(guard) > 0, "$guard")
    }

    private companion object {
        val SEEDS = 1..3000
    }
}
