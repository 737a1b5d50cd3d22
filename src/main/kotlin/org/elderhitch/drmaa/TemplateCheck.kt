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

/** A checked job template, ready for submission. */
public class CheckedTemplate(
    public val spec: JobSpec,
    /** Fields stored with the job for the workers that run its tasks. */
    public val extra: Map<String, Any?>,
    public val onHold: Boolean,
    /** The earliest time of submission; null: at once. */
    public val startAt: WallTime?,
)

/** Converts a template's attributes to a job: a pure function of the template, the categories and the time. */
public class TemplateCheck(private val categories: Map<String, Map<String, Any?>>) {
    /** Throws [Refused] naming the attribute. */
    public fun check(name: JobName, team: TeamName, template: JsonObject, bulk: Bulk?, now: WallTime): CheckedTemplate {
        rejectUnknown(template)
        val native = NativeSpecification.parse(template.text("native"))
        val startAt = template.time("startAt")
        val deadline = template.time("deadlineAt")
        if (deadline != null) checkDeadline(deadline, startAt ?: now, native)
        val softRun = template.number("softRunS")
        if (softRun != null && ESTIMATE in native) conflict("softRunDurationLimit and $ESTIMATE in nativeSpecification")
        if (bulk != null && TASKS in native) conflict("a bulk job and $TASKS in nativeSpecification")
        val body = nativeBody(name, team, template, bulk, native)
        if (softRun != null) body[ESTIMATE] = softRun
        // The native deadline is relative to the submission, which for a job with a start time happens at that time.
        if (deadline != null) {
            body[DEADLINE] = (deadline - (startAt?.takeIf { it > now } ?: now)).toDouble(DurationUnit.SECONDS)
        }
        val spec = decodeSpec(body, native)
        if (bulk != null && spec.kind != JobKind.ARRAY) {
            conflict("a bulk job of kind ${body["lotKind"]}: bulk jobs must be of kind array")
        }
        return CheckedTemplate(
            spec,
            extra(template, bulk),
            template.flag("hold") ?: false,
            startAt?.takeIf { it > now },
        )
    }

    /**
     * The native job description: defaults, overridden by the category and then by the native specification. The
     * command names the image unless one of these does.
     */
    private fun nativeBody(
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
        if (deadline <= start) conflict("deadlineTime is not after startTime, or has passed")
        if (DEADLINE in native) conflict("deadlineTime and $DEADLINE in nativeSpecification")
    }

    private fun decodeSpec(body: Map<String, Any?>, native: Map<String, Any?>): JobSpec = try {
        JobCodec.decodeSubmission(JsonObject.of(body))
    } catch (e: MalformedJson) {
        val reason = "${attributeOf(e.message.orEmpty(), native)}: ${e.message}"
        throw Refused(Fault.InvalidAttributeValueException, reason, e)
    }

    private fun rejectUnknown(template: JsonObject) {
        // Unlike the native API, rejects unknown attributes: they would be accepted without any effect.
        val name = template.names.firstOrNull { it !in ATTRIBUTES } ?: return
        throw Refused(Fault.InvalidAttributeValueException, "$name: unknown attribute")
    }

    private fun attributeOf(reason: String, native: Map<String, Any?>): String =
        if (reason.substringBefore(':') in native) "nativeSpecification" else "template"

    private fun extra(template: JsonObject, bulk: Bulk?): Map<String, Any?> {
        val passedThrough = PASSED_THROUGH.associateWith { template.raw(it) }.filterValues { it != null }
        val range = bulk?.let { mapOf("bulk" to listOf(it.start, it.end, it.step)) }.orEmpty()
        return if (passedThrough.isEmpty() && range.isEmpty()) emptyMap() else mapOf("drmaa" to passedThrough + range)
    }

    private fun conflict(reason: String): Nothing = throw Refused(Fault.ConflictingAttributeValuesException, reason)

    private fun value(reason: String): Nothing = throw Refused(Fault.InvalidAttributeValueException, reason)

    private fun <T> requireFormat(read: () -> T): T = try {
        read()
    } catch (e: MalformedJson) {
        throw Refused(Fault.InvalidAttributeFormatException, e.message.orEmpty(), e)
    }

    private fun JsonObject.text(name: String): String? = requireFormat { stringOrNull(name) }

    private fun JsonObject.flag(name: String): Boolean? = requireFormat { booleanOrNull(name) }

    private fun JsonObject.number(name: String): Double? = requireFormat { amountOrNull(name) }

    private fun JsonObject.time(name: String): WallTime? {
        val time = requireFormat { longOrNull(name) }?.let(::WallTime) ?: return null
        if (time.ms < 0 || time > MAX_TIME) value("$name: out of range")
        return time
    }

    public companion object {
        private const val TASKS = "crates"
        private const val IMAGE = "catchImage"
        private const val ESTIMATE = "haulS"
        private const val DEADLINE = "closingS"
        private val MAX_TIME = WallTime(0) + (1000L * 365 * 24 * 3600 * 1000).milliseconds

        /** Fields that a category may set: those of a native specification except `repeatOf`, and the job class. */
        public val CATEGORY_FIELDS: Set<String> = NativeSpecification.fields - "repeatOf" + "lotClass"

        private val DEFAULTS: Map<String, Any?> = mapOf(
            "lotKind" to "array",
            "urgency" to "normal",
            TASKS to 1L,
            "cores" to 1.0,
            "accelerators" to 0.0,
            "memGb" to 1.0,
            "pullGb" to 0.0,
            ESTIMATE to 60.0,
            "tallyS" to 0.0,
            "stowS" to 0.0,
        ) + JobCodec.FLAG_DEFAULTS

        /** Attributes that are only passed on to the workers; the scheduler doesn't use them. */
        private val PASSED_THROUGH = listOf(
            "command", "args", "env", "directory", "name",
            "input", "output", "error", "joinFiles", "email", "blockEmail",
        )
        private val ATTRIBUTES =
            PASSED_THROUGH.toSet() + setOf("category", "native", "hold", "startAt", "deadlineAt", "softRunS")
    }
}
