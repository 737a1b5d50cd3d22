package org.elderhitch.placement

import org.elderhitch.jobs.Priority

/** Places the tasks of gangs: all pending tasks of a gang in one scheduling cycle, or none. */
internal class GangPlacer(
    private val input: CycleInput,
    private val index: CandidateIndex,
    private val preemption: Preemption,
    private val decisions: CycleDecisions,
) {
    /** A machine that a task of a gang would fit on once [victims] are stopped. */
    private class PreemptionOffer(val machine: RemainingCapacity, val victims: List<PreemptionCandidate>)

    fun place(job: JobView) {
        val total = job.spec.resources * job.pending.size
        if (!decisions.quotaAllows(job.spec, total)) {
            decisions.reserveQuota(job.spec, total)
            return
        }
        val candidates = index.candidates(job.spec)
        val choices = choices(job, candidates)
        val machines = choices.firstNotNullOfOrNull { fit(job, it) }
        if (machines == null) {
            waitForMachines(job, candidates, choices)
        } else {
            val zones = HashMap(job.zones)
            for ((taskIndex, machine) in job.pending.zip(machines)) decisions.place(job, taskIndex, machine, zones)
        }
    }

    /** The groups of machines that may hold the gang, in the order in which they are tried. */
    private fun choices(job: JobView, candidates: List<RemainingCapacity>): List<List<RemainingCapacity>> {
        val byZone = candidates.groupBy { it.view.zone }
        return when {
            !job.spec.oneZone -> listOf(candidates)

            job.zones.isNotEmpty() -> job.zones.keys.map { byZone[it].orEmpty() }

            // The zone with the least capacity that suffices: the larger ones stay whole for larger gangs.
            else -> byZone.values.sortedBy { machines -> machines.sumOf { it.free.gpus } }
        }
    }

    /** One machine for each pending task; null if not all fit. */
    private fun fit(job: JobView, candidates: List<RemainingCapacity>): List<RemainingCapacity>? {
        val spec = job.spec
        val zones = HashMap(job.zones)
        val chosen = ArrayList<RemainingCapacity>()
        var position = 0
        var free = candidates.firstOrNull()?.free ?: return null
        while (chosen.size < job.pending.size) {
            val machine = candidates[position]
            index.visit()
            if (spec.resources.fitsIn(free) && (zones[machine.view.zone] ?: 0) < spec.maxTasksPerZone) {
                free -= spec.resources
                zones.merge(machine.view.zone, 1, Int::plus)
                chosen.add(machine)
            } else {
                if (++position == candidates.size) return null
                free = candidates[position].free
            }
        }
        return chosen
    }

    private fun waitForMachines(
        job: JobView,
        candidates: List<RemainingCapacity>,
        choices: List<List<RemainingCapacity>>,
    ) {
        val spec = job.spec
        val machinesWillCome = if (job.probe) !input.hasNoMachineToTry(job) else preempt(job, candidates)
        if (machinesWillCome) return
        if (decisions.addDemand(spec, spec.resources * job.pending.size)) {
            decisions.unplaced.add(UnplacedTasks(spec, job.pending.size, job.zones))
        }
        reserveMachines(job, choices)
    }

    /**
     * Reserves the machines that a gang could use while it waits for others: less important work, which is placed
     * later in this scheduling cycle, would take each as it comes free, and the gang would never find all at once.
     */
    private fun reserveMachines(job: JobView, choices: List<List<RemainingCapacity>>) {
        val best = choices.maxByOrNull { it.size } ?: return
        for (machine in best.take(job.pending.size)) machine.free -= job.spec.resources
    }

    /**
     * Preempts work of the lowest priority for a gang, on as many machines as it has pending tasks or on none. More
     * important work isn't preempted, since a gang would stop tasks of many jobs at once.
     *
     * @return whether the machines will come
     */
    private fun preempt(job: JobView, candidates: List<RemainingCapacity>): Boolean {
        val spec = job.spec
        if (spec.spread) return false
        val below = minOf(spec.priority, Priority.NORMAL)
        val preemptible = index.preemptible.filter { preemption.hasPreemptible(it, below) }
        if (preemptible.isEmpty() && index.releasing.isEmpty()) return false
        val machines = LinkedHashSet(candidates)
        machines.addAll(index.releasing)
        machines.addAll(preemptible)
        val chosen = cheapest(job, offers(job, machines, below)) ?: return false
        for (offer in chosen) {
            preemption.preempt(offer.machine, offer.victims)
            preemption.claim(offer.machine, spec)
        }
        return true
    }

    private fun offers(job: JobView, machines: Set<RemainingCapacity>, below: Priority): List<PreemptionOffer> {
        val offers = ArrayList<PreemptionOffer>()
        for (machine in machines) {
            index.visit()
            if (!accepts(job, machine.view)) continue
            preemption.victims(machine, job.spec, below)?.let { offers.add(PreemptionOffer(machine, it)) }
        }
        return offers
    }

    private fun accepts(job: JobView, machine: MachineView): Boolean = machine.allows(job.spec) &&
        (job.zones.isEmpty() || job.spec.zoneAllows(job.zones, machine.zone))

    /** The offers for all pending tasks that cost least, in one zone if the gang must be; null if there are too few. */
    private fun cheapest(job: JobView, offers: List<PreemptionOffer>): List<PreemptionOffer>? {
        val request = job.spec.resources
        val groups = if (job.spec.oneZone) offers.groupBy { it.machine.view.zone }.values else listOf(offers)
        return groups.filter { it.size >= job.pending.size }
            .map { group -> group.sortedBy { preemption.cost(it.victims, request) }.take(job.pending.size) }
            .minByOrNull { group -> group.sumOf { preemption.cost(it.victims, request) } }
    }
}
