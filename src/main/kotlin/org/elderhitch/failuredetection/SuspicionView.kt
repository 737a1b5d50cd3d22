package org.elderhitch.failuredetection

import org.elderhitch.fleet.MachineId
import org.elderhitch.settings.Zone
import kotlin.time.Duration

/**
 * The evidence for suspicions: the rules, and the state of zones, probes and message reception.
 *
 * @property overdueAfter how long after a worker's last heartbeat the next one is overdue.
 */
internal class SuspicionView(
    val rules: SuspicionRules,
    val zones: ZoneHealthMonitor,
    val reception: ReceptionTracker,
    val overdueAfter: Duration,
    private val currentProber: () -> WorkerProber,
) {
    private val workerProber: WorkerProber get() = currentProber()

    /** Returns what is known about the machine apart from its own messages. */
    fun machine(id: MachineId, zone: Zone?): SuspectedMachine = SuspectedMachine(
        neverSeen = false,
        reconciled = false,
        unlisted = workerProber.isUnlisted(id),
        unreachableSince = workerProber.unreachableSince(id),
        probeUnanswered = workerProber.hasUnansweredProbe(id),
        zoneLastSeenAt = zones.lastSeenAt(zone),
        zonePossiblyPartitioned = zones.isPossiblyPartitioned(zone),
        zonePartitioned = zones.isPartitioned(zone),
        zoneNeverSeen = zones.isNeverSeen(zone),
    )
}
