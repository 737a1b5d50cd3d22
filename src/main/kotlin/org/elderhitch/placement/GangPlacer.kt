package org.elderhitch.placement

import org.elderhitch.jobs.Priority

/** Places the tasks of gangs: all pending tasks of a gang in one scheduling cycle, or none. */
internal class GangPlacer(
    private val input: CycleInput,
    private val index: CandidateIndex,
    private val preemption: Preemption,
    private val decisions: CycleDecisions,
) {
    /** A machine on which a task of the gang fits once [victims] are stopped. */
    private class PreemptionOption(val machine: RemainingCapacity, val victims: List<PreemptionCandidate>)

    /** The number of the gang's tasks that are placed on one machine. */
    private class Share(val machine: RemainingCapacity, val tasks: Int)

    fun place(job: JobView) {
        val total = job.spec.resources * job.pending.size
        if (!decisions.quotaAllows(job.spec, total)) {
            decisions.reserveQuota(job.spec, total)
            return
        }
        val candidates = index.candidates(job.spec)
        val groups = candidateGroups(job, candidates)
        val shares = groups.firstNotNullOfOrNull { selectMachines(job, it) }
        if (shares == null) waitForMachines(job, candidates, groups) else placeAll(job, shares)
    }

    /** The groups of machines that the whole gang may be placed on, in the order in which they are tried. */
    private fun candidateGroups(job: JobView, candidates: List<RemainingCapacity>): List<List<RemainingCapacity>> {
        val byZone = candidates.groupBy { it.view.zone }
        return when {
            !job.spec.oneZone -> listOf(candidates)

            job.tasksPerZone.isNotEmpty() -> job.tasksPerZone.keys.map { byZone[it].orEmpty() }

            // The zone with the least free GPUs that suffices: this leaves the larger ones to larger gangs.
            else -> byZone.values.sortedBy { machines -> machines.sumOf { it.free.gpus } }
        }
    }

    /** Machines for all pending tasks, each with as many tasks as fit there; null if not all of them fit. */
    private fun selectMachines(job: JobView, candidates: List<RemainingCapacity>): List<Share>? {
        val spec = job.spec
        val tasksPerZone = HashMap(job.tasksPerZone)
        val chosen = ArrayList<Share>()
        var missing = job.pending.size
        for (machine in candidates) {
            index.countVisit()
            val allowedInZone = spec.maxTasksPerZone - (tasksPerZone[machine.view.zone] ?: 0)
            val tasks = spec.resources.copiesIn(machine.free, minOf(missing, allowedInZone))
            if (tasks == 0) continue
            tasksPerZone.merge(machine.view.zone, tasks, Int::plus)
            chosen.add(Share(machine, tasks))
            missing -= tasks
            if (missing == 0) return chosen
        }
        return null
    }

    private fun placeAll(job: JobView, shares: List<Share>) {
        val zoneCounts = HashMap(job.tasksPerZone)
        val pending = job.pending.iterator()
        for (share in shares) {
            repeat(share.tasks) { decisions.place(job, pending.next(), share.machine, zoneCounts) }
        }
    }

    private fun waitForMachines(
        job: JobView,
        candidates: List<RemainingCapacity>,
        groups: List<List<RemainingCapacity>>,
    ) {
        val spec = job.spec
        val waitsForExistingMachines = if (job.isProbe) !input.hasNoMachineToRetryOn(job) else preempt(job, candidates)
        if (waitsForExistingMachines) return
        if (decisions.addDemand(spec, spec.resources * job.pending.size)) {
            decisions.unplaced.add(UnplacedTasks(spec, job.pending.size, job.tasksPerZone))
        }
        reserveMachines(job, groups)
    }

    /**
     * Reserves the machines that a gang can use while it waits for more. Otherwise lower-ranked jobs, which are placed
     * later in the scheduling cycle, would take each machine that becomes free, and the gang would never get all at
     * once.
     */
    private fun reserveMachines(job: JobView, groups: List<List<RemainingCapacity>>) {
        val best = groups.maxByOrNull { it.size } ?: return
        for (machine in best.take(job.pending.size)) machine.free -= job.spec.resources
    }

    /**
     * Claims capacity for all pending tasks of a gang, each on its own machine, by preempting tasks of the lowest
     * priority; claims and preempts nothing if there are too few machines. Tasks of higher priority are not preempted,
     * since a gang would stop tasks of many jobs at once.
     *
     * @return whether capacity was claimed, so that the gang can start once it is released
     */
    private fun preempt(job: JobView, candidates: List<RemainingCapacity>): Boolean {
        val spec = job.spec
        if (spec.spread) return false
        val below = minOf(spec.priority, Priority.NORMAL)
        val preemptible = index.preemptibleMachines.filter { preemption.hasPreemptible(it, below) }
        if (preemptible.isEmpty() && index.releasingMachines.isEmpty()) return false
        val machines = LinkedHashSet(candidates)
        machines.addAll(index.releasingMachines)
        machines.addAll(preemptible)
        val chosen = cheapest(job, options(job, machines, below)) ?: return false
        for (option in chosen) {
            preemption.preempt(option.machine, option.victims)
            preemption.claim(option.machine, spec)
        }
        return true
    }

    private fun options(job: JobView, machines: Set<RemainingCapacity>, below: Priority): List<PreemptionOption> {
        val options = ArrayList<PreemptionOption>()
        for (machine in machines) {
            index.countVisit()
            if (!isPermitted(job, machine.view)) continue
            preemption.victims(machine, job.spec, below)?.let { options.add(PreemptionOption(machine, it)) }
        }
        return options
    }

    private fun isPermitted(job: JobView, machine: MachineView): Boolean = machine.permits(job.spec) &&
        (job.tasksPerZone.isEmpty() || job.spec.zoneAllows(job.tasksPerZone, machine.zone))

    /** The cheapest options for all pending tasks, in one zone if the gang requires it; null if there are too few. */
    private fun cheapest(job: JobView, options: List<PreemptionOption>): List<PreemptionOption>? {
        val request = job.spec.resources
        val groups = if (job.spec.oneZone) options.groupBy { it.machine.view.zone }.values else listOf(options)
        return groups.filter { it.size >= job.pending.size }
            .map { group -> group.sortedBy { preemption.cost(it.victims, request) }.take(job.pending.size) }
            .minByOrNull { group -> group.sumOf { preemption.cost(it.victims, request) } }
    }
}
