package org.elderhitch.leadership

import org.elderhitch.store.Entry
import org.elderhitch.time.MonotonicInstant

/** A message to the [Leadership] actor. */
public sealed interface LeadershipMessage {
    /** The leader key as the state service holds it now; null: the key is absent. */
    public data class LeaderObserved(val entry: Entry?) : LeadershipMessage

    /** A worker or another controller knows this term. */
    public data class TermObserved(val term: Term) : LeadershipMessage

    /** This node leads but can't do a leader's work: it gives up its lease and pauses before it claims again. */
    public data class Resign(val reason: String) : LeadershipMessage

    /** A freshness check that was sent at [instant] succeeded: this node knows all that was recorded before. */
    public data class FreshAsOf(val instant: MonotonicInstant) : LeadershipMessage

    /** A pause before the next claim is over. */
    public data object RetryClaim : LeadershipMessage
}
