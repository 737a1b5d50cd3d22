package org.elderhitch.cluster

import kotlinx.coroutines.CoroutineScope
import org.elderhitch.http.Handler
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.Footprint
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.leadership.Incarnation
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Peer
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration

/**
 * Communication between controllers: heartbeats, forwarded requests and broadcasts of terminal states. As a [Handler]
 * it serves the paths under `/cluster/`.
 */
public class Cluster(
    scope: CoroutineScope,
    self: NodeName,
    incarnation: Incarnation,
    peers: List<Peer>,
    transport: Transport,
    clock: SteadyClock,
    private val ports: ClusterPorts,
) : Handler {
    private val registry = PeerRegistry(peers, clock)
    private val heartbeats =
        PeerHeartbeats(scope, NodeIdentity(self, incarnation), registry, transport, clock, ports)
    private val forwarder = RequestForwarder(registry, transport)
    private val terminalStateBroadcaster = TerminalStateBroadcaster(scope, self, peers, transport)

    /** Starts sending heartbeats. */
    public fun start(): Unit = heartbeats.start()

    override suspend fun handle(request: Request): Response = when (request.path) {
        PeerHeartbeats.PATH -> heartbeats.receive(request)
        TerminalStateBroadcaster.PATH -> terminalStateBroadcaster.receive(request, ports::receiveTerminalStates)
        RequestForwarder.USER_REQUEST_PATH -> forwarder.receive(request, ports::serveUserRequest)
        RequestForwarder.LEADER_REQUEST_PATH -> forwarder.receive(request, ports::serveLeaderRequest)
        else -> HttpServer.errorResponse(HttpStatus.NOT_FOUND, "no such path")
    }

    /**
     * If this node leads, reports to the ports whether the previous leader has ended and whether all controllers have
     * stopped answering workers with earlier terms.
     */
    public fun checkPreviousLeaders(): Unit = heartbeats.checkPreviousLeaders()

    /** Notifies the peers of a terminal state that this node has recorded. */
    public fun broadcastTerminalState(id: JobId, record: TerminalRecord): Unit =
        terminalStateBroadcaster.broadcast(id, record)

    /** The smallest limit on open jobs that any other controller has reported, or null if none has. */
    public fun smallestPeerOpenJobsLimit(): Footprint? = registry.smallestOpenJobsLimit()

    /**
     * Whether the node has sent or answered a heartbeat recently. A worker that is redirected to a partitioned node
     * would wait there until its lease expires.
     */
    public fun hasRecentHeartbeat(node: NodeName): Boolean = registry.hasRecentHeartbeat(node)

    /** Sends a request to the leader. Returns null if the leader does not respond. */
    public suspend fun callLeader(leader: NodeName, path: String, body: ByteArray, timeout: Duration): Response? =
        forwarder.callLeader(leader, path, body, timeout)

    /** Forwards a user's request to a controller that reaches the state service. Returns null if none responds. */
    public suspend fun forward(request: Request): Response? = forwarder.forward(request)
}
