package org.elderhitch.placement

import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources

/**
 * The machine types on which a task of a job fits when the machine is empty.
 *
 * @param capacities the types to choose from, with the total resources of a machine of each type
 */
internal class FittingTypes(private val capacities: Map<MachineType, Resources>) {
    /** Avoids recomputation: the types of a job are needed many times per scheduling cycle. */
    private val cache = HashMap<JobId, Set<MachineType>>()

    fun of(spec: JobSpec): Set<MachineType> = cache.getOrPut(spec.id) {
        capacities.filter { (type, capacity) ->
            (spec.types == null || type in spec.types) && spec.resources.fitsIn(capacity)
        }.keys
    }

    companion object {
        /**
         * Whether a job that fits on the types [fitting] is *flexible* on the [scarce] types: it can use some of them,
         * but also types that jobs confined to the scarce types cannot use.
         */
        fun isFlexible(fitting: Set<MachineType>, scarce: Set<MachineType>): Boolean =
            fitting.any { it in scarce } && !scarce.containsAll(fitting)
    }
}
