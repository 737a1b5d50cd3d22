package org.elderhitch.fleet

import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/** The cloud's name of a machine. */
@JvmInline
public value class MachineId(public val text: String) : Comparable<MachineId> {
    override fun compareTo(other: MachineId): Int = text.compareTo(other.text)
    override fun toString(): String = text
}

/** A machine of the cloud, provisioned or being provisioned. */
public data class Machine(val id: MachineId, val type: MachineType, val zone: Zone, val spot: Boolean) {
    /** The market from which the machine was provisioned. */
    internal val market: Market get() = Market(type, zone, spot)
}

/** Where machines are provisioned. The cloud has or lacks capacity for a market as a whole. */
public data class Market(val type: MachineType, val zone: Zone, val spot: Boolean) {
    /** The machine of this market with that name. */
    internal fun machine(id: MachineId): Machine = Machine(id, type, zone, spot)
}

/** How a machine whose worker sends heartbeats is used, as the leader knows it. */
public data class MachineUse(
    val id: MachineId,
    val busy: Resources,
    /** The part of [busy] that production work could preempt. */
    val preemptible: Resources,
    /** The part of [busy] that is expected to be free before a new machine would be up. */
    val endingSoon: Resources,
    /** The part of [busy] that services take. */
    val services: Resources,
    /** Whether new tasks may be placed there. */
    val usable: Boolean,
    /** How long nothing has run there; null while something does. */
    val idle: Duration?,
    /** Whether too many tasks failed there for reasons of the machine. */
    val faulty: Boolean,
)

/** A machine as the fleet plan sees it. */
public data class PlannedMachine(
    val machine: Machine,
    val provisionedAt: MonotonicInstant,
    /** Null while the machine boots. */
    val use: MachineUse?,
)
