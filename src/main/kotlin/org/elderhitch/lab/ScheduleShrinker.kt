package org.elderhitch.lab

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Reduces a failing schedule while it still fails: first removes faults, then shortens the remaining ones. */
internal class ScheduleShrinker private constructor(
    private var best: Schedule,
    private var attemptsLeft: Int,
    private val fails: (Schedule) -> Boolean,
) {
    private fun replaceIfFailing(candidate: Schedule): Boolean {
        if (attemptsLeft-- <= 0 || !fails(candidate)) return false
        best = candidate
        return true
    }

    private fun dropFaults() {
        var chunkSize = maxOf(1, best.faults.size / 2)
        while (chunkSize >= 1 && attemptsLeft > 0) {
            var at = 0
            while (at < best.faults.size && attemptsLeft > 0) {
                val without = best.faults.filterIndexed { n, _ -> n !in at until at + chunkSize }
                if (!replaceIfFailing(best.copy(faults = without))) at += chunkSize
            }
            chunkSize /= 2
        }
    }

    private fun shortenFaults() {
        for (n in best.faults.indices) {
            while (attemptsLeft > 0) {
                val fault = best.faults[n]
                if (fault.lasts < 2.seconds || !replaceIfFailing(withHalved(n))) break
            }
        }
    }

    private fun withHalved(n: Int): Schedule {
        val fault = best.faults[n]
        val halved = fault.copy(lasts = (fault.lasts / 2).inWholeMilliseconds.milliseconds)
        return best.copy(faults = best.faults.toMutableList().also { it[n] = halved })
    }

    companion object {
        fun smallest(failing: Schedule, maxAttempts: Int, fails: (Schedule) -> Boolean): Schedule {
            val shrinker = ScheduleShrinker(failing, maxAttempts, fails)
            shrinker.dropFaults()
            shrinker.shortenFaults()
            return shrinker.best
        }
    }
}
