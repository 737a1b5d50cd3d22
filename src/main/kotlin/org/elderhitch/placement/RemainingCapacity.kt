package org.elderhitch.placement

import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources

/**
 * The capacity that remains on a machine after the placements and preemptions of the current scheduling cycle.
 *
 * @property reserved the part of the machine's resources that is still reserved for jobs confined to its type; see
 *   [ScarceCapacity]
 */
internal class RemainingCapacity(val view: MachineView, var reserved: Resources) {
    var free = view.load.free
    var releasing = view.load.releasing
    var serviceWeight = view.load.serviceWeight
    var isEmpty = view.load.isEmpty

    /** The size of all image data that is still to be fetched to the machine. */
    var pendingFetchGb = view.images.remainingFetchGb.values.sum()

    /** Images that are being fetched, including those for tasks placed in this scheduling cycle. */
    val fetchingImages = HashSet(view.images.remainingFetchGb.keys)
    val preemptible = ArrayList(view.load.preemptible)

    /** The lowest priority of all preemptible tasks on the machine; null if there are none. */
    val lowestPreemptiblePriority: Priority? = view.load.preemptible.minOfOrNull { it.priority }
}
