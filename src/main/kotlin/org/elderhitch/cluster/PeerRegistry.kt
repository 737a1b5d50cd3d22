package org.elderhitch.cluster

import org.elderhitch.jobs.Footprint
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Peer
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A peer and the state that it has reported. */
internal class PeerState(val peer: Peer) {
    /** Whether the peer reaches the state service, from its last heartbeat; false while the peer does not respond. */
    var reachesStateService = false

    /** When its last heartbeat or heartbeat response was received. */
    var lastHeartbeatAt = MonotonicInstant.NEVER

    /** The largest footprint of open jobs that fits the peer's memory, or null if it has never reported it. */
    var openJobsLimit: Footprint? = null
}

/** The other controllers, in their order in the settings. */
internal class PeerRegistry(peers: List<Peer>, private val clock: SteadyClock) {
    private val states = peers.associate { it.name to PeerState(it) }

    val names: Set<NodeName> get() = states.keys
    val all: Collection<PeerState> get() = states.values

    /** Returns the state of a peer, or null if the settings contain no such controller. */
    operator fun get(node: NodeName): PeerState? = states[node]

    operator fun contains(node: NodeName): Boolean = node in states

    fun hasRecentHeartbeat(node: NodeName): Boolean =
        states[node]?.let { clock.now() - it.lastHeartbeatAt < RECENT_HEARTBEAT_AGE } ?: false

    /** The peers that are expected to reach the state service, and so can answer a user's request. */
    fun reachingStateService(): List<PeerState> {
        val now = clock.now()
        return states.values.filter { it.reachesStateService && now - it.lastHeartbeatAt < FORWARDING_HEARTBEAT_AGE }
    }

    /** The smallest limit on open jobs that any peer has reported, or null if none has. */
    fun smallestOpenJobsLimit(): Footprint? = states.values.mapNotNull { it.openJobsLimit }.minOrNull()

    private companion object {
        val RECENT_HEARTBEAT_AGE = 2500.milliseconds
        val FORWARDING_HEARTBEAT_AGE = 3.seconds
    }
}
