package org.elderhitch.failuredetection

import org.elderhitch.delegates.ZoneDelegates
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.TerminationReason
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
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Watches for workers that say nothing. A machine that falls silent by itself is returned, which settles what ran
 * there.
 * Where most of a zone falls silent, its machines are cut off rather than dead: what runs there runs on and is reached
 * again, while returning them would end it. And a leader that hears nobody is cut off itself, and resigns.
 */
internal class FailureDetector(
    private val table: TaskTable,
    private val takeover: Takeover,
    private val workerTimes: WorkerTimeouts,
    private val leases: LeaseTimeouts,
    private val tick: Duration,
    /** Zones with a controller in them. */
    private val nodeZones: Set<Zone>,
    private val workerProber: WorkerProber,
    private val pauseDetector: PauseDetector,
    private val events: EventLog,
    private val ports: SchedulerPorts,
    private val delegates: ZoneDelegates,
    suspectedTerminationShare: Double,
) {
    private class ZoneHealth {
        var heard = 0
        var silent = 0
        var unheard = 0

        /** Of all, those whose next report should have come. */
        var overdue = 0
        val majoritySilent: Boolean get() = silent + unheard >= CUT_LEAST && silent + unheard > heard
        val majorityOverdue: Boolean get() = overdue + unheard >= CUT_LEAST &&
            (overdue + unheard) * 2 > heard + silent + unheard
    }

    private val log = LoggerFactory.getLogger("elderhitch.workers")

    /** A worker silent for so long gets nothing new. */
    val suspectAfter: Duration = workerTimes.report * 2.5 + 500.milliseconds
    private val releaseAfter = workerTimes.heartbeatDeadline + WorkerTimeouts.ANSWER_WAIT + NEXT_NODE * 2.0
    private val reconciliation =
        SuspicionRules(
            DetectionTimeouts(
                workerTimes.heartbeatDeadline,
                releaseAfter,
                leases.maxDuration,
                UNLISTED_PATIENCE,
                UNASKED_MARGIN,
                UNHEARD_MARGIN,
                CUT_PATIENCE,
            ),
        )
    private val pace = TerminationRateLimiter(suspectedTerminationShare)

    /** When the return of machines was asked for that have said nothing in this term. */
    private val unheardAsked = HashMap<MachineId, MonotonicInstant>()
    private val overdueAfter = workerTimes.heartbeatDeadline + LATE
    private val quietTicks = HashMap<Zone, Int>()

    /** When any worker of the zone was last heard. */
    private val lastWord = HashMap<Zone, MonotonicInstant>()
    var partitionedZones: Set<Zone> = emptySet()
        private set

    /**
     * When a zone was last heard again. Its workers come back one after the other: those that were still missing when
     * the
     * first half was back had been silent for longest, and were all returned.
     */
    private val reopenedAt = HashMap<Zone, MonotonicInstant>()
    private var resignedDeafAt = MonotonicInstant.NEVER

    /** When this leader was last outside its window: lease delegates may have kept workers to themselves until then. */
    private var closedAt = MonotonicInstant.NEVER

    /** Zones with a controller and many machines, of which not one has been heard in this term. */
    private var missingZones: Set<Zone> = emptySet()

    /** Where silence can't be told from a cut: most of the zone, or all that should have reported lately, is silent. */
    private var doubtfulZones: Set<Zone> = emptySet()

    fun newTerm() {
        pace.newTerm()
        unheardAsked.clear()
    }

    /**
     * It may be about to lose all that it runs, and would lose what it is given: it says nothing, or only answers what
     * it is asked.
     */
    fun isSuspected(worker: WorkerState, now: MonotonicInstant): Boolean =
        now - minOf(worker.lastSeenAt, renewedBy(worker)) > suspectAfter

    /** When a report of it was last answered, here or by a lease delegate that is away. */
    private fun renewedBy(worker: WorkerState): MonotonicInstant =
        maxOf(worker.lastHeartbeatAt, delegates.latestPossibleRenewal(worker.zone))

    fun isPartitioned(zone: Zone): Boolean = zone in partitionedZones

    fun recordMessage(worker: WorkerState) {
        quietTicks[worker.zone] = 0
        lastWord[worker.zone] = worker.lastSeenAt
    }

    fun assess(leadership: LeadershipState.Leader, now: MonotonicInstant, known: Map<MachineId, Machine>) {
        if (!leadership.maySendCommands(now)) closedAt = now
        delegates.recordPossibleRenewals(now)
        val zones = HashMap<Zone, ZoneHealth>()
        for (worker in table.workers.values) {
            val hearing = zones.getOrPut(worker.zone) { ZoneHealth() }
            val quietFor = now - listeningSince(worker, leadership)
            if (quietFor > suspectAfter) hearing.silent++ else hearing.heard++
            if (quietFor > overdueAfter) hearing.overdue++
            if (worker.expireLease(now, leases, delegates.delegationEnd(worker.zone)) && worker.placements.isNotEmpty()) {
                events.info("lease over", worker.id) {
                    "worker settled machine=${worker.id} by=lease tasks=${worker.placements.size}"
                }
                table.removeAllOf(worker)
            }
        }
        val heard = zones.values.sumOf { it.heard }
        val silent = zones.values.sumOf { it.silent }
        val quiet = quiet(zones)
        val mayResign = now - leadership.claimedAt > RESIGN_AFTER && heard + silent >= RESIGN_LEAST
        if (mayResign && (silent > heard * 2 || quiet.size == zones.size)) {
            ports.leadership(
                LeadershipMessage.Resign("$silent of ${silent + heard} workers silent, quiet zones ${quiet.size}"),
            )
            return
        }
        if (hearsNobody(leadership, now)) {
            resignedDeafAt = now
            ports.leadership(LeadershipMessage.Resign("not one of ${takeover.unaccounted.size} machines heard"))
            return
        }
        // Machines of an earlier term that never said a word in this one.
        val unheard = takeover.unaccounted.filter { it !in table.workers }
        unheard.forEach { id -> known[id]?.let { zones.getOrPut(it.zone) { ZoneHealth() }.unheard++ } }
        missingZones =
            zones.filter { (zone, its) ->
                its.unheard >= CUT_LEAST && its.heard + its.silent == 0 && zone in nodeZones
            }.keys
        doubtfulZones = zones.filterValues { it.majorityOverdue }.keys + quiet
        val cut = if (now - leadership.claimedAt >
            suspectAfter
        ) {
            zones.filterValues { it.majoritySilent }.keys + quiet
        } else {
            emptySet()
        }
        if (cut != partitionedZones) log.info("zones cut off zones={} silent={}", cut, silent + unheard.size)
        for (zone in partitionedZones - cut) reopenedAt[zone] = now
        partitionedZones = cut
        if (leadership.maySendCommands(now)) release(leadership, now, unheard, known)
    }

    /**
     * A new leader that reaches the state service and no worker would lead until every lease is over, and return the
     * whole
     * fleet as silent meanwhile. It lets another try, once: if that one hears nobody either, the machines are at fault.
     */
    private fun hearsNobody(leadership: LeadershipState.Leader, now: MonotonicInstant): Boolean {
        val unheard = takeover.unaccounted
        if (table.workers.isNotEmpty() || unheard.size < RESIGN_LEAST || now - resignedDeafAt < DEAF_AGAIN) return false
        val waited = waited(leadership, now)
        return waited > releaseAfter ||
            waited > UNLISTED_PATIENCE &&
            unheard.count(workerProber::isUnreachable) * 3 > unheard.size * 2
    }

    /** How long this term has been able to hear anybody. */
    private fun waited(leadership: LeadershipState.Leader, now: MonotonicInstant): Duration =
        now - listeningSince(leadership)

    private fun listeningSince(leadership: LeadershipState.Leader): MonotonicInstant =
        maxOf(leadership.claimedAt, pauseDetector.since, closedAt)

    private fun listeningSince(worker: WorkerState, leadership: LeadershipState.Leader): MonotonicInstant =
        maxOf(worker.lastSeenAt, listeningSince(leadership))

    /**
     * Zones that no report came from for longer than chance allows. Reports of many workers come evenly spread: the
     * more
     * there are, the shorter a pause can be. Counted in ticks, so that a process that was held up itself doesn't take
     * that for silence.
     */
    private fun quiet(zones: Map<Zone, ZoneHealth>): Set<Zone> {
        val quiet = HashSet<Zone>()
        for ((zone, hearing) in zones) {
            val ticks = quietTicks.merge(zone, 1, Int::plus) ?: 1
            val workers = hearing.heard + hearing.silent
            val longest =
                QUIET_MARGIN + minOf(workerTimes.heartbeatDeadline, workerTimes.report * (QUIET_REPORTS / workers))
            if (workers >= CUT_LEAST && tick * ticks > longest) quiet.add(zone)
        }
        return quiet
    }

    private fun release(
        leadership: LeadershipState.Leader,
        now: MonotonicInstant,
        unheard: List<MachineId>,
        known: Map<MachineId, Machine>,
    ) {
        val wanted = ArrayList<Wanted>()
        for (worker in table.workers.values) {
            if (now - worker.releaseRequestedAt <= RELEASE_AGAIN) continue
            val reopened = reopenedAt[worker.zone] ?: MonotonicInstant.NEVER
            val quiet = now - maxOf(listeningSince(worker, leadership), reopened)
            // What it says in reply counts as a word of it, and renews nothing.
            val renewed = renewedBy(worker)
            val mute = worker.lastSeenAt - renewed > overdueAfter && quiet <= releaseAfter
            val unreported = if (mute) now - maxOf(renewed, listeningSince(leadership), reopened) else quiet
            judge(worker.id, worker.zone, unheard = false, worker.reconciled, unreported, now, mute)?.let(wanted::add)
        }
        val waited = waited(leadership, now)
        for (id in unheard) {
            if (now - (unheardAsked[id] ?: MonotonicInstant.NEVER) >
                RELEASE_AGAIN
            ) {
                judge(id, known[id]?.zone, unheard = true, settled = false, waited, now)?.let(wanted::add)
            }
        }
        val may = wanted.groupBy { it.zone }.values.flatMap { its ->
            val (proven, silent) = its.partition { it.row.proven }
            // Of a zone that nobody knows, nothing is known to pace by either.
            val zone = its.first().zone ?: return@flatMap its
            proven +
                silent.sortedByDescending {
                    it.quiet
                }.take(pace.allow(zone, known.values.count { it.zone == zone }, silent.size, now))
        }
        val (gone, silent) = may.partition { it.unheard }
        for (one in silent) {
            table.workers[one.id]?.releaseRequestedAt = now
            events.info("worker silent", one.id) {
                "worker silent machine=${one.id} for_ms=${one.quiet.inWholeMilliseconds} because=${one.row.name.lowercase()}"
            }
        }
        gone.forEach { unheardAsked[it.id] = now }
        if (silent.isNotEmpty()) {
            ports.fleet(
                FleetMessage.TerminateMachines(
                    silent.map {
                        it.id
                    },
                    TerminationReason.SUSPECTED,
                ),
            )
        }
        if (gone.isNotEmpty()) {
            ports.fleet(
                FleetMessage.TerminateMachines(
                    gone.map {
                        it.id
                    },
                    TerminationReason.NEVER_SEEN,
                ),
            )
        }
    }

    /** A machine whose silence has lasted for as long as its standing asks. */
    private class Wanted(
        val id: MachineId,
        val zone: Zone?,
        val row: SuspicionRule,
        val quiet: Duration,
        val unheard: Boolean,
    )

    private fun judge(
        id: MachineId,
        zone: Zone?,
        unheard: Boolean,
        settled: Boolean,
        quiet: Duration,
        now: MonotonicInstant,
        mute: Boolean = false,
    ): Wanted? {
        if (quiet <= reconciliation.least) return null
        val machine = SuspectedMachine(
            unheard, settled,
            workerProber.isUnlisted(
                id,
            ),
            workerProber.unreachableSince(id), workerProber.wasAskedInVain(id), lastWord[zone],
            zone in doubtfulZones, zone in partitionedZones, zone in missingZones, mute,
        )
        val endsSoon = takeover.endsSoon(now)
        if (quiet <= reconciliation.patience(machine, !takeover.settled, endsSoon)) return null
        return Wanted(id, zone, reconciliation.row(machine, !takeover.settled, endsSoon), quiet, unheard)
    }

    /** It was silent, its release did not go through, and it is back. */
    fun resetUnansweredTermination(worker: WorkerState, now: MonotonicInstant) {
        if (now - worker.releaseRequestedAt > RELEASE_AGAIN * 2) worker.releaseRequestedAt = MonotonicInstant.NEVER
    }

    /** Its return had not gone out when it spoke. */
    fun onTerminationCancelled(worker: WorkerState) {
        if (worker.lastSeenAt > worker.releaseRequestedAt) worker.releaseRequestedAt = MonotonicInstant.NEVER
        table.dirty = true
    }

    private companion object {
        // A report may be a quarter late; its answer may be lost, which the worker notes after 4 s; and then it asks
        // the next node a second later, which may send it back here.
        val NEXT_NODE = 1.seconds
        val LATE = 300.milliseconds
        val UNLISTED_PATIENCE = 2.seconds
        val UNHEARD_MARGIN = 3.seconds

        /**
         * A worker may wait for two other nodes that don't answer before it comes here, and tell so when it is asked.
         */
        val UNASKED_MARGIN = 6.seconds
        val RELEASE_AGAIN = 5.seconds
        val RESIGN_AFTER = 15.seconds
        const val RESIGN_LEAST = 4
        val DEAF_AGAIN = 60.seconds
        const val CUT_LEAST = 4

        /** After that a zone is given up: new machines would long be up elsewhere. */
        val CUT_PATIENCE = 90.seconds
        val QUIET_MARGIN = 1500.milliseconds
        const val QUIET_REPORTS = 12.0
    }
}
