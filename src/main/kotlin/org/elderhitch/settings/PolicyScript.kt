package org.elderhitch.settings

import org.elderhitch.fleet.FleetPolicy
import org.slf4j.LoggerFactory
import java.io.File
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

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
        "return_after_s" to Key(0.0, 3600.0) { p, v -> p.copy(terminateIdleAfter = v.seconds) },
        "return_surplus_after_s" to Key(0.0, 3600.0) { p, v -> p.copy(terminateSurplusAfter = v.seconds) },
        "return_spot_after_s" to Key(0.0, 3600.0) { p, v -> p.copy(terminateIdleSpotAfter = v.seconds) },
        "silent_return_share" to Key(0.01, 1.0) { p, v -> p.copy(suspectedTerminationShare = v) },
    )
    private const val USE_SPOT = "use_spot"

    /** The script's policy, or, with a line in the log, the defaults: a bad script never keeps a controller down. */
    public fun load(file: File): FleetPolicy = try {
        parse(file.name, file.readText())
    } catch (e: BadScript) {
        log.error("policy refused reason=\"{}\"", e.message)
        FleetPolicy()
    } catch (e: IOException) {
        log.error("policy refused reason=\"{} can't be read: {}\"", file, e.message)
        FleetPolicy()
    }

    public fun parse(name: String, script: String): FleetPolicy {
        val table = LuaScript.table(name, script)
        table.allow(numbers.keys + USE_SPOT)
        var policy = FleetPolicy()
        for ((number, key) in numbers) table.number(number, key.least, key.most)?.let { policy = key.set(policy, it) }
        table.flag(USE_SPOT)?.let { policy = policy.copy(useSpot = it) }
        return policy
    }
}
