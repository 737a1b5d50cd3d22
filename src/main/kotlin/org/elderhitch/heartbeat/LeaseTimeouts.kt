package org.elderhitch.heartbeat

import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.stretched
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * When a lease is surely over on its worker's clock. The only place that compares times with a lease (PROTOCOL,
 * "Leases": a
 * worker ends a session when its last answered report was *sent* more than `lease_s` ago, or when the session began
 * then).
 */
internal class LeaseTimeouts(private val lease: Duration) {
    /** A lease that was renewed by nothing that left its worker after [last] is over from then on. */
    fun overAfter(last: MonotonicInstant): MonotonicInstant = last + longest

    /** How long after the last report that renewed it a lease is surely over. */
    val longest: Duration = lease.stretched() + MARGIN

    /**
     * Whoever led before a claim answers nobody longer than its window and its hold time; from then on every lease that
     * it kept alive is over.
     */
    fun overAfterClaim(claimed: MonotonicInstant, times: LeadershipTimeouts): MonotonicInstant =
        claimed + (times.commandWindow + times.answerGracePeriod + lease).stretched() + MARGIN

    /** Whether leases that end at [end] do so within one lease's time. */
    fun endSoon(end: MonotonicInstant, now: MonotonicInstant): Boolean = end - now < lease

    private companion object {
        /** On top of a lease that is surely over: the clocks' steps. */
        val MARGIN = 500.milliseconds
    }
}
