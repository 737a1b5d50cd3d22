package org.elderhitch.lab

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Handler
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Message
import org.elderhitch.http.MessageParser
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What happens to a transaction that is sent to the state service. */
internal sealed interface TransactionOutcome {
    data object Answered : TransactionOutcome

    /** The transaction is executed, and the answer lost. */
    data object AnswerLost : TransactionOutcome

    /** The transaction is executed after a delay of [by], and the answer lost. */
    data class Late(val by: Duration) : TransactionOutcome
}

/** What happens to packets between partitioned hosts: held until the partition ends, or the connections are reset. */
internal enum class CutMode { HOLD, RESET }

/** A network partition between hosts; it lasts for as long as it is in [Network.cuts]. */
internal class Cut(val mode: CutMode, val separates: (String, String) -> Boolean) {
    val over = CompletableDeferred<Unit>()
}

/** A request from a host to another. [machine]: set if the caller is that machine's worker. */
private class RoutedRequest(val from: String, val machine: String?, val to: Address, val request: Request) {
    val host: String = to.host

    /** The host that partitions apply to: for a worker, its machine. */
    val source: String = machine ?: from
    val toState: Boolean = host == "state"
    val isCommit: Boolean = toState && request.path == "/commit"
    val isWatch: Boolean = toState && request.path == "/watch"
}

/**
 * The network of a simulated cluster. Hosts are nodes (`n0`), machines (`host-000001`), `state`, `cloud` and `user`. A
 * request across a partition gets no answer; where packets are held, it may be executed when the partition is over.
 */
internal class Network(
    private val simulationScope: CoroutineScope,
    private val random: Random,
    private val workerAt: (Address) -> Handler?,
) {
    val handlers = HashMap<String, Handler>()

    /** The scope of each node's coroutines: a crash cancels the requests that the node is handling. */
    val nodes = HashMap<String, CoroutineScope>()

    /** The fault of each transaction of a node. */
    var transactionOutcome: (node: String, commit: String) -> TransactionOutcome =
        { _, _ -> TransactionOutcome.Answered }

    /** Pairs of hosts without connection in either direction; `workers` stands for all machines. */
    val cutPairs = HashSet<Pair<String, String>>()

    /** Partitions between groups of hosts. */
    val cuts = ArrayList<Cut>()

    /** Machines without connection to any other host. */
    var silentWorkers: Set<String?> = emptySet()

    /** Nodes whose requests the state service refuses. */
    val refused = HashSet<String>()

    /** Whether the state service has an outage. */
    var stateDown: () -> Boolean = { false }

    /** Whether nodes refuse each other's connections. */
    var peersRefuse = false

    /** Machines with a one-way partition: their reports arrive, while answers and commands to them are lost. */
    var unableToReceive: Set<String> = emptySet()

    /** Nodes whose watches, blocking or not, get no answer, while the state service answers their other requests. */
    val withoutWatchResponses = HashSet<String>()

    /** Additional latency of an answer of the state service. */
    var slowState: (Request) -> Duration = { Duration.ZERO }

    /** Additional latency of the state service per node. */
    var slowStateOf: (node: String) -> Duration = { Duration.ZERO }

    /** Nodes whose next watch is refused because its revision is too old, so that they load the whole state again. */
    val mustReload = HashSet<String>()

    /** Machines with a one-way partition: they reach no controller, while commands and requests to them arrive. */
    var unableToConnect: Set<String> = emptySet()

    /** Controllers that [unableToConnect] machines reach nevertheless. */
    var reachableByUnableToConnect: Set<String> = emptySet()

    /** Whether a copy of the next report is kept, to be delivered again by [deliverRetainedHeartbeats]. */
    var retainsHeartbeatCopy: () -> Boolean = { false }
    private val keptReports = ArrayList<Request>()

    /** Delay after which a copy of the next report is delivered again; null: none is. */
    var lateCopies: () -> Duration? = { null }

    /** Delivers requests that were executed and answered once more. */
    val repeater = RequestRepeater(simulationScope)

    /** Numbers of executed copies of reports, and of executed late commands and transactions. */
    var copies = 0
        private set
    val lateDeliveries: Int get() = lateTransactions + commandDelivery.lateCommands
    private var lateTransactions = 0
    private val commandDelivery = CommandDelivery(this, simulationScope, random, workerAt)

    /** Additional latency of the answer to a command that is executed at once. */
    var slowReplies: () -> Duration = { Duration.ZERO }

    /** Delay after which the next command to a worker is executed; null: none. */
    var lateCommands: () -> Duration? = { null }

    /** Additional latency of the answer to a report, and of the report itself. */
    var slowAnswers: () -> Duration = { Duration.ZERO }
    var slowReports: () -> Duration = { Duration.ZERO }

    /** Additional latency of the answer of one controller to another. */
    var slowPeerAnswers: (caller: String, answering: String, answer: Response?) -> Duration =
        { _, _, _ -> Duration.ZERO }

    /** Called for each request and answer that a node processes, to account for its processor time. */
    var onWork: (node: String, path: String) -> Unit = { _, _ -> }

    /** Delivers every kept copy to every node. Returns the number of copies. */
    fun deliverRetainedHeartbeats(): Int {
        val copies = keptReports.toList()
        keptReports.clear()
        for (node in nodes.keys.sorted()) {
            for (copy in copies) {
                handlers["$node:80"]?.let {
                    deliverCopy(LATENCY, Address("$node:80"), it, copy)
                }
            }
        }
        return copies.size
    }

    fun heal(cut: Cut) {
        cuts.remove(cut)
        cut.over.complete(Unit)
    }

    /** The partition between two hosts, or null if there is none. */
    fun cutBetween(from: String, to: String): Cut? = cuts.firstOrNull { it.separates(from, to) }

    /** The transport of host [from]. [machine]: set if the caller is that machine's worker. */
    fun transport(from: String, machine: String? = null): Transport = object : Transport {
        override suspend fun deliver(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            connect: Duration,
            timeout: Duration,
        ): Delivery = commandDelivery.deliver(DirectRequest(from, to, request(method, target, body), connect, timeout))

        override suspend fun call(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            timeout: Duration,
        ): Response? = withTimeoutOrNull(timeout) {
            answer(RoutedRequest(from, machine, to, request(method, target, body)))
        }
    }

    private fun request(method: String, target: String, body: ByteArray?): Request =
        MessageParser.request(Message("$method $target HTTP/1.1", emptyMap(), body ?: ByteArray(0), true), "127.0.0.1")

    private suspend fun answer(routed: RoutedRequest): Response? {
        val from = routed.from
        val host = routed.host
        val to = routed.to
        val request = routed.request
        delay(LATENCY)
        if (isLost(routed)) delay(Duration.INFINITE)
        val handler = handlers[to.text] ?: return null
        cutBetween(routed.source, host)?.let { blockByCut(it, to, handler, request) }
        if (routed.toState && from in refused) return refusal(request)
        if (peersRefuse && from in nodes && host in nodes) return null
        if (routed.isCommit) applyFate(from, handler, request)
        val late = if (routed.machine != null) copyReport(to, handler, request) else Duration.ZERO
        if (routed.isWatch && mustReload.remove(from)) return HttpServer.errorResponse(GONE, "too old")
        val answer = if (late.isPositive()) handleLate(late, to, handler, request) else handleAt(host, handler, request)
        repeatLater(routed, answer)
        awaitAnswerDelivery(routed, answer)
        return answer
    }

    /** Repeats an answered request at whatever process has the address then. */
    private fun repeatLater(routed: RoutedRequest, answer: Response?) {
        if (answer == null) return
        repeater.schedule(routed.request) {
            handlers[routed.to.text]?.let { handleAt(routed.host, it, routed.request) } != null
        }
    }

    /** Whether the request is lost for another reason than a partition in [cuts]. */
    private fun isLost(routed: RoutedRequest): Boolean {
        val from = routed.from
        val host = routed.host
        val separated = from to host in cutPairs || host to from in cutPairs
        val muted = routed.machine in unableToConnect && host !in reachableByUnableToConnect
        return separated || routed.machine in silentWorkers || muted
    }

    /** Schedules copies of a machine's report. Returns the additional latency of the report itself. */
    private fun copyReport(to: Address, handler: Handler, request: Request): Duration {
        val late = slowReports()
        lateCopies()?.let { by -> deliverCopy(by, to, handler, request) }
        if (retainsHeartbeatCopy()) keptReports.add(request)
        return late
    }

    /** Waits while the answer is in transit; forever if it is lost. */
    private suspend fun awaitAnswerDelivery(routed: RoutedRequest, answer: Response?) {
        val from = routed.from
        val source = routed.source
        if (from in nodes && routed.host in nodes) delay(slowPeerAnswers(from, routed.host, answer))
        if (routed.machine != null) delay(slowAnswers())
        if (routed.machine in unableToReceive) delay(Duration.INFINITE)
        // Open watches of a refused node wait, as during an outage.
        if (routed.isWatch) while (from in refused || stateDown()) delay(REFUSED_POLL_INTERVAL)
        if (routed.isWatch && from in withoutWatchResponses) delay(Duration.INFINITE)
        if (routed.toState) delay(slowState(routed.request) + slowStateOf(from))
        val cut = cutBetween(routed.host, source)
        if (cut?.mode == CutMode.HOLD) cut.over.await()
        if (cut?.mode == CutMode.RESET) delay(Duration.INFINITE)
        if (source in nodes) onWork(source, "answer")
    }

    private suspend fun handleAt(host: String, handler: Handler, request: Request): Response? {
        val node = nodes[host] ?: return handler.handle(request)
        onWork(host, request.path)
        var answer: Response? = null
        node.launch { answer = handler.handle(request) }.join()
        return answer
    }

    /** Handles the request after a delay, even if its caller has given up. */
    private suspend fun handleLate(by: Duration, to: Address, handler: Handler, request: Request): Response? {
        val done = CompletableDeferred<Response?>()
        simulationScope.launch {
            delay(by)
            if (handlers[to.text] === handler) done.complete(handleAt(to.host, handler, request))
        }
        return done.await()
    }

    private fun deliverCopy(by: Duration, to: Address, handler: Handler, request: Request) {
        simulationScope.launch {
            delay(by)
            if (handlers[to.text] !== handler) return@launch
            copies++
            handleAt(to.host, handler, request)
        }
    }

    /** Watches stay open without an answer; other requests are refused at once. */
    private suspend fun refusal(request: Request): Response {
        if (request.path == "/watch") delay(Duration.INFINITE)
        return HttpServer.errorResponse(BUSY, "refused")
    }

    /**
     * Never answers. If packets are held and the connection was open already, the request is executed when the
     * partition is over.
     */
    private suspend fun blockByCut(cut: Cut, to: Address, handler: Handler, request: Request): Nothing {
        if (cut.mode == CutMode.HOLD && random.nextDouble() < OPEN_CONNECTION_SHARE) {
            simulationScope.launch {
                cut.over.await()
                // A crash since then has closed the connections of the node.
                if (handlers[to.text] === handler) handleAt(to.host, handler, request)
            }
        }
        delay(Duration.INFINITE)
        error("an infinite delay ended")
    }

    private suspend fun applyFate(from: String, state: Handler, request: Request) {
        when (val outcome = transactionOutcome(from, request.body.decodeToString())) {
            TransactionOutcome.Answered -> return

            TransactionOutcome.AnswerLost -> state.handle(request)

            is TransactionOutcome.Late -> simulationScope.launch {
                delay(outcome.by)
                lateTransactions++
                state.handle(request)
            }
        }
        delay(Duration.INFINITE)
    }

    companion object {
        private const val BUSY = 503
        private const val GONE = 410

        /** Share of the requests across a partition that use a connection opened before it. */
        const val OPEN_CONNECTION_SHARE = 0.5
        val LATENCY = 3.milliseconds
        private val REFUSED_POLL_INTERVAL = 20.milliseconds
    }
}
