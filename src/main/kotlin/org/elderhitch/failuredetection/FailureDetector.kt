package org.elderhitch.failuredetection

import org.elderhitch.delegates.ZoneDelegates
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.LeaseTimeouts
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.Takeover
import org.elderhitch.scheduler.EventLog
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.settings.Zone
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The settings of a [FailureDetector].
 *
 * @property tick the time between two assessments.
 * @property controllerZones zones with a controller in them.
 * @property suspectedTerminationShare the share of a zone's machines that may be terminated within
 *   [TerminationRateLimiter.SPAN] for their silence alone.
 */
internal class FailureDetectionSettings(
    val timeouts: WorkerTimeouts,
    val leases: LeaseTimeouts,
    val tick: Duration,
    val controllerZones: Set<Zone>,
    val suspectedTerminationShare: Double,
)

/**
 * Watches for workers whose messages don't arrive. A machine that falls silent by itself is terminated, which settles
 * what ran there. Where most of a zone falls silent, its machines are partitioned rather than dead: their tasks go on
 * and will be reached again, while a termination would end them. And a leader that receives nobody's messages is
 * partitioned itself, and resigns.
 *
 * The judgement of zones and resignations outlives a term; what is made anew with a term is the [SuspectTerminator].
 */
internal class FailureDetector(
    private val settings: FailureDetectionSettings,
    private val table: TaskTable,
    private val currentTakeover: () -> Takeover,
    currentProber: () -> WorkerProber,
    pauseDetector: PauseDetector,
    private val delegates: ZoneDelegates,
    private val events: EventLog,
    private val ports: SchedulerPorts,
) {
    /** A worker whose messages or renewals are missing for so long is suspected, and gets no new tasks. */
    val suspectAfter: Duration = settings.timeouts.heartbeatInterval * SUSPECT_HEARTBEATS + SUSPECT_MARGIN
    private val overdueAfter = settings.timeouts.heartbeatDeadline + OVERDUE_MARGIN
    private val rules = SuspicionRules(DetectionTimeouts.of(settings.timeouts, settings.leases))
    private val reception = ReceptionTracker(pauseDetector, delegates)
    private val zoneMonitor = ZoneHealthMonitor(settings.timeouts, settings.tick, settings.controllerZones)
    private val resignationRules =
        ResignationRules(table, currentTakeover, currentProber, reception, rules.timeouts.unresponsive)
    private val suspicionView = SuspicionView(rules, zoneMonitor, reception, overdueAfter, currentProber)
    private var terminator = newTerminator()

    val partitionedZones: Set<Zone> get() = zoneMonitor.partitionedZones

    fun newTerm() {
        terminator = newTerminator()
    }

    private fun newTerminator(): SuspectTerminator {
        val rateLimiter = TerminationRateLimiter(settings.suspectedTerminationShare)
        return SuspectTerminator(suspicionView, table, currentTakeover, rateLimiter, events, ports)
    }

    /**
     * Whether the worker may be about to lose its tasks, and so would lose a new one: it sends no messages, or answers
     * probes only.
     */
    fun isSuspected(worker: WorkerState, now: MonotonicInstant): Boolean =
        now - minOf(worker.lastSeenAt, reception.lastRenewal(worker)) > suspectAfter

    fun isPartitioned(zone: Zone): Boolean = zoneMonitor.isPartitioned(zone)

    /** Called for each message of a worker that is its newest. */
    fun recordMessage(worker: WorkerState) = zoneMonitor.recordMessage(worker)

    /**
     * Called once a tick while this node leads: expires leases, assesses the zones, and resigns or requests
     * terminations where it must.
     *
     * @param known all machines that are known to be rented.
     */
    fun assess(leadership: LeadershipState.Leader, now: MonotonicInstant, known: Map<MachineId, Machine>) {
        reception.recordWindow(leadership, now)
        delegates.recordPossibleRenewals(now)
        val zones = assessWorkers(leadership, now)
        val quietZones = zoneMonitor.quietZones(zones)
        val reason = resignationRules.reasonToResign(leadership, zones.values, quietZones.size, now)
        if (reason != null) {
            ports.leadership(LeadershipMessage.Resign(reason))
            return
        }
        val neverSeen = currentTakeover().unaccounted.filter { it !in table.workers }
        val suspected = zones.values.sumOf { it.suspected } + neverSeen.size
        for (id in neverSeen) known[id]?.let { zones.getOrPut(it.zone) { ZoneHealth() }.neverSeen++ }
        val mayBePartitioned = now - leadership.claimedAt > suspectAfter
        zoneMonitor.update(zones, quietZones, mayBePartitioned, suspected, now)
        if (leadership.maySendCommands(now)) terminator.terminateSuspects(leadership, neverSeen, known, now)
    }

    private fun assessWorkers(leadership: LeadershipState.Leader, now: MonotonicInstant): HashMap<Zone, ZoneHealth> {
        val zones = HashMap<Zone, ZoneHealth>()
        for (worker in table.workers.values) {
            val health = zones.getOrPut(worker.zone) { ZoneHealth() }
            val silence = now - reception.silentSince(worker, leadership)
            if (silence > suspectAfter) health.suspected++ else health.responsive++
            if (silence > overdueAfter) health.overdue++
            expireLease(worker, now)
        }
        return zones
    }

    private fun expireLease(worker: WorkerState, now: MonotonicInstant) {
        val expired = worker.expireLease(now, settings.leases, delegates.delegationEnd(worker.zone))
        if (!expired || worker.placements.isEmpty()) return
        events.info("lease over", worker.id) {
            "worker settled machine=${worker.id} by=lease tasks=${worker.placements.size}"
        }
        table.removeAllOf(worker)
    }

    /** Lifts the suspicion of a worker that sends messages again although its termination was requested long ago. */
    fun resetUnansweredTermination(worker: WorkerState, now: MonotonicInstant) {
        if (now - worker.releaseRequestedAt > SuspectTerminator.REQUEST_RETRY * 2) {
            worker.releaseRequestedAt = MonotonicInstant.NEVER
        }
    }

    /** The worker's termination had not gone out when its next message came. */
    fun onTerminationCancelled(worker: WorkerState) {
        if (worker.lastSeenAt > worker.releaseRequestedAt) worker.releaseRequestedAt = MonotonicInstant.NEVER
        table.dirty = true
    }

    private companion object {
        const val SUSPECT_HEARTBEATS = 2.5
        val SUSPECT_MARGIN = 500.milliseconds
        val OVERDUE_MARGIN = 300.milliseconds
    }
}
