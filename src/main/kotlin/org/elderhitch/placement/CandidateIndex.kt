package org.elderhitch.placement

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Resources

/**
 * The machines that a scheduling cycle can use. Free resources only shrink within a cycle, so a machine without
 * capacity for any pending task is omitted from the start, or dropped once it fills up.
 */
internal class CandidateIndex(input: CycleInput, scarcity: ScarceCapacity, private val scorer: MachineScorer) {
    private class Candidate(val machine: RemainingCapacity, val penaltySeconds: Double, val serviceAffinity: Double)

    /** No pending task fits on a machine that has less free. */
    private val minimumRequest = input.minimumRequest()

    /** Machines that may have capacity for some pending task. */
    private val open = ArrayList<RemainingCapacity>()

    /** Machines on which tasks are stopping. */
    val releasingMachines = LinkedHashSet<RemainingCapacity>()

    /** Machines on which tasks can be preempted. */
    val preemptibleMachines = ArrayList<RemainingCapacity>()

    /** How often a machine was examined in this scheduling cycle. */
    var machineVisits = 0L
        private set

    init {
        val highestPriority = input.jobs.maxOfOrNull { it.spec.priority }
        for (view in input.machines) {
            countVisit()
            val hasCapacity = minimumRequest.fitsIn(view.load.free)
            val isReleasing = view.load.releasing != Resources.NONE
            val isPreemptible = highestPriority != null &&
                view.load.preemptible.any { it.priority < highestPriority }
            if (!hasCapacity && !isReleasing && !isPreemptible) continue
            val machine = RemainingCapacity(view, scarcity.reservedOn(view))
            if (hasCapacity) open.add(machine)
            if (isReleasing) releasingMachines.add(machine)
            if (isPreemptible) preemptibleMachines.add(machine)
        }
    }

    fun countVisit() {
        machineVisits++
    }

    /** The machines that accept a task of the job, the most suitable first. Drops machines that have filled up. */
    fun candidates(spec: JobSpec): List<RemainingCapacity> {
        val fitting = ArrayList<Candidate>()
        var keptCount = 0
        for (machine in open) {
            countVisit()
            if (!minimumRequest.fitsIn(machine.free)) continue
            open[keptCount++] = machine
            if (scorer.accepts(spec, machine) && machine.view.permits(spec)) {
                fitting.add(candidate(spec, machine))
            }
        }
        open.subList(keptCount, open.size).clear()
        fitting.sortWith(PREFERENCE)
        return fitting.map { it.machine }
    }

    private fun candidate(spec: JobSpec, machine: RemainingCapacity) = Candidate(
        machine,
        scorer.penaltySeconds(spec, machine),
        scorer.serviceAffinity(spec, machine),
    )

    private companion object {
        /**
         * The lowest penalty first, then the highest affinity, then the fullest machine. Written out rather than built
         * with `compareBy`, since it runs for every comparison of every sort.
         */
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
