package org.elderhitch.placement

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Resources

/**
 * The machines that may be of use to a scheduling cycle. Free resources only shrink within a cycle, so machines that
 * are too full for any pending task are left out from the start, or dropped when they fill up.
 */
internal class CandidateIndex(input: CycleInput, scarcity: ScarceCapacity, private val scorer: MachineScorer) {
    private class Candidate(val machine: RemainingCapacity, val penaltySeconds: Double, val serviceAffinity: Double)

    /** A machine with less free resources than that is of no use to any task of this scheduling cycle. */
    private val smallestRequest = input.smallestRequest()

    /** Machines that may have capacity for some task. */
    private val open = ArrayList<RemainingCapacity>()

    /** Machines where tasks are stopping. */
    val releasing = LinkedHashSet<RemainingCapacity>()

    /** Machines where tasks could be preempted. */
    val preemptible = ArrayList<RemainingCapacity>()

    /** How often a machine was looked at in this scheduling cycle. */
    var machineVisits = 0L
        private set

    init {
        val highestPriority = input.jobs.maxOfOrNull { it.spec.priority }
        for (view in input.machines) {
            visit()
            val hasCapacity = smallestRequest.fitsIn(view.load.free)
            val isReleasing = view.load.releasing != Resources.NONE
            val isPreemptible = highestPriority != null &&
                view.load.preemptible.any { it.priority < highestPriority }
            if (!hasCapacity && !isReleasing && !isPreemptible) continue
            val machine = RemainingCapacity(view, scarcity.reservedOn(view))
            if (hasCapacity) open.add(machine)
            if (isReleasing) releasing.add(machine)
            if (isPreemptible) preemptible.add(machine)
        }
    }

    fun visit() {
        machineVisits++
    }

    /** The machines where a task of the job fits now, the most suitable first. Drops machines that are full. */
    fun candidates(spec: JobSpec): List<RemainingCapacity> {
        val fitting = ArrayList<Candidate>()
        var stillOpen = 0
        for (machine in open) {
            visit()
            if (!smallestRequest.fitsIn(machine.free)) continue
            open[stillOpen++] = machine
            if (scorer.accepts(spec, machine) && machine.view.allows(spec)) {
                fitting.add(candidate(spec, machine))
            }
        }
        open.subList(stillOpen, open.size).clear()
        fitting.sortWith(PREFERENCE)
        return fitting.map { it.machine }
    }

    private fun candidate(spec: JobSpec, machine: RemainingCapacity) = Candidate(
        machine,
        scorer.penaltySeconds(spec, machine),
        scorer.serviceAffinity(spec, machine),
    )

    private companion object {
        /** Written out rather than composed of selectors: it is called for each comparison of each sort. */
        val PREFERENCE: Comparator<Candidate> = Comparator { a, b ->
            var order = a.penaltySeconds.compareTo(b.penaltySeconds)
            if (order == 0) order = b.serviceAffinity.compareTo(a.serviceAffinity)
            if (order == 0) order = a.machine.free.gpus.compareTo(b.machine.free.gpus)
            if (order == 0) order = a.machine.free.cpus.compareTo(b.machine.free.cpus)
            if (order == 0) order = a.machine.view.id.compareTo(b.machine.view.id)
            order
        }
    }
}
