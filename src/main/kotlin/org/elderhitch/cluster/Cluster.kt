package org.elderhitch.cluster

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import org.elderhitch.delegates.DelegationGrant
import org.elderhitch.delegates.PreviousLeaders
import org.elderhitch.http.Handler
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.Footprint
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Peer
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.shortened
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalSerializationApi::class)
public class Cluster(
    private val scope: CoroutineScope,
    private val self: NodeName,
    private val incarnation: Incarnation,
    private val peers: List<Peer>,
    private val transport: Transport,
    private val clock: SteadyClock,
    private val ports: ClusterPorts,
) : Handler {
    private class PeerState(val peer: Peer) {
        var reachesState = false
        var heard = MonotonicInstant.NEVER
        var bound: Footprint? = null
    }

    private val log = LoggerFactory.getLogger("elderhitch.cluster")
    private val states = peers.associate { it.name to PeerState(it) }
    private val endings = TerminalStateBroadcaster(scope, self.text, peers, transport)
    private val previousLeaders = PreviousLeaders(states.keys)

    public fun start() {
        for (state in states.values) {
            scope.launch {
                while (true) {
                    greet(state)
                    delay(HELLO_EVERY)
                }
            }
        }
    }

    private fun hello(): PeerHeartbeat {
        val leadershipState = ports.leadershipState()
        val leading = leadershipState is LeadershipState.Leader
        val term = when (leadershipState) {
            is LeadershipState.Leader -> leadershipState.term
            is LeadershipState.Follower -> leadershipState.term
        }
        val running = if (leading) ports.runningTasks().entries.associate { it.key.text to it.value } else emptyMap()
        return PeerHeartbeat(
            self.text,
            incarnation.text,
            term.number,
            leading,
            ports.reachesStateService(),
            running,
            ports.openJobsLimit().bytes,
        )
    }

    private suspend fun greet(state: PeerState) {
        val body = ProtoBuf.encodeToByteArray(PeerHeartbeat.serializer(), hello())
        val asked = clock.now()
        val answer = transport.call(state.peer.address, "POST", "/cluster/hello", body, HELLO_TIMEOUT)
        if (answer == null || answer.status != OK) {
            state.reachesState = false
            return
        }
        val hello = decoded(answer.body, PeerHeartbeat.serializer()) ?: return
        heard(hello, asked)
        if (hello.delegateMs != 0L) named(state.peer.name, hello, asked)
    }

    /** Counted from when it was asked for: the leader counts from when it answered, and so not shorter. */
    private fun named(leader: NodeName, hello: PeerHeartbeat, asked: MonotonicInstant) {
        val span = hello.delegateMs.milliseconds
        if (hello.node != leader.text || !hello.leading || !span.isPositive() || span > ports.longestDelegation) {
            log.info(
                "lease delegate ignored by={} says={} leading={} for_ms={}",
                leader,
                hello.node,
                hello.leading,
                hello.delegateMs,
            )
            return
        }
        ports.delegationGranted(DelegationGrant(Term(hello.term), leader, asked + span.shortened()))
    }

    /** [asked]: when the question was sent that this answers; null: the node spoke by itself. */
    private fun heard(hello: PeerHeartbeat, asked: MonotonicInstant?) {
        val node = NodeName(hello.node)
        val state = states[node]
        if (state == null) {
            log.info("hello ignored node={} reason=\"no such controller\"", hello.node)
            return
        }
        state.reachesState = hello.reachesState
        state.heard = clock.now()
        // Kept when it falls silent: it must be able to start again on all that is accepted meanwhile.
        if (hello.bound > 0) state.bound = Footprint(hello.bound)
        ports.observeTerm(Term(hello.term))
        if (hello.leading) {
            ports.receiveRunningCounts(
                hello.running.mapNotNull { (id, n) ->
                    JobId.parse(id)?.let { it to n }
                }.toMap(),
            )
        }
        previousLeaders.observe(node, Incarnation(hello.run), Term(hello.term), asked)
        checkPreviousLeaders()
    }

    /** As a new leader: whether all that answered workers in the name of earlier terms has stopped. */
    public fun checkPreviousLeaders() {
        val leading = ports.leadershipState() as? LeadershipState.Leader ?: return
        if (previousLeaders.hasPreviousLeaderEnded(leading)) ports.previousLeaderEnded(leading.term)
        if (previousLeaders.haveAllStopped(leading)) ports.previousLeadersStopped(leading.term)
    }

    override suspend fun handle(request: Request): Response = when (request.path) {
        "/cluster/hello" -> {
            val hello = decoded(request.body, PeerHeartbeat.serializer())
            if (hello == null) {
                HttpServer.refusal(BAD, "no hello")
            } else {
                heard(hello, asked = null)
                val named = NodeName(hello.node).takeIf { it in states }?.let { ports.grantDelegation(it) }
                // Read after the wait: whoever lost the lead meanwhile names nobody.
                val own = hello()
                val mine = named?.takeIf { own.leading && own.term == it.term.number }
                binary(
                    ProtoBuf.encodeToByteArray(
                        PeerHeartbeat.serializer(),
                        own.copy(
                            delegateMs =
                            mine?.duration?.inWholeMilliseconds ?: 0,
                        ),
                    ),
                )
            }
        }

        TerminalStateBroadcaster.PATH -> {
            val news = decoded(request.body, TerminalStateBroadcast.serializer())
            when {
                news == null -> HttpServer.refusal(BAD, "no news")

                NodeName(news.node) !in states -> {
                    log.info("ending ignored node={} reason=\"no such controller\"", news.node)
                    HttpServer.refusal(BAD, "no such controller")
                }

                else -> {
                    ports.receiveTerminalStates(endings.heard(news))
                    binary(ByteArray(0))
                }
            }
        }

        "/cluster/forward" -> handedOn(request) { ports.serveUserRequest(it) }

        "/cluster/lead" -> handedOn(request) { ports.serveLeaderRequest(it) }

        else -> HttpServer.refusal(NOT_FOUND, "no such path")
    }

    private suspend fun handedOn(request: Request, serve: suspend (Request) -> Response): Response {
        val forwarded =
            decoded(request.body, ForwardedRequest.serializer()) ?: return HttpServer.refusal(BAD, "no request")
        val answer =
            serve(
                Request(
                    forwarded.method,
                    forwarded.path,
                    emptyMap(),
                    forwarded.body,
                    forwarded.from.ifEmpty {
                        null
                    },
                ),
            )
        return binary(
            ProtoBuf.encodeToByteArray(
                ForwardedResponse.serializer(),
                ForwardedResponse(answer.status, answer.body, answer.headers),
            ),
        )
    }

    /** A withdrawal has been recorded here. */
    public fun broadcastTerminalState(id: JobId, record: TerminalRecord): Unit = endings.tell(id, record)

    /** The least that any other controller said that it can hold; null: none has said. */
    public fun smallestPeerLimit(): Footprint? = states.values.mapNotNull { it.bound }.minOrNull()

    /** A question to the node that leads; null: it doesn't answer. */
    public suspend fun callLeader(leader: NodeName, path: String, body: ByteArray, timeout: Duration): Response? {
        val state = states[leader] ?: return null
        return handOn(state, "/cluster/lead", Request("POST", path, emptyMap(), body), timeout)
    }

    private suspend fun handOn(state: PeerState, target: String, request: Request, timeout: Duration): Response? {
        val body = ProtoBuf.encodeToByteArray(
            ForwardedRequest.serializer(),
            ForwardedRequest(request.method, request.path, request.body, request.from.orEmpty()),
        )
        val answer = transport.call(state.peer.address, "POST", target, body, timeout)
        if (answer == null || answer.status != OK) return null
        val inner = decoded(answer.body, ForwardedResponse.serializer()) ?: return null
        return Response(inner.status, inner.body, inner.headers)
    }

    /**
     * Whether the node has been heard of late. A worker sent to one that is cut off would wait there for its lease to
     * end.
     */
    public fun hasRecentHeartbeat(node: NodeName): Boolean = states[node]?.let { clock.now() - it.heard < LATELY } ?: false

    /** Has a controller that reaches the state service answer; null: none does. */
    public suspend fun forward(request: Request): Response? {
        val now = clock.now()
        for (state in states.values.filter { it.reachesState && now - it.heard < FRESH }) {
            return handOn(state, "/cluster/forward", request, FORWARD_TIMEOUT) ?: continue
        }
        return null
    }

    private fun binary(bytes: ByteArray) = Response(OK, bytes, contentType = "application/x-protobuf")

    private fun <T> decoded(bytes: ByteArray, serializer: kotlinx.serialization.KSerializer<T>): T? = try {
        ProtoBuf.decodeFromByteArray(serializer, bytes)
    } catch (e: IllegalArgumentException) {
        malformed(e)
    } catch (e: IndexOutOfBoundsException) {
        // What the decoder makes of a message that is cut short within a number or a text.
        malformed(e)
    }

    private fun malformed(e: RuntimeException): Nothing? {
        log.info("malformed message reason=\"{}\"", e.message)
        return null
    }

    private companion object {
        const val OK = 200
        const val BAD = 400
        const val NOT_FOUND = 404
        val HELLO_EVERY = 1.seconds
        val HELLO_TIMEOUT = 1.seconds
        val FORWARD_TIMEOUT = 1500.milliseconds
        val FRESH = 3.seconds
        val LATELY = 2500.milliseconds
    }
}
