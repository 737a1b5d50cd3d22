package org.elderhitch.cluster

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.delegates.DelegationGrant
import org.elderhitch.delegates.DelegationOffer
import org.elderhitch.delegates.PreviousLeaderTracker
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.Footprint
import org.elderhitch.jobs.JobId
import org.elderhitch.leadership.FencingToken
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.leadership.TokenRange
import org.elderhitch.settings.NodeName
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.shortened
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The identity that this controller reports to its peers: its name and current incarnation. */
internal class NodeIdentity(val node: NodeName, val incarnation: Incarnation)

/**
 * Sends a heartbeat to each peer once a second, answers theirs, and passes on what they report: terms, running tasks,
 * delegations, and whether previous leaders have stopped answering workers.
 */
internal class PeerHeartbeats(
    private val scope: CoroutineScope,
    private val self: NodeIdentity,
    private val peers: PeerRegistry,
    private val transport: Transport,
    private val clock: SteadyClock,
    private val ports: ClusterPorts,
) {
    private val log = LoggerFactory.getLogger("elderhitch.cluster")
    private val previousLeaderTracker = PreviousLeaderTracker(peers.names)

    fun start() {
        for (peer in peers.all) {
            scope.launch {
                while (true) {
                    exchangeHeartbeats(peer)
                    delay(HEARTBEAT_INTERVAL)
                }
            }
        }
    }

    private suspend fun exchangeHeartbeats(peer: PeerState) {
        val body = PeerCodec.encode(PeerHeartbeat.serializer(), ownHeartbeat())
        val requestSentAt = clock.now()
        val response = transport.call(peer.peer.address, "POST", PATH, body, RESPONSE_TIMEOUT)
        if (response == null || response.status != HttpStatus.OK) {
            peer.reachesStateService = false
            return
        }
        val heartbeat = PeerCodec.decode(PeerHeartbeat.serializer(), response.body) ?: return
        observe(heartbeat, requestSentAt)
        if (heartbeat.delegateMs != 0L) acceptDelegation(peer.peer.name, heartbeat, requestSentAt)
    }

    private fun ownHeartbeat(): PeerHeartbeat {
        val leadershipState = ports.leadershipState()
        val isLeader = leadershipState is LeadershipState.Leader
        // Peers rely on that a node which reports a term answers no worker in an earlier one.
        val term = if (isLeader) leadershipState.term else ports.respectedTerm()
        val runningTasks = if (isLeader) ports.runningTasks() else emptyMap()
        return PeerHeartbeat(
            node = self.node.text,
            run = self.incarnation.text,
            term = term.number,
            leading = isLeader,
            reachesState = ports.reachesStateService(),
            runningTasks = runningTasks.entries.associate { it.key.text to it.value },
            openJobsLimitBytes = ports.openJobsLimit().bytes,
        )
    }

    /**
     * Measures the delegation from when this node sent its request. The leader measures it from its response, which is
     * later, so the delegation expires on this node before the leader assumes that it has.
     */
    private fun acceptDelegation(leader: NodeName, heartbeat: PeerHeartbeat, requestSentAt: MonotonicInstant) {
        if (!isValidDelegation(leader, heartbeat)) {
            log.info(
                "delegation ignored peer={} node={} leading={} duration_ms={}",
                leader,
                heartbeat.node,
                heartbeat.leading,
                heartbeat.delegateMs,
            )
            return
        }
        val until = requestSentAt + heartbeat.delegateMs.milliseconds.shortened()
        val lastToken = maxOf(heartbeat.term, heartbeat.lastToken)
        val tokens = TokenRange(FencingToken(heartbeat.term), FencingToken(lastToken))
        ports.delegationGranted(DelegationGrant(tokens, leader, until))
    }

    private fun isValidDelegation(leader: NodeName, heartbeat: PeerHeartbeat): Boolean {
        val duration = heartbeat.delegateMs.milliseconds
        val isFromLeader = heartbeat.node == leader.text && heartbeat.leading
        return isFromLeader && duration.isPositive() && duration <= ports.maxDelegationDuration
    }

    /** Answers a peer's heartbeat. If this node leads, the response may grant the peer a delegation. */
    suspend fun receive(request: Request): Response {
        val heartbeat = PeerCodec.decode(PeerHeartbeat.serializer(), request.body)
            ?: return HttpServer.errorResponse(HttpStatus.BAD_REQUEST, "malformed peer heartbeat")
        observe(heartbeat, requestSentAt = null)
        val offer = NodeName(heartbeat.node).takeIf { it in peers }?.let { ports.grantDelegation(it) }
        // Created after the wait for the offer, so that a node that has stopped leading in the meantime grants nothing.
        val ownHeartbeat = ownHeartbeat()
        val validOffer = offer?.takeIf { ownHeartbeat.leading && ownHeartbeat.term == it.term.number }
        val response = if (validOffer == null) ownHeartbeat else ownHeartbeat.withDelegation(validOffer)
        return PeerCodec.respond(PeerHeartbeat.serializer(), response)
    }

    private fun PeerHeartbeat.withDelegation(offer: DelegationOffer): PeerHeartbeat =
        copy(delegateMs = offer.duration.inWholeMilliseconds, lastToken = TokenRange.of(offer.term).last.number)

    /** [requestSentAt]: when the request was sent to which this heartbeat responds; null if it is itself a request. */
    private fun observe(heartbeat: PeerHeartbeat, requestSentAt: MonotonicInstant?) {
        val node = NodeName(heartbeat.node)
        val peer = peers[node]
        if (peer == null) {
            log.info("peer heartbeat ignored node={} reason=\"no such controller\"", heartbeat.node)
            return
        }
        peer.reachesStateService = heartbeat.reachesState
        peer.lastHeartbeatAt = clock.now()
        // Kept while the peer is unreachable: after a restart it must be able to load all jobs accepted until then.
        if (heartbeat.openJobsLimitBytes > 0) peer.openJobsLimit = Footprint(heartbeat.openJobsLimitBytes)
        ports.observeTerm(Term(heartbeat.term))
        if (heartbeat.leading) ports.receiveRunningCounts(runningCounts(heartbeat))
        previousLeaderTracker.observe(node, Incarnation(heartbeat.run), Term(heartbeat.term), requestSentAt)
        checkPreviousLeaders()
    }

    private fun runningCounts(heartbeat: PeerHeartbeat): Map<JobId, Int> =
        heartbeat.runningTasks.mapNotNull { (id, count) -> JobId.parse(id)?.let { it to count } }.toMap()

    /** If this node leads, reports whether the previous leader has ended and whether all previous ones have stopped. */
    fun checkPreviousLeaders() {
        val leader = ports.leadershipState() as? LeadershipState.Leader ?: return
        if (previousLeaderTracker.hasPreviousLeaderEnded(leader)) ports.previousLeaderExited(leader.term)
        if (previousLeaderTracker.havePreviousLeadersStopped(leader)) ports.previousLeadersStopped(leader.term)
    }

    companion object {
        const val PATH = "/cluster/hello"
        private val HEARTBEAT_INTERVAL = 1.seconds
        private val RESPONSE_TIMEOUT = 1.seconds
    }
}
