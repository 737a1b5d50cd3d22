package org.elderhitch.delegates

import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant

/**
 * Allows a follower to answer heartbeats of its own zone with its leader's term. [until] is counted from when the
 * follower asked, so it passes here before the leader counts on it.
 */
public data class DelegationGrant(val term: Term, val leader: NodeName, val until: MonotonicInstant)

/**
 * The lease delegate's side of a delegation. While its node reaches neither the leader nor the state service it answers
 * the workers of its [zone] with the leader's term and without commands, like a leader past its command window. So a
 * zone that is cut off keeps its leases.
 */
public class LeaseDelegate(private val zone: Zone) {
    /** Null: no leader has granted a delegation, or a newer term has revoked it. */
    public var grant: DelegationGrant? = null
        private set

    /** Takes the grant of the highest term, and of those the one that lasts longest: any other was delayed. */
    public fun accept(offered: DelegationGrant) {
        val current = grant
        if (current == null || supersedes(offered, current)) grant = offered
    }

    private fun supersedes(offered: DelegationGrant, current: DelegationGrant): Boolean =
        offered.term > current.term || offered.term == current.term && offered.until > current.until

    /** A newer term revokes the grant. */
    public fun observeTerm(term: Term) {
        if (grant.let { it != null && term > it.term }) grant = null
    }

    /**
     * The term to answer a heartbeat with, of a worker in [workerZone] that has seen [knownTerm]. Null: this node may
     * not answer it.
     *
     * @param isCutOffFrom whether this node reaches neither the given leader nor the state service.
     */
    public fun responseTerm(
        workerZone: Zone,
        knownTerm: Term,
        isCutOffFrom: (leader: NodeName) -> Boolean,
        now: MonotonicInstant,
    ): Term? {
        val grant = grant ?: return null
        if (workerZone != zone || knownTerm > grant.term) return null
        if (now >= grant.until || !isCutOffFrom(grant.leader)) return null
        return grant.term
    }
}
