package org.elderhitch.fleet

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration.Companion.seconds

/** Markets that lately had less capacity than was requested, and until when nothing is requested there. */
internal class MarketBackoff {
    private val closedUntil = HashMap<Market, MonotonicInstant>()

    /** How often in a row a market lacked capacity. */
    private val refusals = HashMap<Market, Int>()

    /** Markets in which nothing is requested for now. */
    val closed: Set<Market> get() = closedUntil.keys

    /** Markets whose latest answer was short of what was requested: they count as empty until one is served whole. */
    val refused: Set<Market> get() = refusals.keys

    /** Opens all markets; how long the next refusal closes one still depends on the refusals before. */
    fun newTerm() = closedUntil.clear()

    /** Closes the market for a time that doubles with each refusal in a row, up to a limit. */
    fun close(market: Market, now: MonotonicInstant) {
        val times = refusals.merge(market, 1, Int::plus) ?: 1
        closedUntil[market] = now + minOf(INITIAL_BACKOFF * (1 shl minOf(times - 1, MAX_DOUBLINGS)), MAX_BACKOFF)
    }

    /** The market gave all that was requested. */
    fun served(market: Market) {
        refusals.remove(market)
    }

    /** Opens the markets whose time is over. */
    fun expire(now: MonotonicInstant) {
        closedUntil.values.removeAll { it < now }
    }

    private companion object {
        val INITIAL_BACKOFF = 10.seconds
        val MAX_BACKOFF = 60.seconds
        const val MAX_DOUBLINGS = 4
    }
}
