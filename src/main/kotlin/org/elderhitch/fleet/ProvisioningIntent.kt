package org.elderhitch.fleet

import org.elderhitch.jobs.MachineType
import org.elderhitch.json.JsonObject
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/**
 * A write-ahead record of a provisioning request: stored before the request is made and completed with the names of the
 * machines, so that every later term knows of all machines that may run tasks.
 */
internal class ProvisioningIntent(val name: String, val market: Market, val count: Int) {
    /** What is being done with an open intent; only an idle one may be sent or given up. */
    private enum class Activity { IDLE, RECORDING, REQUESTING }

    private var activity = Activity.IDLE

    /** The machines that the cloud provisioned; null while the request is open. */
    var machines: List<MachineId>? = null

    /** Revision of its key. Each write is conditional on it: one executed late would undo a newer one otherwise. */
    var version = Revision.ABSENT

    /** Machines that are recorded as up, which each is before its first task: they may run something. */
    val recordedUp = HashSet<MachineId>()

    /** Machines that came up and are not recorded as such yet. */
    var pendingUp = HashSet<MachineId>()

    /** A write of [pendingUp] is in flight. */
    var isRecordingUp = false

    /** The cloud may have received the request, in this term or an earlier one: only its answer settles the intent. */
    var wasRequested = false

    /** It names machines that are gone: its stored value is to be rewritten. */
    var isOutdated = false

    /** The request is not repeated before. */
    var retryAt = MonotonicInstant.NEVER

    /** Neither being written nor being requested. */
    val isIdle: Boolean get() = activity == Activity.IDLE

    /** The cloud is being asked. */
    val isRequesting: Boolean get() = activity == Activity.REQUESTING

    /** The intent, or the names of its machines, are being written. */
    fun startRecording() {
        activity = Activity.RECORDING
    }

    fun startRequest() {
        activity = Activity.REQUESTING
        wasRequested = true
    }

    /** What was under way has completed, with whatever outcome. */
    fun complete() {
        activity = Activity.IDLE
    }

    /** Removes all machines but those that still [exist]. */
    fun retainMachines(exist: (MachineId) -> Boolean) {
        machines = machines?.filter(exist)
        recordedUp.retainAll(exist)
        pendingUp.retainAll(exist)
        isOutdated = false
    }

    /** The stored value. */
    fun encode(): Map<String, Any?> = linkedMapOf<String, Any?>(
        "rig" to market.type.name,
        "hall" to market.zone.name,
        "borrowedRigs" to market.spot,
        "count" to count,
    ).apply {
        machines?.let { put("stalls", it.map(MachineId::text)) }
        val up = recordedUp + pendingUp
        if (up.isNotEmpty()) put("up", up.map(MachineId::text))
    }

    companion object {
        /** Reads a stored value; throws `MalformedJson` if it is none. */
        fun decode(name: String, value: JsonObject, version: Revision): ProvisioningIntent {
            val market =
                Market(MachineType(value.string("rig")), Zone(value.string("hall")), value.boolean("borrowedRigs"))
            return ProvisioningIntent(name, market, value.count("count").toInt()).also { intent ->
                intent.version = version
                intent.machines = value.stringsOrNull("stalls")?.map(::MachineId)
                value.stringsOrNull("up")?.mapTo(intent.recordedUp, ::MachineId)
            }
        }
    }
}
