package org.elderhitch.failuredetection

import org.elderhitch.fleet.MachineId
import org.elderhitch.settings.Zone
import kotlin.time.Duration

/**
 * What suspicions rest on: the rules, and what zones, probes and the reception of messages tell of a machine.
 *
 * @property overdueAfter how long after the last one a worker's heartbeat is overdue.
 */
internal class SuspicionView(
    val rules: SuspicionRules,
    val zones: ZoneHealthMonitor,
    val reception: ReceptionTracker,
    val overdueAfter: Duration,
    private val currentProber: () -> WorkerProber,
) {
    private val workerProber: WorkerProber get() = currentProber()

    /** What is known of the machine apart from its own messages. */
    fun machine(id: MachineId, zone: Zone?): SuspectedMachine = SuspectedMachine(
        neverSeen = false,
        reconciled = false,
        unlisted = workerProber.isUnlisted(id),
        unreachableSince = workerProber.unreachableSince(id),
        probed = workerProber.wasProbedInVain(id),
        zoneLastSeenAt = zones.lastSeenAt(zone),
        zoneDoubtful = zones.isDoubtful(zone),
        zonePartitioned = zones.isPartitioned(zone),
        zoneNeverSeen = zones.isNeverSeen(zone),
    )
}
