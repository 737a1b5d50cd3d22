package org.elderhitch.settings

import org.luaj.vm2.Globals
import org.luaj.vm2.LoadState
import org.luaj.vm2.LuaError
import org.luaj.vm2.LuaTable
import org.luaj.vm2.LuaValue
import org.luaj.vm2.Varargs
import org.luaj.vm2.compiler.LuaC
import org.luaj.vm2.lib.BaseLib
import org.luaj.vm2.lib.DebugLib
import org.luaj.vm2.lib.MathLib
import org.luaj.vm2.lib.PackageLib
import org.luaj.vm2.lib.StringLib
import org.luaj.vm2.lib.TableLib

/** A script of the operators that says something impossible; the message names file, line and key. */
public class BadScript(message: String) : Exception(message)

/** Runs operators' Lua scripts, which return a table and can compute, but reach no file, no network and no Java. */
public object LuaScript {
    /** Throws [BadScript] when the script fails, runs too long, or returns anything but a table. */
    public fun table(name: String, script: String): LuaSection {
        val value = try {
            globals().load(script, "@$name").call()
        } catch (e: LuaError) {
            throw BadScript(e.message.orEmpty().lineSequence().first().removePrefix("@"))
        }
        if (value !is LuaTable) throw BadScript("$name: must return a table")
        return LuaSection(name, script, emptyList(), value)
    }

    /** Ends a script that would keep the controller from starting. */
    private class Limit : DebugLib() {
        private var instructions = 0

        override fun onInstruction(pc: Int, v: Varargs?, top: Int) {
            if (++instructions > MOST_INSTRUCTIONS) throw LuaError("the script takes too long")
            super.onInstruction(pc, v, top)
        }
    }

    private const val MOST_INSTRUCTIONS = 1_000_000

    private fun globals(): Globals {
        val globals = Globals()
        globals.load(BaseLib())
        globals.load(PackageLib())
        globals.load(StringLib())
        globals.load(TableLib())
        globals.load(MathLib())
        globals.load(Limit())
        LoadState.install(globals)
        LuaC.install(globals)
        for (unsafe in listOf(
            "dofile",
            "loadfile",
            "load",
            "require",
            "package",
            "print",
            "debug",
        )) {
            globals.set(unsafe, LuaValue.NIL)
        }
        return globals
    }
}

/**
 * A table of a script, read key by key; every complaint names the file, the line where the key is set, and the key's
 * path.
 */
public class LuaSection internal constructor(
    private val file: String,
    private val script: String,
    private val path: List<String>,
    private val table: LuaTable,
) {
    public val keys: List<String> get() = table.keys().map { it.tojstring() }

    public fun has(key: String): Boolean = !table.get(key).isnil()

    /** Throws [BadScript] for the first key that isn't in [known]. */
    public fun allow(known: Collection<String>) {
        keys.firstOrNull { it !in known }?.let { bad(it, "unknown; known are ${known.sorted()}") }
    }

    /** A number within bounds; null: not set. */
    public fun number(key: String, least: Double, most: Double): Double? {
        val value = table.get(key)
        if (value.isnil()) return null
        if (value.type() != LuaValue.TNUMBER ||
            value.todouble() !in least..most
        ) {
            bad(key, "must be a number from $least to $most")
        }
        return value.todouble()
    }

    public fun whole(key: String, least: Int, most: Int): Int? {
        val value = table.get(key)
        if (value.isnil()) return null
        val number = if (value.type() == LuaValue.TNUMBER) value.todouble() else Double.NaN
        if (number !in least.toDouble()..most.toDouble() ||
            number != Math.floor(number)
        ) {
            bad(key, "must be a whole number from $least to $most")
        }
        return number.toInt()
    }

    public fun flag(key: String): Boolean? {
        val value = table.get(key)
        if (value.isnil()) return null
        if (!value.isboolean()) bad(key, "must be true or false")
        return value.toboolean()
    }

    public fun text(key: String): String? {
        val value = table.get(key)
        if (value.isnil()) return null
        if (value.type() != LuaValue.TSTRING) bad(key, "must be a text")
        return value.tojstring()
    }

    /** Texts of a list; null: not set. */
    public fun texts(key: String): List<String>? {
        val value = table.get(key)
        if (value.isnil()) return null
        val list = value as? LuaTable ?: bad(key, "must be a list of texts")
        if (list.length() != list.keyCount()) bad(key, "must be a list of texts")
        return (1..list.length()).map { i ->
            val item = list.get(i)
            if (item.type() == LuaValue.TSTRING) item.tojstring() else bad(key, "must be a list of texts")
        }
    }

    /** This table as a list of tables. */
    public fun tables(): List<LuaSection> {
        if (table.length() != table.keyCount()) throw BadScript("$file: must return a list of tables")
        return (1..table.length()).map { i ->
            LuaSection(
                file,
                script,
                path + i.toString(),
                table.get(i) as? LuaTable ?: throw BadScript("$file: entry $i of the list is no table"),
            )
        }
    }

    public fun section(key: String): LuaSection? {
        val value = table.get(key)
        if (value.isnil()) return null
        return LuaSection(file, script, path + key, value as? LuaTable ?: bad(key, "must be a table"))
    }

    /** The value as JSON would have it: a text, a number, true or false. */
    public fun plain(key: String): Any? {
        val value = table.get(key)
        return when {
            value.isnil() -> null

            value.isboolean() -> value.toboolean()

            value.type() == LuaValue.TSTRING -> value.tojstring()

            value.type() == LuaValue.TNUMBER -> value.todouble().let {
                if (it == Math.rint(it) &&
                    Math.abs(it) < EXACT
                ) {
                    it.toLong()
                } else {
                    it
                }
            }

            value is LuaTable -> texts(key)

            else -> bad(key, "must be a text, a number, true, false or a list of texts")
        }
    }

    public fun bad(key: String, reason: String): Nothing =
        throw BadScript("$file:${line(key)}: ${(path + key).joinToString(".")}: $reason")

    /**
     * The line where the key is set. A table knows nothing of lines once it is made, so they are looked for in the
     * script: each
     * part of the path after the one before it. A key that the script computes is told by the line of the last part
     * found.
     */
    private fun line(key: String): Int {
        var at = 0
        for (part in path + key) {
            val found =
                Regex("(?<![A-Za-z0-9_-])" + Regex.escape(part) + "(?![A-Za-z0-9_-])[\"']?\\s*]?\\s*=").find(script, at)
                    ?: break
            at = found.range.first
        }
        return script.substring(0, at).count { it == '\n' } + 1
    }

    private companion object {
        const val EXACT = 9e15
    }
}
