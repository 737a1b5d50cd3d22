package org.elderhitch.leadership

import org.elderhitch.store.Entry
import org.elderhitch.time.MonotonicInstant

/** A message to the [Leadership] actor. */
public sealed interface LeadershipMessage {
    /** The leader key was read from the state service; [entry] is null if the key is absent. */
    public data class LeaderObserved(val entry: Entry?) : LeadershipMessage

    /** A worker, another controller or the state service has shown that [term] exists. */
    public data class TermObserved(val term: Term) : LeadershipMessage

    /** This node leads but can't do a leader's work. It revokes its lease and waits before it claims again. */
    public data class Resign(val reason: String) : LeadershipMessage

    /** A freshness check sent at [instant] succeeded: this node has read everything that was recorded before. */
    public data class FreshnessConfirmed(val instant: MonotonicInstant) : LeadershipMessage

    /** The delay before the next claim has elapsed. */
    public data object RetryClaim : LeadershipMessage
}
