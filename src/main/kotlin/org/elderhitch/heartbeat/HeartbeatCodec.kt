package org.elderhitch.heartbeat

import org.elderhitch.fleet.MachineId
import org.elderhitch.http.Address
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.Term
import org.elderhitch.settings.Zone
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

public object HeartbeatCodec {
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

    public fun decode(bytes: ByteArray): Heartbeat {
        val body = Json.parseObject(bytes)
        return Heartbeat(
            machine = MachineId(body.string("stall").also { if (it.isEmpty()) throw MalformedJson("stall: empty") }),
            address = Address.parse(body.string("addr")) ?: throw MalformedJson("addr: no address"),
            type = MachineType(body.string("rig")),
            zone = Zone(body.string("hall")),
            spot = body.boolean("borrowedRigs"),
            sequence = HeartbeatSequence(body.count("shift"), body.count("tallyNo")),
            term = Term(body.count("gavel")),
            notice = body.amountOrNull("recallS")?.seconds,
            tasks = body.objects("crates").map(::task),
        )
    }

    private fun task(from: JsonObject): TaskStatus {
        val phase = phases[from.string("standing")] ?: throw MalformedJson("standing: unknown")
        // A cause that this version doesn't know is still an exit.
        val cause = if (phase == TaskPhase.EXITED) causes[from.stringOrNull("cause")] ?: ExitCause.ERROR else null
        return TaskStatus(
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

            is Command.Reap -> linkedMapOf("call" to "reap", "crate" to task, "cast" to attempt)
        }
    }
}
