package org.elderhitch.failuredetection

import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How many machines of a zone may be returned for nothing but their silence. When much of a zone is silent at once and
 * nothing proves that the machines are
 * dead, that may say more of us, or of the network, than of them; each is paid for again, boots, and fetches its
 * images. Where there is proof nothing is paced.
 */
internal class TerminationRateLimiter(private val share: Double) {
    private class Bucket(var left: Double, var at: MonotonicInstant)

    private val zones = HashMap<Zone, Bucket>()

    fun newTerm() = zones.clear()

    /**
     * How many of [wanted] may go now, of a zone of [size] machines: its share of them within [SPAN], and always a few.
     */
    fun allow(zone: Zone, size: Int, wanted: Int, now: MonotonicInstant): Int {
        val most = maxOf(FEW, size * share)
        val bucket = zones.getOrPut(zone) { Bucket(most, now) }
        bucket.left = minOf(most, bucket.left + (now - bucket.at) / SPAN * most)
        bucket.at = now
        val may = minOf(wanted, bucket.left.toInt())
        bucket.left -= may
        return may
    }

    companion object {
        val SPAN: Duration = 5.seconds
        const val FEW = 4.0
    }
}
