package org.elderhitch.fleet

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock

/** The leadership state of this node as used by the fleet components, and the initialization progress of its term. */
internal class FleetTerm {
    private var state: LeadershipState = LeadershipState.Follower(null, Term.NONE)

    /** The leadership of this node; null while it is a follower. */
    val leader: LeadershipState.Leader? get() = state as? LeadershipState.Leader

    /** When the latest term of this node began. */
    var startedAt = MonotonicInstant.NEVER
        private set

    /** Whether the provisioning intents of all earlier terms are loaded. */
    var areIntentsLoaded = false

    /** Whether the machines of all earlier terms were sent to the scheduler. */
    var isInventorySent = false

    /** Applies a new leadership state. Returns whether it begins a new term of this node. */
    fun update(next: LeadershipState, clock: SteadyClock): Boolean {
        val previousTerm = leader?.term
        state = next
        val leadership = leader ?: return false
        if (leadership.term == previousTerm) return false
        startedAt = clock.now()
        areIntentsLoaded = false
        isInventorySent = false
        return true
    }

    /** The leadership of this node if [term] is its current term. */
    fun leaderIfCurrent(term: Term): LeadershipState.Leader? = leader?.takeIf { it.term == term }
}
