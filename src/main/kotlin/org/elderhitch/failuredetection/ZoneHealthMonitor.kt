package org.elderhitch.failuredetection

import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.settings.Zone
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Judges whole zones: where most machines are suspected at once, the zone is partitioned from this node rather than
 * full of dead machines. Its state outlives a term.
 *
 * @param tick the time between two assessments.
 * @param controllerZones zones with a controller in them.
 */
internal class ZoneHealthMonitor(
    private val timeouts: WorkerTimeouts,
    private val tick: Duration,
    private val controllerZones: Set<Zone>,
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val ticksWithoutMessage = HashMap<Zone, Int>()
    private val lastSeenAt = HashMap<Zone, MonotonicInstant>()
    private val reconnectedAt = HashMap<Zone, MonotonicInstant>()
    private var doubtfulZones: Set<Zone> = emptySet()
    private var neverSeenZones: Set<Zone> = emptySet()

    /** Zones of which most machines are suspected, or from which no message has come for longer than chance allows. */
    var partitionedZones: Set<Zone> = emptySet()
        private set

    fun isPartitioned(zone: Zone?): Boolean = zone in partitionedZones

    /** Whether a machine's silence can't be told from a partition: most of its zone is overdue or suspected. */
    fun isDoubtful(zone: Zone?): Boolean = zone in doubtfulZones

    /** Whether the zone has a controller and many machines, none of which has sent a message in this term. */
    fun isNeverSeen(zone: Zone?): Boolean = zone in neverSeenZones

    /** When a message of any of the zone's workers was last received; absent: none has been. */
    fun lastSeenAt(zone: Zone?): MonotonicInstant? = lastSeenAt[zone]

    /**
     * When the zone's last partition ended. Its workers come back one after the other: those that were still missing
     * when the first half was back had been silent for longest, and were all terminated.
     */
    fun reconnectedAt(zone: Zone): MonotonicInstant = reconnectedAt[zone] ?: MonotonicInstant.NEVER

    fun recordMessage(worker: WorkerState) {
        ticksWithoutMessage[worker.zone] = 0
        lastSeenAt[worker.zone] = worker.lastSeenAt
    }

    /**
     * Zones from which no message has come for longer than chance allows. Heartbeats of many workers are evenly spread:
     * the more workers, the shorter the pauses. Counted in ticks, so that a pause of this process doesn't pass for
     * silence. Called once a tick.
     */
    fun quietZones(zones: Map<Zone, ZoneHealth>): Set<Zone> {
        val quiet = HashSet<Zone>()
        for ((zone, health) in zones) {
            val ticks = ticksWithoutMessage.merge(zone, 1, Int::plus) ?: 1
            val chance = timeouts.heartbeatInterval * (MAX_MISSED_HEARTBEATS / health.workers)
            val longestPause = QUIET_MARGIN + minOf(timeouts.heartbeatDeadline, chance)
            if (health.workers >= ZoneHealth.MIN_MACHINES && tick * ticks > longestPause) quiet.add(zone)
        }
        return quiet
    }

    /**
     * Takes over the judgement of all zones at one moment.
     *
     * @param mayBePartitioned whether this term has lasted long enough for workers to be suspected at all.
     * @param suspectedMachines of all zones, and of none that is known, for the log.
     */
    fun update(
        zones: Map<Zone, ZoneHealth>,
        quiet: Set<Zone>,
        mayBePartitioned: Boolean,
        suspectedMachines: Int,
        now: MonotonicInstant,
    ) {
        neverSeenZones = zones.filter { (zone, health) -> health.noneSeen && zone in controllerZones }.keys
        doubtfulZones = zones.filterValues { it.majorityOverdue }.keys + quiet
        val partitioned =
            if (mayBePartitioned) zones.filterValues { it.majoritySuspected }.keys + quiet else emptySet()
        if (partitioned != partitionedZones) {
            log.info("zones partitioned zones={} suspected={}", partitioned, suspectedMachines)
        }
        for (zone in partitionedZones - partitioned) reconnectedAt[zone] = now
        partitionedZones = partitioned
    }

    private companion object {
        val QUIET_MARGIN = 1500.milliseconds

        /** So many heartbeats of a zone in a row don't fail to come by chance. */
        const val MAX_MISSED_HEARTBEATS = 12.0
    }
}
