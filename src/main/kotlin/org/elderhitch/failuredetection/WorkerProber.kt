package org.elderhitch.failuredetection

import org.elderhitch.fleet.MachineId
import org.elderhitch.http.Address
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.ActionKind
import org.elderhitch.recovery.ActionLedger
import org.elderhitch.recovery.Takeover
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.settings.Zone
import org.elderhitch.tasks.TaskTable
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Asks workers at their own addresses instead of waiting for their word: those that a takeover has not heard yet, which
 * also tells them the new term, and those whose report is overdue. One that takes no connection is most likely dead.
 */
internal class WorkerProber(
    private val table: TaskTable,
    private val takeover: Takeover,
    workerTimes: WorkerTimeouts,
    private val pauseDetector: PauseDetector,
    private val ports: SchedulerPorts,
    private val orders: ActionLedger,
) {
    private val overdueAfter: Duration = workerTimes.heartbeatDeadline + LATE
    private val asked = HashMap<MachineId, MonotonicInstant>()
    private val addresses = HashMap<MachineId, Address>()
    private var listed: Set<MachineId>? = null
    private val unreachable = HashMap<MachineId, MonotonicInstant>()
    private val askedInVain = HashSet<MachineId>()
    private val pace = ProbeRateLimiter()

    fun newTerm() {
        asked.clear()
        addresses.clear()
        listed = null
        unreachable.clear()
        askedInVain.clear()
        pace.newTerm()
    }

    /** The cloud's list in this term, and where it says that machines are. */
    fun updateListing(where: Map<MachineId, Address?>) {
        listed = HashSet(where.keys)
        where.forEach { (machine, address) -> if (address != null) addresses[machine] = address }
    }

    /** The cloud no longer lists it, or not yet: the list lags. */
    fun isUnlisted(machine: MachineId): Boolean = listed.let { it != null && machine !in it }

    fun isUnreachable(machine: MachineId): Boolean = machine in unreachable

    /** When it first took no connection since its last word; null: it was not tried, or took one. */
    fun unreachableSince(machine: MachineId): MonotonicInstant? = unreachable[machine]

    /** It was asked at its own address since its last word, and said nothing. */
    fun wasAskedInVain(machine: MachineId): Boolean = machine in askedInVain

    fun recordMessage(machine: MachineId) {
        unreachable.remove(machine)
        askedInVain.remove(machine)
    }

    fun recordOutcome(machine: MachineId, connected: Boolean, now: MonotonicInstant) {
        askedInVain.add(machine)
        if (connected) unreachable.remove(machine) else unreachable.putIfAbsent(machine, now)
    }

    /** In a zone that seems to be cut off only a few are asked: one answer tells that it isn't. */
    fun probeWorkers(leadership: LeadershipState.Leader, now: MonotonicInstant, isCutOff: (Zone) -> Boolean) {
        var may = pace.allow(
            takeover.unaccounted.size,
            now - maxOf(leadership.claimedAt, pauseDetector.since),
            takeover.previousLeaderEnded,
        )
        for (id in takeover.unaccounted) {
            if (may == 0) break
            if (ask(leadership, id, table.workers[id]?.address ?: addresses[id], now)) may--
        }
        val asked = HashMap<Zone, Int>()
        for (worker in table.workers.values) {
            if (now - maxOf(worker.lastSeenAt, leadership.claimedAt, pauseDetector.since) <= overdueAfter ||
                worker.releaseRequestedAt != MonotonicInstant.NEVER
            ) {
                continue
            }
            if (isCutOff(worker.zone) && asked.merge(worker.zone, 1, Int::plus).let { it != null && it > FEW }) continue
            ask(leadership, worker.id, worker.address, now)
        }
    }

    private fun ask(
        leadership: LeadershipState.Leader,
        machine: MachineId,
        at: Address?,
        now: MonotonicInstant,
    ): Boolean {
        if (at == null || asked[machine].let { it != null && now - it < AGAIN }) return false
        asked[machine] = now
        orders.record(ActionKind.PROBE, 1, now)
        ports.probe(leadership, at, machine)
        return true
    }

    private companion object {
        val LATE = 500.milliseconds
        val AGAIN = 3.seconds
        const val FEW = 4
    }
}
