package org.elderhitch.sweeps

import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson

/** The type of a parameter's values. */
public enum class ParamType(
    /** The name of the type in a template. */
    internal val keyword: String,
) {
    TEXT("text"),
    WHOLE("whole"),
    NUMBER("number"),
    FLAG("flag"),
}

/** A malformed point: its template can't make a job of it. [column]: the parameter or job field at fault. */
public class BadPoint(public val column: String, public val reason: String, cause: Throwable? = null) :
    Exception("$column: $reason", cause)

/** A template, description or points source that can't be used at all. */
public class BadTemplate(message: String, cause: Throwable? = null) : Exception(message, cause)

/** A parameter of a template: its type, its default and the values that it may have. */
public class Param internal constructor(
    public val name: String,
    public val type: ParamType,
    /** Null if there is none. A text may contain placeholders of other parameters. */
    public val default: Any?,
    private val min: Double?,
    private val max: Double?,
    private val choices: List<Any>?,
) {
    /** [raw] converted to the parameter's type and checked. Throws [BadPoint]. */
    public fun convert(raw: Any): Any {
        val value =
            convertOrNull(raw)
                ?: throw BadPoint(name, "\"${raw.toString().take(MAX_QUOTED)}\" is not of type ${type.keyword}")
        if (value is String) checkText(value)
        if (value is Number) checkRange(value)
        if (choices != null && value !in choices) throw BadPoint(name, "$value is not one of $choices")
        return value
    }

    /** Null if [raw] is not a value of this type. */
    private fun convertOrNull(raw: Any): Any? = when (type) {
        ParamType.TEXT -> raw.toString()

        ParamType.WHOLE -> raw as? Long ?: raw.toString().trim().toLongOrNull()

        ParamType.NUMBER -> (raw as? Number)?.toDouble()
            ?: raw.toString().trim().toDoubleOrNull()?.takeIf { it.isFinite() }

        ParamType.FLAG -> raw as? Boolean ?: raw.toString().trim().lowercase().toBooleanStrictOrNull()
    }

    private fun checkText(value: String) {
        if (value.length > MAX_TEXT_LENGTH) throw BadPoint(name, "over $MAX_TEXT_LENGTH characters")
        if (value.any { it < ' ' }) throw BadPoint(name, "has control characters")
    }

    private fun checkRange(value: Number) {
        val number = value.toDouble()
        val tooSmall = min != null && number < min
        val tooLarge = max != null && number > max
        if (tooSmall || tooLarge) {
            throw BadPoint(name, "$value is not from ${min ?: "any"} to ${max ?: "any"}")
        }
    }

    private companion object {
        const val MAX_QUOTED = 40
        const val MAX_TEXT_LENGTH = 200
    }
}

/**
 * A native job body with placeholders `${name}`, and the parameters whose values replace them. Flags that the body
 * doesn't set have their [JobCodec.FLAG_DEFAULTS]. The same values always give the same job.
 */
public class Template private constructor(
    public val params: Map<String, Param>,
    private val body: Map<String, Any?>,
    private val orderedParams: List<Param>,
) {
    /** The values of all parameters for a point: those [given], and defaults for the rest. Throws [BadPoint]. */
    public fun values(given: Map<String, Any?>): Map<String, Any> {
        given.keys.firstOrNull { it !in params }?.let { throw BadPoint(it, "not a parameter of the template") }
        val values = HashMap<String, Any>()
        for (param in orderedParams) {
            val raw =
                given[param.name] ?: param.default?.let { if (it is String) substitute(it, values) else it }
                    ?: throw BadPoint(param.name, "no value and no default")
            values[param.name] = param.convert(raw)
        }
        return values
    }

    /** The complete native job body of a point. Throws [BadPoint]. */
    public fun body(id: JobId, given: Map<String, Any?>): Map<String, Any?> {
        val values = values(given)
        return linkedMapOf<String, Any?>("id" to id.text) + body.mapValues { substitute(it.value, values) }
    }

    /** The job of a point. Throws [BadPoint], naming the field if the job codec refuses one. */
    public fun job(id: JobId, given: Map<String, Any?>): JobSpec = try {
        JobCodec.decodeSubmission(JsonObject.of(body(id, given)))
    } catch (e: MalformedJson) {
        val message = e.message.orEmpty()
        throw BadPoint(message.substringBefore(':'), message.substringAfter(": "))
    }

    private fun substitute(value: Any?, values: Map<String, Any>): Any? = when (value) {
        // A text that is a single placeholder and nothing else takes the parameter's type.
        is String -> PLACEHOLDER.matchEntire(value)?.let { values[it.groupValues[1]] }
            ?: PLACEHOLDER.replace(value) { values[it.groupValues[1]].toString().let(Regex::escapeReplacement) }

        is List<*> -> value.map { substitute(it, values) }

        else -> value
    }

    public companion object {
        private val PLACEHOLDER = Regex("\\$\\{([A-Za-z][A-Za-z0-9_]{0,39})}")
        private val NAME = Regex("[A-Za-z][A-Za-z0-9_]{0,39}")
        private const val MAX_PARAMS = 50
        private const val MAX_CHOICES = 200
        private val PARAM_FIELDS = setOf("type", "default", "least", "most", "choices")

        /** Fields that a template may not set: the sweep assigns the ids, and a point never repeats another job. */
        private val RESERVED = setOf("id", "repeatOf")

        /** Throws [BadTemplate]. */
        public fun parse(params: JsonObject?, job: JsonObject): Template {
            val read = params?.names.orEmpty().map { name ->
                param(name, params?.objectOrNull(name) ?: throw BadTemplate("params.$name: must be an object"))
            }
            if (read.size > MAX_PARAMS) throw BadTemplate("params: over $MAX_PARAMS")
            val body = job.names.associateWith { job.raw(it) }
            body.keys.firstOrNull { it in RESERVED }?.let { throw BadTemplate("job.$it: can't be set by a template") }
            val byName = read.associateBy { it.name }
            for ((field, value) in body) {
                val unknown = placeholders(value).firstOrNull { it !in byName }
                if (unknown != null) throw BadTemplate("job.$field: $unknown is not a parameter")
            }
            val unsetFlags = JobCodec.FLAG_DEFAULTS.filterKeys { !job.has(it) }
            return Template(byName, body + unsetFlags, inDependencyOrder(byName))
        }

        private fun placeholders(value: Any?): List<String> = when (value) {
            is String -> PLACEHOLDER.findAll(value).map { it.groupValues[1] }.toList()
            is List<*> -> value.flatMap(::placeholders)
            else -> emptyList()
        }

        private fun param(name: String, from: JsonObject): Param = try {
            if (!NAME.matches(name)) throw BadTemplate("params.$name: a name is letters, digits and _, at most 40")
            val unknown = from.names.firstOrNull { it !in PARAM_FIELDS }
            if (unknown != null) throw BadTemplate("params.$name.$unknown: unknown; known are ${PARAM_FIELDS.sorted()}")
            val type = paramType(name, from.stringOrNull("type") ?: "text")
            val min = bound(name, from, "least")
            val max = bound(name, from, "most")
            val choices = choices(from, Param(name, type, null, min, max, null))
            Param(name, type, from.raw("default"), min, max, choices).also { parsed ->
                parsed.default?.let { if (placeholders(it).isEmpty()) parsed.convert(it) }
            }
        } catch (e: BadPoint) {
            throw BadTemplate("params.$name: ${e.reason}", e)
        } catch (e: MalformedJson) {
            throw BadTemplate("params.$name.${e.message}", e)
        }

        private fun paramType(name: String, keyword: String): ParamType =
            ParamType.entries.firstOrNull { it.keyword == keyword }
                ?: throw BadTemplate(
                    "params.$name.type: $keyword is not one of ${ParamType.entries.map { it.keyword }}",
                )

        private fun bound(name: String, from: JsonObject, key: String): Double? {
            val value = from.raw(key) as? Number
            if (from.has(key) && value == null) throw BadTemplate("params.$name.$key: must be a number")
            return value?.toDouble()
        }

        /** The listed choices, converted by [unrestricted], the parameter without them. Null allows any value. */
        private fun choices(from: JsonObject, unrestricted: Param): List<Any>? {
            val listed = from.raw("choices") as? List<*> ?: return null
            val choices = listed.map {
                unrestricted.convert(it ?: throw BadTemplate("params.${unrestricted.name}.choices: null"))
            }
            if (choices.isEmpty() || choices.size > MAX_CHOICES) {
                throw BadTemplate("params.${unrestricted.name}.choices: not from 1 to $MAX_CHOICES")
            }
            return choices
        }

        /** The parameters in topological order, each after those in its default. Throws [BadTemplate] for a cycle. */
        private fun inDependencyOrder(params: Map<String, Param>): List<Param> {
            val done = LinkedHashMap<String, Param>()
            fun add(param: Param, path: List<String>) {
                if (param.name in done) return
                val pathHere = path + param.name
                val at = "params.${param.name}.default"
                if (param.name in path) throw BadTemplate("$at: circular reference: ${pathHere.joinToString(" -> ")}")
                for (name in placeholders(param.default)) {
                    add(params[name] ?: throw BadTemplate("$at: $name is not a parameter"), pathHere)
                }
                done[param.name] = param
            }
            params.values.forEach { add(it, emptyList()) }
            return done.values.toList()
        }
    }
}
