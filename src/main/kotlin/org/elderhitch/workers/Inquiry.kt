package org.elderhitch.workers

import org.elderhitch.http.Address
import org.elderhitch.leadership.Tenure
import org.elderhitch.recovery.AskPace
import org.elderhitch.recovery.OrderKind
import org.elderhitch.recovery.Orders
import org.elderhitch.settings.WorkerTimes
import org.elderhitch.settings.Zone
import org.elderhitch.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Asks workers at their own addresses instead of waiting for their word: those that a takeover has not heard yet, which
 * also tells them the new term, and those whose report is overdue. One that takes no connection is most likely dead.
 */
internal class Inquiry(
    private val table: TaskTable,
    private val takeover: Takeover,
    workerTimes: WorkerTimes,
    private val wakefulness: Wakefulness,
    private val ports: ForemanPorts,
    private val orders: Orders,
) {
    private val overdueAfter: Duration = workerTimes.reportAtLatest + LATE
    private val asked = HashMap<MachineId, Moment>()
    private val addresses = HashMap<MachineId, Address>()
    private var listed: Set<MachineId>? = null
    private val unreachable = HashMap<MachineId, Moment>()
    private val askedInVain = HashSet<MachineId>()
    private val pace = AskPace()

    fun newTerm() {
        asked.clear()
        addresses.clear()
        listed = null
        unreachable.clear()
        askedInVain.clear()
        pace.newTerm()
    }

    /** The cloud's list in this term, and where it says that machines are. */
    fun listed(where: Map<MachineId, Address?>) {
        listed = HashSet(where.keys)
        where.forEach { (machine, address) -> if (address != null) addresses[machine] = address }
    }

    /** The cloud no longer lists it, or not yet: the list lags. */
    fun isUnlisted(machine: MachineId): Boolean = listed.let { it != null && machine !in it }

    fun isUnreachable(machine: MachineId): Boolean = machine in unreachable

    /** When it first took no connection since its last word; null: it was not tried, or took one. */
    fun unreachableSince(machine: MachineId): Moment? = unreachable[machine]

    /** It was asked at its own address since its last word, and said nothing. */
    fun wasAskedInVain(machine: MachineId): Boolean = machine in askedInVain

    fun heard(machine: MachineId) {
        unreachable.remove(machine)
        askedInVain.remove(machine)
    }

    fun took(machine: MachineId, connection: Boolean, now: Moment) {
        askedInVain.add(machine)
        if (connection) unreachable.remove(machine) else unreachable.putIfAbsent(machine, now)
    }

    /** In a zone that seems to be cut off only a few are asked: one answer tells that it isn't. */
    fun ask(leading: Tenure.Leading, now: Moment, isCutOff: (Zone) -> Boolean) {
        var may = pace.allow(
            takeover.unheard.size,
            now - maxOf(leading.claimedAt, wakefulness.since),
            takeover.formerEnded,
        )
        for (id in takeover.unheard) {
            if (may == 0) break
            if (ask(leading, id, table.workers[id]?.address ?: addresses[id], now)) may--
        }
        val asked = HashMap<Zone, Int>()
        for (worker in table.workers.values) {
            if (now - maxOf(worker.lastWord, leading.claimedAt, wakefulness.since) <= overdueAfter ||
                worker.releaseAsked != Moment.NEVER
            ) {
                continue
            }
            if (isCutOff(worker.zone) && asked.merge(worker.zone, 1, Int::plus).let { it != null && it > FEW }) continue
            ask(leading, worker.id, worker.address, now)
        }
    }

    private fun ask(leading: Tenure.Leading, machine: MachineId, at: Address?, now: Moment): Boolean {
        if (at == null || asked[machine].let { it != null && now - it < AGAIN }) return false
        asked[machine] = now
        orders.gave(OrderKind.ASK, 1, now)
        ports.ask(leading, at, machine)
        return true
    }

    private companion object {
        val LATE = 500.milliseconds
        val AGAIN = 3.seconds
        const val FEW = 4
    }
}
