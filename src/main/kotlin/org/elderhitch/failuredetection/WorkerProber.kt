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
 * Probes workers at their own addresses instead of waiting for their messages: workers that have not reported to a
 * takeover yet, which also learn the new term from the probe, and workers whose heartbeat is overdue. A worker that
 * accepts no connection is most likely dead. All state belongs to one term, so an instance that is replaced with each
 * term needs no [resetForNewTerm].
 */
internal class WorkerProber(
    private val table: TaskTable,
    private val takeover: Takeover,
    workerTimeouts: WorkerTimeouts,
    private val pauseDetector: PauseDetector,
    private val ports: SchedulerPorts,
    private val ledger: ActionLedger,
) {
    private val overdueAfter: Duration = workerTimeouts.maxHeartbeatInterval + OVERDUE_MARGIN
    private val probedAt = HashMap<MachineId, MonotonicInstant>()
    private val listedAddresses = HashMap<MachineId, Address>()
    private var listedMachines: Set<MachineId>? = null
    private val unreachableSince = HashMap<MachineId, MonotonicInstant>()
    private val unansweredProbes = HashSet<MachineId>()
    private var rateLimiter = ProbeRateLimiter()

    /** Discards the state of the previous term. */
    fun resetForNewTerm() {
        probedAt.clear()
        listedAddresses.clear()
        listedMachines = null
        unreachableSince.clear()
        unansweredProbes.clear()
        rateLimiter = ProbeRateLimiter()
    }

    /** Updates the cloud's list of machines, with their addresses where the cloud provides them. */
    fun updateListing(addresses: Map<MachineId, Address?>) {
        listedMachines = HashSet(addresses.keys)
        addresses.forEach { (machine, address) -> if (address != null) listedAddresses[machine] = address }
    }

    /** Whether the cloud's list doesn't include the machine. The list lags, so the machine may be gone or new. */
    fun isUnlisted(machine: MachineId): Boolean = listedMachines.let { it != null && machine !in it }

    fun isUnreachable(machine: MachineId): Boolean = machine in unreachableSince

    /**
     * When the machine first failed to accept a connection since its last message; null if it accepted one or none was
     * tried.
     */
    fun unreachableSince(machine: MachineId): MonotonicInstant? = unreachableSince[machine]

    /** Whether the machine was probed since its last message and has not replied. */
    fun hasUnansweredProbe(machine: MachineId): Boolean = machine in unansweredProbes

    /** Must be called for each message that is the newest of its worker. */
    fun recordMessage(machine: MachineId) {
        unreachableSince.remove(machine)
        unansweredProbes.remove(machine)
    }

    /** Must be called with the outcome of each probe, before [recordMessage] if the worker answered. */
    fun recordOutcome(machine: MachineId, connected: Boolean, now: MonotonicInstant) {
        unansweredProbes.add(machine)
        if (connected) unreachableSince.remove(machine) else unreachableSince.putIfAbsent(machine, now)
    }

    /**
     * Sends the probes that are due. Must be called once per tick while this leader may send commands.
     *
     * @param isPartitioned whether a zone is considered partitioned. Only a few of its workers are probed then, since a
     *   single answer shows that the zone is reachable.
     */
    fun probeWorkers(leadership: LeadershipState.Leader, now: MonotonicInstant, isPartitioned: (Zone) -> Boolean) {
        probeUnaccounted(leadership, now)
        probeOverdue(leadership, now, isPartitioned)
    }

    private fun probeUnaccounted(leadership: LeadershipState.Leader, now: MonotonicInstant) {
        val receiving = now - maxOf(leadership.claimedAt, pauseDetector.lastPauseEndedAt)
        var allowed = rateLimiter.allow(takeover.unaccounted.size, receiving, takeover.previousLeaderExited)
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
            if (worker.terminationRequestedAt != MonotonicInstant.NEVER) continue
            if (isPartitioned(worker.zone)) {
                val probed = probedInPartition.merge(worker.zone, 1, Int::plus) ?: 1
                if (probed > MAX_PROBES_PER_PARTITIONED_ZONE) continue
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

        /** The minimum time between two probes of a machine. */
        val PROBE_INTERVAL = 3.seconds
        const val MAX_PROBES_PER_PARTITIONED_ZONE = 4
    }
}
