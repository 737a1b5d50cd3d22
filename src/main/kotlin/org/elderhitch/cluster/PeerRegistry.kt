package org.elderhitch.cluster

import org.elderhitch.jobs.Footprint
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Peer
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A peer, and what it has told of itself. */
internal class PeerState(val peer: Peer) {
    /** Whether the state service answers the peer, by its last heartbeat; false while it doesn't respond. */
    var reachesStateService = false

    /** When its last heartbeat or heartbeat response was received. */
    var lastHeartbeatAt = MonotonicInstant.NEVER

    /** What its memory can hold of open jobs; null: it has never told. */
    var openJobsLimit: Footprint? = null
}

/** The other controllers, in the order of the settings. */
internal class PeerRegistry(peers: List<Peer>, private val clock: SteadyClock) {
    private val states = peers.associate { it.name to PeerState(it) }

    val names: Set<NodeName> get() = states.keys
    val all: Collection<PeerState> get() = states.values

    /** Null: the settings name no such controller. */
    operator fun get(node: NodeName): PeerState? = states[node]

    operator fun contains(node: NodeName): Boolean = node in states

    fun hasRecentHeartbeat(node: NodeName): Boolean =
        states[node]?.let { clock.now() - it.lastHeartbeatAt < RECENT_HEARTBEAT } ?: false

    /** Peers that can be expected to answer a user's request from the state service. */
    fun reachingStateService(): List<PeerState> {
        val now = clock.now()
        return states.values.filter { it.reachesStateService && now - it.lastHeartbeatAt < FORWARDING_FRESHNESS }
    }

    /** The least that any peer can hold of open jobs; null: none has told. */
    fun smallestOpenJobsLimit(): Footprint? = states.values.mapNotNull { it.openJobsLimit }.minOrNull()

    private companion object {
        val RECENT_HEARTBEAT = 2500.milliseconds
        val FORWARDING_FRESHNESS = 3.seconds
    }
}
