package org.elderhitch.fleet

import org.elderhitch.jobs.MachineType
import org.elderhitch.json.JsonObject
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/**
 * A write-ahead record of a provisioning request. It is stored before the request is sent and completed with the ids of
 * the machines, so that every later term knows all machines that may run tasks.
 */
internal class ProvisioningIntent(val name: String, val market: Market, val count: Int) {
    /** The operation in progress on an intent. Only an idle intent may be sent or dropped. */
    private enum class Activity { IDLE, RECORDING, REQUESTING }

    private var activity = Activity.IDLE

    /** The machines that the cloud provisioned; null while the request is open. */
    var machines: List<MachineId>? = null

    /** Revision of the stored intent. Writes are conditional on it, so that a delayed write can't undo a newer one. */
    var version = Revision.ABSENT

    /** Machines that are recorded as up. A machine is recorded before its first task, so only these may run tasks. */
    val recordedUp = HashSet<MachineId>()

    /** Machines that came up and are not recorded as up yet. */
    var pendingUp = HashSet<MachineId>()

    /** Whether a write of [pendingUp] is in flight. */
    var isRecordingUp = false

    /** Whether the cloud may have received the request, in any term. Only its response settles the intent then. */
    var wasRequested = false

    /** Whether the stored value must be rewritten, such as when it names machines that are gone. */
    var needsRewrite = false

    /** The earliest time at which the request is sent again. */
    var retryAt = MonotonicInstant.NEVER

    /** Whether the intent is neither being written nor being requested. */
    val isIdle: Boolean get() = activity == Activity.IDLE

    /** Whether the request is in flight. */
    val isRequesting: Boolean get() = activity == Activity.REQUESTING

    /** A write of the intent, or of the ids of its machines, begins. */
    fun startRecording() {
        activity = Activity.RECORDING
    }

    fun startRequest() {
        activity = Activity.REQUESTING
        wasRequested = true
    }

    /** The write or request in progress has completed, whatever its outcome. */
    fun complete() {
        activity = Activity.IDLE
    }

    /** Removes the machines that don't exist any more. */
    fun retainMachines(exists: (MachineId) -> Boolean) {
        machines = machines?.filter(exists)
        recordedUp.retainAll(exists)
        pendingUp.retainAll(exists)
        needsRewrite = false
    }

    /** Encodes the value to be stored. */
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
        /** Decodes a stored value. Throws `MalformedJson` if it is malformed. */
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
