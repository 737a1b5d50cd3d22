package org.elderhitch.placement

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources

/** The work that is confined to the same machine [types], and what of it has no machine yet. */
internal class ConfinedGroup(val types: Set<MachineType>) {
    private class Demand(val request: Resources, var tasks: Double)

    /** The tasks of each job that wait or are expected. */
    private val demands = ArrayList<Demand>()

    /** The highest priority of its jobs. */
    var priority = Priority.LOW
        private set

    val hasDemand: Boolean get() = demands.isNotEmpty()

    /** The weight of all tasks that wait or are expected. */
    val demandWeight: Double get() = demands.sumOf { it.request.weight * it.tasks }

    /** The smallest request that waits or is expected; null if there is none. */
    val smallestRequest: Resources? get() = demands.minByOrNull { it.request.weight }?.request

    /** Notes a job of the group that runs, waits or is expected. */
    fun addJob(spec: JobSpec) {
        priority = maxOf(priority, spec.priority)
    }

    fun addDemand(spec: JobSpec, tasks: Double) {
        if (tasks > 0) demands.add(Demand(spec.resources, tasks))
    }

    /**
     * Takes out of the demand what fits into [capacity] and weighs at most [maxWeight], large tasks first; returns the
     * resources of what was taken.
     */
    fun allocate(capacity: Resources, maxWeight: Double): Resources {
        var remaining = capacity
        var taken = Resources.NONE
        for (demand in demands.sortedByDescending { it.request.weight }) {
            while (demand.tasks > 0 &&
                demand.request.fitsIn(remaining) &&
                taken.weight + demand.request.weight <= maxWeight
            ) {
                demand.tasks--
                remaining -= demand.request
                taken += demand.request
            }
        }
        return taken
    }
}
