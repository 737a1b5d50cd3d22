package org.elderhitch.placement

import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources

/**
 * Which of the given machine types can take a task of a job at all.
 *
 * @param capacities the types to choose from, with the resources of a machine of each
 */
internal class FittingTypes(private val capacities: Map<MachineType, Resources>) {
    /** Asked for many times per job and scheduling cycle. */
    private val cache = HashMap<JobId, Set<MachineType>>()

    fun of(spec: JobSpec): Set<MachineType> = cache.getOrPut(spec.id) {
        capacities.filter { (type, capacity) ->
            (spec.types == null || type in spec.types) && spec.resources.fitsIn(capacity)
        }.keys
    }

    companion object {
        /**
         * Whether work that fits on the types [fitting] is *flexible* on the [scarce] types: it could use some of them,
         * but also run where work that is confined to those can't.
         */
        fun isFlexible(fitting: Set<MachineType>, scarce: Set<MachineType>): Boolean =
            fitting.any { it in scarce } && !scarce.containsAll(fitting)
    }
}
