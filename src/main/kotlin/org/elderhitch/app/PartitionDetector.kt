package org.elderhitch.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.elderhitch.cluster.Cluster
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Settings
import org.elderhitch.store.StateWatch

/** Decides whether a network partition separates this controller from the leader. */
internal class PartitionDetector(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val cluster: Cluster,
    private val connection: StateConnection,
    private val stateWatch: StateWatch,
) {
    /**
     * Whether no heartbeats arrive from [leader], and none from any other controller of its zone or none from the state
     * service either.
     *
     * Two zones that can't reach each other may both reach the state service, so its answers alone prove nothing: with
     * them as the only criterion, controllers redirected the workers of the zone without the leader to a leader that
     * those couldn't reach, and the tasks ended with their leases.
     */
    fun isCutOffFrom(leader: NodeName): Boolean {
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
