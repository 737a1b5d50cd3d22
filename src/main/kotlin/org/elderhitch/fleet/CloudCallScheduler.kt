package org.elderhitch.fleet

import org.elderhitch.time.MonotonicInstant
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Shares the cloud's request rate, [requestsPerSecond], fairly between the leader's terminations, lists, and
 * provisioning requests.
 *
 * Work waits here rather than in the rate limiter. Queued terminations are batched, and can be cancelled if the machine
 * sends a heartbeat meanwhile. Provisioning waits until it can be sent, so that it follows the current demand.
 *
 * Without this, at 1.5 requests a second, each request terminated one or two suspected machines, listing 603 machines
 * took most of the remaining rate, and no machine was provisioned for 45 s while 2,000 tasks waited.
 */
internal class CloudCallScheduler(private val requestsPerSecond: Double) {
    private val terminations = LinkedHashMap<MachineId, TerminationReason>()
    private var lastTerminationAt = MonotonicInstant.NEVER
    private var terminationsInFlight = 0
    private var isListing = false
    private var listedAt = MonotonicInstant.NEVER
    private var listPageCount = 1

    /** Discards the state of the previous term. */
    fun resetForNewTerm() {
        terminations.clear()
        lastTerminationAt = MonotonicInstant.NEVER
        terminationsInFlight = 0
        isListing = false
        listedAt = MonotonicInstant.NEVER
        listPageCount = 1
    }

    /** Queues machines for termination. A machine that is already queued keeps its reason. */
    fun enqueueTerminations(machines: Collection<MachineId>, reason: TerminationReason) {
        for (machine in machines) terminations.putIfAbsent(machine, reason)
    }

    /** Removes a machine from the queue, if its reason is cancellable. Returns whether it was removed. */
    fun cancelTermination(machine: MachineId): Boolean =
        terminations[machine]?.cancellable == true && terminations.remove(machine) != null

    /** Removes a machine from the queue that is already gone and need not be terminated. */
    fun removeGone(machine: MachineId) {
        terminations.remove(machine)
    }

    /**
     * Takes the next batch of machines to terminate, with the reason of each; empty if no termination request may be
     * sent now. However many machines are queued, half of the rate is left to other requests: another termination only
     * adds an id to a request, whereas each provisioning needs its own request.
     */
    fun nextTerminations(now: MonotonicInstant): Map<MachineId, TerminationReason> {
        val isBlocked = terminationsInFlight >= MAX_TERMINATIONS_IN_FLIGHT ||
            now - lastTerminationAt < durationOf(1, TERMINATIONS_SHARE)
        if (terminations.isEmpty() || isBlocked) return emptyMap()
        lastTerminationAt = now
        terminationsInFlight++
        val batch = LinkedHashMap<MachineId, TerminationReason>()
        val queued = terminations.entries.iterator()
        while (queued.hasNext() && batch.size < CloudClient.MAX_TERMINATED) {
            val (machine, reason) = queued.next()
            batch[machine] = reason
            queued.remove()
        }
        return batch
    }

    /** A termination request has completed, with a known or unknown outcome. */
    fun terminationCompleted() {
        terminationsInFlight--
    }

    /** Whether no list request has completed in this term. */
    val isFirstListPending: Boolean get() = listedAt == MonotonicInstant.NEVER

    /**
     * Returns whether the list may be requested now, and if so marks it as in flight. Lists are requested at most once
     * every [interval], and their pages use at most their share of the rate.
     */
    fun tryStartListing(now: MonotonicInstant, interval: Duration): Boolean {
        val isTooSoon = !isFirstListPending &&
            now - listedAt < maxOf(interval, durationOf(listPageCount, LISTING_SHARE))
        if (isListing || isTooSoon) return false
        isListing = true
        return true
    }

    /** A list request has completed, with [machines] entries; null if the list was unavailable. */
    fun listingCompleted(machines: Int?, now: MonotonicInstant) {
        isListing = false
        listedAt = now
        if (machines != null) listPageCount = machines / CloudClient.PAGE_SIZE + 1
    }

    /** Maximum number of provisioning requests in flight. */
    val maxProvisioningInFlight: Int get() = maxOf(1, requestsPerSecond.toInt())

    /**
     * Maximum number of open provisioning intents, whether being recorded, waiting, or in flight. It is limited to one
     * second's worth of requests, as later decisions are based on more recent demand.
     */
    val maxOpenIntents: Int get() = ceil(requestsPerSecond).toInt()

    /** The time that [requests] take at [share] of the rate. */
    private fun durationOf(requests: Int, share: Double): Duration = (requests / (requestsPerSecond * share)).seconds

    companion object {
        /**
         * The share of the cloud's request rate that a leader uses. The rest is left for the last requests of the
         * previous leader and for other nodes that fetch the catalog.
         */
        const val USABLE_SHARE = 0.8
        private const val TERMINATIONS_SHARE = 0.5
        private const val LISTING_SHARE = 0.25
        private const val MAX_TERMINATIONS_IN_FLIGHT = 4
    }
}
