package org.elderhitch.delegates

import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.PreviousLeader
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.time.MonotonicInstant

/**
 * When nobody answers workers in the name of an earlier term any more: a former leader past its window, or a lease
 * delegate of one. It takes the word of every
 * other controller that it knows the new term. The former leader's alone was not enough even before there were lease
 * delegates: the one *before* it, cut off
 * with its zone, could still be answering while two leaders after it came and went.
 */
public class PreviousLeaders(private val peers: Set<NodeName>) {
    private val terms = HashMap<NodeName, Term>()
    private val runs = HashMap<NodeName, Run>()

    private class Run(val of: Incarnation, val asked: MonotonicInstant)

    /**
     * A controller has told of itself. What it knows it doesn't forget within a run; and a new run answers nobody
     * before it knows of a term.
     * [asked]: when the question was sent that it answered; null: it spoke by itself, and what it says of its run may
     * have been held up for minutes.
     */
    public fun heard(node: NodeName, run: Incarnation, term: Term, asked: MonotonicInstant?) {
        if (node !in peers) return
        if (asked != null && runs[node].let { it == null || it.asked < asked }) runs[node] = Run(run, asked)
        terms.merge(node, term, ::maxOf)
    }

    /**
     * Whether the run that led before [leadership] has ended: another run of its node answered a question that was sent
     * after the claim. Another run that was heard of
     * *before* may be the one before it: of a node that was cut off from this one while it started anew and led.
     */
    private fun hasEnded(previousLeader: PreviousLeader, leadership: LeadershipState.Leader): Boolean =
        runs[previousLeader.node].let {
            it != null &&
                it.of != previousLeader.incarnation &&
                it.asked >= leadership.claimedAt
        }

    /**
     * Whether the run that led before has ended: whoever reported to it has noticed by now, and tries the next
     * controller. It says nothing of lease delegates. A former
     * leader that is no other controller was this node itself.
     */
    public fun previousLeaderEnded(leadership: LeadershipState.Leader): Boolean {
        val previousLeader = leadership.previousLeader ?: return true
        return previousLeader.node !in peers || hasEnded(previousLeader, leadership)
    }

    /** A run that was started after the claim, of the node that led before, has ended the one that did. */
    public fun allStopped(leadership: LeadershipState.Leader): Boolean = peers.all { peer ->
        val previousLeader = leadership.previousLeader
        terms[peer].let { it != null && it >= leadership.term } ||
            previousLeader != null &&
            previousLeader.node == peer &&
            hasEnded(previousLeader, leadership)
    }
}
