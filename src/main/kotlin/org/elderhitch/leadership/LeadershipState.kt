package org.elderhitch.leadership

import org.elderhitch.settings.NodeName
import org.elderhitch.store.LeaseId
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/** The role of this node, as far as it knows. Immutable: each change replaces the whole value. */
public sealed interface LeadershipState {
    /** For a leader its own term. For a follower the leader's term, or the highest term seen if no leader is known. */
    public val term: Term

    /**
     * Another node leads, or none does.
     *
     * @property leader the leader as stored in the state service, or null if none is known.
     */
    public data class Follower(val leader: NodeName?, override val term: Term) : LeadershipState

    /**
     * This node holds the leader's lease.
     *
     * @property termRevision the revision of the term counter after the claim. Each write of the leader is conditional
     * on it, so that none succeeds once another node has claimed a term.
     * @property commandWindowEnd the instant until which commands may be sent.
     * @property answerWindowEnd the instant until which heartbeats may be answered.
     * @property previousLeader the leader of the preceding term, or null if there was none or if the term was claimed
     * by a version that did not store it.
     * @property claimedAt when this node learned that its claim had succeeded.
     */
    public data class Leader(
        override val term: Term,
        val termRevision: Revision,
        val lease: LeaseId,
        val commandWindowEnd: MonotonicInstant,
        val answerWindowEnd: MonotonicInstant,
        val previousLeader: PreviousLeader?,
        val claimedAt: MonotonicInstant,
    ) : LeadershipState {
        /** The fencing tokens of this term. */
        public val tokens: TokenRange = TokenRange.of(term)

        /** The lowest number that a later term can have. */
        public val nextTerm: Term get() = Term(tokens.last.number + 1)

        public fun maySendCommands(now: MonotonicInstant): Boolean = now < commandWindowEnd

        public fun mayAnswerHeartbeats(now: MonotonicInstant): Boolean = now < answerWindowEnd
    }
}

/** The leader of the preceding term, which may still be answering workers. */
public data class PreviousLeader(val node: NodeName, val incarnation: Incarnation)
