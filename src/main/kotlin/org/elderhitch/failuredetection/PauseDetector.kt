package org.elderhitch.failuredetection

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Detects that this process was paused, by a tick that comes much later than it was due. Messages that arrived during
 * the pause are still in buffers, so silence before [lastPauseEndedAt] is no evidence of a failure. Without this check,
 * a leader whose command window was still open after a pause of three seconds considered all its workers lost and
 * resigned.
 *
 * @param tick the interval between two calls of [check].
 */
internal class PauseDetector(private val tick: Duration) {
    private var lastTick = MonotonicInstant.FOREVER

    var lastPauseEndedAt: MonotonicInstant = MonotonicInstant.NEVER
        private set

    /** Returns how long the process was paused, or null if it wasn't. Must be called once per tick. */
    fun check(now: MonotonicInstant): Duration? {
        val sinceLastTick = now - lastTick
        lastTick = now
        if (sinceLastTick < tick + MIN_PAUSE) return null
        lastPauseEndedAt = now
        return sinceLastTick
    }

    private companion object {
        val MIN_PAUSE = 1.seconds
    }
}
