package org.elderhitch.cluster

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import org.elderhitch.delegates.FormerTerms
import org.elderhitch.delegates.Grant
import org.elderhitch.delegates.Named
import org.elderhitch.http.Handler
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.EndRecord
import org.elderhitch.jobs.Footprint
import org.elderhitch.jobs.JobId
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.Tenure
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Peer
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.shortened
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What controllers tell each other about once a second. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class Hello(
    @ProtoNumber(1) val node: String,
    @ProtoNumber(2) val run: String,
    /** The highest term that the node knows of. */
    @ProtoNumber(3) val term: Long,
    @ProtoNumber(4) val leading: Boolean,
    /** Whether the state service answers this node. */
    @ProtoNumber(5) val reachesState: Boolean,
    /** From the leader: how many tasks of each job run. */
    @ProtoNumber(6) val running: Map<String, Int> = emptyMap(),
    /** What the node's memory can hold of open jobs, in bytes; 0 from an earlier version. */
    @ProtoNumber(7) val bound: Long = 0,
    /** In the leader's answer: for how many milliseconds from the question on the node may answer as lease delegate of its zone; 0: not named now. */
    @ProtoNumber(8) val delegateMs: Long = 0,
)

/** A user's request that a node which the state service refuses hands to one that it doesn't. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class Forwarded(
    @ProtoNumber(1) public val method: String,
    @ProtoNumber(2) public val path: String,
    @ProtoNumber(3) public val body: ByteArray,
    /** The IP number that the request came from; empty: not said. */
    @ProtoNumber(4) public val from: String = "",
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class ForwardedAnswer(
    @ProtoNumber(1) public val status: Int,
    @ProtoNumber(2) public val body: ByteArray,
    @ProtoNumber(3) public val headers: Map<String, String> = emptyMap(),
)

/** What this node says of itself, and what it does with what others say. */
public interface ClusterPorts {
    public fun tenure(): Tenure

    public fun reachesState(): Boolean

    public fun running(): Map<JobId, Int>

    public fun bound(): Footprint

    public fun termSeen(term: Term)

    public fun formerStopped(term: Term)

    /** The run that led before this term has ended. */
    public fun formerEnded(term: Term)

    /** As the leader: for how long from now the node may answer as lease delegate; null: not named now. */
    public suspend fun nameDelegate(node: NodeName): Named?

    /** This node has been named. */
    public fun delegateNamed(grant: Grant)

    /** No leader names anybody for longer. */
    public val longestGrant: Duration

    /** Endings that another controller has recorded. */
    public fun ended(endings: Map<JobId, EndRecord>)

    public fun leaderCounts(counts: Map<JobId, Int>)

    /** Answers a user's request here, whatever it takes, without handing it on. */
    public suspend fun serve(request: Request): Response

    /** Answers what another node asks of the leader. */
    public suspend fun lead(request: Request): Response
}

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
        var heard = Moment.NEVER
        var bound: Footprint? = null
    }

    private val log = LoggerFactory.getLogger("elderhitch.cluster")
    private val states = peers.associate { it.name to PeerState(it) }
    private val endings = EndingTeller(scope, self.text, peers, transport)
    private val formerTerms = FormerTerms(states.keys)

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

    private fun hello(): Hello {
        val tenure = ports.tenure()
        val leading = tenure is Tenure.Leading
        val term = when (tenure) {
            is Tenure.Leading -> tenure.term
            is Tenure.Following -> tenure.term
        }
        val running = if (leading) ports.running().entries.associate { it.key.text to it.value } else emptyMap()
        return Hello(
            self.text,
            incarnation.text,
            term.number,
            leading,
            ports.reachesState(),
            running,
            ports.bound().bytes,
        )
    }

    private suspend fun greet(state: PeerState) {
        val body = ProtoBuf.encodeToByteArray(Hello.serializer(), hello())
        val asked = clock.now()
        val answer = transport.call(state.peer.address, "POST", "/cluster/hello", body, HELLO_TIMEOUT)
        if (answer == null || answer.status != OK) {
            state.reachesState = false
            return
        }
        val hello = decoded(answer.body, Hello.serializer()) ?: return
        heard(hello, asked)
        if (hello.delegateMs != 0L) named(state.peer.name, hello, asked)
    }

    /** Counted from when it was asked for: the leader counts from when it answered, and so not shorter. */
    private fun named(leader: NodeName, hello: Hello, asked: Moment) {
        val span = hello.delegateMs.milliseconds
        if (hello.node != leader.text || !hello.leading || !span.isPositive() || span > ports.longestGrant) {
            log.info(
                "lease delegate ignored by={} says={} leading={} for_ms={}",
                leader,
                hello.node,
                hello.leading,
                hello.delegateMs,
            )
            return
        }
        ports.delegateNamed(Grant(Term(hello.term), leader, asked + span.shortened()))
    }

    /** [asked]: when the question was sent that this answers; null: the node spoke by itself. */
    private fun heard(hello: Hello, asked: Moment?) {
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
        ports.termSeen(Term(hello.term))
        if (hello.leading) {
            ports.leaderCounts(
                hello.running.mapNotNull { (id, n) ->
                    JobId.parse(id)?.let { it to n }
                }.toMap(),
            )
        }
        formerTerms.heard(node, Incarnation(hello.run), Term(hello.term), asked)
        checkFormer()
    }

    /** As a new leader: whether all that answered workers in the name of earlier terms has stopped. */
    public fun checkFormer() {
        val leading = ports.tenure() as? Tenure.Leading ?: return
        if (formerTerms.formerEnded(leading)) ports.formerEnded(leading.term)
        if (formerTerms.allStopped(leading)) ports.formerStopped(leading.term)
    }

    override suspend fun handle(request: Request): Response = when (request.path) {
        "/cluster/hello" -> {
            val hello = decoded(request.body, Hello.serializer())
            if (hello == null) {
                HttpServer.refusal(BAD, "no hello")
            } else {
                heard(hello, asked = null)
                val named = NodeName(hello.node).takeIf { it in states }?.let { ports.nameDelegate(it) }
                // Read after the wait: whoever lost the lead meanwhile names nobody.
                val own = hello()
                val mine = named?.takeIf { own.leading && own.term == it.term.number }
                binary(
                    ProtoBuf.encodeToByteArray(
                        Hello.serializer(),
                        own.copy(
                            delegateMs =
                            mine?.span?.inWholeMilliseconds ?: 0,
                        ),
                    ),
                )
            }
        }

        EndingTeller.PATH -> {
            val news = decoded(request.body, EndingNews.serializer())
            when {
                news == null -> HttpServer.refusal(BAD, "no news")

                NodeName(news.node) !in states -> {
                    log.info("ending ignored node={} reason=\"no such controller\"", news.node)
                    HttpServer.refusal(BAD, "no such controller")
                }

                else -> {
                    ports.ended(endings.heard(news))
                    binary(ByteArray(0))
                }
            }
        }

        "/cluster/forward" -> handedOn(request) { ports.serve(it) }

        "/cluster/lead" -> handedOn(request) { ports.lead(it) }

        else -> HttpServer.refusal(NOT_FOUND, "no such path")
    }

    private suspend fun handedOn(request: Request, serve: suspend (Request) -> Response): Response {
        val forwarded = decoded(request.body, Forwarded.serializer()) ?: return HttpServer.refusal(BAD, "no request")
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
                ForwardedAnswer.serializer(),
                ForwardedAnswer(answer.status, answer.body, answer.headers),
            ),
        )
    }

    /** A withdrawal has been recorded here. */
    public fun tellEnded(id: JobId, record: EndRecord): Unit = endings.tell(id, record)

    /** The least that any other controller said that it can hold; null: none has said. */
    public fun leastBound(): Footprint? = states.values.mapNotNull { it.bound }.minOrNull()

    /** A question to the node that leads; null: it doesn't answer. */
    public suspend fun atLeader(leader: NodeName, path: String, body: ByteArray, timeout: Duration): Response? {
        val state = states[leader] ?: return null
        return handOn(state, "/cluster/lead", Request("POST", path, emptyMap(), body), timeout)
    }

    private suspend fun handOn(state: PeerState, target: String, request: Request, timeout: Duration): Response? {
        val body = ProtoBuf.encodeToByteArray(
            Forwarded.serializer(),
            Forwarded(request.method, request.path, request.body, request.from.orEmpty()),
        )
        val answer = transport.call(state.peer.address, "POST", target, body, timeout)
        if (answer == null || answer.status != OK) return null
        val inner = decoded(answer.body, ForwardedAnswer.serializer()) ?: return null
        return Response(inner.status, inner.body, inner.headers)
    }

    /** Whether the node has been heard of late. A worker sent to one that is cut off would wait there for its lease to end. */
    public fun hears(node: NodeName): Boolean = states[node]?.let { clock.now() - it.heard < LATELY } ?: false

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
