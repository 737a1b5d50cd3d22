package org.elderhitch.app

import org.elderhitch.http.Transport
import org.elderhitch.settings.Settings
import org.elderhitch.store.RequestRateLimiter
import org.elderhitch.store.StateClient
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration.Companion.seconds

/**
 * The connection to the state service: the client, this controller's share of the request rates that apply to all
 * controllers together, and whether the service responds.
 */
internal class StateConnection(private val settings: Settings, transport: Transport, private val clock: SteadyClock) {
    private val requests = RequestRateLimiter(clock, rateShare(settings.stateLimits.requestsPerS, FOLLOWER_SHARE))
    private val writes = RequestRateLimiter(clock, rateShare(settings.stateLimits.writesPerS, FOLLOWER_SHARE))
    private var lastResponseAt = MonotonicInstant.NEVER
    private var lastRequestFailed = false
    private var lastProbeAt = MonotonicInstant.NEVER

    val client: StateClient =
        StateClient(transport, settings.state, settings.stateLimits, requests, writes, ::requestCompleted)

    private fun requestCompleted(answered: Boolean) {
        lastRequestFailed = !answered
        if (answered) lastResponseAt = clock.now()
    }

    /** Sets the request rates to the share of a leader, which writes more, or to that of a follower. */
    fun setRates(isLeader: Boolean) {
        val share = if (isLeader) LEADER_SHARE else FOLLOWER_SHARE
        requests.setRate(rateShare(settings.stateLimits.requestsPerS, share))
        writes.setRate(rateShare(settings.stateLimits.writesPerS, share))
    }

    private fun rateShare(rate: Double, share: Double): Double =
        if (settings.peers.isEmpty()) rate * USABLE_SHARE else rate * USABLE_SHARE * share

    /** Whether the latest request got a response, recently enough to expect one to the next request. */
    fun isReachable(): Boolean = !lastRequestFailed && clock.now() - lastResponseAt < REACHABLE_AFTER_RESPONSE

    /**
     * Whether the connection to the state service is lost. [isReachable] notices that too late: while nothing changes,
     * a watch gets no response for so long that half of the workers' leases could expire first. After [PROBE_AFTER]
     * without a response this calls [sendProbe], which must send a request, and returns true if no response arrives
     * within [PROBE_TIMEOUT].
     */
    fun isLost(sendProbe: () -> Unit): Boolean {
        val now = clock.now()
        if (lastResponseAt > lastProbeAt && now - lastResponseAt > PROBE_AFTER) {
            lastProbeAt = now
            sendProbe()
        }
        val probeUnanswered = lastResponseAt <= lastProbeAt && now - lastProbeAt > PROBE_TIMEOUT
        return lastRequestFailed || probeUnanswered
    }

    private companion object {
        /** The share of a rate that is used; the rest allows for controllers whose clocks run fast. */
        const val USABLE_SHARE = 0.92
        const val LEADER_SHARE = 0.6
        const val FOLLOWER_SHARE = 0.2
        val REACHABLE_AFTER_RESPONSE = 13.seconds
        val PROBE_AFTER = 1.seconds
        val PROBE_TIMEOUT = 1.seconds
    }
}
