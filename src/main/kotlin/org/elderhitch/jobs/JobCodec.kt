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

/** Jobs as users send them and as the state service stores them: one form for both. */
public object JobCodec {
    /** The most tasks that a job may have. */
    public const val MAX_TASKS: Int = 100_000
    private const val MAX_NAME_LENGTH = 200
    private const val MAX_TYPES = 64

    private val kinds = WireNames(JobKind.ARRAY to "array", JobKind.GANG to "gang", JobKind.SERVICE to "daemon")
    private val priorities = WireNames(
        Priority.PRODUCTION to "production",
        Priority.HIGH to "urgent",
        Priority.NORMAL to "normal",
        Priority.LOW to "idle",
    )

    /**
     * Reads the id alone, which is enough to answer a repeated submission whatever else its body holds. Throws
     * [MalformedJson].
     */
    public fun id(body: JsonObject): JobId = parsedId("id", body.string("id"))

    /** Reads a job; throws [MalformedJson], which names the field that is wrong. */
    public fun decode(body: JsonObject): JobSpec {
        val kind = kinds.decode("lotKind", body.string("lotKind"))
        val tasks = decodeTaskCount(body)
        val resources = Resources(body.amount("cores"), body.amount("accelerators"), body.amount("memGb"))
        val types = decodeTypes(body)
        return JobSpec(
            id = id(body),
            jobClass = name("lotClass", body.string("lotClass")),
            team = TeamName(name("desk", body.string("desk"))),
            kind = kind,
            priority = priorities.decode("urgency", body.string("urgency")),
            tasks = tasks,
            resources = resources,
            types = types,
            zone = body.stringOrNull("hall")?.let { Zone(name("hall", it)) },
            oneZone = body.booleanOrNull("samePlace") ?: false,
            spread = body.booleanOrNull("spread") ?: false,
            spotAllowed = body.booleanOrNull("borrowedRigs") ?: false,
            image = Image(name("catchImage", body.string("catchImage"))),
            imageGb = body.amount("pullGb"),
            estimate = body.amount("haulS").seconds,
            checkpointInterval = body.amount("tallyS").seconds,
            checkpointDuration = body.amount("stowS").seconds,
            deadline = body.amountOrNull("closingS")?.seconds,
            repeatOf = body.stringOrNull("repeatOf")?.let { parsedId("repeatOf", it) },
        )
    }

    private fun decodeTaskCount(body: JsonObject): Int {
        val tasks = body.long("crates")
        if (tasks !in 1..MAX_TASKS) throw MalformedJson("crates: not from 1 to $MAX_TASKS")
        return tasks.toInt()
    }

    private fun decodeTypes(body: JsonObject): Set<MachineType>? {
        val types = body.stringsOrNull("rigs")?.map { MachineType(name("rigs", it)) }?.toSet()
        if (types != null && types.size > MAX_TYPES) throw MalformedJson("rigs: too many")
        return types
    }

    /** The fields of a job, in their stored order; absent ones are left out. */
    public fun encode(spec: JobSpec): Map<String, Any?> = linkedMapOf(
        "id" to spec.id.text,
        "lotClass" to spec.jobClass,
        "desk" to spec.team.text,
        "lotKind" to kinds.encode(spec.kind),
        "urgency" to priorities.encode(spec.priority),
        "crates" to spec.tasks,
        "cores" to spec.resources.cpus,
        "accelerators" to spec.resources.gpus,
        "memGb" to spec.resources.memoryGb,
        "catchImage" to spec.image.name,
        "pullGb" to spec.imageGb,
        "rigs" to spec.types?.map { it.name },
        "hall" to spec.zone?.name,
        "samePlace" to spec.oneZone,
        "spread" to spec.spread,
        "borrowedRigs" to spec.spotAllowed,
        "haulS" to inSeconds(spec.estimate),
        "tallyS" to inSeconds(spec.checkpointInterval),
        "stowS" to inSeconds(spec.checkpointDuration),
        "closingS" to spec.deadline?.let(::inSeconds),
        "repeatOf" to spec.repeatOf?.text,
    ).filterValues { it != null }

    /** The response that tells a user how a job stands. */
    public fun encodeStatus(id: JobId, status: JobStatus): ByteArray = Json.bytes(
        linkedMapOf(
            "id" to id.text,
            "standing" to status.phase.wireName,
            "done" to status.done,
            "running" to status.running,
        ),
    )

    private fun inSeconds(duration: Duration): Double = duration.toDouble(DurationUnit.SECONDS)

    private fun parsedId(field: String, text: String): JobId =
        JobId.parse(text) ?: throw MalformedJson("$field: not of the form req-000412")

    private fun name(field: String, text: String): String {
        if (text.length !in 1..MAX_NAME_LENGTH) {
            throw MalformedJson("$field: empty or over $MAX_NAME_LENGTH characters")
        }
        return text
    }
}
