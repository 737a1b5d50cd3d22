package org.elderhitch.failuredetection

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Notices that this process stood still while its clock ran on: a tick that comes much later than it was due. Whatever
 * was
 * to be heard meanwhile still lies in the buffers, so silence before [since] says nothing of those who seem to be
 * silent.
 * After three seconds' pause a leader, whose window was still open, took all its workers for lost and resigned.
 */
internal class PauseDetector(private val tick: Duration) {
    private var last = MonotonicInstant.FOREVER

    /** When it last woke up. */
    var since: MonotonicInstant = MonotonicInstant.NEVER
        private set

    /** How long the process stood still until now; null: it did not. */
    fun check(now: MonotonicInstant): Duration? {
        val pause = now - last
        last = now
        if (pause < tick + PAUSE) return null
        since = now
        return pause
    }

    private companion object {
        val PAUSE = 1.seconds
    }
}
