package org.elderhitch.delegates

import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.PreviousLeader
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.time.MonotonicInstant

/**
 * Determines when no controller answers workers with an earlier term any more, neither as a previous leader whose
 * command window has ended nor as a lease delegate of one. Each other controller has to confirm that it knows the new
 * term. A confirmation of the previous leader alone is not sufficient: the leader *before* it, partitioned together
 * with its zone, could still be answering after two later leaders have come and gone.
 */
public class PreviousLeaderTracker(private val peers: Set<NodeName>) {
    private val knownTerms = HashMap<NodeName, Term>()
    private val incarnations = HashMap<NodeName, ObservedIncarnation>()

    /** [requestSentAt]: when the request was sent to which this incarnation responded. */
    private class ObservedIncarnation(val incarnation: Incarnation, val requestSentAt: MonotonicInstant)

    /**
     * Records the incarnation of a controller and the highest term that it knows, as reported by it. An incarnation
     * never forgets a term, and a new one answers no worker before it has learned of a term.
     *
     * @param requestSentAt when the request was sent to which the controller responded. Null if it sent the report on
     * its own: such a report may have been delayed for minutes, so it does not update the known incarnation.
     */
    public fun observe(node: NodeName, incarnation: Incarnation, term: Term, requestSentAt: MonotonicInstant?) {
        if (node !in peers) return
        if (requestSentAt != null && incarnations[node].let { it == null || it.requestSentAt < requestSentAt }) {
            incarnations[node] = ObservedIncarnation(incarnation, requestSentAt)
        }
        knownTerms.merge(node, term, ::maxOf)
    }

    /**
     * Whether the incarnation that led before [leadership] has ended. Its workers have then noticed and try the next
     * controller; lease delegates may still be answering. If the previous leader is not among the peers, it was an
     * earlier leadership of this node itself.
     */
    public fun hasPreviousLeaderEnded(leadership: LeadershipState.Leader): Boolean {
        val previousLeader = leadership.previousLeader ?: return true
        return previousLeader.node !in peers || hasEnded(previousLeader, leadership)
    }

    /** Whether each other controller knows the term of [leadership], or is the previous leader and has restarted. */
    public fun havePreviousLeadersStopped(leadership: LeadershipState.Leader): Boolean =
        peers.all { knowsTerm(it, leadership.term) || isEndedPreviousLeader(it, leadership) }

    private fun knowsTerm(peer: NodeName, term: Term): Boolean = knownTerms[peer].let { it != null && it >= term }

    private fun isEndedPreviousLeader(peer: NodeName, leadership: LeadershipState.Leader): Boolean {
        val previousLeader = leadership.previousLeader ?: return false
        return previousLeader.node == peer && hasEnded(previousLeader, leadership)
    }

    /**
     * Whether another incarnation of the previous leader's node responded to a request sent after the claim. An
     * incarnation observed *before* the claim may be older than the previous leader: this node may have been
     * partitioned from that node while it restarted and led.
     */
    private fun hasEnded(previousLeader: PreviousLeader, leadership: LeadershipState.Leader): Boolean {
        val observed = incarnations[previousLeader.node] ?: return false
        return observed.incarnation != previousLeader.incarnation && observed.requestSentAt >= leadership.claimedAt
    }
}
