package org.elderhitch.failuredetection

import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.TerminationReason
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.Takeover
import org.elderhitch.scheduler.EventLog
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.settings.Zone
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Requests the termination of machines that have been silent for longer than the [SuspicionRules] allow. Where silence
 * is the only evidence, requests are rate-limited by zone. Replaced with each term.
 */
internal class SuspectTerminator(
    private val view: SuspicionView,
    private val table: TaskTable,
    private val currentTakeover: () -> Takeover,
    private val rateLimiter: TerminationRateLimiter,
    private val events: EventLog,
    private val ports: SchedulerPorts,
) {
    private val takeover: Takeover get() = currentTakeover()

    /** When termination was last requested, for machines that have sent no message in this term. */
    private val neverSeenRequestedAt = HashMap<MachineId, MonotonicInstant>()

    /** A machine to be terminated; [zone] is null if it is unknown. */
    private class Suspect(
        val id: MachineId,
        val zone: Zone?,
        val rule: SuspicionRule,
        val silence: Duration,
        val neverSeen: Boolean,
    )

    /**
     * Requests the terminations that are due. Must be called once per tick while this leader may send commands.
     *
     * @param neverSeen machines that may run tasks of an earlier term and have sent no message in this one.
     * @param known all machines known to be rented.
     */
    fun terminateSuspects(
        leadership: LeadershipState.Leader,
        neverSeen: List<MachineId>,
        known: Map<MachineId, Machine>,
        now: MonotonicInstant,
    ) {
        val suspects = ArrayList<Suspect>()
        table.workers.values.mapNotNullTo(suspects) { assessWorker(it, leadership, now) }
        val waited = now - view.reception.receivingSince(leadership)
        neverSeen.mapNotNullTo(suspects) { assessNeverSeen(it, known[it]?.zone, waited, now) }
        val allowed = suspects.groupBy { it.zone }.values.flatMap { ofZone -> limitRate(ofZone, known, now) }
        val (neverSeenSuspects, seenSuspects) = allowed.partition { it.neverSeen }
        for (suspect in seenSuspects) recordRequest(suspect, now)
        for (suspect in neverSeenSuspects) neverSeenRequestedAt[suspect.id] = now
        requestTermination(seenSuspects, TerminationReason.SUSPECTED)
        requestTermination(neverSeenSuspects, TerminationReason.NEVER_SEEN)
    }

    private fun assessWorker(worker: WorkerState, leadership: LeadershipState.Leader, now: MonotonicInstant): Suspect? {
        if (now - worker.terminationRequestedAt <= REQUEST_RETRY) return null
        val reception = view.reception
        val reconnectedAt = view.zones.reconnectedAt(worker.zone)
        val silence = now - maxOf(reception.silentSince(worker, leadership), reconnectedAt)
        // An answer to a probe counts as a message of the worker, but doesn't renew its lease.
        val lastRenewal = reception.lastRenewal(worker)
        val oneWay = worker.lastSeenAt - lastRenewal > view.overdueAfter && silence <= view.rules.timeouts.unresponsive
        val assessedSilence =
            if (oneWay) now - maxOf(lastRenewal, reception.receivingSince(leadership), reconnectedAt) else silence
        if (assessedSilence <= view.rules.minimumTerminationDelay) return null
        val machine = view.machine(worker.id, worker.zone)
            .copy(reconciled = worker.reconciled, oneWayPartitioned = oneWay)
        return assess(worker.id, worker.zone, machine, assessedSilence, now)
    }

    private fun assessNeverSeen(id: MachineId, zone: Zone?, waited: Duration, now: MonotonicInstant): Suspect? {
        val requestedAt = neverSeenRequestedAt[id] ?: MonotonicInstant.NEVER
        if (now - requestedAt <= REQUEST_RETRY || waited <= view.rules.minimumTerminationDelay) return null
        return assess(id, zone, view.machine(id, zone).copy(neverSeen = true), waited, now)
    }

    private fun assess(
        id: MachineId,
        zone: Zone?,
        machine: SuspectedMachine,
        silence: Duration,
        now: MonotonicInstant,
    ): Suspect? {
        val takeoverOpen = !takeover.settled
        val settlesWithinLease = takeover.settlesWithinLease(now)
        if (silence <= view.rules.terminationDelay(machine, takeoverOpen, settlesWithinLease)) return null
        return Suspect(
            id,
            zone,
            view.rules.ruleFor(machine, takeoverOpen, settlesWithinLease),
            silence,
            machine.neverSeen,
        )
    }

    /**
     * Returns the suspects of a zone that may be terminated now: all proven ones, and the longest silent of the rest.
     */
    private fun limitRate(
        suspects: List<Suspect>,
        known: Map<MachineId, Machine>,
        now: MonotonicInstant,
    ): List<Suspect> {
        // The size of an unknown zone isn't known, so its terminations can't be rate-limited.
        val zone = suspects.first().zone ?: return suspects
        val (proven, unproven) = suspects.partition { it.rule.proven }
        val zoneSize = known.values.count { it.zone == zone }
        val allowed = rateLimiter.allow(zone, zoneSize, unproven.size, now)
        return proven + unproven.sortedByDescending { it.silence }.take(allowed)
    }

    private fun recordRequest(suspect: Suspect, now: MonotonicInstant) {
        table.workers[suspect.id]?.terminationRequestedAt = now
        events.info("worker suspected", suspect.id) {
            "worker suspected machine=${suspect.id} for_ms=${suspect.silence.inWholeMilliseconds} " +
                "because=${suspect.rule.logValue}"
        }
    }

    private fun requestTermination(suspects: List<Suspect>, reason: TerminationReason) {
        if (suspects.isEmpty()) return
        ports.fleet(FleetMessage.TerminateMachines(suspects.map { it.id }, reason))
    }

    companion object {
        val REQUEST_RETRY = 5.seconds
    }
}
