package org.elderhitch.placement

import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Zone
import kotlin.time.DurationUnit

/** Frees capacity for more important tasks by stopping less important ones, at the least cost. */
internal class Preemption(
    private val input: CycleInput,
    private val index: CandidateIndex,
    private val scorer: MachineScorer,
    private val decisions: CycleDecisions,
) {
    private val lateJobs: Set<JobId> = input.jobs.filter { it.late }.mapTo(HashSet()) { it.spec.id }

    /**
     * Claims capacity for one task on a machine that [usable] accepts: some that is being released, or some that is
     * released by preempting tasks.
     *
     * @return whether the capacity will come
     */
    fun makeRoom(spec: JobSpec, zones: MutableMap<Zone, Int>, usable: (RemainingCapacity) -> Boolean): Boolean {
        val accepted = { machine: RemainingCapacity ->
            index.visit()
            machine.view.allows(spec) && spec.zoneAllows(zones, machine.view.zone) && usable(machine)
        }
        val machine = index.releasing.firstOrNull { spec.resources.fitsIn(it.free + it.releasing) && accepted(it) }
            ?: preemptCheapest(spec, accepted)
            ?: return false
        claim(machine, spec)
        zones.merge(machine.view.zone, 1, Int::plus)
        return true
    }

    /**
     * Claims what a task needs of the free resources and of those being released, so that nothing less important is
     * placed there meanwhile.
     */
    fun claim(machine: RemainingCapacity, spec: JobSpec) {
        val fromFree = Resources(
            minOf(machine.free.cpus, spec.resources.cpus),
            minOf(machine.free.gpus, spec.resources.gpus),
            minOf(machine.free.memoryGb, spec.resources.memoryGb),
        )
        machine.free -= fromFree
        machine.releasing -= spec.resources - fromFree
    }

    /** Stops the tasks on the machine. */
    fun preempt(machine: RemainingCapacity, victims: List<PreemptionCandidate>) {
        for (victim in victims) {
            machine.preemptible.remove(victim)
            machine.releasing += victim.request
            decisions.preempted.add(victim.task)
        }
        index.releasing.add(machine)
    }

    /** Preempts on one machine: one that has the image, or will have it first, then one where it costs least. */
    private fun preemptCheapest(spec: JobSpec, accepted: (RemainingCapacity) -> Boolean): RemainingCapacity? {
        var best: RemainingCapacity? = null
        var bestVictims: List<PreemptionCandidate> = emptyList()
        var bestFetch = Double.MAX_VALUE
        for (machine in index.preemptible) {
            if (!hasPreemptible(machine, spec.priority) || !accepted(machine)) continue
            val victims = victims(machine, spec, spec.priority) ?: continue
            val fetch = scorer.fetchSeconds(spec, machine)
            val cheaper = best == null ||
                fetch < bestFetch ||
                (fetch == bestFetch && cost(victims, spec.resources) < cost(bestVictims, spec.resources))
            if (cheaper) {
                best = machine
                bestVictims = victims
                bestFetch = fetch
            }
        }
        return best?.also { preempt(it, bestVictims) }
    }

    /** Whether some task on the machine has a priority below the given one and could be preempted. */
    fun hasPreemptible(machine: RemainingCapacity, below: Priority): Boolean {
        val lowest = machine.lowestPreemptible
        return lowest != null && lowest < below
    }

    /**
     * The tasks with a priority below [below] that are to be stopped on the machine so that a task of the job fits;
     * null if it would not fit then either.
     */
    fun victims(machine: RemainingCapacity, spec: JobSpec, below: Priority): List<PreemptionCandidate>? {
        val chosen = ArrayList<PreemptionCandidate>()
        var available = machine.free + machine.releasing
        for (victim in machine.preemptible.filter { it.priority < below }.sortedWith(cheapestFirst(spec.resources))) {
            if (spec.resources.fitsIn(available)) break
            available += victim.request
            chosen.add(victim)
        }
        return chosen.takeIf { spec.resources.fitsIn(available) }
    }

    /**
     * The least important first, then few large ones rather than many small, but none much larger than the request,
     * then those that lose least.
     */
    private fun cheapestFirst(request: Resources): Comparator<PreemptionCandidate> = compareBy(
        { it.priority },
        { it.request.weight > request.weight * MUCH_LARGER },
        { -it.request.weight },
        { lossSeconds(it) },
    )

    /**
     * What preempting the tasks costs their users, in seconds: each is restarted somewhere, and repeats what was not
     * saved. A task several times as large as the request that it is stopped for loses as many times more work.
     */
    fun cost(victims: List<PreemptionCandidate>, request: Resources): Double = victims.sumOf {
        (RESTART_S + lossSeconds(it)) *
            maxOf(1.0, it.request.weight / request.weight)
    }

    /**
     * What a task loses, in seconds. Tasks of jobs that are late already are cheaper: a job that is in time may become
     * late by one task that is restarted.
     */
    private fun lossSeconds(victim: PreemptionCandidate): Double =
        unsavedSeconds(victim) + if (victim.task.job in lateJobs) 0.0 else IN_TIME_S

    private fun unsavedSeconds(victim: PreemptionCandidate): Double =
        victim.unsavedSince?.let { (input.now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0

    private companion object {
        const val RESTART_S = 10.0

        /** What a restart of a job's task costs if the job is in time, on top of the work that is lost. */
        const val IN_TIME_S = 30.0
        const val MUCH_LARGER = 2.0
    }
}
