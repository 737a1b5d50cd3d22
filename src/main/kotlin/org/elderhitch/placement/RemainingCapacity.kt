package org.elderhitch.placement

import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources

/**
 * What a scheduling cycle has left of a machine, after what it placed and preempted there so far.
 *
 * @property reserved what of the free resources is still reserved for work that could run nowhere else
 */
internal class RemainingCapacity(val view: MachineView, var reserved: Resources) {
    var free = view.load.free
    var releasing = view.load.releasing
    var serviceWeight = view.load.serviceWeight
    var empty = view.load.empty

    /** What is still to be fetched to the machine, in GB. */
    var pendingFetchGb = view.images.fetching.values.sum()

    /** Images that are being fetched, those for tasks placed in this scheduling cycle included. */
    val fetchingImages = HashSet(view.images.fetching.keys)
    val preemptible = ArrayList(view.load.preemptible)

    /** The lowest priority among the tasks that could be preempted here; null if there is none. */
    val lowestPreemptible: Priority? = view.load.preemptible.minOfOrNull { it.priority }
}
