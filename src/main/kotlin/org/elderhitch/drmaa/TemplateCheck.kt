package org.elderhitch.drmaa

import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.TeamName
import org.elderhitch.time.WallTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * The exceptions of the DRMAA 1.0 specification that the daemon gives as reasons; the client throws those of the same
 * names.
 */
public enum class Fault(public val status: Int) {
    InvalidContactStringException(400),
    InvalidAttributeFormatException(400),
    InvalidAttributeValueException(400),
    ConflictingAttributeValuesException(400),
    InvalidArgumentException(400),
    AuthorizationException(403),
    DeniedByDrmException(422),
    InvalidJobException(404),
    NoActiveSessionException(404),
    HoldInconsistentStateException(409),
    ReleaseInconsistentStateException(409),
    SuspendInconsistentStateException(409),
    ResumeInconsistentStateException(409),
    TryLaterException(503),
    DrmCommunicationException(503),
}

/** A request that DRMAA refuses, with one line of reason. */
public class Refused(public val fault: Fault, public val reason: String, cause: Throwable? = null) :
    Exception(reason, cause)

/** Members `start, start + step, …` up to `end`, as the specification counts bulk jobs. */
public data class Bulk(val start: Int, val end: Int, val step: Int) {
    public val members: Int get() = (end - start) / step + 1

    public companion object {
        /** Throws [Refused]. */
        public fun of(start: Long, end: Long, step: Long): Bulk {
            if (step == 0L) throw Refused(Fault.InvalidArgumentException, "bulk: a step of 0")
            if (start < 1 || end < 1) throw Refused(Fault.InvalidArgumentException, "bulk: indices begin at 1")
            val wrongWay = if (step > 0) end < start else end > start
            if (wrongWay) throw Refused(Fault.InvalidArgumentException, "bulk: the end lies before the start")
            // Checked one by one: sums of what a client sends may overflow.
            if (maxOf(start, end) > Int.MAX_VALUE || step !in Int.MIN_VALUE..Int.MAX_VALUE) {
                throw Refused(Fault.InvalidArgumentException, "bulk: an index out of range")
            }
            val bulk = Bulk(start.toInt(), end.toInt(), step.toInt())
            if (bulk.members > JobCodec.MAX_TASKS) {
                throw Refused(Fault.InvalidArgumentException, "bulk: more than ${JobCodec.MAX_TASKS} members")
            }
            return bulk
        }
    }
}

/** What a template asks for, as the core takes it. */
public class Checked(
    public val spec: JobSpec,
    /** What stands beside the job in its record, for whoever runs its tasks. */
    public val extra: Map<String, Any?>,
    public val onHold: Boolean,
    /** Not to be submitted before; null: at once. */
    public val startAt: WallTime?,
)

/** From a template's attributes to a job: a pure function of the template, the categories and the time. */
public class TemplateCheck(private val categories: Map<String, Map<String, Any?>>) {
    /** Throws [Refused] naming the attribute. */
    public fun check(name: JobName, team: TeamName, template: JsonObject, bulk: Bulk?, now: WallTime): Checked {
        unknown(template)
        val native = native(template.text("native"))
        val startAt = template.time("startAt")
        val deadline = template.time("deadlineAt")
        if (deadline != null) checkDeadline(deadline, startAt ?: now, native)
        val runs = template.number("softRunS")
        if (runs != null && HAUL in native) conflict("softRunDurationLimit and $HAUL in nativeSpecification")
        if (bulk != null && TASKS in native) conflict("a bulk job and $TASKS in nativeSpecification")
        val body = body(name, team, template, bulk, native)
        if (runs != null) body[HAUL] = runs
        // A deadline counts from the submission, which for a job that starts later is when it starts.
        if (deadline != null) {
            body[CLOSING] = (deadline - (startAt?.takeIf { it > now } ?: now)).toDouble(DurationUnit.SECONDS)
        }
        val spec = decoded(body, native)
        if (bulk != null && spec.kind != JobKind.ARRAY) {
            conflict("a bulk job of kind ${body["lotKind"]}: its members are independent tasks")
        }
        return Checked(spec, extra(template, bulk), template.flag("hold") ?: false, startAt?.takeIf { it > now })
    }

    /** The native body: defaults, then the category, the command's image, and the template's own native fields. */
    private fun body(
        name: JobName,
        team: TeamName,
        template: JsonObject,
        bulk: Bulk?,
        native: Map<String, Any?>,
    ): MutableMap<String, Any?> {
        val body = LinkedHashMap(DEFAULTS)
        val category = template.text("category")
        if (category != null) {
            body.putAll(categories[category] ?: value("jobCategory: unknown; known are ${categories.keys.sorted()}"))
        }
        template.text("command")?.let { body.putIfAbsent(IMAGE, it) }
        body.putAll(native)
        body["id"] = name.toString()
        body["desk"] = team.text
        body.putIfAbsent("lotClass", category ?: "drmaa")
        if (bulk != null) body[TASKS] = bulk.members.toLong()
        return body
    }

    private fun checkDeadline(deadline: WallTime, start: WallTime, native: Map<String, Any?>) {
        if (deadline <= start) conflict("deadlineTime lies before startTime, or has passed")
        if (CLOSING in native) conflict("deadlineTime and $CLOSING in nativeSpecification")
    }

    private fun decoded(body: Map<String, Any?>, native: Map<String, Any?>): JobSpec = try {
        JobCodec.decode(JsonObject.of(body))
    } catch (e: MalformedJson) {
        val reason = "${attributeOf(e.message.orEmpty(), native)}: ${e.message}"
        throw Refused(Fault.InvalidAttributeValueException, reason, e)
    }

    private fun unknown(template: JsonObject) {
        // Unlike native bodies: an attribute that nobody looks at would be a promise that nobody keeps.
        val name = template.names.firstOrNull { it !in ATTRIBUTES } ?: return
        throw Refused(Fault.InvalidAttributeValueException, "$name: no attribute that is known here")
    }

    /** `key=value` pairs between spaces; each overrides a field of the native body. */
    private fun native(text: String?): Map<String, Any?> {
        if (text == null) return emptyMap()
        val fields = LinkedHashMap<String, Any?>()
        for (pair in text.split(' ', '\t', '\n').filter { it.isNotEmpty() }) {
            val key = pair.substringBefore('=')
            if ('=' !in pair) {
                throw Refused(
                    Fault.InvalidAttributeFormatException,
                    "nativeSpecification: \"$key\" is no key=value",
                )
            }
            val form = NATIVE[key] ?: value("nativeSpecification: $key: unknown; known are ${NATIVE.keys.sorted()}")
            if (fields.containsKey(
                    key,
                )
            ) {
                throw Refused(Fault.InvalidAttributeFormatException, "nativeSpecification: $key: set twice")
            }
            fields[key] = form.read(pair.substringAfter('='))
                ?: throw Refused(Fault.InvalidAttributeFormatException, "nativeSpecification: $key: not ${form.what}")
        }
        return fields
    }

    private fun attributeOf(reason: String, native: Map<String, Any?>): String =
        if (reason.substringBefore(':') in native) "nativeSpecification" else "template"

    private fun extra(template: JsonObject, bulk: Bulk?): Map<String, Any?> {
        val described = DESCRIBING.associateWith { template.raw(it) }.filterValues { it != null }
        val range = bulk?.let { mapOf("bulk" to listOf(it.start, it.end, it.step)) }.orEmpty()
        return if (described.isEmpty() && range.isEmpty()) emptyMap() else mapOf("drmaa" to described + range)
    }

    private fun conflict(reason: String): Nothing = throw Refused(Fault.ConflictingAttributeValuesException, reason)

    private fun value(reason: String): Nothing = throw Refused(Fault.InvalidAttributeValueException, reason)

    private fun <T> formed(read: () -> T): T = try {
        read()
    } catch (e: MalformedJson) {
        throw Refused(Fault.InvalidAttributeFormatException, e.message.orEmpty(), e)
    }

    private fun JsonObject.text(name: String): String? = formed { stringOrNull(name) }

    private fun JsonObject.flag(name: String): Boolean? = formed { booleanOrNull(name) }

    private fun JsonObject.number(name: String): Double? = formed { amountOrNull(name) }

    private fun JsonObject.time(name: String): WallTime? = formed { longOrNull(name) }?.let(::WallTime)
        ?.also {
            if (it.ms < 0 || it > LATEST) {
                throw Refused(Fault.InvalidAttributeValueException, "$name: out of range")
            }
        }

    private enum class Form(val what: String, val read: (String) -> Any?) {
        TEXT("a text", { it.ifEmpty { null } }),
        COUNT("a whole number", { it.toLongOrNull() }),
        AMOUNT("a number", { text -> text.toDoubleOrNull()?.takeIf { it.isFinite() } }),
        FLAG("true or false", { it.toBooleanStrictOrNull() }),
        LIST("a list between commas", { text -> text.split(',').takeIf { list -> list.none(String::isEmpty) } }),
    }

    public companion object {
        private const val TASKS = "crates"
        private const val IMAGE = "catchImage"
        private const val HAUL = "haulS"
        private const val CLOSING = "closingS"
        private val LATEST = WallTime(0) + (1000L * 365 * 24 * 3600 * 1000).milliseconds

        private val NATIVE = mapOf(
            "lotKind" to Form.TEXT, "urgency" to Form.TEXT, TASKS to Form.COUNT, "cores" to Form.AMOUNT,
            "accelerators" to Form.AMOUNT,
            "memGb" to Form.AMOUNT, IMAGE to Form.TEXT, "pullGb" to Form.AMOUNT, "rigs" to Form.LIST,
            "hall" to Form.TEXT,
            "samePlace" to Form.FLAG, "spread" to Form.FLAG, "borrowedRigs" to Form.FLAG, HAUL to Form.AMOUNT,
            "tallyS" to Form.AMOUNT,
            "stowS" to Form.AMOUNT, CLOSING to Form.AMOUNT, "repeatOf" to Form.TEXT,
        )

        /** What a category may set: all that a template may, and the class. */
        public val CATEGORY_FIELDS: Set<String> = NATIVE.keys - "repeatOf" + "lotClass"

        private val DEFAULTS: Map<String, Any?> = mapOf(
            "lotKind" to "array", "urgency" to "normal", TASKS to 1L, "cores" to 1.0, "accelerators" to 0.0,
            "memGb" to 1.0, "pullGb" to 0.0,
            HAUL to 60.0, "tallyS" to 0.0, "stowS" to 0.0,
        )

        /** Kept for whoever runs the tasks; the scheduler itself has no use for them. */
        private val DESCRIBING =
            listOf(
                "command",
                "args",
                "env",
                "directory",
                "name",
                "input",
                "output",
                "error",
                "joinFiles",
                "email",
                "blockEmail",
            )
        private val ATTRIBUTES =
            DESCRIBING.toSet() + setOf("category", "native", "hold", "startAt", "deadlineAt", "softRunS")
    }
}
