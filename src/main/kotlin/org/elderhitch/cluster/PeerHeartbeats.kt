package org.elderhitch.cluster

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.delegates.DelegationGrant
import org.elderhitch.delegates.PreviousLeaders
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.Footprint
import org.elderhitch.jobs.JobId
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.shortened
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** This controller's name and present run, as it tells its peers. */
internal class NodeIdentity(val node: NodeName, val incarnation: Incarnation)

/**
 * Sends a heartbeat to each peer once a second, answers theirs, and passes on what they tell: terms, running tasks,
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
    private val previousLeaders = PreviousLeaders(peers.names)

    fun start() {
        for (peer in peers.all) {
            scope.launch {
                while (true) {
                    exchange(peer)
                    delay(INTERVAL)
                }
            }
        }
    }

    private suspend fun exchange(peer: PeerState) {
        val body = PeerCodec.encode(PeerHeartbeat.serializer(), ownHeartbeat())
        val askedAt = clock.now()
        val response = transport.call(peer.peer.address, "POST", PATH, body, TIMEOUT)
        if (response == null || response.status != HttpStatus.OK) {
            peer.reachesStateService = false
            return
        }
        val heartbeat = PeerCodec.decode(PeerHeartbeat.serializer(), response.body) ?: return
        observe(heartbeat, askedAt)
        if (heartbeat.delegateMs != 0L) acceptDelegation(peer.peer.name, heartbeat, askedAt)
    }

    private fun ownHeartbeat(): PeerHeartbeat {
        val leadershipState = ports.leadershipState()
        val leading = leadershipState is LeadershipState.Leader
        val runningTasks = if (leading) ports.runningTasks() else emptyMap()
        return PeerHeartbeat(
            node = self.node.text,
            run = self.incarnation.text,
            term = leadershipState.term.number,
            leading = leading,
            reachesState = ports.reachesStateService(),
            runningTasks = runningTasks.entries.associate { it.key.text to it.value },
            openJobsLimitBytes = ports.openJobsLimit().bytes,
        )
    }

    /**
     * The delegation is counted from when it was asked for. The leader counts it from its response, which is later: so
     * it ends here before the leader counts on it.
     */
    private fun acceptDelegation(leader: NodeName, heartbeat: PeerHeartbeat, askedAt: MonotonicInstant) {
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
        val until = askedAt + heartbeat.delegateMs.milliseconds.shortened()
        ports.delegationGranted(DelegationGrant(Term(heartbeat.term), leader, until))
    }

    private fun isValidDelegation(leader: NodeName, heartbeat: PeerHeartbeat): Boolean {
        val duration = heartbeat.delegateMs.milliseconds
        val isFromLeader = heartbeat.node == leader.text && heartbeat.leading
        return isFromLeader && duration.isPositive() && duration <= ports.longestDelegation
    }

    /** Answers a peer's heartbeat; as the leader also with a delegation for the peer. */
    suspend fun receive(request: Request): Response {
        val heartbeat = PeerCodec.decode(PeerHeartbeat.serializer(), request.body)
            ?: return HttpServer.refusal(HttpStatus.BAD_REQUEST, "no hello")
        observe(heartbeat, askedAt = null)
        val offer = NodeName(heartbeat.node).takeIf { it in peers }?.let { ports.grantDelegation(it) }
        // Read after the wait for the offer: a node that has stopped leading meanwhile grants nothing.
        val own = ownHeartbeat()
        val valid = offer?.takeIf { own.leading && own.term == it.term.number }
        val response = own.copy(delegateMs = valid?.duration?.inWholeMilliseconds ?: 0)
        return PeerCodec.respond(PeerHeartbeat.serializer(), response)
    }

    /** [askedAt]: when the request was sent that this heartbeat answers; null: the peer sent it unasked. */
    private fun observe(heartbeat: PeerHeartbeat, askedAt: MonotonicInstant?) {
        val node = NodeName(heartbeat.node)
        val peer = peers[node]
        if (peer == null) {
            log.info("peer heartbeat ignored node={} reason=\"no such controller\"", heartbeat.node)
            return
        }
        peer.reachesStateService = heartbeat.reachesState
        peer.lastHeartbeatAt = clock.now()
        // Stays when the peer falls silent: once it restarts it must be able to load all that is accepted meanwhile.
        if (heartbeat.openJobsLimitBytes > 0) peer.openJobsLimit = Footprint(heartbeat.openJobsLimitBytes)
        ports.observeTerm(Term(heartbeat.term))
        if (heartbeat.leading) ports.receiveRunningCounts(runningCounts(heartbeat))
        previousLeaders.observe(node, Incarnation(heartbeat.run), Term(heartbeat.term), askedAt)
        checkPreviousLeaders()
    }

    private fun runningCounts(heartbeat: PeerHeartbeat): Map<JobId, Int> =
        heartbeat.runningTasks.mapNotNull { (id, count) -> JobId.parse(id)?.let { it to count } }.toMap()

    /** As the leader: reports whether those have stopped that answered workers in the name of earlier terms. */
    fun checkPreviousLeaders() {
        val leader = ports.leadershipState() as? LeadershipState.Leader ?: return
        if (previousLeaders.hasPreviousLeaderEnded(leader)) ports.previousLeaderEnded(leader.term)
        if (previousLeaders.haveAllStopped(leader)) ports.previousLeadersStopped(leader.term)
    }

    companion object {
        const val PATH = "/cluster/hello"
        private val INTERVAL = 1.seconds
        private val TIMEOUT = 1.seconds
    }
}
