package org.elderhitch.heartbeat

import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.stretched
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * When a worker's lease has surely expired, on this node's clock. A worker starts a new agent epoch, and drops all its
 * tasks, once its last answered heartbeat was *sent* more than `lease_s` ago, or once the epoch began then (PROTOCOL,
 * "Leases"). No other code compares times with a lease.
 *
 * @param lease the lease as the workers count it, each on its own clock.
 */
internal class LeaseTimeouts(private val lease: Duration) {
    /** How long after its last renewal a lease has surely expired: the lease, the clocks' drift and a margin. */
    val maxDuration: Duration = lease.stretched() + MARGIN

    /** From when on a lease has expired that no message renewed which left its worker after [lastRenewal]. */
    fun expiredAfter(lastRenewal: MonotonicInstant): MonotonicInstant = lastRenewal + maxDuration

    /**
     * From when on every lease has expired that a previous leader kept alive. A previous leader answers nobody for
     * longer than its command window and its answer grace period after the [claimed] instant.
     */
    fun expiredAfterClaim(claimed: MonotonicInstant, timeouts: LeadershipTimeouts): MonotonicInstant =
        claimed + (timeouts.commandWindow + timeouts.answerGracePeriod + lease).stretched() + MARGIN

    /** Whether leases that expire at [expiry] do so within the time of one lease. */
    fun expireSoon(expiry: MonotonicInstant, now: MonotonicInstant): Boolean = expiry - now < lease

    private companion object {
        /** Allows for steps of the clocks, on top of their drift. */
        val MARGIN = 500.milliseconds
    }
}
