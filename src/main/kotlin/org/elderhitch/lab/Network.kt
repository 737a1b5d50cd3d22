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

/** What becomes of a transaction on its way to the state service. */
internal sealed interface Fate {
    data object Answered : Fate

    /** Executed, and the answer lost. */
    data object AnswerLost : Fate

    /** No answer; executed after [by] all the same. */
    data class Late(val by: Duration) : Fate
}

/** What becomes of packets between hosts that a cut separates. */
internal enum class CutMode { HOLD, RESET }

/** A cut between hosts, for as long as it is in the network. */
internal class Cut(val mode: CutMode, val separates: (String, String) -> Boolean) {
    val over = CompletableDeferred<Unit>()
}

/** A request on its way from a host; [machine]: the caller is that machine's worker. */
private class Question(val from: String, val machine: String?, val to: Address, val request: Request) {
    val host: String = to.host

    /** The host that a cut separates from others: the machine of a worker. */
    val source: String = machine ?: from
    val toState: Boolean = host == "state"
    val isCommit: Boolean = toState && request.path == "/commit"
    val isWatch: Boolean = toState && request.path == "/watch"
}

/** A command on its way to a worker's own address, and how long its caller waits for a connection and an answer. */
private class Command(
    val from: String,
    val to: Address,
    val request: Request,
    val connect: Duration,
    val timeout: Duration,
)

/**
 * The network of a world. Hosts are nodes (`n0`), machines (`host-000001`), `state`, `cloud` and `user`. A request that
 * meets a cut gets no
 * answer; where packets are held, it may be carried out when the cut is over (PROTOCOL, "Delayed messages").
 */
internal class Network(
    private val outside: CoroutineScope,
    private val random: Random,
    private val workerAt: (Address) -> Handler?,
) {
    val handlers = HashMap<String, Handler>()

    /** Where a node's own coroutines run: what it was to answer is gone when it crashes. */
    val nodes = HashMap<String, CoroutineScope>()

    /** Which of a node's transactions go astray, and how. */
    var fateOf: (node: String, commit: String) -> Fate = { _, _ -> Fate.Answered }

    /** Pairs of hosts that don't hear each other; `workers` stands for all machines. */
    val pairs = HashSet<Pair<String, String>>()

    /** Cuts between groups of hosts. */
    val cuts = ArrayList<Cut>()

    /** Machines that nobody hears and that hear nobody. */
    var silentWorkers: Set<String?> = emptySet()

    /** Nodes that the state service refuses. */
    val refused = HashSet<String>()

    /** Whether the state service has an outage. */
    var stateDown: () -> Boolean = { false }

    /** Nodes refuse each other's connections. */
    var peersRefuse = false

    /** Machines whose reports arrive, while answers and commands to them are lost. */
    var deaf: Set<String> = emptySet()

    /** Nodes that hear no answer to a watch, blocking or not, while the state service answers them all else. */
    val watchless = HashSet<String>()

    /** How long an answer of the state service takes, beyond the usual. */
    var slowState: (Request) -> Duration = { Duration.ZERO }

    /** The same for some of the nodes. */
    var slowStateOf: (node: String) -> Duration = { Duration.ZERO }

    /** Nodes whose next watch is told that it asks for changes too long ago: they read everything again. */
    val forgottenBy = HashSet<String>()

    /** Machines that reach no controller, while commands and questions to their own addresses reach them. */
    var mute: Set<String> = emptySet()

    /** Controllers that mute machines reach all the same. */
    var heardByMute: Set<String> = emptySet()

    /** Which reports are kept, to arrive once more when [deliverKept] is called. */
    var keepsCopies: () -> Boolean = { false }
    private val kept = ArrayList<Request>()

    /** After how long a copy of the next report arrives once more; null: none does. */
    var lateCopies: () -> Duration? = { null }

    /** How many copies of reports, and late commands and transactions, were carried out. */
    var copies = 0
        private set
    var lateOnes = 0
        private set

    /** How long the answer to a command that was executed at once is on its way. */
    var slowReplies: () -> Duration = { Duration.ZERO }

    /** How late the next command to a worker's own address is executed; null: at once. */
    var lateCommands: () -> Duration? = { null }

    /** How long the answer to a report is on its way, and how long a report itself is, beyond the usual. */
    var slowAnswers: () -> Duration = { Duration.ZERO }
    var slowReports: () -> Duration = { Duration.ZERO }

    /** Told of work that a node gets: what it costs the node is another's business. */
    var onWork: (node: String, path: String) -> Unit = { _, _ -> }

    /** Every copy that was kept arrives at every node; how many there were. */
    fun deliverKept(): Int {
        val copies = kept.toList()
        kept.clear()
        for (node in nodes.keys.sorted()) {
            for (copy in copies) {
                handlers["$node:80"]?.let {
                    copied(LATENCY, Address("$node:80"), it, copy)
                }
            }
        }
        return copies.size
    }

    fun heal(cut: Cut) {
        cuts.remove(cut)
        cut.over.complete(Unit)
    }

    private fun between(from: String, to: String): Cut? = cuts.firstOrNull { it.separates(from, to) }

    /** [machine]: the caller is that machine's worker. */
    fun transport(from: String, machine: String? = null): Transport = object : Transport {
        override suspend fun deliver(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            connect: Duration,
            timeout: Duration,
        ): Delivery = toWorker(Command(from, to, request(method, target, body), connect, timeout))

        override suspend fun call(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            timeout: Duration,
        ): Response? = withTimeoutOrNull(timeout) { answer(Question(from, machine, to, request(method, target, body))) }
    }

    private fun request(method: String, target: String, body: ByteArray?): Request =
        MessageParser.request(Message("$method $target HTTP/1.1", emptyMap(), body ?: ByteArray(0), true), "127.0.0.1")

    private suspend fun answer(question: Question): Response? {
        val from = question.from
        val host = question.host
        val to = question.to
        val request = question.request
        delay(LATENCY)
        if (isLost(question)) delay(Duration.INFINITE)
        val handler = handlers[to.text] ?: return null
        between(question.source, host)?.let { astrayAt(it, to, handler, request) }
        if (question.toState && from in refused) return refusal(request)
        if (peersRefuse && from in nodes && host in nodes) return null
        if (question.isCommit) astray(from, handler, request)
        val late = if (question.machine != null) reported(to, handler, request) else Duration.ZERO
        if (question.isWatch && forgottenBy.remove(from)) return HttpServer.refusal(GONE, "too old")
        val answer = if (late.isPositive()) handledLate(late, to, handler, request) else handled(host, handler, request)
        wayBack(question)
        return answer
    }

    /** Whether its hosts don't hear each other, other than by a cut. */
    private fun isLost(question: Question): Boolean {
        val from = question.from
        val host = question.host
        val separated = from to host in pairs || host to from in pairs
        val muted = question.machine in mute && host !in heardByMute
        return separated || question.machine in silentWorkers || muted
    }

    /** Sees to copies of a machine's report; how late the report itself is. */
    private fun reported(to: Address, handler: Handler, request: Request): Duration {
        val late = slowReports()
        lateCopies()?.let { by -> copied(by, to, handler, request) }
        if (keepsCopies()) kept.add(request)
        return late
    }

    /** Takes as long as an answer is on its way; without end, if it is lost. */
    private suspend fun wayBack(question: Question) {
        val from = question.from
        val source = question.source
        if (question.machine != null) delay(slowAnswers())
        if (question.machine in deaf) delay(Duration.INFINITE)
        // Of a node that it refuses, open watches wait as during an outage.
        if (question.isWatch) while (from in refused || stateDown()) delay(REFUSED_LOOK)
        if (question.isWatch && from in watchless) delay(Duration.INFINITE)
        if (question.toState) delay(slowState(question.request) + slowStateOf(from))
        val cut = between(question.host, source)
        if (cut?.mode == CutMode.HOLD) cut.over.await()
        if (cut?.mode == CutMode.RESET) delay(Duration.INFINITE)
        if (source in nodes) onWork(source, "answer")
    }

    private suspend fun handled(host: String, handler: Handler, request: Request): Response? {
        val node = nodes[host] ?: return handler.handle(request)
        onWork(host, request.path)
        var answer: Response? = null
        node.launch { answer = handler.handle(request) }.join()
        return answer
    }

    /** It comes late, whether its caller still waits or not. */
    private suspend fun handledLate(by: Duration, to: Address, handler: Handler, request: Request): Response? {
        val done = CompletableDeferred<Response?>()
        outside.launch {
            delay(by)
            if (handlers[to.text] === handler) done.complete(handled(to.host, handler, request))
        }
        return done.await()
    }

    private fun copied(by: Duration, to: Address, handler: Handler, request: Request) {
        outside.launch {
            delay(by)
            if (handlers[to.text] !== handler) return@launch
            copies++
            handled(to.host, handler, request)
        }
    }

    /** Watches stay open and wait, all else is told at once. */
    private suspend fun refusal(request: Request): Response {
        if (request.path == "/watch") delay(Duration.INFINITE)
        return HttpServer.refusal(BUSY, "refused")
    }

    /**
     * On a connection that is open already the request waits for the end of the cut, and its caller gives up before.
     */
    private suspend fun astrayAt(cut: Cut, to: Address, handler: Handler, request: Request): Nothing {
        if (cut.mode == CutMode.HOLD && random.nextDouble() < OPEN_ALREADY) {
            outside.launch {
                cut.over.await()
                // A node that has crashed since took its connections with it.
                if (handlers[to.text] === handler) handled(to.host, handler, request)
            }
        }
        delay(Duration.INFINITE)
        error("a delay without end is over")
    }

    private suspend fun astray(from: String, state: Handler, request: Request) {
        when (val fate = fateOf(from, request.body.decodeToString())) {
            Fate.Answered -> return

            Fate.AnswerLost -> state.handle(request)

            is Fate.Late -> outside.launch {
                delay(fate.by)
                lateOnes++
                state.handle(request)
            }
        }
        delay(Duration.INFINITE)
    }

    /** A command to a worker's own address; its fate may be to be lost on the way back, or to arrive late. */
    private suspend fun toWorker(command: Command): Delivery {
        val to = command.to
        delay(LATENCY)
        val cut = between(command.from, to.host)
        if (isUnreachable(command, cut)) {
            delay(command.connect)
            return Delivery.NotSent
        }
        if (to.host in deaf) {
            delay(command.timeout)
            return Delivery.Unknown
        }
        val late = lateCommands()
        if (late == null && cut == null) return executedAtOnce(command)
        outside.launch {
            cut?.over?.await()
            delay(late ?: Duration.ZERO)
            lateOnes++
            workerAt(to)?.handle(command.request)
        }
        delay(command.timeout)
        return Delivery.Unknown
    }

    /** Whether no connection to the worker stands or can be made; [cut]: what separates it from its caller. */
    private fun isUnreachable(command: Command, cut: Cut?): Boolean {
        val to = command.to
        if (workerAt(to) == null || to.host in silentWorkers || command.from to "workers" in pairs) return true
        return cut != null && (cut.mode == CutMode.RESET || random.nextDouble() >= OPEN_ALREADY)
    }

    /** The machine may hang: then the caller gives up, and the command is carried out when it goes on. */
    private suspend fun executedAtOnce(command: Command): Delivery {
        val from = command.from
        val to = command.to
        val done = CompletableDeferred<Response>()
        val back = slowReplies()
        outside.launch {
            workerAt(to)?.handle(command.request)?.let {
                delay(back)
                done.complete(it)
            }
        }
        val answer = withTimeoutOrNull(command.timeout) { done.await() }
        between(to.host, from)?.let { delay(command.timeout) }
        onWork(from, "answer")
        return if (answer == null || between(to.host, from) != null) Delivery.Unknown else Delivery.Answered(answer)
    }

    private companion object {
        const val BUSY = 503
        const val GONE = 410

        /** How many requests that meet a cut were sent on connections that stood before it. */
        const val OPEN_ALREADY = 0.5
        val LATENCY = 3.milliseconds
        val REFUSED_LOOK = 20.milliseconds
    }
}
