package org.elderhitch.fleet

import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.scheduler.SchedulerMessage

/** The interface through which the fleet uses the rest of the controller. */
public interface FleetPorts {
    public fun tellScheduler(message: SchedulerMessage)

    public fun tellLeadership(message: LeadershipMessage)

    /** Whether this node still leads in the term of [leadershipState] and may send commands at this moment. */
    public fun maySendCommands(leadershipState: LeadershipState.Leader): Boolean

    /** Publishes the counts of this term's cloud requests in `/status`. */
    public fun publishActions(counts: Map<String, Any?>)
}
