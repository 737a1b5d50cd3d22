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
 * Requests the termination of machines whose silence has lasted for as long as the [SuspicionRules] demand, paced by
 * zone where nothing but the silence speaks against them. Made anew for each term.
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

    /** When the termination of machines was last requested that have sent no message in this term. */
    private val neverSeenRequestedAt = HashMap<MachineId, MonotonicInstant>()

    /** A machine to be terminated, of a [zone] that may be unknown. */
    private class Suspect(
        val id: MachineId,
        val zone: Zone?,
        val rule: SuspicionRule,
        val silence: Duration,
        val neverSeen: Boolean,
    )

    /**
     * Called once a tick while this leader may send commands.
     *
     * @param neverSeen machines that may run tasks of an earlier term and have sent no message in this one.
     * @param known all machines that are known to be rented.
     */
    fun terminateSuspects(
        leadership: LeadershipState.Leader,
        neverSeen: List<MachineId>,
        known: Map<MachineId, Machine>,
        now: MonotonicInstant,
    ) {
        val suspects = ArrayList<Suspect>()
        table.workers.values.mapNotNullTo(suspects) { judgeWorker(it, leadership, now) }
        val waited = now - view.reception.receivingSince(leadership)
        neverSeen.mapNotNullTo(suspects) { judgeNeverSeen(it, known[it]?.zone, waited, now) }
        val allowed = suspects.groupBy { it.zone }.values.flatMap { ofZone -> limitRate(ofZone, known, now) }
        val (neverSeenSuspects, seenSuspects) = allowed.partition { it.neverSeen }
        for (suspect in seenSuspects) recordRequest(suspect, now)
        for (suspect in neverSeenSuspects) neverSeenRequestedAt[suspect.id] = now
        requestTermination(seenSuspects, TerminationReason.SUSPECTED)
        requestTermination(neverSeenSuspects, TerminationReason.NEVER_SEEN)
    }

    private fun judgeWorker(worker: WorkerState, leadership: LeadershipState.Leader, now: MonotonicInstant): Suspect? {
        if (now - worker.releaseRequestedAt <= REQUEST_RETRY) return null
        val reception = view.reception
        val reconnectedAt = view.zones.reconnectedAt(worker.zone)
        val silence = now - maxOf(reception.silentSince(worker, leadership), reconnectedAt)
        // An answer to a probe is a message of the worker, but it renews no lease.
        val lastRenewal = reception.lastRenewal(worker)
        val oneWay = worker.lastSeenAt - lastRenewal > view.overdueAfter && silence <= view.rules.timeouts.unresponsive
        val judgedSilence =
            if (oneWay) now - maxOf(lastRenewal, reception.receivingSince(leadership), reconnectedAt) else silence
        if (judgedSilence <= view.rules.minimumPatience) return null
        val machine = view.machine(worker.id, worker.zone)
            .copy(reconciled = worker.reconciled, oneWayPartitioned = oneWay)
        return judge(worker.id, worker.zone, machine, judgedSilence, now)
    }

    private fun judgeNeverSeen(id: MachineId, zone: Zone?, waited: Duration, now: MonotonicInstant): Suspect? {
        val requestedAt = neverSeenRequestedAt[id] ?: MonotonicInstant.NEVER
        if (now - requestedAt <= REQUEST_RETRY || waited <= view.rules.minimumPatience) return null
        return judge(id, zone, view.machine(id, zone).copy(neverSeen = true), waited, now)
    }

    private fun judge(
        id: MachineId,
        zone: Zone?,
        machine: SuspectedMachine,
        silence: Duration,
        now: MonotonicInstant,
    ): Suspect? {
        val takeoverOpen = !takeover.settled
        val endsSoon = takeover.endsSoon(now)
        if (silence <= view.rules.patience(machine, takeoverOpen, endsSoon)) return null
        return Suspect(id, zone, view.rules.ruleFor(machine, takeoverOpen, endsSoon), silence, machine.neverSeen)
    }

    /** Those of a zone's suspects that may be terminated now: the longest silent first, where there is no proof. */
    private fun limitRate(
        suspects: List<Suspect>,
        known: Map<MachineId, Machine>,
        now: MonotonicInstant,
    ): List<Suspect> {
        // The size of an unknown zone isn't known either, so its terminations can't be paced.
        val zone = suspects.first().zone ?: return suspects
        val (proven, unproven) = suspects.partition { it.rule.proven }
        val zoneSize = known.values.count { it.zone == zone }
        val allowed = rateLimiter.allow(zone, zoneSize, unproven.size, now)
        return proven + unproven.sortedByDescending { it.silence }.take(allowed)
    }

    private fun recordRequest(suspect: Suspect, now: MonotonicInstant) {
        table.workers[suspect.id]?.releaseRequestedAt = now
        events.info("worker suspected", suspect.id) {
            "worker suspected machine=${suspect.id} for_ms=${suspect.silence.inWholeMilliseconds} " +
                "because=${suspect.rule.logWord}"
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
