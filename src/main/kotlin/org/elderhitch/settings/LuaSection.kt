package org.elderhitch.settings

import org.luaj.vm2.LuaTable
import org.luaj.vm2.LuaValue

/**
 * Typed access to a table that a script returned. The reading functions return null for a key that isn't set, and throw
 * [ScriptException] for a value of the wrong type; its message names the file, the line where the key is set, and the
 * key's path.
 */
public class LuaSection internal constructor(
    private val file: String,
    private val script: String,
    private val path: List<String>,
    private val table: LuaTable,
) {
    /** The keys that are set, in the iteration order of the Lua table. */
    public val keys: List<String> get() = table.keys().map { it.tojstring() }

    public fun has(key: String): Boolean = !table.get(key).isnil()

    /** Throws [ScriptException] if a key is set that isn't in [known]. */
    public fun requireKnownKeys(known: Collection<String>) {
        keys.firstOrNull { it !in known }?.let { fail(it, "unknown; known are ${known.sorted()}") }
    }

    /** A number from [min] to [max]. */
    public fun numberOrNull(key: String, min: Double, max: Double): Double? {
        val value = valueOrNull(key) ?: return null
        val number = if (value.type() == LuaValue.TNUMBER) value.todouble() else Double.NaN
        if (number !in min..max) fail(key, "must be a number from $min to $max")
        return number
    }

    /** A whole number from [min] to [max]. */
    public fun intOrNull(key: String, min: Int, max: Int): Int? {
        val value = valueOrNull(key) ?: return null
        val number = if (value.type() == LuaValue.TNUMBER) value.todouble() else Double.NaN
        val isInRange = number in min.toDouble()..max.toDouble()
        if (!isInRange || number != Math.floor(number)) fail(key, "must be a whole number from $min to $max")
        return number.toInt()
    }

    public fun booleanOrNull(key: String): Boolean? {
        val value = valueOrNull(key) ?: return null
        if (!value.isboolean()) fail(key, "must be true or false")
        return value.toboolean()
    }

    public fun stringOrNull(key: String): String? {
        val value = valueOrNull(key) ?: return null
        if (value.type() != LuaValue.TSTRING) fail(key, "must be a text")
        return value.tojstring()
    }

    /** A list of strings. */
    public fun stringsOrNull(key: String): List<String>? {
        val value = valueOrNull(key) ?: return null
        val list = value as? LuaTable ?: fail(key, MUST_BE_STRINGS)
        if (list.length() != list.keyCount()) fail(key, MUST_BE_STRINGS)
        return (1..list.length()).map { index ->
            val item = list.get(index)
            if (item.type() == LuaValue.TSTRING) item.tojstring() else fail(key, MUST_BE_STRINGS)
        }
    }

    /** The entries of this table, which must be a list of tables. */
    public fun sections(): List<LuaSection> {
        if (table.length() != table.keyCount()) throw ScriptException("$file: must return a list of tables")
        return (1..table.length()).map { index ->
            val entry =
                table.get(index) as? LuaTable ?: throw ScriptException("$file: entry $index of the list is no table")
            LuaSection(file, script, path + index.toString(), entry)
        }
    }

    public fun sectionOrNull(key: String): LuaSection? {
        val value = valueOrNull(key) ?: return null
        return LuaSection(file, script, path + key, value as? LuaTable ?: fail(key, "must be a table"))
    }

    /** A value that JSON can represent: a string, a number, a boolean or a list of strings. */
    public fun jsonValueOrNull(key: String): Any? {
        val value = valueOrNull(key) ?: return null
        return when {
            value.isboolean() -> value.toboolean()
            value.type() == LuaValue.TSTRING -> value.tojstring()
            value.type() == LuaValue.TNUMBER -> jsonNumber(value.todouble())
            value is LuaTable -> stringsOrNull(key)
            else -> fail(key, "must be a text, a number, true, false or a list of texts")
        }
    }

    private fun jsonNumber(number: Double): Any {
        val isWhole = number == Math.rint(number) && Math.abs(number) < MAX_EXACT_INTEGER
        return if (isWhole) number.toLong() else number
    }

    private fun valueOrNull(key: String): LuaValue? = table.get(key).takeUnless { it.isnil() }

    /** Throws a [ScriptException] that names the location of [key] in the script. */
    public fun fail(key: String, reason: String): Nothing =
        throw ScriptException("$file:${lineOf(key)}: ${(path + key).joinToString(".")}: $reason")

    /**
     * The line where the key is set. Lua tables don't record line numbers, so this searches the text of the script for
     * each part of the path, starting where the previous part was found. For a key that the script computes, this is
     * the line of the last part that was found.
     */
    private fun lineOf(key: String): Int {
        var offset = 0
        for (part in path + key) {
            val assignment = Regex(KEY_START + Regex.escape(part) + KEY_END)
            offset = assignment.find(script, offset)?.range?.first ?: break
        }
        return script.substring(0, offset).count { it == '\n' } + 1
    }

    private companion object {
        /** Integers below this bound are represented exactly as doubles and are within the range of Long. */
        const val MAX_EXACT_INTEGER = 9e15
        const val MUST_BE_STRINGS = "must be a list of texts"

        /** Regular expressions before and after a key in an assignment: `key =`, `['key'] =` or `["key"] =`. */
        const val KEY_START = "(?<![A-Za-z0-9_-])"
        const val KEY_END = "(?![A-Za-z0-9_-])[\"']?\\s*]?\\s*="
    }
}
