package org.elderhitch.workers

import org.elderhitch.http.Address
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.Term
import org.elderhitch.settings.Zone
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

@JvmInline
public value class MachineId(public val text: String) : Comparable<MachineId> {
    override fun compareTo(other: MachineId): Int = text.compareTo(other.text)
    override fun toString(): String = text
}

/** Tells one start of a task from another. */
@JvmInline
public value class Attempt(public val number: Long) {
    override fun toString(): String = number.toString()
}

/** Orders a worker's messages, whenever they arrive. */
public data class ReportOrder(val session: Long, val sequence: Long) : Comparable<ReportOrder> {
    override fun compareTo(other: ReportOrder): Int = compareValuesBy(this, other, { it.session }, { it.sequence })
}

public enum class TaskPhase { FETCHING, WAITING, RUNNING, SAVING, EXITED }

public enum class ExitCause { DONE, STOPPED, PEERS, INCOMPLETE, ERROR, NO_ROOM, BUSY, UNKNOWN }

public data class TaskReport(val task: TaskId, val attempt: Attempt, val phase: TaskPhase, val cause: ExitCause?)

/** What runs where, by the worker's own word. */
public data class Report(
    val machine: MachineId,
    val address: Address,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    val order: ReportOrder,
    val term: Term,
    val notice: Duration?,
    val tasks: List<TaskReport>,
)

public sealed interface Command {
    public val task: TaskId
    public val attempt: Attempt

    public data class Start(override val task: TaskId, override val attempt: Attempt) : Command
    public data class Stop(override val task: TaskId, override val attempt: Attempt, val grace: Duration) : Command
    public data class Forget(override val task: TaskId, override val attempt: Attempt) : Command
}

public object ReportCodec {
    private val phases = mapOf(
        "fetching" to TaskPhase.FETCHING,
        "waiting" to TaskPhase.WAITING,
        "running" to TaskPhase.RUNNING,
        "saving" to TaskPhase.SAVING,
        "ended" to TaskPhase.EXITED,
    )
    private val causes = mapOf(
        "done" to ExitCause.DONE,
        "stopped" to ExitCause.STOPPED,
        "peers" to ExitCause.PEERS,
        "incomplete" to ExitCause.INCOMPLETE,
        "error" to ExitCause.ERROR,
        "no_room" to ExitCause.NO_ROOM,
        "busy" to ExitCause.BUSY,
        "unknown" to ExitCause.UNKNOWN,
    )

    public fun decode(bytes: ByteArray): Report {
        val body = Json.parseObject(bytes)
        return Report(
            machine = MachineId(body.string("stall").also { if (it.isEmpty()) throw MalformedJson("stall: empty") }),
            address = Address.parse(body.string("addr")) ?: throw MalformedJson("addr: no address"),
            type = MachineType(body.string("rig")),
            zone = Zone(body.string("hall")),
            spot = body.boolean("borrowedRigs"),
            order = ReportOrder(body.count("shift"), body.count("tallyNo")),
            term = Term(body.count("gavel")),
            notice = body.amountOrNull("recallS")?.seconds,
            tasks = body.objects("crates").map(::task),
        )
    }

    private fun task(from: JsonObject): TaskReport {
        val phase = phases[from.string("standing")] ?: throw MalformedJson("standing: unknown")
        // A cause that this version doesn't know is still an exit.
        val cause = if (phase == TaskPhase.EXITED) causes[from.stringOrNull("cause")] ?: ExitCause.ERROR else null
        return TaskReport(
            TaskId.parse(from.string("crate")) ?: throw MalformedJson("crate: no task"),
            Attempt(from.count("cast")),
            phase,
            cause,
        )
    }

    public fun encode(term: Term, commands: List<Command>): ByteArray =
        Json.bytes(linkedMapOf("gavel" to term.number, "calls" to commands.map(::command)))

    public fun encodeDirect(term: Term, session: Long, commands: List<Command>): ByteArray =
        Json.bytes(linkedMapOf("gavel" to term.number, "shift" to session, "calls" to commands.map(::command)))

    private fun command(command: Command): Map<String, Any?> {
        val task = command.task.toString()
        val attempt = command.attempt.number
        return when (command) {
            is Command.Start -> linkedMapOf("call" to "start", "crate" to task, "cast" to attempt)

            is Command.Stop -> linkedMapOf(
                "call" to "kill",
                "crate" to task,
                "cast" to attempt,
                "windDownS" to command.grace.toDouble(DurationUnit.SECONDS),
            )

            is Command.Forget -> linkedMapOf("call" to "reap", "crate" to task, "cast" to attempt)
        }
    }
}
