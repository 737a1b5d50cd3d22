package org.elderhitch.delegates

import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.PreviousLeader
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.time.MonotonicInstant

/**
 * Tells when no controller answers workers in the name of an earlier term any more: neither a previous leader past its
 * command window nor a lease delegate of one. Each other controller has to confirm that it knows the new term. To hear
 * from the previous leader alone is not enough: the leader *before* it, cut off with its zone, could still be answering
 * while two leaders after it came and went.
 */
public class PreviousLeaders(private val peers: Set<NodeName>) {
    private val knownTerms = HashMap<NodeName, Term>()
    private val incarnations = HashMap<NodeName, ObservedIncarnation>()

    /** [askedAt]: when the request was sent that this incarnation answered. */
    private class ObservedIncarnation(val incarnation: Incarnation, val askedAt: MonotonicInstant)

    /**
     * A controller has told its incarnation and the highest term that it knows. An incarnation never forgets a term,
     * and a new one answers no worker before it knows of a term.
     *
     * @param askedAt when the request was sent that it answered. Null: it sent this unasked, and what it tells of its
     * incarnation may have been delayed for minutes.
     */
    public fun observe(node: NodeName, incarnation: Incarnation, term: Term, askedAt: MonotonicInstant?) {
        if (node !in peers) return
        if (askedAt != null && incarnations[node].let { it == null || it.askedAt < askedAt }) {
            incarnations[node] = ObservedIncarnation(incarnation, askedAt)
        }
        knownTerms.merge(node, term, ::maxOf)
    }

    /**
     * Whether the incarnation that led before [leadership] has ended: then whoever reported to it has noticed, and
     * tries
     * the next controller. Lease delegates may still be answering. A previous leader that is no other controller was
     * this node itself.
     */
    public fun hasPreviousLeaderEnded(leadership: LeadershipState.Leader): Boolean {
        val previousLeader = leadership.previousLeader ?: return true
        return previousLeader.node !in peers || hasEnded(previousLeader, leadership)
    }

    /** Whether each other controller knows the term of [leadership], or is the previous leader and has restarted. */
    public fun haveAllStopped(leadership: LeadershipState.Leader): Boolean =
        peers.all { knowsTerm(it, leadership.term) || isEndedPreviousLeader(it, leadership) }

    private fun knowsTerm(peer: NodeName, term: Term): Boolean = knownTerms[peer].let { it != null && it >= term }

    private fun isEndedPreviousLeader(peer: NodeName, leadership: LeadershipState.Leader): Boolean {
        val previousLeader = leadership.previousLeader ?: return false
        return previousLeader.node == peer && hasEnded(previousLeader, leadership)
    }

    /**
     * Another incarnation of the previous leader's node answered a request that was sent after the claim. One that was
     * observed *before* may be older than the previous leader: this node may have been cut off from that node while it
     * restarted and led.
     */
    private fun hasEnded(previousLeader: PreviousLeader, leadership: LeadershipState.Leader): Boolean {
        val observed = incarnations[previousLeader.node] ?: return false
        return observed.incarnation != previousLeader.incarnation && observed.askedAt >= leadership.claimedAt
    }
}
