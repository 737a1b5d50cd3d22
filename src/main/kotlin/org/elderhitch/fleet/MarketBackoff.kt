package org.elderhitch.fleet

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration.Companion.seconds

/** Backoff for markets that recently had less capacity than requested. A closed market receives no requests. */
internal class MarketBackoff {
    private val closedUntil = HashMap<Market, MonotonicInstant>()

    /** Number of consecutive requests for which a market lacked capacity. */
    private val refusals = HashMap<Market, Int>()

    /** Markets in which no machines are requested at present. */
    val closed: Set<Market> get() = closedUntil.keys

    /** Markets that did not grant the latest request in full. They count as empty until they grant one in full. */
    val refused: Set<Market> get() = refusals.keys

    /** Reopens all markets. The refusal counts, which determine the next backoff time, are kept. */
    fun resetForNewTerm() = closedUntil.clear()

    /** Closes the market for a time that doubles with each consecutive refusal, up to [MAX_BACKOFF]. */
    fun close(market: Market, now: MonotonicInstant) {
        val refusalsInRow = refusals.merge(market, 1, Int::plus) ?: 1
        closedUntil[market] =
            now + minOf(INITIAL_BACKOFF * (1 shl minOf(refusalsInRow - 1, MAX_DOUBLINGS)), MAX_BACKOFF)
    }

    /** Resets the refusal count of a market that granted a request in full. */
    fun reset(market: Market) {
        refusals.remove(market)
    }

    /** Reopens the markets whose backoff time has passed. */
    fun reopenExpired(now: MonotonicInstant) {
        closedUntil.values.removeAll { it < now }
    }

    private companion object {
        val INITIAL_BACKOFF = 10.seconds
        val MAX_BACKOFF = 60.seconds
        const val MAX_DOUBLINGS = 4
    }
}
