package org.elderhitch.placement

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import kotlin.math.ceil

/** The jobs that are confined to the same machine [types], and their demand that no machine is allocated to yet. */
internal class ConfinedGroup(val types: Set<MachineType>) {
    private class Demand(val request: Resources, var tasks: Double) {
        /** The tasks, of which expected ones can be a fraction, rounded up. */
        val wholeTasks: Int get() = ceil(tasks).toInt()
    }

    /** The waiting and expected tasks by job. */
    private val demands = ArrayList<Demand>()

    /** The highest priority of the group's jobs. */
    var priority = Priority.LOW
        private set

    val hasDemand: Boolean get() = demands.isNotEmpty()

    /** The [Resources.weight] of all waiting and expected tasks. */
    val demandWeight: Double get() = demands.sumOf { it.request.weight * it.tasks }

    /** The request with the least weight of all waiting and expected tasks; null if there are none. */
    val smallestRequest: Resources? get() = demands.minByOrNull { it.request.weight }?.request

    /** Adds a running, waiting or expected job, which may raise the group's [priority]. */
    fun addJob(spec: JobSpec) {
        priority = maxOf(priority, spec.priority)
    }

    fun addDemand(spec: JobSpec, tasks: Double) {
        if (tasks > 0) demands.add(Demand(spec.resources, tasks))
    }

    /**
     * Removes from the demand the tasks that fit into [capacity] and have at most the total weight [maxWeight], large
     * tasks first.
     *
     * @return the total request of the removed tasks
     */
    fun allocate(capacity: Resources, maxWeight: Double): Resources {
        var remaining = capacity
        var allocated = Resources.NONE
        for (demand in demands.sortedByDescending { it.request.weight }) {
            val wanted = minOf(demand.wholeTasks, tasksWithin(maxWeight - allocated.weight, demand.request.weight))
            val tasks = demand.request.copiesIn(remaining, wanted)
            demand.tasks -= tasks
            remaining -= demand.request * tasks
            allocated += demand.request * tasks
        }
        return allocated
    }

    /** How many tasks of the weight [taskWeight] have at most the total weight [maxWeight]. */
    private fun tasksWithin(maxWeight: Double, taskWeight: Double): Int = when {
        maxWeight < taskWeight -> 0
        taskWeight <= 0 -> Int.MAX_VALUE
        else -> (maxWeight / taskWeight).toInt()
    }
}
