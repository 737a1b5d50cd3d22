package org.elderhitch.leadership

import org.elderhitch.store.Entry
import org.elderhitch.time.MonotonicInstant

public sealed interface LeadershipMessage {
    /** The leader's key as the state service has it; null: absent. */
    public data class LeaderObserved(val entry: Entry?) : LeadershipMessage

    /** A worker or controller knows this term. */
    public data class TermObserved(val term: Term) : LeadershipMessage

    /** This node leads but can't do the work; another should. */
    public data class Resign(val reason: String) : LeadershipMessage

    /** The leader's table holds all that was recorded at [since]. */
    public data class FreshAsOf(val since: MonotonicInstant) : LeadershipMessage

    public data object RetryClaim : LeadershipMessage
}
