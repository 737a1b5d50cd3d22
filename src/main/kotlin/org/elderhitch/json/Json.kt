package org.elderhitch.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import java.io.ByteArrayOutputStream
import java.math.BigInteger

/** The text is not JSON, or not of the form that its reader needs. The message is fit for the sender. */
public class MalformedJson(message: String, cause: Throwable? = null) : Exception(message, cause)

/**
 * JSON values as plain maps, lists, strings, numbers and booleans over Jackson's streaming parser. The data binding
 * of Jackson is left out: its start-up costs more processor time than a controller of these sizes has.
 */
public object Json {
    private const val MAX_DEPTH = 24
    private val factory: JsonFactory = JsonFactory.builder()
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
        .build()

    public fun parse(bytes: ByteArray): Any? = try {
        factory.createParser(bytes).use { parser ->
            parser.nextToken() ?: throw MalformedJson("not JSON: empty")
            val value = read(parser)
            if (parser.nextToken() != null) throw MalformedJson("not JSON: text after the value")
            value
        }
    } catch (e: JsonProcessingException) {
        throw MalformedJson("not JSON: ${e.originalMessage.lineSequence().first()}", e)
    } catch (e: java.io.IOException) {
        throw MalformedJson("not JSON: ${e.message}", e)
    }

    public fun parseObject(bytes: ByteArray): JsonObject {
        val value = parse(bytes)
        if (value !is Map<*, *>) throw MalformedJson("not a JSON object")
        return JsonObject.of(value)
    }

    private fun read(parser: JsonParser): Any? = when (val token = parser.currentToken()) {
        JsonToken.START_OBJECT -> {
            val map = LinkedHashMap<String, Any?>()
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                val name = parser.currentName() ?: throw MalformedJson("not JSON: unfinished object")
                parser.nextToken()
                map[name] = read(parser)
            }
            map
        }

        JsonToken.START_ARRAY -> {
            val list = ArrayList<Any?>()
            while (parser.nextToken() != JsonToken.END_ARRAY) list.add(read(parser))
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

    public fun bytes(value: Any?): ByteArray {
        val out = ByteArrayOutputStream(INITIAL_BYTES)
        factory.createGenerator(out).use { write(it, value) }
        return out.toByteArray()
    }

    public fun text(value: Any?): String = bytes(value).decodeToString()

    private fun write(to: JsonGenerator, value: Any?) {
        when (value) {
            null -> to.writeNull()

            is String -> to.writeString(value)

            is Int -> to.writeNumber(value)

            is Long -> to.writeNumber(value)

            is BigInteger -> to.writeNumber(value)

            is Double -> to.writeNumber(value)

            is Boolean -> to.writeBoolean(value)

            is Map<*, *> -> {
                to.writeStartObject()
                for ((k, v) in value) {
                    to.writeFieldName(k.toString())
                    write(to, v)
                }
                to.writeEndObject()
            }

            is Collection<*> -> {
                to.writeStartArray()
                for (v in value) write(to, v)
                to.writeEndArray()
            }

            else -> throw IllegalArgumentException("no JSON form for ${value.javaClass}")
        }
    }

    private const val INITIAL_BYTES = 512
}

/** A JSON object whose fields are read by the type that the reader needs. A field that is null counts as absent. */
public class JsonObject private constructor(private val fields: Map<*, *>) {
    public fun has(name: String): Boolean = fields[name] != null

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

    /** A count that is not negative. */
    public fun count(name: String): Long = long(name).also { if (it < 0) throw MalformedJson("$name: negative") }

    public fun amountOrNull(name: String): Double? {
        val value = when (val raw = fields[name]) {
            null -> return null
            is Double -> raw
            is Long -> raw.toDouble()
            is BigInteger -> raw.toDouble()
            else -> throw MalformedJson("$name: not a number")
        }
        if (!value.isFinite() || value < 0 || value > LARGEST_AMOUNT) throw MalformedJson("$name: out of range")
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

    public fun obj(name: String): JsonObject = objectOrNull(name) ?: missing(name)

    private fun listOrNull(name: String): List<*>? = when (val value = fields[name]) {
        null -> null
        is List<*> -> value
        else -> throw MalformedJson("$name: not a list")
    }

    public fun objects(name: String): List<JsonObject> = listOrNull(name).orEmpty().map {
        if (it is Map<*, *>) JsonObject(it) else throw MalformedJson("$name: holds something that is no object")
    }

    public fun stringsOrNull(name: String): List<String>? = listOrNull(name)?.map {
        it as? String ?: throw MalformedJson("$name: holds something that is no string")
    }

    private fun missing(name: String): Nothing = throw MalformedJson("$name: missing")

    public companion object {
        private const val LARGEST_AMOUNT = 1e15

        public fun of(fields: Map<*, *>): JsonObject = JsonObject(fields)
    }
}
