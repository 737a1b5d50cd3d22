package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/** A kind of machine that the cloud rents out. */
public data class TypeInfo(
    val name: MachineType,
    val resources: Resources,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    val bootTime: Duration,
    val zones: List<Zone>,
)

public class Catalog(public val types: Map<MachineType, TypeInfo>) {
    public val isEmpty: Boolean get() = types.isEmpty()

    public fun resources(type: MachineType): Resources? = types[type]?.resources

    /** The types on which a task of the job could ever run. */
    public fun fitting(spec: JobSpec): List<TypeInfo> = types.values.filter {
        (spec.types == null || it.name in spec.types) &&
            (spec.zone == null || spec.zone in it.zones) &&
            spec.resources.fitsIn(it.resources)
    }

    /** Where machines could be rented on which a task of the job may run. */
    public fun markets(spec: JobSpec): List<Market> = fitting(spec)
        .flatMap { type ->
            type.zones.flatMap { zone -> listOf(Market(type.name, zone, true), Market(type.name, zone, false)) }
        }
        .filter { spec.permitsMachine(it.type, it.zone, it.spot) }

    public companion object {
        public val EMPTY: Catalog = Catalog(emptyMap())
    }
}

/** A machine that is rented, or may be. */
public data class Machine(val id: MachineId, val type: MachineType, val zone: Zone, val spot: Boolean)

/** What the leader's table says of a machine whose worker reports. */
public data class MachineUse(
    val id: MachineId,
    val busy: Resources,
    /** The part of [busy] that would make room for production work. */
    val yielding: Resources,
    /** The part of [busy] that is expected to end while a machine would boot. */
    val ending: Resources,
    /** The part of [busy] that services take. */
    val serving: Resources,
    val usable: Boolean,
    /** How long nothing has been there; null: something is. */
    val idle: Duration?,
    val faulty: Boolean,
)

/** A place where machines are rented: refusals hold for the whole of it. */
public data class Market(val type: MachineType, val zone: Zone, val spot: Boolean)

/** A machine as the plan sees it. */
public data class PlannedMachine(
    val machine: Machine,
    val hiredAt: MonotonicInstant,
    /** Null while it boots. */
    val use: MachineUse?,
)
