package org.elderhitch.fleet

import org.elderhitch.jobs.MachineType
import org.elderhitch.json.JsonObject
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/**
 * A request to rent, recorded before it is made and completed with the machines' names: what every later term knows of
 * them.
 */
internal class ProvisioningIntent(val name: String, val market: Market, val count: Int) {
    var machines: List<MachineId>? = null

    /** That of its key: each write is conditional on it, or one carried out late would undo a newer one. */
    var version = Revision.ABSENT

    /** Machines that may have been given tasks: recorded before their first one is. */
    val up = HashSet<MachineId>()
    var cameUp = HashSet<MachineId>()
    var writingUp = false
    var busy = false

    /** The cloud may have been asked: only its answer settles it. */
    var asked = false

    /** It is being asked. */
    var requesting = false

    /** Names machines that are gone; its value in the state service is to be written anew. */
    var outdated = false
    var retryAt = MonotonicInstant.NEVER

    /** Leaves out what is not [there] any more. */
    fun shorten(there: (MachineId) -> Boolean) {
        machines = machines?.filter(there)
        up.retainAll(there)
        cameUp.retainAll(there)
        outdated = false
    }

    fun encode(): Map<String, Any?> = linkedMapOf<String, Any?>(
        "rig" to market.type.name,
        "hall" to market.zone.name,
        "borrowedRigs" to market.spot,
        "count" to count,
    ).apply {
        machines?.let { put("stalls", it.map(MachineId::text)) }
        val recorded = up + cameUp
        if (recorded.isNotEmpty()) put("up", recorded.map(MachineId::text))
    }

    companion object {
        fun decode(name: String, value: JsonObject, at: Revision): ProvisioningIntent {
            val market =
                Market(MachineType(value.string("rig")), Zone(value.string("hall")), value.boolean("borrowedRigs"))
            return ProvisioningIntent(name, market, value.count("count").toInt()).apply {
                version = at
                machines = value.stringsOrNull("stalls")?.map(::MachineId)
                value.stringsOrNull("up")?.mapTo(up, ::MachineId)
            }
        }
    }
}
