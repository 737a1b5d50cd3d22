package org.elderhitch.settings

import org.elderhitch.fleet.FleetPolicy
import org.luaj.vm2.Globals
import org.luaj.vm2.LuaError
import org.luaj.vm2.LuaTable
import org.luaj.vm2.LuaValue
import org.luaj.vm2.LoadState
import org.luaj.vm2.compiler.LuaC
import org.luaj.vm2.Varargs
import org.luaj.vm2.lib.BaseLib
import org.luaj.vm2.lib.DebugLib
import org.luaj.vm2.lib.MathLib
import org.luaj.vm2.lib.PackageLib
import org.luaj.vm2.lib.StringLib
import org.luaj.vm2.lib.TableLib
import org.slf4j.LoggerFactory
import java.io.File
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/** A script that says something impossible; the message names file, line or key. */
public class BadPolicy(message: String) : Exception(message)

/**
 * The operators' own settings: a Lua script that returns a table of policy values. It sets what is rented and returned,
 * within bounds, and nothing that a rule depends on. It is read once, at start; without one nothing of Lua is loaded.
 */
public object PolicyScript {
    private val log = LoggerFactory.getLogger("elderhitch.settings")

    private class Key(val least: Double, val most: Double, val set: (FleetPolicy, Double) -> FleetPolicy)

    private val numbers = mapOf(
        "headroom_s" to Key(0.0, 600.0) { p, v -> p.copy(headroom = v.seconds) },
        "spare_machines" to Key(0.0, 20.0) { p, v -> p.copy(spareMachines = v) },
        "return_after_s" to Key(0.0, 3600.0) { p, v -> p.copy(returnAfter = v.seconds) },
        "return_surplus_after_s" to Key(0.0, 3600.0) { p, v -> p.copy(returnSurplusAfter = v.seconds) },
        "return_spot_after_s" to Key(0.0, 3600.0) { p, v -> p.copy(returnSpotAfter = v.seconds) },
    )
    private const val USE_SPOT = "use_spot"

    /** The script's policy, or, with a line in the log, the defaults: a bad script never keeps a controller down. */
    public fun load(file: File): FleetPolicy = try {
        parse(file.name, file.readText())
    } catch (e: BadPolicy) {
        log.error("policy refused reason=\"{}\"", e.message)
        FleetPolicy()
    } catch (e: IOException) {
        log.error("policy refused reason=\"{} can't be read: {}\"", file, e.message)
        FleetPolicy()
    }

    public fun parse(name: String, script: String): FleetPolicy {
        val table = try {
            globals().load(script, name).call()
        } catch (e: LuaError) {
            throw BadPolicy(e.message.orEmpty().lineSequence().first())
        }
        if (table !is LuaTable) throw BadPolicy("$name: must return a table")
        var policy = FleetPolicy()
        for (key in table.keys()) policy = apply(policy, name, key.tojstring(), table.get(key))
        return policy
    }

    private fun apply(policy: FleetPolicy, name: String, key: String, value: LuaValue): FleetPolicy {
        if (key == USE_SPOT) {
            if (!value.isboolean()) throw BadPolicy("$name: $key: must be true or false")
            return policy.copy(useSpot = value.toboolean())
        }
        val known = numbers[key] ?: throw BadPolicy("$name: $key: unknown; known are ${(numbers.keys + USE_SPOT).sorted()}")
        if (value.type() != LuaValue.TNUMBER || value.todouble() !in known.least..known.most) {
            throw BadPolicy("$name: $key: must be a number from ${known.least} to ${known.most}")
        }
        return known.set(policy, value.todouble())
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

    /** No files, no system, no Java: a script can compute, and nothing else. */
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
        for (unsafe in listOf("dofile", "loadfile", "load", "require", "package", "print", "debug")) globals.set(unsafe, LuaValue.NIL)
        return globals
    }
}
