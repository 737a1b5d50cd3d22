package org.elderhitch.fleet

import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/** The identifier that the cloud assigns to a machine. */
@JvmInline
public value class MachineId(public val text: String) : Comparable<MachineId> {
    override fun compareTo(other: MachineId): Int = text.compareTo(other.text)
    override fun toString(): String = text
}

/** A cloud machine that is provisioned or being provisioned. */
public data class Machine(val id: MachineId, val type: MachineType, val zone: Zone, val spot: Boolean) {
    /** The market from which the machine was provisioned. */
    internal val market: Market get() = Market(type, zone, spot)
}

/**
 * A machine type in a zone, bought on demand or as spot capacity: the unit in which machines are provisioned and for
 * which the cloud has or lacks capacity.
 */
public data class Market(val type: MachineType, val zone: Zone, val spot: Boolean) {
    /** The machine of this market that is identified by [id]. */
    internal fun machine(id: MachineId): Machine = Machine(id, type, zone, spot)
}

/** The leader's view of how a machine is used whose worker sends heartbeats. */
public data class MachineUse(
    val id: MachineId,
    val busy: Resources,
    /** The part of [busy] that production work may preempt. */
    val preemptible: Resources,
    /** The part of [busy] that is expected to be released before a new machine could boot. */
    val releasedSoon: Resources,
    /** The part of [busy] that is used by services. */
    val services: Resources,
    /** Whether new tasks may be placed on the machine. */
    val isUsable: Boolean,
    /** How long no task has run on the machine; null while a task runs. */
    val idleFor: Duration?,
    /** Whether the machine caused too many task failures. */
    val isFaulty: Boolean,
)

/** A machine as an input of the fleet plan. */
public data class PlannedMachine(
    val machine: Machine,
    val provisionedAt: MonotonicInstant,
    /** Null while the machine boots. */
    val use: MachineUse?,
)
