package org.elderhitch.standin

import kotlinx.coroutines.delay
import org.elderhitch.http.Address
import org.elderhitch.http.Handler
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.WorkerTimes
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the stand-in workers know of jobs, since the users of stand-ins upload no descriptions. */
public class TaskScript(public val kind: String, public val runs: Duration, public val tasks: Int)

/** Told of each start and end, so that a test can watch over the rules. */
public interface TaskWatch {
    public fun started(task: String, machine: String)

    public fun ended(task: String, machine: String)

    /** Whether the task fails on that machine as soon as it runs. */
    public fun fails(task: String, machine: String): Boolean = false
}

/** A worker in memory: reports, obeys tokens and leases, and lets tasks run for the time that their script says. */
public class WorkerStandIn(
    private val machine: StandInMachine,
    private val nodes: Map<String, Address>,
    private val transport: Transport,
    private val times: WorkerTimes,
    private val clock: SteadyClock,
    private val random: Random,
    private val script: (String) -> TaskScript?,
    private val watch: TaskWatch,
) : Handler {
    private class Task(val id: String, val attempt: Long) {
        var phase = "fetching"
        var cause: String? = null
        var runsUntil = Moment.FOREVER
        val present: Boolean get() = phase != "ended"
    }

    private val tasks = LinkedHashMap<String, Task>()
    private var session = 1L
    private var sequence = 0L
    private var token = 0L
    private var lastAnswered = clock.now()
    private var changed = false
    private var node = nodes.keys.elementAt(random.nextInt(nodes.size))

    public val address: String get() = machine.address

    public var gone: Boolean = false
        private set

    public fun end() {
        gone = true
        tasks.values.filter { it.present }.forEach { watch.ended(it.id, machine.id) }
        tasks.clear()
    }

    public suspend fun run() {
        while (!gone) {
            val sent = clock.now()
            val inSession = session
            val response = transport.call(nodes.getValue(node), "POST", "/checkin", report(), REPORT_TIMEOUT)
            if (gone) return
            when (response?.status) {
                OK -> if (session == inSession) obey(response.body, sent)
                MISDIRECTED -> {
                    val named = try {
                        Json.parseObject(response.body).stringOrNull("auctioneer")
                    } catch (_: MalformedJson) {
                        null
                    }
                    if (named != null && named != node && named in nodes) node = named else moveOn()
                }
                else -> moveOn()
            }
            val pause = if (changed) SOON else times.report * (LEAST + random.nextDouble() * SPREAD)
            changed = false
            val until = clock.now() + pause
            while (clock.now() < until && !gone) {
                delay(STEP)
                advance()
                if (changed) break
            }
            val soonest = sent + SOON
            if (clock.now() < soonest) delay(soonest - clock.now())
        }
    }

    /** Commands straight to the worker's own address. */
    override suspend fun handle(request: Request): Response {
        if (request.path == "/inspect") return Response(OK, report())
        val body = try {
            Json.parseObject(request.body)
        } catch (_: MalformedJson) {
            return HttpServer.refusal(BAD, "not JSON")
        }
        val given = body.longOrNull("gavel")
        val shift = body.longOrNull("shift")
        if (given == null || shift == null) return HttpServer.refusal(BAD, "gavel or shift is missing")
        if (given < token || shift != session) return Response(CONFLICT, report())
        token = given
        for (command in body.objects("calls")) execute(command)
        return Response(OK, report())
    }

    private suspend fun moveOn() {
        delay(1.seconds)
        val names = nodes.keys.toList()
        node = names[(names.indexOf(node) + 1) % names.size]
        advance()
    }

    private fun advance() {
        val now = clock.now()
        if (now > lastAnswered + times.lease) {
            tasks.values.filter { it.present }.forEach { watch.ended(it.id, machine.id) }
            tasks.clear()
            session++
            lastAnswered = now
            changed = true
        }
        for (task in tasks.values) {
            if (task.phase == "fetching") {
                task.phase = "running"
                val script = script(task.id.substringBeforeLast('/'))
                task.runsUntil = if (script == null || script.kind == "daemon") Moment.FOREVER else now + script.runs
                changed = true
            }
            if (task.phase == "running" && watch.fails(task.id, machine.id)) end(task, "error")
            if (task.phase == "running" && now >= task.runsUntil) end(task, "done")
        }
    }

    private fun end(task: Task, cause: String) {
        task.phase = "ended"
        task.cause = cause
        changed = true
        watch.ended(task.id, machine.id)
    }

    private fun report(): ByteArray = Json.bytes(
        linkedMapOf(
            "stall" to machine.id, "addr" to machine.address.ifEmpty { "127.0.0.1:1" }, "rig" to machine.type, "hall" to machine.zone,
            "borrowedRigs" to machine.spot, "shift" to session, "tallyNo" to ++sequence, "gavel" to token, "recallS" to null,
            "crates" to tasks.values.map {
                linkedMapOf("crate" to it.id, "cast" to it.attempt, "standing" to it.phase, "cause" to it.cause)
            },
        ),
    )

    private fun obey(body: ByteArray, sent: Moment) {
        val answer = Json.parseObject(body)
        val given = answer.longOrNull("gavel") ?: return
        if (given < token) return
        if (given > token) {
            token = given
            changed = true
        }
        lastAnswered = sent
        for (command in answer.objects("calls")) execute(command)
    }

    private fun execute(command: JsonObject) {
        val id = command.string("crate")
        val attempt = command.long("cast")
        val known = tasks[id]
        when (command.string("call")) {
            "start" -> if (known == null || !known.present && known.attempt != attempt) {
                tasks[id] = Task(id, attempt)
                changed = true
                watch.started(id, machine.id)
            }
            "kill" -> if (known != null && known.attempt == attempt && known.present) end(known, "stopped")
            "reap" -> if (known != null && known.attempt == attempt && !known.present) tasks.remove(id)
        }
    }

    private companion object {
        const val OK = 200
        const val BAD = 400
        const val CONFLICT = 409
        const val MISDIRECTED = 421
        const val LEAST = 0.75
        const val SPREAD = 0.5
        val REPORT_TIMEOUT = 4.seconds
        val SOON = 500.milliseconds
        val STEP = 100.milliseconds
    }
}
