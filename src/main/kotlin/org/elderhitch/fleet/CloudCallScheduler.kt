package org.elderhitch.fleet

import org.elderhitch.time.MonotonicInstant
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Why a machine is returned. [ifSilent]: only for as long as its worker says nothing. */
public enum class TerminationReason(public val word: String, internal val ifSilent: Boolean) {
    SUSPECTED("silent", true),

    /** It may run something of an earlier term, and has said nothing in this one. */
    NEVER_SEEN("unheard", true),
    FAILED("failed", false),
    IDLE("idle", false),
}

/**
 * Whose turn it is at the cloud, whose rate all of a leader's requests share. Orders wait here rather than for the
 * rate: machines to be returned until they
 * fill a request, so that one whose worker speaks up meanwhile is spared; hires until they can be sent, so that what is
 * asked for is what is needed then.
 *
 * Seen at 1.5 requests a second: for 45 s each request returned one or two silent machines, the list of 603 machines
 * took most of the rest, and not one
 * machine was hired while 2,000 tasks waited.
 */
internal class CloudCallScheduler(private val perSecond: Double) {
    private val returning = LinkedHashMap<MachineId, TerminationReason>()
    private var returnedAt = MonotonicInstant.NEVER
    private var returnsOut = 0
    private var listing = false
    private var listedAt = MonotonicInstant.NEVER
    private var pages = 1

    fun newTerm() {
        returning.clear()
        returnedAt = MonotonicInstant.NEVER
        returnsOut = 0
        listing = false
        listedAt = MonotonicInstant.NEVER
        pages = 1
    }

    // ---- returns -----------------------------------------------------------------------------------------------

    fun wantReturned(machines: Collection<MachineId>, reason: TerminationReason) {
        for (machine in machines) returning.putIfAbsent(machine, reason)
    }

    /** Its worker has spoken. True: it was to be returned for its silence, and that has not gone out. */
    fun spare(machine: MachineId): Boolean = returning[machine]?.ifSilent == true && returning.remove(machine) != null

    /** It is gone already. */
    fun gone(machine: MachineId) {
        returning.remove(machine)
    }

    /**
     * The machines whose return goes out now, with the reason of each; empty: none. Every other turn is left to hires,
     * whatever is to be returned: the return of a
     * machine is one name more in a request, while a hire is a request of its own.
     */
    fun returns(now: MonotonicInstant): Map<MachineId, TerminationReason> {
        if (returning.isEmpty() ||
            returnsOut >= MOST_OUT ||
            now - returnedAt < span(1, RETURNS_SHARE)
        ) {
            return emptyMap()
        }
        returnedAt = now
        returnsOut++
        val batch = LinkedHashMap<MachineId, TerminationReason>()
        val waiting = returning.entries.iterator()
        while (waiting.hasNext() && batch.size < CloudClient.MOST_RELEASED) {
            val (machine, reason) = waiting.next()
            batch[machine] = reason
            waiting.remove()
        }
        return batch
    }

    fun returned() {
        returnsOut--
    }

    // ---- the list ----------------------------------------------------------------------------------------------

    /** Nothing is known yet of what the cloud says in this term. */
    val unlisted: Boolean get() = listedAt == MonotonicInstant.NEVER

    /** At [least] intervals, and no more of the rate than its share goes on the pages of the list. */
    fun startList(now: MonotonicInstant, least: Duration): Boolean {
        if (listing || !unlisted && now - listedAt < maxOf(least, span(pages, LIST_SHARE))) return false
        listing = true
        return true
    }

    /** [machines]: how many there were; null: the list could not be had. */
    fun listed(machines: Int?, now: MonotonicInstant) {
        listing = false
        listedAt = now
        if (machines != null) pages = machines / CloudClient.PAGE + 1
    }

    // ---- hires -------------------------------------------------------------------------------------------------

    /** How many requests to rent may be under way at a time. */
    val mostHiring: Int get() = maxOf(1, perSecond.toInt())

    /**
     * How many may be prepared and under way together: those of one second, as what is needed by the next is known
     * better then.
     */
    val mostOpen: Int get() = ceil(perSecond).toInt()

    private fun span(requests: Int, share: Double): Duration = (requests / (perSecond * share)).seconds

    companion object {
        /**
         * Of the cloud's rate: the rest is for a predecessor's last requests, and for other nodes that ask for the
         * machine types.
         */
        const val USABLE = 0.8
        private const val RETURNS_SHARE = 0.5
        private const val LIST_SHARE = 0.25
        private const val MOST_OUT = 4
    }
}
