package org.elderhitch.heartbeat

import org.elderhitch.fleet.MachineId
import org.elderhitch.http.Address
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.FencingToken
import org.elderhitch.settings.Zone
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Decodes heartbeats and encodes commands in the JSON format of the wire protocol between workers and controllers.
 */
public object HeartbeatCodec {
    /** Field names of the wire protocol. Some occur in both heartbeats and commands. */
    private object Field {
        const val MACHINE = "stall"
        const val ADDRESS = "addr"
        const val MACHINE_TYPE = "rig"
        const val ZONE = "hall"
        const val SPOT = "borrowedRigs"
        const val AGENT_EPOCH = "shift"
        const val SEQUENCE_NUMBER = "tallyNo"
        const val TOKEN = "gavel"
        const val PREEMPTION_NOTICE_SECONDS = "recallS"
        const val TASKS = "crates"
        const val TASK = "crate"
        const val ATTEMPT = "cast"
        const val PHASE = "standing"
        const val EXIT_CAUSE = "cause"
        const val COMMANDS = "calls"
        const val COMMAND = "call"
        const val GRACE_SECONDS = "windDownS"
    }

    private object CommandName {
        const val START = "start"
        const val STOP = "kill"
        const val REAP = "reap"
    }

    private val phasesByName = mapOf(
        "fetching" to TaskPhase.FETCHING,
        "waiting" to TaskPhase.WAITING,
        "running" to TaskPhase.RUNNING,
        "saving" to TaskPhase.SAVING,
        "ended" to TaskPhase.EXITED,
    )

    private val causesByName = mapOf(
        "done" to ExitCause.DONE,
        "stopped" to ExitCause.STOPPED,
        "peers" to ExitCause.PEERS,
        "incomplete" to ExitCause.INCOMPLETE,
        "error" to ExitCause.ERROR,
        "no_room" to ExitCause.NO_ROOM,
        "busy" to ExitCause.BUSY,
        "unknown" to ExitCause.UNKNOWN,
    )

    /**
     * Decodes the body of a heartbeat, or of a worker's reply to commands or a probe.
     *
     * @throws MalformedJson if a field is missing or invalid; the message names the first such field.
     */
    public fun decode(bytes: ByteArray): Heartbeat {
        val body = Json.parseObject(bytes)
        return Heartbeat(
            machine = decodeMachine(body),
            address = Address.parse(body.string(Field.ADDRESS)) ?: malformed(Field.ADDRESS, "no address"),
            type = MachineType(body.string(Field.MACHINE_TYPE)),
            zone = Zone(body.string(Field.ZONE)),
            spot = body.boolean(Field.SPOT),
            sequence = HeartbeatSequence(body.count(Field.AGENT_EPOCH), body.count(Field.SEQUENCE_NUMBER)),
            token = FencingToken(body.count(Field.TOKEN)),
            preemptionNotice = body.amountOrNull(Field.PREEMPTION_NOTICE_SECONDS)?.seconds,
            tasks = body.objects(Field.TASKS).map(::decodeTask),
        )
    }

    private fun decodeMachine(body: JsonObject): MachineId {
        val machine = body.string(Field.MACHINE)
        if (machine.isEmpty()) malformed(Field.MACHINE, "empty")
        return MachineId(machine)
    }

    private fun decodeTask(body: JsonObject): TaskStatus {
        val phase = phasesByName[body.string(Field.PHASE)] ?: malformed(Field.PHASE, "unknown")
        val cause = if (phase == TaskPhase.EXITED) decodeCause(body) else null
        val task = TaskId.parse(body.string(Field.TASK)) ?: malformed(Field.TASK, "no task")
        return TaskStatus(task, Attempt(body.count(Field.ATTEMPT)), phase, cause)
    }

    /** Decodes the exit cause. A cause that this version doesn't know counts as an error. */
    private fun decodeCause(body: JsonObject): ExitCause =
        causesByName[body.stringOrNull(Field.EXIT_CAUSE)] ?: ExitCause.ERROR

    private fun malformed(field: String, reason: String): Nothing = throw MalformedJson("$field: $reason")

    /** Encodes the response to a heartbeat. */
    public fun encode(token: FencingToken, commands: List<Command>): ByteArray = Json.bytes(
        linkedMapOf(
            Field.TOKEN to token.number,
            Field.COMMANDS to commands.map(::encodeCommand),
        ),
    )

    /** Encodes a request to a worker's own address. The worker refuses it unless [agentEpoch] is its current epoch. */
    public fun encodeDirect(token: FencingToken, agentEpoch: Long, commands: List<Command>): ByteArray = Json.bytes(
        linkedMapOf(
            Field.TOKEN to token.number,
            Field.AGENT_EPOCH to agentEpoch,
            Field.COMMANDS to commands.map(::encodeCommand),
        ),
    )

    private fun encodeCommand(command: Command): Map<String, Any?> {
        val name = when (command) {
            is Command.Start -> CommandName.START
            is Command.Stop -> CommandName.STOP
            is Command.Reap -> CommandName.REAP
        }
        val fields = linkedMapOf<String, Any?>(
            Field.COMMAND to name,
            Field.TASK to command.task.toString(),
            Field.ATTEMPT to command.attempt.number,
        )
        if (command is Command.Stop) fields[Field.GRACE_SECONDS] = command.grace.toDouble(DurationUnit.SECONDS)
        return fields
    }
}
