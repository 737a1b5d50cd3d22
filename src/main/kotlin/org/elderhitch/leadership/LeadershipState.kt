package org.elderhitch.leadership

import org.elderhitch.settings.NodeName
import org.elderhitch.store.LeaseId
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/** This node's role, as far as it knows. Immutable: each change replaces the whole value. */
public sealed interface LeadershipState {
    /** Of a leader its own term; of a follower the leader's term, or else the highest term seen. */
    public val term: Term

    /**
     * Another node leads, or nobody does.
     *
     * @property leader the leader as stored in the state service; null: none is known.
     */
    public data class Follower(val leader: NodeName?, override val term: Term) : LeadershipState

    /**
     * This node holds the leader's lease.
     *
     * @property termRevision the term counter's revision at the claim: the condition of each of the leader's writes,
     * so that none succeeds once another node has claimed.
     * @property commandWindowEnd until then commands may be sent.
     * @property answerWindowEnd until then heartbeats may be answered.
     * @property previousLeader who led before this term; null: nobody, or a version that didn't store it.
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
        public fun maySendCommands(now: MonotonicInstant): Boolean = now < commandWindowEnd

        public fun mayAnswerHeartbeats(now: MonotonicInstant): Boolean = now < answerWindowEnd
    }
}

/** The leader of the term before, which may still be answering workers. */
public data class PreviousLeader(val node: NodeName, val incarnation: Incarnation)
