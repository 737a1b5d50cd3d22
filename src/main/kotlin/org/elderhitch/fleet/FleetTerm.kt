package org.elderhitch.fleet

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock

/** The leadership of this node as the fleet's parts see it, and how far the start of the term has come. */
internal class FleetTerm {
    private var state: LeadershipState = LeadershipState.Follower(null, Term.NONE)

    /** The leadership of this node; null while it follows. */
    val leader: LeadershipState.Leader? get() = state as? LeadershipState.Leader

    /** When the latest term of this node began. */
    var startedAt = MonotonicInstant.NEVER
        private set

    /** The provisioning intents of all earlier terms are known. */
    var intentsLoaded = false

    /** The scheduler was told of all machines of earlier terms. */
    var inventorySent = false

    /** Takes the new state over. True: a term of this node begins. */
    fun update(next: LeadershipState, clock: SteadyClock): Boolean {
        val previousTerm = leader?.term
        state = next
        val leadership = leader ?: return false
        if (leadership.term == previousTerm) return false
        startedAt = clock.now()
        intentsLoaded = false
        inventorySent = false
        return true
    }

    /** The leadership of this node if [term] is its current term. */
    fun leaderOf(term: Term): LeadershipState.Leader? = leader?.takeIf { it.term == term }
}
