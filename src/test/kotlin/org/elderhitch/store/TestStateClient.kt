package org.elderhitch.store

import org.elderhitch.http.Address
import org.elderhitch.http.Transport
import org.elderhitch.settings.StateLimits
import org.elderhitch.time.SteadyClock

/** Creates clients of the state service with rate limits that don't delay tests. */
internal object TestStateClient {
    private const val REQUESTS_PER_SECOND = 1000.0
    val LIMITS = StateLimits(REQUESTS_PER_SECOND, REQUESTS_PER_SECOND, valueBytes = 8192, txnOps = 8)

    fun of(transport: Transport, clock: SteadyClock): StateClient = StateClient(
        transport,
        Address("state:1"),
        LIMITS,
        RequestRateLimiter(clock, REQUESTS_PER_SECOND),
        RequestRateLimiter(clock, REQUESTS_PER_SECOND),
    )
}
