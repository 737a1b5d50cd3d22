package org.elderhitch.jobs

import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The wire names of an enum's constants, in both directions. */
private class WireNames<T : Any>(vararg names: Pair<T, String>) {
    private val nameByValue: Map<T, String> = names.toMap()
    private val valueByName: Map<String, T> = names.associate { (value, name) -> name to value }

    fun encode(value: T): String = nameByValue.getValue(value)

    fun decode(field: String, name: String): T = valueByName[name] ?: throw MalformedJson("$field: unknown")
}

/**
 * Converts jobs from and to JSON. Submissions and records in the state service have the same fields. A submission must
 * contain all that can't be null; a record may have been written by an earlier version, without some of them.
 */
public object JobCodec {
    /** The maximum number of tasks of a job. */
    public const val MAX_TASKS: Int = 100_000

    private const val ONE_ZONE = "samePlace"
    private const val SPREAD = "spread"
    private const val SPOT_ALLOWED = "borrowedRigs"

    /** The fields that job templates need not set and that records of earlier versions may lack, with their values. */
    public val FLAG_DEFAULTS: Map<String, Boolean> = mapOf(ONE_ZONE to false, SPREAD to false, SPOT_ALLOWED to false)

    private const val MAX_NAME_LENGTH = 200
    private const val MAX_MACHINE_TYPES = 64

    private val kindNames = WireNames(JobKind.ARRAY to "array", JobKind.GANG to "gang", JobKind.SERVICE to "daemon")
    private val priorityNames = WireNames(
        Priority.PRODUCTION to "production",
        Priority.HIGH to "urgent",
        Priority.NORMAL to "normal",
        Priority.LOW to "idle",
    )

    /**
     * Reads only the id, which is sufficient to answer a repeated submission even if the rest of its body is invalid.
     * Throws [MalformedJson].
     */
    public fun id(body: JsonObject): JobId = parseId("id", body.string("id"))

    /**
     * Reads a job as it is submitted: only fields that may be null may be absent. Throws [MalformedJson], whose message
     * names the missing or invalid field.
     */
    public fun decodeSubmission(body: JsonObject): JobSpec = decode(body, body::boolean)

    /**
     * Reads a job that was accepted and stored, possibly by an earlier version: absent flags have [FLAG_DEFAULTS].
     * Throws [MalformedJson], whose message names the missing or invalid field.
     */
    public fun decodeStored(value: JsonObject): JobSpec =
        decode(value) { field -> value.booleanOrNull(field) ?: FLAG_DEFAULTS.getValue(field) }

    private fun decode(body: JsonObject, flag: (String) -> Boolean): JobSpec {
        val kind = kindNames.decode("lotKind", body.string("lotKind"))
        val tasks = decodeTaskCount(body)
        val resources = Resources.ofTask(body.amount("cores"), body.amount("accelerators"), body.amount("memGb"))
        val types = decodeTypes(body)
        return JobSpec(
            id = id(body),
            jobClass = checkedName("lotClass", body.string("lotClass")),
            team = TeamName(checkedName("desk", body.string("desk"))),
            kind = kind,
            priority = priorityNames.decode("urgency", body.string("urgency")),
            tasks = tasks,
            resources = resources,
            types = types,
            zone = body.stringOrNull("hall")?.let { Zone(checkedName("hall", it)) },
            oneZone = flag(ONE_ZONE),
            spread = flag(SPREAD),
            spotAllowed = flag(SPOT_ALLOWED),
            image = Image(checkedName("catchImage", body.string("catchImage"))),
            imageGb = body.amount("pullGb"),
            estimate = body.amount("haulS").seconds,
            checkpointInterval = body.amount("tallyS").seconds,
            checkpointDuration = body.amount("stowS").seconds,
            deadline = body.amountOrNull("closingS")?.seconds,
            repeatOf = body.stringOrNull("repeatOf")?.let { parseId("repeatOf", it) },
        )
    }

    private fun decodeTaskCount(body: JsonObject): Int {
        val tasks = body.long("crates")
        if (tasks !in 1..MAX_TASKS) throw MalformedJson("crates: not from 1 to $MAX_TASKS")
        return tasks.toInt()
    }

    private fun decodeTypes(body: JsonObject): Set<MachineType>? {
        val types = body.stringsOrNull("rigs")?.map { MachineType(checkedName("rigs", it)) }?.toSet()
        if (types != null && types.size > MAX_MACHINE_TYPES) throw MalformedJson("rigs: too many")
        return types
    }

    /** The fields of a job in the order in which they are stored; fields without a value are omitted. */
    public fun encode(spec: JobSpec): Map<String, Any?> = linkedMapOf(
        "id" to spec.id.text,
        "lotClass" to spec.jobClass,
        "desk" to spec.team.text,
        "lotKind" to kindNames.encode(spec.kind),
        "urgency" to priorityNames.encode(spec.priority),
        "crates" to spec.tasks,
        "cores" to spec.resources.cpus,
        "accelerators" to spec.resources.gpus,
        "memGb" to spec.resources.memoryGb,
        "catchImage" to spec.image.name,
        "pullGb" to spec.imageGb,
        "rigs" to spec.types?.map { it.name },
        "hall" to spec.zone?.name,
        ONE_ZONE to spec.oneZone,
        SPREAD to spec.spread,
        SPOT_ALLOWED to spec.spotAllowed,
        "haulS" to toSeconds(spec.estimate),
        "tallyS" to toSeconds(spec.checkpointInterval),
        "stowS" to toSeconds(spec.checkpointDuration),
        "closingS" to spec.deadline?.let(::toSeconds),
        "repeatOf" to spec.repeatOf?.text,
    ).filterValues { it != null }

    /** The response body that reports a job's status to a user. */
    public fun encodeStatus(id: JobId, status: JobStatus): ByteArray = Json.bytes(
        linkedMapOf(
            "id" to id.text,
            "standing" to status.phase.wireName,
            "done" to status.done,
            "running" to status.running,
        ),
    )

    private fun toSeconds(duration: Duration): Double = duration.toDouble(DurationUnit.SECONDS)

    private fun parseId(field: String, text: String): JobId =
        JobId.parse(text) ?: throw MalformedJson("$field: not of the form req-000412")

    private fun checkedName(field: String, text: String): String {
        if (text.length !in 1..MAX_NAME_LENGTH) {
            throw MalformedJson("$field: empty or over $MAX_NAME_LENGTH characters")
        }
        return text
    }
}
