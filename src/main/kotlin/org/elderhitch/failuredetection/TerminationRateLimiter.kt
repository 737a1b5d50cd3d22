package org.elderhitch.failuredetection

import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits how many machines of a zone are terminated for their silence alone, by a token bucket for each zone. Made anew
 * for each term. When much of a zone is silent at once and nothing proves that the machines are dead, this node or the
 * network may be at fault; and each replacement is paid for, boots, and fetches its images again.
 *
 * @param share the share of a zone's machines that may be terminated within [SPAN].
 */
internal class TerminationRateLimiter(private val share: Double) {
    private class Bucket(var tokens: Double, var refilledAt: MonotonicInstant)

    private val buckets = HashMap<Zone, Bucket>()

    /**
     * How many of the [requested] terminations may go out now, in a zone of [size] machines: its share of them within
     * [SPAN], and always a few.
     */
    fun allow(zone: Zone, size: Int, requested: Int, now: MonotonicInstant): Int {
        val capacity = maxOf(FEW, size * share)
        val bucket = buckets.getOrPut(zone) { Bucket(capacity, now) }
        bucket.tokens = minOf(capacity, bucket.tokens + (now - bucket.refilledAt) / SPAN * capacity)
        bucket.refilledAt = now
        val allowed = minOf(requested, bucket.tokens.toInt())
        bucket.tokens -= allowed
        return allowed
    }

    companion object {
        val SPAN: Duration = 5.seconds
        const val FEW = 4.0
    }
}
