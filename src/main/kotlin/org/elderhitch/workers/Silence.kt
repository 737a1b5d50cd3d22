package org.elderhitch.workers

import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.Machine
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.Tenure
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.WorkerTimes
import org.elderhitch.settings.Zone
import org.elderhitch.time.Moment
import org.elderhitch.time.stretched
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Watches for workers that say nothing. A machine that falls silent by itself is returned, which settles what ran there.
 * Where most of a zone falls silent, its machines are cut off rather than dead: what runs there runs on and is reached
 * again, while returning them would end it. And a leader that hears nobody is cut off itself, and resigns.
 */
internal class Silence(
    private val table: TaskTable,
    private val takeover: Takeover,
    private val workerTimes: WorkerTimes,
    private val tick: Duration,
    private val zoneOf: Map<NodeName, Zone>,
    private val ports: ForemanPorts,
) {
    private class Hearing {
        var heard = 0
        var silent = 0
        val cutOff: Boolean get() = silent >= CUT_LEAST && silent > heard
    }

    private val log = LoggerFactory.getLogger("elderhitch.workers")

    /** A worker silent for so long gets nothing new. */
    val suspectAfter: Duration = workerTimes.report * 2.5 + 500.milliseconds
    private val releaseAfter = workerTimes.report * REPORT_SPREAD + RESPONSE_TIMEOUT + NEXT_NODE * 2.0
    private var quietTicks = 0
    private var cutZones: Set<Zone> = emptySet()

    /** Some worker reported. */
    fun heardSomeone() {
        quietTicks = 0
    }

    fun watch(leading: Tenure.Leading, now: Moment, known: Map<MachineId, Machine>) {
        quietTicks++
        var heard = 0
        var silent = 0
        val zones = HashMap<Zone, Hearing>()
        for (worker in table.workers.values) {
            val hearing = zones.getOrPut(worker.zone) { Hearing() }
            if (now - maxOf(worker.lastReport, leading.claimedAt) > suspectAfter) hearing.silent++ else hearing.heard++
            if (now - worker.lastReport > suspectAfter) silent++ else heard++
            if (worker.settled && worker.placements.isNotEmpty() &&
                now > worker.lastAnswer + workerTimes.lease.stretched() + Takeover.LEASE_MARGIN
            ) {
                log.info("worker settled machine={} by=lease tasks={}", worker.id, worker.placements.size)
                table.loseAll(worker)
            }
        }
        val mayResign = now - leading.claimedAt > RESIGN_AFTER && heard + silent >= RESIGN_LEAST
        if (mayResign && (silent > heard * 2 || tick * quietTicks > longestQuiet(heard + silent))) {
            ports.leadership(LeadershipMessage.Resign("$silent of ${silent + heard} workers silent"))
            return
        }
        // Machines of an earlier term that never said a word in this one.
        val unheard = takeover.unheard.filter { it !in table.workers }
        if (now - leading.claimedAt > suspectAfter) unheard.forEach { id -> known[id]?.let { zones.getOrPut(it.zone) { Hearing() }.silent++ } }
        val cut = zones.filterValues { it.cutOff }.keys
        if (cut != cutZones) log.info("zones cut off zones={} silent={}", cut, zones.values.sumOf { it.silent })
        cutZones = cut
        if (leading.mayCommand(now)) release(leading, now, unheard, known)
    }

    /**
     * Reports of many workers come evenly spread: the more there are, the shorter a pause can be by chance. Counted in
     * ticks, so that a process that was held up itself doesn't take that for silence.
     */
    private fun longestQuiet(workers: Int): Duration = QUIET_MARGIN + workerTimes.report * minOf(REPORT_SPREAD, QUIET_REPORTS / workers)

    private fun release(leading: Tenure.Leading, now: Moment, unheard: List<MachineId>, known: Map<MachineId, Machine>) {
        for (worker in table.workers.values) {
            val since = maxOf(worker.lastReport, leading.claimedAt)
            if (now - since > patience(worker.zone, worker.settled, leading, now) && now - worker.releaseAsked > RELEASE_AGAIN) {
                worker.releaseAsked = now
                log.info("worker silent machine={} for_ms={}", worker.id, (now - worker.lastReport).inWholeMilliseconds)
                ports.fleet(FleetMessage.Release(listOf(worker.id), "silent"))
            }
        }
        val overdue = unheard.filter { now - leading.claimedAt > (known[it]?.let { m -> patience(m.zone, settled = false, leading, now) } ?: releaseAfter) + UNHEARD_MARGIN }
        if (overdue.isNotEmpty()) ports.fleet(FleetMessage.Release(overdue, "unheard"))
    }

    /**
     * A takeover waits for machines that have not reported in this term, and nothing else gives proof as soon as their
     * return does. Not where the former leader is cut off with them, and keeps them running; nor shortly before their leases end.
     */
    private fun patience(zone: Zone, settled: Boolean, leading: Tenure.Leading, now: Moment): Duration {
        if (zone !in cutZones) return releaseAfter
        val keptRunning = leading.former?.let { zoneOf[it.node] } == zone
        return if (settled || takeover.settled || keptRunning || takeover.endsWithin(workerTimes.lease, now)) CUT_PATIENCE else releaseAfter
    }

    /** It was silent, its release did not go through, and it is back. */
    fun back(worker: WorkerState, now: Moment) {
        if (now - worker.releaseAsked > RELEASE_AGAIN * 2) worker.releaseAsked = Moment.NEVER
    }

    private companion object {
        // A report may be a quarter late; its answer may be lost, which the worker notes after 4 s; and then it asks
        // the next node a second later, which may send it back here.
        const val REPORT_SPREAD = 1.25
        val RESPONSE_TIMEOUT = 4.seconds
        val NEXT_NODE = 1.seconds
        val UNHEARD_MARGIN = 3.seconds
        val RELEASE_AGAIN = 5.seconds
        val RESIGN_AFTER = 15.seconds
        const val RESIGN_LEAST = 4
        const val CUT_LEAST = 4

        /** After that a zone is given up: new machines would long be up elsewhere. */
        val CUT_PATIENCE = 90.seconds
        val QUIET_MARGIN = 1500.milliseconds
        const val QUIET_REPORTS = 12.0
    }
}
