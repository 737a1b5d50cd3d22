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
 * @property tick the interval between two assessments.
 * @property controllerZones the zones that contain a controller.
 * @property suspectedTerminationShare the fraction of a zone's machines that may be terminated within
 *   [TerminationRateLimiter.REFILL_PERIOD] on the evidence of their silence alone.
 */
internal class FailureDetectionSettings(
    val timeouts: WorkerTimeouts,
    val leases: LeaseTimeouts,
    val tick: Duration,
    val controllerZones: Set<Zone>,
    val suspectedTerminationShare: Double,
)

/**
 * Detects workers whose messages don't arrive. A single machine that becomes silent is terminated, after which it is
 * certain that its tasks no longer run. If most of a zone becomes silent, its machines are considered partitioned
 * rather than dead: their tasks keep running and will be reachable again, whereas a termination would end them. A
 * leader that receives no messages from any worker is partitioned itself, and resigns.
 *
 * The state of zones and resignations is kept across terms. The [SuspectTerminator] is replaced with each term.
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
    /** A worker without messages or lease renewals for longer than this is suspected, and is assigned no new tasks. */
    val suspectAfter: Duration = settings.timeouts.heartbeatInterval * SUSPECT_HEARTBEATS + SUSPECT_MARGIN
    private val overdueAfter = settings.timeouts.maxHeartbeatInterval + OVERDUE_MARGIN
    private val rules = SuspicionRules(DetectionTimeouts.of(settings.timeouts, settings.leases))
    private val reception = ReceptionTracker(pauseDetector, delegates)
    private val zoneMonitor = ZoneHealthMonitor(settings.timeouts, settings.tick, settings.controllerZones)
    private val resignationRules =
        ResignationRules(table, currentTakeover, currentProber, reception, rules.timeouts.unresponsive)
    private val suspicionView = SuspicionView(rules, zoneMonitor, reception, overdueAfter, currentProber)
    private var terminator = newTerminator()

    val partitionedZones: Set<Zone> get() = zoneMonitor.partitionedZones

    fun resetForNewTerm() {
        terminator = newTerminator()
    }

    private fun newTerminator(): SuspectTerminator {
        val rateLimiter = TerminationRateLimiter(settings.suspectedTerminationShare)
        return SuspectTerminator(suspicionView, table, currentTakeover, rateLimiter, events, ports)
    }

    /**
     * Whether the worker may soon lose its tasks, and would then lose a new one too: it sends no messages, or only
     * answers probes.
     */
    fun isSuspected(worker: WorkerState, now: MonotonicInstant): Boolean =
        now - minOf(worker.lastSeenAt, reception.lastRenewal(worker)) > suspectAfter

    fun isPartitioned(zone: Zone): Boolean = zoneMonitor.isPartitioned(zone)

    /** Must be called for each message that is the newest of its worker. */
    fun recordMessage(worker: WorkerState) = zoneMonitor.recordMessage(worker)

    /**
     * Expires leases, assesses the zones, and resigns or requests terminations where necessary. Must be called once per
     * tick while this node leads.
     *
     * @param known all machines known to be rented.
     */
    fun assess(leadership: LeadershipState.Leader, now: MonotonicInstant, known: Map<MachineId, Machine>) {
        reception.recordWindow(leadership, now)
        delegates.recordPossibleRenewals(now)
        val zones = assessWorkers(leadership, now)
        val silentZones = zoneMonitor.silentZones(zones)
        val reason = resignationRules.reasonToResign(leadership, zones.values, silentZones.size, now)
        if (reason != null) {
            ports.leadership(LeadershipMessage.Resign(reason))
            return
        }
        val neverSeen = currentTakeover().unaccounted.filter { it !in table.workers }
        val suspected = zones.values.sumOf { it.suspected } + neverSeen.size
        for (id in neverSeen) known[id]?.let { zones.getOrPut(it.zone) { ZoneHealth() }.neverSeen++ }
        val mayBePartitioned = now - leadership.claimedAt > suspectAfter
        zoneMonitor.update(zones, silentZones, mayBePartitioned, suspected, now)
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

    /** Clears an old termination request of a worker that sends messages again. */
    fun resetUnansweredTermination(worker: WorkerState, now: MonotonicInstant) {
        if (now - worker.terminationRequestedAt > SuspectTerminator.REQUEST_RETRY * 2) {
            worker.terminationRequestedAt = MonotonicInstant.NEVER
        }
    }

    /** Records that the worker's termination was cancelled: it sent a message before the request went out. */
    fun onTerminationCancelled(worker: WorkerState) {
        if (worker.lastSeenAt > worker.terminationRequestedAt) worker.terminationRequestedAt = MonotonicInstant.NEVER
        table.needsCycle = true
    }

    private companion object {
        const val SUSPECT_HEARTBEATS = 2.5
        val SUSPECT_MARGIN = 500.milliseconds
        val OVERDUE_MARGIN = 300.milliseconds
    }
}
