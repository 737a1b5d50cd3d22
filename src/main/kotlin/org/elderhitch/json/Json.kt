package org.elderhitch.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import java.io.ByteArrayOutputStream
import java.math.BigInteger

/** The input is not JSON, or not of the expected form. The message may be returned to the sender. */
public class MalformedJson(message: String, cause: Throwable? = null) : Exception(message, cause)

/**
 * Converts between JSON and plain maps, lists, strings, numbers and booleans with Jackson's streaming API. Jackson's
 * data binding isn't used because its start-up takes more CPU time than the small CPU share of a controller allows.
 */
public object Json {
    private const val MAX_DEPTH = 24
    private val factory: JsonFactory = JsonFactory.builder()
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
        .build()

    /** Parses exactly one value; throws [MalformedJson] if [bytes] hold anything else. */
    public fun parse(bytes: ByteArray): Any? = try {
        factory.createParser(bytes).use { parser ->
            parser.nextToken() ?: throw MalformedJson("not JSON: empty")
            val value = readValue(parser)
            if (parser.nextToken() != null) throw MalformedJson("not JSON: text after the value")
            value
        }
    } catch (e: JsonProcessingException) {
        throw MalformedJson("not JSON: ${e.originalMessage.lineSequence().first()}", e)
    } catch (e: java.io.IOException) {
        throw MalformedJson("not JSON: ${e.message}", e)
    }

    /** Like [parse], for a value that must be an object. */
    public fun parseObject(bytes: ByteArray): JsonObject {
        val value = parse(bytes)
        if (value !is Map<*, *>) throw MalformedJson("not a JSON object")
        return JsonObject.of(value)
    }

    private fun readValue(parser: JsonParser): Any? = when (val token = parser.currentToken()) {
        JsonToken.START_OBJECT -> {
            val map = LinkedHashMap<String, Any?>()
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                val name = parser.currentName() ?: throw MalformedJson("not JSON: unfinished object")
                parser.nextToken()
                map[name] = readValue(parser)
            }
            map
        }

        JsonToken.START_ARRAY -> {
            val list = ArrayList<Any?>()
            while (parser.nextToken() != JsonToken.END_ARRAY) list.add(readValue(parser))
            list
        }

        JsonToken.VALUE_STRING -> parser.text

        JsonToken.VALUE_NUMBER_INT -> when (parser.numberType) {
            JsonParser.NumberType.INT, JsonParser.NumberType.LONG -> parser.longValue
            else -> parser.bigIntegerValue
        }

        JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue

        JsonToken.VALUE_TRUE -> true

        JsonToken.VALUE_FALSE -> false

        JsonToken.VALUE_NULL -> null

        else -> throw MalformedJson("not JSON: unexpected ${token ?: "end"}")
    }

    /** Encodes null, maps, collections, strings, booleans and numbers of the types that [writeValue] knows. */
    public fun bytes(value: Any?): ByteArray {
        val out = ByteArrayOutputStream(INITIAL_BUFFER_BYTES)
        factory.createGenerator(out).use { writeValue(it, value) }
        return out.toByteArray()
    }

    public fun text(value: Any?): String = bytes(value).decodeToString()

    private fun writeValue(generator: JsonGenerator, value: Any?) {
        when (value) {
            null -> generator.writeNull()

            is String -> generator.writeString(value)

            is Int -> generator.writeNumber(value)

            is Long -> generator.writeNumber(value)

            is BigInteger -> generator.writeNumber(value)

            is Double -> generator.writeNumber(value)

            is Boolean -> generator.writeBoolean(value)

            is Map<*, *> -> {
                generator.writeStartObject()
                for ((name, element) in value) {
                    generator.writeFieldName(name.toString())
                    writeValue(generator, element)
                }
                generator.writeEndObject()
            }

            is Collection<*> -> {
                generator.writeStartArray()
                for (element in value) writeValue(generator, element)
                generator.writeEndArray()
            }

            else -> throw IllegalArgumentException("no JSON encoding for ${value.javaClass}")
        }
    }

    private const val INITIAL_BUFFER_BYTES = 512
}

/**
 * Typed access to the fields of a JSON object. A field that is null counts as absent. The functions that name a type
 * throw [MalformedJson] if the field has another one, or if it is absent, unless they say otherwise.
 */
public class JsonObject private constructor(private val fields: Map<*, *>) {
    /** Whether the field is present and not null. */
    public fun has(name: String): Boolean = fields[name] != null

    /** The value as [Json.parse] returns it; null if absent. */
    public fun raw(name: String): Any? = fields[name]

    public val names: Collection<String> get() = fields.keys.map { it.toString() }

    public fun stringOrNull(name: String): String? = when (val value = fields[name]) {
        null -> null
        is String -> value
        else -> throw MalformedJson("$name: not a string")
    }

    public fun string(name: String): String = stringOrNull(name) ?: missing(name)

    public fun longOrNull(name: String): Long? = when (val value = fields[name]) {
        null -> null
        is Long -> value
        else -> throw MalformedJson("$name: not an integer in range")
    }

    public fun long(name: String): Long = longOrNull(name) ?: missing(name)

    /** An integer that is not negative. */
    public fun count(name: String): Long = long(name).also { if (it < 0) throw MalformedJson("$name: negative") }

    /** A finite number from 0 to [MAX_AMOUNT]. */
    public fun amountOrNull(name: String): Double? {
        val value = when (val raw = fields[name]) {
            null -> return null
            is Double -> raw
            is Long -> raw.toDouble()
            is BigInteger -> raw.toDouble()
            else -> throw MalformedJson("$name: not a number")
        }
        if (!value.isFinite() || value < 0 || value > MAX_AMOUNT) throw MalformedJson("$name: out of range")
        return value
    }

    public fun amount(name: String): Double = amountOrNull(name) ?: missing(name)

    public fun booleanOrNull(name: String): Boolean? = when (val value = fields[name]) {
        null -> null
        is Boolean -> value
        else -> throw MalformedJson("$name: not true or false")
    }

    public fun boolean(name: String): Boolean = booleanOrNull(name) ?: missing(name)

    public fun objectOrNull(name: String): JsonObject? = when (val value = fields[name]) {
        null -> null
        is Map<*, *> -> JsonObject(value)
        else -> throw MalformedJson("$name: not an object")
    }

    public fun requireObject(name: String): JsonObject = objectOrNull(name) ?: missing(name)

    private fun listOrNull(name: String): List<*>? = when (val value = fields[name]) {
        null -> null
        is List<*> -> value
        else -> throw MalformedJson("$name: not a list")
    }

    /** Empty if the field is absent. */
    public fun objects(name: String): List<JsonObject> = listOrNull(name).orEmpty().map {
        if (it is Map<*, *>) JsonObject(it) else throw MalformedJson("$name: holds something that is no object")
    }

    public fun stringsOrNull(name: String): List<String>? = listOrNull(name)?.map {
        it as? String ?: throw MalformedJson("$name: holds something that is no string")
    }

    private fun missing(name: String): Nothing = throw MalformedJson("$name: missing")

    public companion object {
        private const val MAX_AMOUNT = 1e15

        public fun of(fields: Map<*, *>): JsonObject = JsonObject(fields)
    }
}
