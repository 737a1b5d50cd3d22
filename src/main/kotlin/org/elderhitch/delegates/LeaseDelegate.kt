package org.elderhitch.delegates

import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant

/**
 * The leave to answer reports of one's own zone with a leader's term. [until] counts from when it was asked for, so it
 * ends here before it does there.
 */
public data class DelegationGrant(val term: Term, val leader: NodeName, val until: MonotonicInstant)

/**
 * A node that its leader has named lease delegate of the zone that both it and its workers are in. While it reaches
 * neither the leader nor the state service it
 * answers these workers with the term and no commands, as a leader past its window does; so a zone that is cut off
 * keeps its leases.
 */
public class LeaseDelegate(private val zone: Zone) {
    /** Null: nobody has named this node, or a newer term has ended that. */
    public var grant: DelegationGrant? = null
        private set

    /** A later grant of the same term lasts longer; one of an older term came late. */
    public fun named(by: DelegationGrant) {
        val before = grant
        if (before == null || by.term > before.term || by.term == before.term && by.until > before.until) grant = by
    }

    /** Whoever knows a newer term keeps nobody to an older one. */
    public fun observeTerm(term: Term) {
        if (grant.let { it != null && term > it.term }) grant = null
    }

    /** The term to answer with; null: this report is not for a lease delegate to answer. */
    public fun answers(worker: Zone, knows: Term, cutOff: (leader: NodeName) -> Boolean, now: MonotonicInstant): Term? {
        val grant = grant ?: return null
        if (worker != zone || knows > grant.term || now >= grant.until || !cutOff(grant.leader)) return null
        return grant.term
    }
}
