package org.elderhitch.heartbeat

import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName

/** The answer to a heartbeat. */
public sealed interface HeartbeatResponse {
    /** The heartbeat renews the worker's lease in [term], and the worker executes the [commands]. */
    public data class Accepted(val term: Term, val commands: List<Command>) : HeartbeatResponse

    /** The worker tries another node: the [leader], or any if this node doesn't know the leader. */
    public data class Redirect(val leader: NodeName?) : HeartbeatResponse
}
