package org.elderhitch.sweeps

import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson

/** What a parameter's values are. */
public enum class ParamType(
    /** Its name in a template. */
    internal val word: String,
) {
    TEXT("text"),
    WHOLE("whole"),
    NUMBER("number"),
    FLAG("flag"),
}

/** A point that its template can't make a job of. [column]: the parameter or field at fault. */
public class BadPoint(public val column: String, public val reason: String, cause: Throwable? = null) :
    Exception("$column: $reason", cause)

/** A template that can't be used, whatever the point. */
public class BadTemplate(message: String, cause: Throwable? = null) : Exception(message, cause)

/** A parameter of a template: its type, what it is without a value, and what values it may have. */
public class Param internal constructor(
    public val name: String,
    public val type: ParamType,
    /** Null: none. A text may have places of other parameters. */
    public val default: Any?,
    private val least: Double?,
    private val most: Double?,
    private val choices: List<Any>?,
) {
    /** The value as its type has it. Throws [BadPoint]. */
    public fun typed(raw: Any): Any {
        val value = converted(raw) ?: throw BadPoint(name, "\"${raw.toString().take(SHOWN)}\" is no ${type.word}")
        if (value is String) checkText(value)
        if (value is Number) checkRange(value)
        if (choices != null && value !in choices) throw BadPoint(name, "$value is none of $choices")
        return value
    }

    /** Null: it can't be read as a value of this type. */
    private fun converted(raw: Any): Any? = when (type) {
        ParamType.TEXT -> raw.toString()

        ParamType.WHOLE -> raw as? Long ?: raw.toString().trim().toLongOrNull()

        ParamType.NUMBER -> (raw as? Number)?.toDouble()
            ?: raw.toString().trim().toDoubleOrNull()?.takeIf { it.isFinite() }

        ParamType.FLAG -> raw as? Boolean ?: raw.toString().trim().lowercase().toBooleanStrictOrNull()
    }

    private fun checkText(value: String) {
        if (value.length > LONGEST) throw BadPoint(name, "over $LONGEST characters")
        if (value.any { it < ' ' }) throw BadPoint(name, "has control characters")
    }

    private fun checkRange(value: Number) {
        val number = value.toDouble()
        val tooSmall = least != null && number < least
        val tooLarge = most != null && number > most
        if (tooSmall || tooLarge) {
            throw BadPoint(name, "$value is not from ${least ?: "any"} to ${most ?: "any"}")
        }
    }

    private companion object {
        const val SHOWN = 40
        const val LONGEST = 200
    }
}

/**
 * A native job's body with places `${name}`, and the parameters that fill them. Pure: the same values give the same
 * job.
 */
public class Template private constructor(
    public val params: Map<String, Param>,
    private val body: Map<String, Any?>,
    private val order: List<Param>,
) {
    /** The point's parameters, defaults filled in. Throws [BadPoint]. */
    public fun values(given: Map<String, Any?>): Map<String, Any> {
        given.keys.firstOrNull { it !in params }?.let { throw BadPoint(it, "no parameter of the template") }
        val values = HashMap<String, Any>()
        for (param in order) {
            val raw =
                given[param.name] ?: param.default?.let { if (it is String) fill(it, values) else it }
                    ?: throw BadPoint(param.name, "no value and no default")
            values[param.name] = param.typed(raw)
        }
        return values
    }

    /** The native body of a point. Throws [BadPoint]. */
    public fun body(id: JobId, given: Map<String, Any?>): Map<String, Any?> {
        val values = values(given)
        return linkedMapOf<String, Any?>("id" to id.text) + body.mapValues { fill(it.value, values) }
    }

    /** Throws [BadPoint] with the field that the codec refuses. */
    public fun job(id: JobId, given: Map<String, Any?>): JobSpec = try {
        JobCodec.decode(JsonObject.of(body(id, given)))
    } catch (e: MalformedJson) {
        val message = e.message.orEmpty()
        throw BadPoint(message.substringBefore(':'), message.substringAfter(": "))
    }

    private fun fill(value: Any?, values: Map<String, Any>): Any? = when (value) {
        // A text that is one place and nothing else has the parameter's type.
        is String -> PLACE.matchEntire(value)?.let { values[it.groupValues[1]] }
            ?: PLACE.replace(value) { values[it.groupValues[1]].toString().let(Regex::escapeReplacement) }

        is List<*> -> value.map { fill(it, values) }

        else -> value
    }

    public companion object {
        private val PLACE = Regex("\\$\\{([A-Za-z][A-Za-z0-9_]{0,39})}")
        private val NAME = Regex("[A-Za-z][A-Za-z0-9_]{0,39}")
        private const val MOST_PARAMS = 50
        private const val MOST_CHOICES = 200
        private val PARAM_FIELDS = setOf("type", "default", "least", "most", "choices")

        /** Not a template's: the sweep gives ids, and a point repeats nothing. */
        private val RESERVED = setOf("id", "repeatOf")

        /** Throws [BadTemplate]. */
        public fun parse(params: JsonObject?, job: JsonObject): Template {
            val read = params?.names.orEmpty().map { name ->
                param(
                    name,
                    params?.objectOrNull(name) ?: throw BadTemplate("params.$name: must be an object"),
                )
            }
            if (read.size > MOST_PARAMS) throw BadTemplate("params: over $MOST_PARAMS")
            val body = job.names.associateWith { job.raw(it) }
            body.keys.firstOrNull { it in RESERVED }?.let { throw BadTemplate("job.$it: is not a template's") }
            val byName = read.associateBy { it.name }
            for ((field, value) in body) {
                places(value).firstOrNull {
                    it !in byName
                }?.let { throw BadTemplate("job.$field: $it is no parameter") }
            }
            return Template(byName, body, ordered(byName))
        }

        private fun places(value: Any?): List<String> = when (value) {
            is String -> PLACE.findAll(value).map { it.groupValues[1] }.toList()
            is List<*> -> value.flatMap(::places)
            else -> emptyList()
        }

        private fun param(name: String, from: JsonObject): Param = try {
            if (!NAME.matches(name)) throw BadTemplate("params.$name: a name is letters, digits and _, at most 40")
            val unknown = from.names.firstOrNull { it !in PARAM_FIELDS }
            if (unknown != null) throw BadTemplate("params.$name.$unknown: unknown; known are ${PARAM_FIELDS.sorted()}")
            val type = paramType(name, from.stringOrNull("type") ?: "text")
            val least = bound(name, from, "least")
            val most = bound(name, from, "most")
            val choices = choices(from, Param(name, type, null, least, most, null))
            Param(name, type, from.raw("default"), least, most, choices).also { made ->
                made.default?.let { if (places(it).isEmpty()) made.typed(it) }
            }
        } catch (e: BadPoint) {
            throw BadTemplate("params.$name: ${e.reason}", e)
        } catch (e: MalformedJson) {
            throw BadTemplate("params.$name.${e.message}", e)
        }

        private fun paramType(name: String, word: String): ParamType = ParamType.entries.firstOrNull { it.word == word }
            ?: throw BadTemplate("params.$name.type: $word is none of ${ParamType.entries.map { it.word }}")

        private fun bound(name: String, from: JsonObject, key: String): Double? {
            val value = from.raw(key) as? Number
            if (from.has(key) && value == null) throw BadTemplate("params.$name.$key: must be a number")
            return value?.toDouble()
        }

        /** The values that [plain], a parameter without choices, may have; null: any. */
        private fun choices(from: JsonObject, plain: Param): List<Any>? {
            val listed = from.raw("choices") as? List<*> ?: return null
            val choices = listed.map { plain.typed(it ?: throw BadTemplate("params.${plain.name}.choices: null")) }
            if (choices.isEmpty() || choices.size > MOST_CHOICES) {
                throw BadTemplate("params.${plain.name}.choices: not from 1 to $MOST_CHOICES")
            }
            return choices
        }

        /** Each after those that its default names. Throws [BadTemplate] for a circle. */
        private fun ordered(params: Map<String, Param>): List<Param> {
            val done = LinkedHashMap<String, Param>()
            fun add(param: Param, path: List<String>) {
                if (param.name in done) return
                if (param.name in path) {
                    throw BadTemplate(
                        "params.${param.name}.default: goes in a circle: ${(path + param.name).joinToString(
                            " -> ",
                        )}",
                    )
                }
                for (name in places(param.default)) {
                    add(
                        params[name] ?: throw BadTemplate("params.${param.name}.default: $name is no parameter"),
                        path + param.name,
                    )
                }
                done[param.name] = param
            }
            params.values.forEach { add(it, emptyList()) }
            return done.values.toList()
        }
    }
}
