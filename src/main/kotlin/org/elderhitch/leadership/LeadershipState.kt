package org.elderhitch.leadership

import org.elderhitch.settings.NodeName
import org.elderhitch.store.LeaseId
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/** Who leads, as far as this node knows. Replaced as a whole, never changed. */
public sealed interface LeadershipState {
    public data class Follower(val leader: NodeName?, val term: Term) : LeadershipState

    public data class Leader(
        val term: Term,
        /** Version of the counter at the claim: the condition of each of the leader's writes. */
        val termRevision: Revision,
        val lease: LeaseId,
        /** Until then commands may be sent. */
        val commandWindowEnd: MonotonicInstant,
        /** Until then reports may be answered. */
        val answerWindowEnd: MonotonicInstant,
        val previousLeader: PreviousLeader?,
        val claimedAt: MonotonicInstant,
    ) : LeadershipState {
        public fun maySendCommands(now: MonotonicInstant): Boolean = now < commandWindowEnd

        public fun mayAnswerHeartbeats(now: MonotonicInstant): Boolean = now < answerWindowEnd
    }
}

/** Who led before, and so may still be answering workers. */
public data class PreviousLeader(val node: NodeName, val incarnation: Incarnation)
