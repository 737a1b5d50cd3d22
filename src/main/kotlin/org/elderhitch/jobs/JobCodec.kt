package org.elderhitch.jobs

import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Jobs as users send them and as the state service keeps them: one form for both. */
public object JobCodec {
    public const val MAX_TASKS: Int = 100_000
    private const val MAX_NAME_LENGTH = 200
    private const val MAX_TYPES = 64

    private val kinds = mapOf("array" to JobKind.ARRAY, "gang" to JobKind.GANG, "daemon" to JobKind.SERVICE)
    private val priorities = mapOf(
        "production" to Priority.PRODUCTION,
        "urgent" to Priority.HIGH,
        "normal" to Priority.NORMAL,
        "idle" to Priority.LOW,
    )

    /** The id alone: enough to answer a repeat, whatever else has become of its body. */
    public fun id(body: JsonObject): JobId {
        val text = body.string("id")
        return JobId.parse(text) ?: throw MalformedJson("id: not of the form req-000412")
    }

    public fun decode(body: JsonObject): JobSpec {
        val kind = kinds[body.string("lotKind")] ?: throw MalformedJson("lotKind: unknown")
        val tasks = body.long("crates")
        if (tasks !in 1..MAX_TASKS) throw MalformedJson("crates: not from 1 to $MAX_TASKS")
        val resources = Resources(body.amount("cores"), body.amount("accelerators"), body.amount("memGb"))
        val types = body.stringsOrNull("rigs")?.map { MachineType(name("rigs", it)) }?.toSet()
        if (types != null && types.size > MAX_TYPES) throw MalformedJson("rigs: too many")
        return JobSpec(
            id = id(body),
            jobClass = name("lotClass", body.string("lotClass")),
            team = TeamName(name("desk", body.string("desk"))),
            kind = kind,
            priority = priorities[body.string("urgency")] ?: throw MalformedJson("urgency: unknown"),
            tasks = tasks.toInt(),
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
            repeatOf = body.stringOrNull("repeatOf")?.let {
                JobId.parse(it)
                    ?: throw MalformedJson("repeatOf: not of the form req-000412")
            },
        )
    }

    public fun encode(spec: JobSpec): Map<String, Any?> = linkedMapOf(
        "id" to spec.id.text,
        "lotClass" to spec.jobClass,
        "desk" to spec.team.text,
        "lotKind" to kinds.entries.first { it.value == spec.kind }.key,
        "urgency" to priorities.entries.first { it.value == spec.priority }.key,
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
        "haulS" to spec.estimate.toDouble(DurationUnit.SECONDS),
        "tallyS" to spec.checkpointInterval.toDouble(DurationUnit.SECONDS),
        "stowS" to spec.checkpointDuration.toDouble(DurationUnit.SECONDS),
        "closingS" to spec.deadline?.toDouble(DurationUnit.SECONDS),
        "repeatOf" to spec.repeatOf?.text,
    ).filterValues { it != null }

    public fun standing(id: JobId, standing: JobStatus): ByteArray = Json.bytes(
        linkedMapOf(
            "id" to id.text,
            "standing" to standing.word,
            "done" to standing.done,
            "running" to standing.running,
        ),
    )

    private fun name(field: String, text: String): String = if (text.isEmpty() ||
        text.length > MAX_NAME_LENGTH
    ) {
        throw MalformedJson("$field: empty or over $MAX_NAME_LENGTH characters")
    } else {
        text
    }
}
