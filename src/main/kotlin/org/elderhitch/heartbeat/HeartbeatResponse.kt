package org.elderhitch.heartbeat

import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName

/** The response to a heartbeat. */
public sealed interface HeartbeatResponse {
    /** The worker's lease is renewed in [term], and the worker executes [commands]. */
    public data class Accepted(val term: Term, val commands: List<Command>) : HeartbeatResponse

    /** The worker retries at the [leader], or at any other node if [leader] is null. */
    public data class Redirect(val leader: NodeName?) : HeartbeatResponse
}
