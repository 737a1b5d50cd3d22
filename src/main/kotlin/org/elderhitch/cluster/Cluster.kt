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
 * The traffic between controllers: heartbeats, forwarded requests and broadcasts of terminal states. As a [Handler] it
 * serves the paths under `/cluster/`.
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
    private val terminalStates = TerminalStateBroadcaster(scope, self, peers, transport)

    /** Starts to send heartbeats. */
    public fun start(): Unit = heartbeats.start()

    override suspend fun handle(request: Request): Response = when (request.path) {
        PeerHeartbeats.PATH -> heartbeats.receive(request)
        TerminalStateBroadcaster.PATH -> terminalStates.receive(request, ports::receiveTerminalStates)
        RequestForwarder.USER_REQUEST_PATH -> forwarder.receive(request, ports::serveUserRequest)
        RequestForwarder.LEADER_REQUEST_PATH -> forwarder.receive(request, ports::serveLeaderRequest)
        else -> HttpServer.refusal(HttpStatus.NOT_FOUND, "no such path")
    }

    /** As a new leader: reports to the ports whether all that answered workers in earlier terms has stopped. */
    public fun checkPreviousLeaders(): Unit = heartbeats.checkPreviousLeaders()

    /** Tells the peers of a cancellation that has been recorded by this node. */
    public fun broadcastTerminalState(id: JobId, record: TerminalRecord): Unit = terminalStates.broadcast(id, record)

    /** The least that any other controller can hold of open jobs; null: none has told. */
    public fun smallestPeerLimit(): Footprint? = registry.smallestOpenJobsLimit()

    /**
     * Whether the node has sent or answered a heartbeat of late. A worker that is sent to a node that is cut off would
     * wait there until its lease ends.
     */
    public fun hasRecentHeartbeat(node: NodeName): Boolean = registry.hasRecentHeartbeat(node)

    /** Sends a request to the node that leads; null: it doesn't respond. */
    public suspend fun callLeader(leader: NodeName, path: String, body: ByteArray, timeout: Duration): Response? =
        forwarder.callLeader(leader, path, body, timeout)

    /** Has a controller that reaches the state service answer a user's request; null: none does. */
    public suspend fun forward(request: Request): Response? = forwarder.forward(request)
}
