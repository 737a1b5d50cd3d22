package org.elderhitch.settings

import org.elderhitch.fleet.FleetPolicy
import org.slf4j.LoggerFactory
import java.io.File
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/**
 * Parses the operators' policy, a Lua script that returns a table. A policy adjusts, within bounds, when machines are
 * provisioned and terminated; it can't break any guarantee of the scheduler. It is read once at startup. Without a
 * policy, no Lua classes are loaded.
 */
public object PolicyScript {
    private val log = LoggerFactory.getLogger("elderhitch.settings")

    private class NumberKey(val min: Double, val max: Double, val set: FleetPolicy.(Double) -> FleetPolicy)

    private val numberKeys = mapOf(
        "headroom_s" to NumberKey(0.0, 600.0) { copy(headroomTime = it.seconds) },
        "spare_machines" to NumberKey(0.0, 20.0) { copy(spareMachines = it) },
        "return_after_s" to NumberKey(0.0, 3600.0) { copy(terminateIdleAfter = it.seconds) },
        "return_surplus_after_s" to NumberKey(0.0, 3600.0) { copy(terminateSurplusAfter = it.seconds) },
        "return_spot_after_s" to NumberKey(0.0, 3600.0) { copy(terminateIdleSpotAfter = it.seconds) },
        "silent_return_share" to NumberKey(0.01, 1.0) { copy(suspectedTerminationShare = it) },
    )
    private const val USE_SPOT = "use_spot"

    /**
     * Reads [file]. An invalid script must not prevent a controller from starting: it is logged, and the defaults
     * apply.
     */
    public fun load(file: File): FleetPolicy = try {
        parse(file.name, file.readText())
    } catch (e: ScriptException) {
        log.error("policy refused reason=\"{}\"", e.message)
        FleetPolicy()
    } catch (e: IOException) {
        log.error("policy refused reason=\"cannot read {}: {}\"", file, e.message)
        FleetPolicy()
    }

    /** Parses the text of a policy, which error messages refer to as [name]. Throws [ScriptException]. */
    public fun parse(name: String, script: String): FleetPolicy {
        val table = LuaScript.table(name, script)
        table.requireKnownKeys(numberKeys.keys + USE_SPOT)
        var policy = FleetPolicy()
        for ((key, spec) in numberKeys) {
            table.numberOrNull(key, spec.min, spec.max)?.let { policy = spec.set(policy, it) }
        }
        table.booleanOrNull(USE_SPOT)?.let { policy = policy.copy(useSpot = it) }
        return policy
    }
}
