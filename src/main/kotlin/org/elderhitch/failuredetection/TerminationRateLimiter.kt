package org.elderhitch.failuredetection

import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits how many machines of a zone are terminated on the evidence of their silence alone, with a token bucket per
 * zone. Replaced with each term.
 *
 * If many machines of a zone are silent at once and nothing proves that they are dead, this node or the network may be
 * at fault. Each replacement costs money, has to boot, and fetches its images again.
 *
 * @param maxShare the fraction of a zone's machines that may be terminated within [REFILL_PERIOD].
 */
internal class TerminationRateLimiter(private val maxShare: Double) {
    private class Bucket(var tokens: Double, var refilledAt: MonotonicInstant)

    private val buckets = HashMap<Zone, Bucket>()

    /**
     * Returns how many of the [requested] terminations may be sent now in a zone of [size] machines. The bucket holds
     * [maxShare] of the zone's machines, but at least [MIN_BURST], and refills within [REFILL_PERIOD].
     */
    fun allow(zone: Zone, size: Int, requested: Int, now: MonotonicInstant): Int {
        val capacity = maxOf(MIN_BURST, size * maxShare)
        val bucket = buckets.getOrPut(zone) { Bucket(capacity, now) }
        bucket.tokens = minOf(capacity, bucket.tokens + (now - bucket.refilledAt) / REFILL_PERIOD * capacity)
        bucket.refilledAt = now
        val allowed = minOf(requested, bucket.tokens.toInt())
        bucket.tokens -= allowed
        return allowed
    }

    companion object {
        val REFILL_PERIOD: Duration = 5.seconds
        const val MIN_BURST = 4.0
    }
}
