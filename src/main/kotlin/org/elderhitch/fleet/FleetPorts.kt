package org.elderhitch.fleet

import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.scheduler.SchedulerMessage

/** What the fleet needs of the rest of the controller. */
public interface FleetPorts {
    public fun scheduler(message: SchedulerMessage)

    public fun leadership(message: LeadershipMessage)

    /** Whether the term of [leadershipState] still is this node's and may send commands, at this moment. */
    public fun maySendCommands(leadershipState: LeadershipState.Leader): Boolean

    /** Publishes the counts of this term's cloud requests, for `/status`. */
    public fun publishActions(counts: Map<String, Any?>)
}
