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
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Probes workers at their own addresses instead of waiting for their messages: those that a takeover has not seen yet,
 * which a probe also tells the new term, and those whose heartbeat is overdue. One that takes no connection is most
 * likely dead. All its state belongs to one term, so an object made anew with each term needs no [newTerm].
 */
internal class WorkerProber(
    private val table: TaskTable,
    private val takeover: Takeover,
    workerTimeouts: WorkerTimeouts,
    private val pauseDetector: PauseDetector,
    private val ports: SchedulerPorts,
    private val ledger: ActionLedger,
) {
    private val overdueAfter: Duration = workerTimeouts.heartbeatDeadline + OVERDUE_MARGIN
    private val probedAt = HashMap<MachineId, MonotonicInstant>()
    private val listedAddresses = HashMap<MachineId, Address>()
    private var listedMachines: Set<MachineId>? = null
    private val unreachableSince = HashMap<MachineId, MonotonicInstant>()
    private val probedInVain = HashSet<MachineId>()
    private var rateLimiter = ProbeRateLimiter()

    fun newTerm() {
        probedAt.clear()
        listedAddresses.clear()
        listedMachines = null
        unreachableSince.clear()
        probedInVain.clear()
        rateLimiter = ProbeRateLimiter()
    }

    /** Takes over the cloud's list of machines in this term, with their addresses as far as the cloud tells them. */
    fun updateListing(addresses: Map<MachineId, Address?>) {
        listedMachines = HashSet(addresses.keys)
        addresses.forEach { (machine, address) -> if (address != null) listedAddresses[machine] = address }
    }

    /** Whether the cloud's list doesn't name the machine: any more, or yet, since the list lags. */
    fun isUnlisted(machine: MachineId): Boolean = listedMachines.let { it != null && machine !in it }

    fun isUnreachable(machine: MachineId): Boolean = machine in unreachableSince

    /** When the machine first took no connection since its last message; null if it took one or was not tried. */
    fun unreachableSince(machine: MachineId): MonotonicInstant? = unreachableSince[machine]

    /** Whether the machine was probed since its last message, and has sent none in reply. */
    fun wasProbedInVain(machine: MachineId): Boolean = machine in probedInVain

    /** Called for each message of a worker that is its newest. */
    fun recordMessage(machine: MachineId) {
        unreachableSince.remove(machine)
        probedInVain.remove(machine)
    }

    /** Called with the outcome of each probe, before [recordMessage] if the worker answered. */
    fun recordOutcome(machine: MachineId, connected: Boolean, now: MonotonicInstant) {
        probedInVain.add(machine)
        if (connected) unreachableSince.remove(machine) else unreachableSince.putIfAbsent(machine, now)
    }

    /**
     * Sends the probes that are due. Called once a tick while this leader may send commands.
     *
     * @param isPartitioned whether a zone counts as partitioned: only a few of its workers are probed then, since one
     *   answer tells that it isn't.
     */
    fun probeWorkers(leadership: LeadershipState.Leader, now: MonotonicInstant, isPartitioned: (Zone) -> Boolean) {
        probeUnaccounted(leadership, now)
        probeOverdue(leadership, now, isPartitioned)
    }

    private fun probeUnaccounted(leadership: LeadershipState.Leader, now: MonotonicInstant) {
        val receiving = now - maxOf(leadership.claimedAt, pauseDetector.lastPauseEndedAt)
        var allowed = rateLimiter.allow(takeover.unaccounted.size, receiving, takeover.previousLeaderEnded)
        for (machine in takeover.unaccounted) {
            if (allowed == 0) break
            val address = table.workers[machine]?.address ?: listedAddresses[machine]
            if (probe(leadership, machine, address, now)) allowed--
        }
    }

    private fun probeOverdue(
        leadership: LeadershipState.Leader,
        now: MonotonicInstant,
        isPartitioned: (Zone) -> Boolean,
    ) {
        val probedInPartition = HashMap<Zone, Int>()
        for (worker in table.workers.values) {
            if (!isOverdue(worker, leadership, now)) continue
            if (worker.releaseRequestedAt != MonotonicInstant.NEVER) continue
            if (isPartitioned(worker.zone)) {
                val probed = probedInPartition.merge(worker.zone, 1, Int::plus) ?: 1
                if (probed > MAX_IN_PARTITION) continue
            }
            probe(leadership, worker.id, worker.address, now)
        }
    }

    private fun isOverdue(worker: WorkerState, leadership: LeadershipState.Leader, now: MonotonicInstant): Boolean =
        now - maxOf(worker.lastSeenAt, leadership.claimedAt, pauseDetector.lastPauseEndedAt) > overdueAfter

    private fun probe(
        leadership: LeadershipState.Leader,
        machine: MachineId,
        address: Address?,
        now: MonotonicInstant,
    ): Boolean {
        if (address == null || probedAt[machine].let { it != null && now - it < PROBE_INTERVAL }) return false
        probedAt[machine] = now
        ledger.record(ActionKind.PROBE, 1, now)
        ports.probe(leadership, address, machine)
        return true
    }

    private companion object {
        val OVERDUE_MARGIN = 500.milliseconds

        /** The least time between two probes of a machine. */
        val PROBE_INTERVAL = 3.seconds
        const val MAX_IN_PARTITION = 4
    }
}
