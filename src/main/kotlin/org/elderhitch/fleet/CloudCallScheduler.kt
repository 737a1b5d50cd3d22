package org.elderhitch.fleet

import org.elderhitch.time.MonotonicInstant
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Shares the cloud's request rate, [perSecond], fairly between a leader's terminations, lists and provisioning
 * requests.
 *
 * Work waits here rather than in the rate limiter: terminations until they fill a request, so that one whose machine
 * sends a heartbeat meanwhile can be cancelled; provisioning until it can be sent, so that it follows the demand of
 * that moment.
 *
 * Without this, at 1.5 requests a second, each request terminated one or two suspected machines, the list of 603
 * machines took most of the rest, and no machine was provisioned for 45 s while 2,000 tasks waited.
 */
internal class CloudCallScheduler(private val perSecond: Double) {
    private val terminations = LinkedHashMap<MachineId, TerminationReason>()
    private var lastTerminationAt = MonotonicInstant.NEVER
    private var terminationsInFlight = 0
    private var isListing = false
    private var listedAt = MonotonicInstant.NEVER
    private var listPages = 1

    /** Forgets all that belongs to the term before. */
    fun newTerm() {
        terminations.clear()
        lastTerminationAt = MonotonicInstant.NEVER
        terminationsInFlight = 0
        isListing = false
        listedAt = MonotonicInstant.NEVER
        listPages = 1
    }

    // ---- terminations ------------------------------------------------------------------------------------------

    /** Queues the machines for termination; one that is queued already keeps its reason. */
    fun enqueueTerminations(machines: Collection<MachineId>, reason: TerminationReason) {
        for (machine in machines) terminations.putIfAbsent(machine, reason)
    }

    /** Takes a machine whose worker sent a heartbeat out of the queue, if its reason is cancellable. True: it was. */
    fun cancelTermination(machine: MachineId): Boolean =
        terminations[machine]?.cancellable == true && terminations.remove(machine) != null

    /** The machine is gone already: it need not be terminated. */
    fun removeGone(machine: MachineId) {
        terminations.remove(machine)
    }

    /**
     * The machines to terminate now, with the reason of each; empty if it is not the turn of a termination. However
     * many are queued, every other turn is left to provisioning: one more machine to terminate is one more name in a
     * request, while each provisioning needs a request of its own.
     */
    fun nextTerminations(now: MonotonicInstant): Map<MachineId, TerminationReason> {
        val isBlocked = terminationsInFlight >= MAX_TERMINATIONS_IN_FLIGHT ||
            now - lastTerminationAt < timeOf(1, TERMINATIONS_SHARE)
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

    /** A termination request was answered, or its outcome is unknown. */
    fun terminationCompleted() {
        terminationsInFlight--
    }

    // ---- lists -------------------------------------------------------------------------------------------------

    /** Whether no list was received in this term yet. */
    val neverListed: Boolean get() = listedAt == MonotonicInstant.NEVER

    /**
     * Whether the list is to be requested now: no more often than every [interval], and with no more than its share of
     * the rate for all its pages. True marks it as under way.
     */
    fun startListing(now: MonotonicInstant, interval: Duration): Boolean {
        val isTooSoon = !neverListed && now - listedAt < maxOf(interval, timeOf(listPages, LISTING_SHARE))
        if (isListing || isTooSoon) return false
        isListing = true
        return true
    }

    /** The list had [machines] entries; null: it was unavailable. */
    fun listingCompleted(machines: Int?, now: MonotonicInstant) {
        isListing = false
        listedAt = now
        if (machines != null) listPages = machines / CloudClient.PAGE_SIZE + 1
    }

    // ---- provisioning ------------------------------------------------------------------------------------------

    /** How many provisioning requests may be in flight at a time. */
    val maxProvisioningInFlight: Int get() = maxOf(1, perSecond.toInt())

    /**
     * How many provisioning intents may be open, in preparation or in flight: those of one second, as the demand is
     * known better afterwards.
     */
    val maxOpenIntents: Int get() = ceil(perSecond).toInt()

    /** How long that many requests take at [share] of the rate. */
    private fun timeOf(requests: Int, share: Double): Duration = (requests / (perSecond * share)).seconds

    companion object {
        /**
         * The part of the cloud's rate that a leader uses. The rest is for the last requests of the leader before it,
         * and for other nodes that fetch the catalog.
         */
        const val USABLE_SHARE = 0.8
        private const val TERMINATIONS_SHARE = 0.5
        private const val LISTING_SHARE = 0.25
        private const val MAX_TERMINATIONS_IN_FLIGHT = 4
    }
}
