package org.elderhitch.delegates

import org.elderhitch.leadership.FencingToken
import org.elderhitch.leadership.Term
import org.elderhitch.leadership.TokenRange
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant

/**
 * Allows a follower to answer heartbeats of its own zone with its leader's [tokens]. [until] is measured from when the
 * follower sent its request, so the grant expires on the follower before the leader assumes that it has.
 */
public data class DelegationGrant(val tokens: TokenRange, val leader: NodeName, val until: MonotonicInstant) {
    val term: Term get() = Term(tokens.first.number)
}

/**
 * The lease delegate's side of a delegation. While this node is cut off from the leader, it answers the workers of its
 * [zone] with the leader's tokens and sends no commands except stops of terminal jobs' tasks, like a leader whose
 * command window has ended. So the workers of a partitioned zone keep their leases.
 */
public class LeaseDelegate(private val zone: Zone) {
    /** The current grant, or null if no leader has granted a delegation or a newer term has revoked it. */
    public var grant: DelegationGrant? = null
        private set

    /**
     * The highest term that this node has learned of. It outlives the grant: a grant of an earlier term is void also if
     * it arrives after the node has revoked an older one. The node may have reported the newer term by then, and its
     * leader relies on that no lease is renewed in an earlier term any more.
     */
    private var highestTerm = Term.NONE

    /**
     * Keeps the grant of the highest term and, within that term, the longest one: any other grant was delayed. Returns
     * whether [offered] is kept.
     */
    public fun accept(offered: DelegationGrant): Boolean {
        observeTerm(offered.term)
        if (isVoid(offered) || grant.let { it != null && offered.until <= it.until }) return false
        grant = offered
        return true
    }

    /** Records that [term] exists. Grants of earlier terms are void from now on, whenever they arrive. */
    public fun observeTerm(term: Term) {
        highestTerm = maxOf(highestTerm, term)
        if (grant.let { it != null && isVoid(it) }) grant = null
    }

    /** A version without token ranges may report a token of the grant's own term as a term. */
    private fun isVoid(grant: DelegationGrant): Boolean = highestTerm.firstToken > grant.tokens.last

    /**
     * Returns the token with which to answer a heartbeat of a worker in [workerZone] that has seen [knownToken], or
     * null if this node may not answer it. The worker drops an answer with a lower token than it has seen.
     *
     * @param isIsolatedFrom whether a network partition separates this node from the given leader.
     */
    public fun responseToken(
        workerZone: Zone,
        knownToken: FencingToken,
        isIsolatedFrom: (leader: NodeName) -> Boolean,
        now: MonotonicInstant,
    ): FencingToken? {
        val grant = grant ?: return null
        if (workerZone != zone || knownToken > grant.tokens.last) return null
        if (now >= grant.until || !isIsolatedFrom(grant.leader)) return null
        return maxOf(knownToken, grant.tokens.first)
    }
}
