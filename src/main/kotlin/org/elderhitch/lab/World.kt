package org.elderhitch.lab

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlin.coroutines.ContinuationInterceptor
import kotlin.coroutines.CoroutineContext
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.elderhitch.app.Controller
import org.elderhitch.app.Rehearsal
import org.elderhitch.features.Features
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Handler
import org.elderhitch.http.MessageParser
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.Footprint
import org.elderhitch.jobs.TaskId
import org.elderhitch.json.Json
import org.elderhitch.settings.Settings
import org.elderhitch.standin.StandInPlatform
import org.elderhitch.standin.TaskWatch
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallClock
import org.elderhitch.time.WallTime
import org.elderhitch.workers.MachineId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What becomes of a transaction on its way to the state service. */
internal sealed interface Fate {
    data object Answered : Fate

    /** Executed, and the answer lost. */
    data object AnswerLost : Fate

    /** No answer; executed after [by] all the same. */
    data class Late(val by: Duration) : Fate
}

/** What a world is made with. */
internal class WorldSettings(
    val seed: Long = 1,
    val reportS: Double = 1.0,
    val features: Features = Features.NONE,
    val bound: (node: String) -> Footprint = { Footprint.bound(Long.MAX_VALUE / 2) },
    val requestsPerS: Double = 300.0,
    val writesPerS: Double = 60.0,
    val mostGpus: Double = 40.0,
    val machinesPerZone: Int = 6,
)

/** Three controllers against the stand-ins, over a network that can be cut, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class World(val outside: CoroutineScope, val clock: SteadyClock, private val made: WorldSettings = WorldSettings()) : TaskWatch {
    private val random = Random(made.seed)
    val wall = WallClock { WallTime(WALL_START + clock.now().nanos / NANOS_PER_MS) }
    private val handlers = HashMap<String, Handler>()

    /** Which of a node's transactions go astray, and how. */
    var fateOf: (node: String, commit: String) -> Fate = { _, _ -> Fate.Answered }

    /** Which tasks fail as soon as they start. */
    var failing: (task: String, machine: String) -> Boolean = { _, _ -> false }

    /** Pairs of hosts that don't hear each other. */
    val cuts = HashSet<Pair<String, String>>()

    /** How late the next command to a worker's own address is executed; null: at once. */
    var lateCommands: () -> Duration? = { null }

    /** Machines that nobody hears and that hear nobody. */
    var silentWorkers: Set<String?> = emptySet()

    /** How long the answer to a report is on its way. */
    var slowAnswers: () -> Duration = { Duration.ZERO }
    private val running = HashMap<String, CoroutineScope>()
    private val standstills = HashMap<String, Standstill>()
    private val controllers = HashMap<String, Controller>()
    val names = listOf("n0", "n1", "n2")
    val platform: StandInPlatform
    val onMachine = HashMap<String, String>()
    val startsOf = HashMap<String, Int>()
    val broken = ArrayList<String>()

    /** When machines last had no room for what they were to start. */
    val refusedAt = HashMap<String, Moment>()

    /** The most tasks that were on machines at a time. */
    var mostAtOnce = 0

    init {
        val nodes = names.associateWith { Address("$it:80") }
        platform = StandInPlatform(
            outside, clock, { net("workers", it.id) }, nodes, settings("n0").workers, random, listOf("a", "b"), made.machinesPerZone, 5.seconds, this,
            addressOf = { "${it.id}:9000" },
        )
        handlers["state:1"] = platform.state
        handlers["cloud:1"] = platform.cloud
        platform.start()
        names.forEach(::startNode)
    }

    override fun started(task: String, machine: String) {
        onMachine[task]?.let { broken.add("$task started on $machine while on $it") }
        onMachine[task] = machine
        mostAtOnce = maxOf(mostAtOnce, onMachine.size)
        startsOf.merge(task, 1, Int::plus)
    }

    override fun ended(task: String, machine: String) {
        if (onMachine[task] == machine) onMachine.remove(task)
    }

    override fun refused(task: String, machine: String) {
        refusedAt[machine] = clock.now()
    }

    override fun fails(task: String, machine: String): Boolean = failing(task, machine)

    fun startNode(name: String) {
        val context = outside.coroutineContext
        val standstill = Standstill(context[ContinuationInterceptor] as CoroutineDispatcher)
        standstills[name] = standstill
        val scope = CoroutineScope(context + SupervisorJob(context[Job]) + standstill)
        running[name] = scope
        val controller = Controller(scope, settings(name), FleetPolicy(), net(name), clock, wall, Random(random.nextLong()), made.features, made.bound(name))
        controllers[name] = controller
        handlers["$name:80"] = controller.clients
        handlers["$name:81"] = controller.peers
        controller.start()
    }

    /** The node stands still: nothing of it runs, while its clock does, and whatever comes for it waits. */
    fun freeze(name: String) {
        standstills[name]?.frozen = true
    }

    fun thaw(name: String) {
        standstills[name]?.thaw()
    }

    fun crash(name: String) {
        standstills.remove(name)
        running.remove(name)?.cancel(CancellationException("crash"))
        controllers.remove(name)
        handlers.remove("$name:80")
        handlers.remove("$name:81")
    }

    fun leader(): String? = names.firstOrNull { name ->
        name in controllers && platform.state.value("v/a/leader")?.string("node") == name
    }

    /** Where the leader believes each task to be; null: nobody leads. */
    suspend fun survey(): Map<TaskId, MachineId>? = leader()?.let { controllers[it]?.survey() }

    private fun net(from: String, machine: String? = null) = object : Transport {
        override suspend fun deliver(to: Address, method: String, target: String, body: ByteArray?, connect: Duration, timeout: Duration): Delivery {
            val message = org.elderhitch.http.Message("$method $target HTTP/1.1", emptyMap(), body ?: ByteArray(0), true)
            return toWorker(from, to, MessageParser.request(message), connect, timeout)
        }

        override suspend fun call(to: Address, method: String, target: String, body: ByteArray?, timeout: Duration): Response? =
            withTimeoutOrNull(timeout) {
                delay(LATENCY)
                val host = to.text.substringBefore(':')
                if (from to host in cuts || host to from in cuts || machine in silentWorkers) delay(Duration.INFINITE)
                val handler = handlers[to.text] ?: return@withTimeoutOrNull null
                val message = org.elderhitch.http.Message("$method $target HTTP/1.1", emptyMap(), body ?: ByteArray(0), true)
                val caller = running[host]
                // A node that crashes takes its unfinished answers with it.
                val request = MessageParser.request(message, "127.0.0.1")
                if (target == "/commit" && host == "state") astray(from, handler, request)
                val answer = if (caller == null) handler.handle(request) else answerOf(caller, handler, request)
                if (from == "workers") delay(slowAnswers())
                answer
            }
    }

    private suspend fun astray(from: String, state: Handler, request: Request) {
        when (val fate = fateOf(from, request.body.decodeToString())) {
            Fate.Answered -> return
            Fate.AnswerLost -> state.handle(request)
            is Fate.Late -> outside.launch {
                delay(fate.by)
                state.handle(request)
            }
        }
        delay(Duration.INFINITE)
    }

    /** A command to a worker's own address; its fate may be to be lost on the way back, or to arrive late. */
    private suspend fun toWorker(from: String, to: Address, request: Request, connect: Duration, timeout: Duration): Delivery {
        delay(LATENCY)
        val worker = platform.workerAt(to)
        if (worker == null || to.host in silentWorkers || from to "workers" in cuts) {
            delay(connect)
            return Delivery.NotSent
        }
        val late = lateCommands()
        if (late != null) {
            outside.launch {
                delay(late)
                platform.workerAt(to)?.handle(request)
            }
            delay(timeout)
            return Delivery.Unknown
        }
        return Delivery.Answered(worker.handle(request))
    }

    private suspend fun answerOf(scope: CoroutineScope, handler: Handler, request: Request): Response? {
        var answer: Response? = null
        val job = scope.launch { answer = handler.handle(request) }
        job.join()
        return answer
    }

    suspend fun ask(method: String, path: String, body: Map<String, Any?>? = null, node: String? = null): Pair<Int, Map<String, Any?>> {
        repeat(ASK_TRIES) { n ->
            val name = node ?: names[n % names.size]
            val bytes = body?.let { Json.bytes(it) } ?: if (method == "POST") ByteArray(0) else null
            val response = net("user").call(Address("$name:80"), method, path, bytes, 5.seconds)
            if (response != null && (response.status < BUSY || node != null)) {
                @Suppress("UNCHECKED_CAST")
                return response.status to (Json.parse(response.body) as Map<String, Any?>)
            }
            delay(1.seconds)
        }
        return BUSY to emptyMap()
    }

    suspend fun post(node: String, path: String, body: ByteArray, timeout: Duration): Response? =
        net("user").call(Address("$node:80"), "POST", path, body, timeout)

    suspend fun submit(id: String, kind: String, tasks: Int, runs: Double, extra: Map<String, Any?> = emptyMap()) {
        val body = Rehearsal.exampleJob(id, kind) + mapOf("crates" to tasks, "haulS" to runs) + extra
        val (status, answer) = ask("POST", "/work", body)
        check(status in OK..CREATED) { "$id: $status $answer" }
    }

    suspend fun standing(id: String): String = ask("GET", "/work/$id").second["standing"].toString()

    suspend fun until(what: String, limit: Duration, check: suspend () -> Boolean) {
        val end = clock.now() + limit
        while (!check()) {
            if (clock.now() > end) throw AssertionError("$what: not within $limit")
            delay(200.milliseconds)
        }
    }

    fun assertRulesKept() = check(broken.isEmpty()) { broken.joinToString("; ") }

    private fun settings(name: String): Settings = Settings.parse(
        Json.bytes(
            linkedMapOf(
                "node_name" to name, "zone" to "a", "client_listen" to "$name:80", "cluster_listen" to "$name:81",
                "known" to listOf("n0", "n1", "n2").filter { it != name }
                    .map { mapOf("node_name" to it, "zone" to "a", "address" to "$it:81") },
                "external" to mapOf("cloud" to "cloud:1", "state" to "state:1"),
                "settings" to linkedMapOf(
                    "zones" to listOf("a", "b"),
                    "teams" to listOf(mapOf("name" to "team", "gpus_max" to made.mostGpus)),
                    "workers" to mapOf("report_s" to made.reportS, "lease_s" to 11.0, "gang_wait_s" to 30.0, "gang_peer_s" to 5.0, "cancel_s" to 41.0),
                    "state" to mapOf("rps" to made.requestsPerS, "write_rps" to made.writesPerS, "value_kb" to 8.0, "txn_ops" to 8),
                    "cloud" to mapOf("rps" to 10.0, "list_lag_s" to 1.0),
                ),
            ),
        ),
    )

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val OK = 200
        const val CREATED = 201
        const val BUSY = 503
        const val ASK_TRIES = 40
        const val WALL_START = 1_700_000_000_000L
        val LATENCY = 3.milliseconds
    }
}

/** Holds back all that a node would run while it stands still; timers that end meanwhile are due at once afterwards. */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
internal class Standstill(private val inner: CoroutineDispatcher) : CoroutineDispatcher(), Delay {
    private val timers = inner as Delay
    private val waiting = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    var frozen = false

    fun thaw() {
        frozen = false
        while (waiting.isNotEmpty()) waiting.removeFirst().let { (context, block) -> inner.dispatch(context, block) }
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (frozen) waiting.addLast(context to block) else inner.dispatch(context, Runnable { if (frozen) waiting.addLast(context to block) else block.run() })
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val handle = invokeOnTimeout(timeMillis, { with(continuation) { resumeUndispatched(Unit) } }, continuation.context)
        continuation.invokeOnCancellation { handle.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
        timers.invokeOnTimeout(timeMillis, { dispatch(context, block) }, context)
}
