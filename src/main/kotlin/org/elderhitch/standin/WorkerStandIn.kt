package org.elderhitch.standin

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.elderhitch.http.Address
import org.elderhitch.http.Handler
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What a stand-in worker needs to know of a job, in place of the description that users upload for real workers. */
public class TaskScript(
    public val kind: String,
    public val runTime: Duration,
    public val cores: Double = 0.0,
    public val accelerators: Double = 0.0,
    /** How long fetching the job's image takes. */
    public val fetchTime: Duration = Duration.ZERO,
)

/** Observes the tasks on all machines, so that a test can check invariants, and can make tasks fail. */
public interface TaskObserver {
    public fun started(task: String, machine: String)

    public fun ended(task: String, machine: String)

    /** The task has completed; [ended] is called next. */
    public fun completed(task: String): Unit = Unit

    /** The task ends because its worker's lease has expired; [ended] is called next. */
    public fun leaseExpired(task: String): Unit = Unit

    /** The machine has too few free resources to start the task. */
    public fun refused(task: String, machine: String): Unit = Unit

    /** Whether the machine refuses to start the task, as if it had too few free resources. */
    public fun lacksRoom(task: String, machine: String): Boolean = false

    /** Whether machines refuse an attempt as busy while they have the record of another attempt that has exited. */
    public val refusesBesideExited: Boolean get() = false

    /** Whether the task fails on that machine as soon as it is running. */
    public fun fails(task: String, machine: String): Boolean = false
}

/**
 * An in-memory worker: sends heartbeats, observes fencing tokens and its lease, and runs tasks for the time that their
 * script gives.
 */
public class WorkerStandIn(
    private val machine: StandInMachine,
    private val nodes: Map<String, Address>,
    private val transport: Transport,
    private val times: WorkerTimeouts,
    private val clock: SteadyClock,
    private val random: Random,
    private val scriptOf: (String) -> TaskScript?,
    private val watch: TaskObserver,
) : Handler {
    private class Task(val id: String, val attempt: Long, val script: TaskScript?) {
        var phase = "fetching"
        var cause: String? = null
        var fetchDoneAt = MonotonicInstant.NEVER
        var runDoneAt = MonotonicInstant.FOREVER
        val isPresent: Boolean get() = phase != "ended"
    }

    private val tasks = LinkedHashMap<String, Task>()
    private var agentEpoch = 1L
    private var heartbeatNumber = 0L
    private var latestTerm = 0L
    private var leaseStartedAt = clock.now()
    private var changed = false
    private var node = nodes.keys.elementAt(random.nextInt(nodes.size))
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private var resumption: CompletableDeferred<Unit>? = null

    public val id: String get() = machine.id
    public val address: String get() = machine.address

    public var gone: Boolean = false
        private set

    /** When the last heartbeat that was answered was sent. */
    public val renewedAt: MonotonicInstant get() = leaseStartedAt
    public val hanging: Boolean get() = resumption != null

    /** How soon the cloud will preempt the machine, according to its notice; null if it has given none. */
    public var notice: Duration? = null
        set(value) {
            field = value
            changed = true
            wake.trySend(Unit)
        }

    /** When the worker made its first complete heartbeat after a [sendFalseHeartbeat]; null if it hasn't yet. */
    public var correctHeartbeatSince: MonotonicInstant? = null
        private set
    private var omitsTasks = false

    /** Makes the next heartbeat omit all tasks. For tests of a leader whose task table contradicts the workers. */
    public fun sendFalseHeartbeat() {
        omitsTasks = true
        correctHeartbeatSince = null
    }

    private fun reportedTasks(): Collection<Task> {
        if (!omitsTasks && correctHeartbeatSince == null) correctHeartbeatSince = clock.now()
        return if (omitsTasks) emptyList<Task>().also { omitsTasks = false } else tasks.values
    }

    /** The attempts of the tasks on the machine, by task id. */
    public fun present(): Map<String, Long> = tasks.values.filter { it.isPresent }.associate { it.id to it.attempt }

    public fun end() {
        gone = true
        tasks.values.filter { it.isPresent }.forEach { watch.ended(it.id, machine.id) }
        tasks.clear()
    }

    /** Suspends the machine: it executes nothing, and requests to it wait until [resume]. Its lease still runs. */
    public fun hang() {
        if (resumption == null) resumption = CompletableDeferred()
    }

    public fun resume() {
        resumption?.complete(Unit)
        resumption = null
        wake.trySend(Unit)
    }

    private suspend fun awaitResume() {
        while (true) (resumption ?: return).await()
    }

    public suspend fun run(): Unit = coroutineScope {
        launch {
            while (!gone) {
                expireLease()
                delay(leaseStartedAt + times.lease - clock.now() + 1.milliseconds)
            }
        }
        while (!gone) exchangeHeartbeat()
    }

    private suspend fun exchangeHeartbeat() {
        awaitResume()
        val sent = clock.now()
        val sentInEpoch = agentEpoch
        val response = transport.call(nodes.getValue(node), "POST", "/checkin", heartbeat(), HEARTBEAT_TIMEOUT)
        awaitResume()
        if (gone) return
        // After a hang, an answer that arrived later than the timeout counts as none.
        val answer = if (clock.now() - sent > HEARTBEAT_TIMEOUT) null else response
        if (!handleAnswer(answer, sent, sentInEpoch)) return tryNextNode()
        awaitNextHeartbeat()
        val earliestNext = sent + MIN_GAP
        if (clock.now() < earliestNext) delay(earliestNext - clock.now())
    }

    /** Handles the [answer] to a heartbeat of the agent epoch [sentInEpoch]; false if another node has to be tried. */
    private fun handleAnswer(answer: Response?, sent: MonotonicInstant, sentInEpoch: Long): Boolean =
        when (answer?.status) {
            OK -> {
                if (agentEpoch == sentInEpoch) applyAnswer(answer.body, sent)
                true
            }

            MISDIRECTED -> followRedirection(answer)

            else -> false
        }

    /** Switches to the node that a [redirection] names; false if it names no other known node. */
    private fun followRedirection(redirection: Response): Boolean {
        val leader = try {
            Json.parseObject(redirection.body).stringOrNull("auctioneer")
        } catch (_: MalformedJson) {
            null
        }
        if (leader == null || leader == node || leader !in nodes) return false
        node = leader
        return true
    }

    /** Advances tasks until the next heartbeat is due or something has changed. */
    private suspend fun awaitNextHeartbeat() {
        val heartbeatDueAt =
            clock.now() +
                if (changed) MIN_GAP else times.heartbeatInterval * (MIN_FACTOR + random.nextDouble() * JITTER)
        changed = false
        while (clock.now() < heartbeatDueAt && !gone && !changed) {
            val due = minOf(
                heartbeatDueAt,
                tasks.values.minOfOrNull { nextTransitionAt(it) } ?: MonotonicInstant.FOREVER,
            )
            withTimeoutOrNull(due - clock.now()) { wake.receive() }
            awaitResume()
            advanceTasks()
        }
    }

    private fun nextTransitionAt(task: Task): MonotonicInstant = when (task.phase) {
        "fetching" -> task.fetchDoneAt
        "running" -> task.runDoneAt
        else -> MonotonicInstant.FOREVER
    }

    /** Handles requests to the worker's own address. */
    override suspend fun handle(request: Request): Response {
        awaitResume()
        // The machine was terminated while the request waited, so that no answer can come.
        if (gone) awaitCancellation()
        expireLease()
        if (request.path == "/inspect") return Response(OK, heartbeat())
        val body = try {
            Json.parseObject(request.body)
        } catch (_: MalformedJson) {
            return HttpServer.errorResponse(BAD_REQUEST, "not JSON")
        }
        val term = body.longOrNull("gavel")
        val epoch = body.longOrNull("shift")
        if (term == null || epoch == null) return HttpServer.errorResponse(BAD_REQUEST, "gavel or shift is missing")
        if (term < latestTerm || epoch != agentEpoch) return Response(CONFLICT, heartbeat())
        latestTerm = term
        for (command in body.objects("calls")) execute(command)
        wake.trySend(Unit)
        return Response(OK, heartbeat())
    }

    private suspend fun tryNextNode() {
        delay(1.seconds)
        val names = nodes.keys.toList()
        node = names[(names.indexOf(node) + 1) % names.size]
        advanceTasks()
    }

    /** Ends the lease if it is over, also while the machine hangs. */
    private fun expireLease() {
        val now = clock.now()
        while (now > leaseStartedAt + times.lease) {
            tasks.values.filter { it.isPresent }.forEach {
                watch.leaseExpired(it.id)
                watch.ended(it.id, machine.id)
            }
            tasks.clear()
            agentEpoch++
            leaseStartedAt += times.lease
            changed = true
        }
    }

    private fun advanceTasks() {
        expireLease()
        val now = clock.now()
        for (task in tasks.values) {
            if (task.phase == "fetching" && now >= task.fetchDoneAt) {
                task.phase = "running"
                task.runDoneAt =
                    if (task.script == null || task.script.kind == "daemon") {
                        MonotonicInstant.FOREVER
                    } else {
                        now + task.script.runTime
                    }
                changed = true
            }
            if (task.phase == "running" && watch.fails(task.id, machine.id)) endTask(task, "error")
            if (task.phase == "running" && now >= task.runDoneAt) {
                watch.completed(task.id)
                endTask(task, "done")
            }
        }
    }

    private fun endTask(task: Task, cause: String) {
        task.phase = "ended"
        task.cause = cause
        changed = true
        watch.ended(task.id, machine.id)
    }

    private fun heartbeat(): ByteArray = Json.bytes(
        linkedMapOf(
            "stall" to machine.id, "addr" to machine.address.ifEmpty { "127.0.0.1:1" }, "rig" to machine.type,
            "hall" to machine.zone,
            "borrowedRigs" to machine.spot, "shift" to agentEpoch, "tallyNo" to ++heartbeatNumber,
            "gavel" to latestTerm,
            "recallS" to notice?.toDouble(DurationUnit.SECONDS),
            "crates" to reportedTasks().map {
                linkedMapOf("crate" to it.id, "cast" to it.attempt, "standing" to it.phase, "cause" to it.cause)
            },
        ),
    )

    private fun applyAnswer(body: ByteArray, sent: MonotonicInstant) {
        val answer = Json.parseObject(body)
        val answerTerm = answer.longOrNull("gavel") ?: return
        if (answerTerm < latestTerm) return
        if (answerTerm > latestTerm) {
            latestTerm = answerTerm
            changed = true
        }
        leaseStartedAt = sent
        for (command in answer.objects("calls")) execute(command)
    }

    private fun execute(command: JsonObject) {
        val id = command.string("crate")
        val attempt = command.long("cast")
        val known = tasks[id]
        when (command.string("call")) {
            "start" -> when {
                known == null -> startTask(id, attempt)
                known.isPresent || known.attempt == attempt -> Unit
                watch.refusesBesideExited -> refuseTask(id, attempt, "busy")
                else -> startTask(id, attempt)
            }
            "kill" -> if (known != null && known.attempt == attempt && known.isPresent) endTask(known, "stopped")
            "reap" -> if (known != null && known.attempt == attempt && !known.isPresent) tasks.remove(id)
        }
    }

    private fun refuseTask(id: String, attempt: Long, cause: String) {
        val task = Task(id, attempt, script = null)
        task.phase = "ended"
        task.cause = cause
        tasks[id] = task
        changed = true
        watch.refused(id, machine.id)
    }

    private fun startTask(id: String, attempt: Long) {
        val task = Task(id, attempt, scriptOf(id.substringBeforeLast('/')))
        changed = true
        val presentTasks = tasks.values.filter { it.isPresent }
        val cores = (presentTasks + task).sumOf { it.script?.cores ?: 0.0 }
        val accelerators = (presentTasks + task).sumOf { it.script?.accelerators ?: 0.0 }
        val tooLarge = cores > machine.kind.cores || accelerators > machine.kind.accelerators
        if (tooLarge || watch.lacksRoom(id, machine.id)) return refuseTask(id, attempt, "no_room")
        tasks[id] = task
        task.fetchDoneAt = clock.now() + (task.script?.fetchTime ?: Duration.ZERO)
        watch.started(id, machine.id)
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
        const val MISDIRECTED = 421

        /** Heartbeat intervals vary evenly around their mean, by a quarter of it at most. */
        const val MIN_FACTOR = 0.75
        const val JITTER = 0.5
        val HEARTBEAT_TIMEOUT = 4.seconds

        /** The shortest time between two heartbeats. */
        val MIN_GAP = 500.milliseconds
    }
}
