package org.elderhitch.heartbeat

import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName

public sealed interface HeartbeatResponse {
    public data class Accepted(val term: Term, val commands: List<Command>) : HeartbeatResponse

    /** Another node leads; null: this node can't say which. */
    public data class Redirect(val leader: NodeName?) : HeartbeatResponse
}
