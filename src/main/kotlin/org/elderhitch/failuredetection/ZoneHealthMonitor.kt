package org.elderhitch.failuredetection

import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.settings.Zone
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Assesses the health of whole zones. If most machines of a zone are suspected at once, the zone is considered
 * partitioned from this node, rather than its machines dead. The state is kept across terms.
 *
 * @param tick the interval between two assessments.
 * @param controllerZones the zones that contain a controller.
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
    private var possiblyPartitionedZones: Set<Zone> = emptySet()
    private var neverSeenZones: Set<Zone> = emptySet()

    /** Zones in which most machines are suspected, or which are silent for longer than chance allows. */
    var partitionedZones: Set<Zone> = emptySet()
        private set

    fun isPartitioned(zone: Zone?): Boolean = zone in partitionedZones

    /** Whether a machine's silence may be due to a partition: most of its zone is overdue, or the zone is silent. */
    fun isPossiblyPartitioned(zone: Zone?): Boolean = zone in possiblyPartitionedZones

    /** Whether the zone has a controller and many machines, none of which has sent a message in this term. */
    fun isNeverSeen(zone: Zone?): Boolean = zone in neverSeenZones

    /** When a message of any worker in the zone was last received; null if none was. */
    fun lastSeenAt(zone: Zone?): MonotonicInstant? = lastSeenAt[zone]

    /**
     * When the zone's last partition ended. The silence of its workers is counted from then on, since they reconnect
     * one after another. Otherwise all workers that had not reconnected by the time the first half had would be
     * terminated.
     */
    fun reconnectedAt(zone: Zone): MonotonicInstant = reconnectedAt[zone] ?: MonotonicInstant.NEVER

    fun recordMessage(worker: WorkerState) {
        ticksWithoutMessage[worker.zone] = 0
        lastSeenAt[worker.zone] = worker.lastSeenAt
    }

    /**
     * Returns the zones from which no message has arrived for longer than chance allows. Heartbeats of many workers are
     * spread evenly, so more workers mean shorter gaps. Gaps are counted in ticks, so that a pause of this process
     * isn't mistaken for silence. Must be called once per tick.
     */
    fun silentZones(zones: Map<Zone, ZoneHealth>): Set<Zone> {
        val silent = HashSet<Zone>()
        for ((zone, health) in zones) {
            val ticks = ticksWithoutMessage.merge(zone, 1, Int::plus) ?: 1
            val chance = timeouts.heartbeatInterval * (MAX_MISSED_HEARTBEATS / health.workers)
            val longestPause = SILENCE_MARGIN + minOf(timeouts.maxHeartbeatInterval, chance)
            if (health.workers >= ZoneHealth.MIN_MACHINES && tick * ticks > longestPause) silent.add(zone)
        }
        return silent
    }

    /**
     * Updates the state of all zones.
     *
     * @param mayBePartitioned whether this term has lasted long enough for workers to be suspected at all.
     * @param suspectedMachines the number of suspected machines in all zones and in unknown ones, for the log.
     */
    fun update(
        zones: Map<Zone, ZoneHealth>,
        silent: Set<Zone>,
        mayBePartitioned: Boolean,
        suspectedMachines: Int,
        now: MonotonicInstant,
    ) {
        neverSeenZones = zones.filter { (zone, health) -> health.noneSeen && zone in controllerZones }.keys
        possiblyPartitionedZones = zones.filterValues { it.majorityOverdue }.keys + silent
        val partitioned =
            if (mayBePartitioned) zones.filterValues { it.majoritySuspected }.keys + silent else emptySet()
        if (partitioned != partitionedZones) {
            log.info("zones partitioned zones={} suspected={}", partitioned, suspectedMachines)
        }
        for (zone in partitionedZones - partitioned) reconnectedAt[zone] = now
        partitionedZones = partitioned
    }

    private companion object {
        val SILENCE_MARGIN = 1500.milliseconds

        /** This many consecutive heartbeats of a zone don't go missing by chance. */
        const val MAX_MISSED_HEARTBEATS = 12.0
    }
}
