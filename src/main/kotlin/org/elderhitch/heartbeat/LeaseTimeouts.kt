package org.elderhitch.heartbeat

import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.stretched
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Computes when a worker's lease has certainly expired, on this node's clock. A worker starts a new agent epoch, and
 * drops all its tasks, once more than `lease_s` has passed since it *sent* its last answered heartbeat, or since the
 * epoch began if that is later. No other code compares times with a lease.
 *
 * @param lease the lease duration, which each worker measures on its own clock.
 */
internal class LeaseTimeouts(private val lease: Duration) {
    /** How long after its last renewal a lease has certainly expired: the lease, clock drift and a margin. */
    val maxDuration: Duration = lease.stretched() + MARGIN

    /** When a lease has expired that was not renewed by any message sent after [lastRenewal]. */
    fun expiredAfter(lastRenewal: MonotonicInstant): MonotonicInstant = lastRenewal + maxDuration

    /**
     * When all leases that previous leaders renewed have expired. After the claim at [claimed], a previous leader
     * answers heartbeats for at most its command window plus its answer grace period.
     */
    fun expiredAfterClaim(claimed: MonotonicInstant, timeouts: LeadershipTimeouts): MonotonicInstant =
        claimed + (timeouts.commandWindow + timeouts.answerGracePeriod + lease).stretched() + MARGIN

    /** Whether leases that expire at [expiry] do so within one lease duration. */
    fun expireWithinLease(expiry: MonotonicInstant, now: MonotonicInstant): Boolean = expiry - now < lease

    private companion object {
        /** Allows for clock steps in addition to drift. */
        val MARGIN = 500.milliseconds
    }
}
