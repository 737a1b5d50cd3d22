package org.elderhitch.failuredetection

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Notices that this process was paused while its clock ran on, by a tick that comes much later than it was due. The
 * messages that arrived meanwhile still lie in buffers, so silence before [lastPauseEndedAt] tells nothing: after a
 * pause of three seconds a leader, whose window was still open, took all its workers for lost and resigned.
 *
 * @param tick the time between two calls of [check].
 */
internal class PauseDetector(private val tick: Duration) {
    private var lastTick = MonotonicInstant.FOREVER

    var lastPauseEndedAt: MonotonicInstant = MonotonicInstant.NEVER
        private set

    /** Called once a tick; returns how long the process was paused until now, or null if it wasn't. */
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
