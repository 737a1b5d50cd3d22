package org.elderhitch.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.elderhitch.cluster.Cluster
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Settings
import org.elderhitch.store.StateWatch

/** Detects whether a network partition separates this controller from the leader. */
internal class PartitionDetector(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val cluster: Cluster,
    private val connection: StateConnection,
    private val stateWatch: StateWatch,
) {
    /**
     * Whether no heartbeats arrive from [leader], and either none arrive from the other controllers of its zone or the
     * state service doesn't respond.
     *
     * Two zones that can't reach each other may both reach the state service, so reaching it doesn't rule out a
     * partition. When it was the only criterion, controllers in the zone without the leader redirected workers to a
     * leader that those couldn't reach, and the workers' tasks ended when their leases expired.
     */
    fun isIsolatedFrom(leader: NodeName): Boolean {
        if (cluster.hasRecentHeartbeat(leader)) return false
        if (isZoneUnreachable(leader)) return true
        return connection.isLost { scope.launch { stateWatch.awaitFreshness() } }
    }

    private fun isZoneUnreachable(leader: NodeName): Boolean {
        val leaderZone = settings.nodeZones[leader]
        if (leaderZone == null || leaderZone == settings.zone) return false
        return settings.nodeZones.none { (node, zone) -> zone == leaderZone && cluster.hasRecentHeartbeat(node) }
    }
}
