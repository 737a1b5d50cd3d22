package org.elderhitch.heartbeat

import org.elderhitch.leadership.FencingToken
import org.elderhitch.settings.NodeName

/** The response to a heartbeat. */
public sealed interface HeartbeatResponse {
    /**
     * The worker's lease is renewed, and the worker executes [commands]. The worker drops the response if it has seen a
     * higher token than [token].
     */
    public data class Accepted(val token: FencingToken, val commands: List<Command>) : HeartbeatResponse

    /** The worker retries at the [leader], or at any other node if [leader] is null. */
    public data class Redirect(val leader: NodeName?) : HeartbeatResponse
}
