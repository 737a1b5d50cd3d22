package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Zone
import kotlin.time.Duration

/** A machine type that the cloud offers. */
public data class TypeInfo(
    val name: MachineType,
    val resources: Resources,
    /** Size of the local image cache in GB. */
    val cacheGb: Double,
    /** Rate at which images are fetched, in GB per second. */
    val fetchGbPerS: Double,
    /** Price of an on-demand machine, in the cloud's unit. */
    val price: Double,
    /** Price of a spot machine, in the same unit. */
    val spotPrice: Double,
    /** Usual time from the request until the machine is up, as stated by the cloud. */
    val bootTime: Duration,
    val zones: List<Zone>,
)

/** The machine types that the cloud offers, by name. */
public class Catalog(public val types: Map<MachineType, TypeInfo>) {
    /** Whether no type is known, as before the catalog is first loaded. */
    public val isEmpty: Boolean get() = types.isEmpty()

    public fun resources(type: MachineType): Resources? = types[type]?.resources

    /** The types on which a task of the job could run, given an empty machine. */
    public fun fitting(spec: JobSpec): List<TypeInfo> = types.values.filter {
        (spec.types == null || it.name in spec.types) &&
            (spec.zone == null || spec.zone in it.zones) &&
            spec.resources.fitsIn(it.resources)
    }

    /** The markets whose machines fit a task of the job and are permitted for it. */
    public fun markets(spec: JobSpec): List<Market> = fitting(spec)
        .flatMap { type ->
            type.zones.flatMap { zone -> listOf(Market(type.name, zone, true), Market(type.name, zone, false)) }
        }
        .filter { spec.permitsMachine(it.type, it.zone, it.spot) }

    public companion object {
        public val EMPTY: Catalog = Catalog(emptyMap())
    }
}
