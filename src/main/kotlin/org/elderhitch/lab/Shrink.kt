package org.elderhitch.lab

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Makes a failing schedule smaller for as long as it still fails: without troubles, then with shorter ones. */
internal class Shrink private constructor(
    private var best: Schedule,
    private var triesLeft: Int,
    private val fails: (Schedule) -> Boolean,
) {
    private fun attempt(candidate: Schedule): Boolean {
        if (triesLeft-- <= 0 || !fails(candidate)) return false
        best = candidate
        return true
    }

    private fun dropTroubles() {
        var part = maxOf(1, best.troubles.size / 2)
        while (part >= 1 && triesLeft > 0) {
            var at = 0
            while (at < best.troubles.size && triesLeft > 0) {
                val without = best.troubles.filterIndexed { n, _ -> n !in at until at + part }
                if (!attempt(best.copy(troubles = without))) at += part
            }
            part /= 2
        }
    }

    private fun shortenTroubles() {
        for (n in best.troubles.indices) {
            while (triesLeft > 0) {
                val trouble = best.troubles[n]
                if (trouble.lasts < 2.seconds || !attempt(withHalved(n))) break
            }
        }
    }

    private fun withHalved(n: Int): Schedule {
        val trouble = best.troubles[n]
        val halved = trouble.copy(lasts = (trouble.lasts / 2).inWholeMilliseconds.milliseconds)
        return best.copy(troubles = best.troubles.toMutableList().also { it[n] = halved })
    }

    companion object {
        fun smallest(failing: Schedule, tries: Int, fails: (Schedule) -> Boolean): Schedule {
            val shrink = Shrink(failing, tries, fails)
            shrink.dropTroubles()
            shrink.shortenTroubles()
            return shrink.best
        }
    }
}
