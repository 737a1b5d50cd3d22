package org.elderhitch.app

import org.elderhitch.http.Transport
import org.elderhitch.settings.Settings
import org.elderhitch.store.RequestRateLimiter
import org.elderhitch.store.StateClient
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration.Companion.seconds

/**
 * This controller's connection to the state service: the client, this controller's share of the request rates that all
 * controllers share, and whether the service answers.
 */
internal class StateConnection(private val settings: Settings, transport: Transport, private val clock: SteadyClock) {
    private val requests = RequestRateLimiter(clock, rateShare(settings.stateLimits.requestsPerS, FOLLOWER_SHARE))
    private val writes = RequestRateLimiter(clock, rateShare(settings.stateLimits.writesPerS, FOLLOWER_SHARE))
    private var answeredAt = MonotonicInstant.NEVER
    private var lastRequestFailed = false
    private var probedAt = MonotonicInstant.NEVER

    val client: StateClient =
        StateClient(transport, settings.state, settings.stateLimits, requests, writes, ::requestCompleted)

    private fun requestCompleted(answered: Boolean) {
        lastRequestFailed = !answered
        if (answered) answeredAt = clock.now()
    }

    /** Sets the request rates to the share of a leader, which writes more, or of a follower. */
    fun setRates(leads: Boolean) {
        val share = if (leads) LEADER_SHARE else FOLLOWER_SHARE
        requests.setRate(rateShare(settings.stateLimits.requestsPerS, share))
        writes.setRate(rateShare(settings.stateLimits.writesPerS, share))
    }

    private fun rateShare(rate: Double, share: Double): Double =
        if (settings.peers.isEmpty()) rate * USABLE_RATE else rate * USABLE_RATE * share

    /** Whether the latest request was answered, and recently enough to expect that the next one will be. */
    fun isReachable(): Boolean = !lastRequestFailed && clock.now() - answeredAt < CONTACT_FRESH

    /**
     * Whether the state service is lost, which [isReachable] notices later: while nothing changes, the service is
     * silent for so long that half of the workers' leases could expire first. After [PROBE_AFTER] without an answer
     * this calls [sendProbe], which must send a request, and counts the service as lost if no answer arrives within
     * [PROBE_TIMEOUT].
     */
    fun isLost(sendProbe: () -> Unit): Boolean {
        val now = clock.now()
        if (answeredAt > probedAt && now - answeredAt > PROBE_AFTER) {
            probedAt = now
            sendProbe()
        }
        val probeUnanswered = answeredAt <= probedAt && now - probedAt > PROBE_TIMEOUT
        return lastRequestFailed || probeUnanswered
    }

    private companion object {
        /** The rest of the rate covers controllers whose clocks run fast. */
        const val USABLE_RATE = 0.92
        const val LEADER_SHARE = 0.6
        const val FOLLOWER_SHARE = 0.2
        val CONTACT_FRESH = 13.seconds
        val PROBE_AFTER = 1.seconds
        val PROBE_TIMEOUT = 1.seconds
    }
}
