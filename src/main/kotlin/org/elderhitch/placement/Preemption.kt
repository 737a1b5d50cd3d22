package org.elderhitch.placement

import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Zone
import kotlin.time.DurationUnit

/** Frees capacity for tasks by stopping tasks of lower priority, at the lowest cost. */
internal class Preemption(
    private val input: CycleInput,
    private val index: CandidateIndex,
    private val scorer: MachineScorer,
    private val decisions: CycleDecisions,
) {
    /**
     * What has to be stopped on a machine for one more task of a job, as long as the machine has this [free] and
     * [releasing] capacity. [victims] is null if the task would not fit even then.
     */
    private class Option(
        val free: Resources,
        val releasing: Resources,
        val victims: List<PreemptionCandidate>?,
        val cost: Double,
    ) {
        /** Resources are immutable: each change on a machine replaces one of them. */
        fun isUpToDate(machine: RemainingCapacity): Boolean = free === machine.free && releasing === machine.releasing
    }

    /**
     * The options for tasks of [optionsJob] by machine. A job may need a thousand preemptions in a cycle, and each of
     * them changes a single machine, so the options of the others are kept.
     */
    private val options = HashMap<RemainingCapacity, Option>()
    private var optionsJob: JobSpec? = null

    private val lateJobs: Set<JobId> = input.jobs.filter { it.isLate }.mapTo(HashSet()) { it.spec.id }

    /**
     * Claims capacity for one task on a machine that [isUsable] accepts. Capacity that stopping tasks are about to
     * release is preferred; otherwise tasks are preempted.
     *
     * @return whether capacity was claimed, so that the task can start once it is released
     */
    fun claimOrPreempt(
        spec: JobSpec,
        tasksPerZone: MutableMap<Zone, Int>,
        isUsable: (RemainingCapacity) -> Boolean,
    ): Boolean {
        val isAccepted = { machine: RemainingCapacity ->
            index.countVisit()
            machine.view.permits(spec) && spec.zoneAllows(tasksPerZone, machine.view.zone) && isUsable(machine)
        }
        val machine = index.releasingMachines
            .firstOrNull { spec.resources.fitsIn(it.free + it.releasing) && isAccepted(it) }
            ?: preemptCheapest(spec, isAccepted)
            ?: return false
        claim(machine, spec)
        tasksPerZone.merge(machine.view.zone, 1, Int::plus)
        return true
    }

    /**
     * Deducts a task's request from the free resources of the machine, and the rest from those being released, so that
     * no lower-ranked task is placed there in the meantime.
     */
    fun claim(machine: RemainingCapacity, spec: JobSpec) {
        val fromFree = spec.resources.coerceAtMost(machine.free)
        machine.free -= fromFree
        machine.releasing -= spec.resources - fromFree
    }

    /** Stops [victims] on the machine. */
    fun preempt(machine: RemainingCapacity, victims: List<PreemptionCandidate>) {
        for (victim in victims) {
            machine.preemptible.remove(victim)
            machine.releasing += victim.request
            decisions.preempted.add(victim.task)
        }
        index.releasingMachines.add(machine)
    }

    /**
     * Preempts tasks on one machine: the one that has the job's image soonest and, among equals, the one with the
     * lowest [cost].
     */
    private fun preemptCheapest(spec: JobSpec, isAccepted: (RemainingCapacity) -> Boolean): RemainingCapacity? {
        var best: RemainingCapacity? = null
        var bestVictims: List<PreemptionCandidate> = emptyList()
        var bestFetchSeconds = Double.MAX_VALUE
        var bestCost = Double.MAX_VALUE
        for (machine in index.preemptibleMachines) {
            if (!hasPreemptible(machine, spec.priority) || !isAccepted(machine)) continue
            val option = option(machine, spec)
            val victims = option.victims ?: continue
            val fetchSeconds = scorer.fetchSeconds(spec, machine)
            val isCheaper = best == null ||
                fetchSeconds < bestFetchSeconds ||
                (fetchSeconds == bestFetchSeconds && option.cost < bestCost)
            if (isCheaper) {
                best = machine
                bestVictims = victims
                bestFetchSeconds = fetchSeconds
                bestCost = option.cost
            }
        }
        return best?.also { preempt(it, bestVictims) }
    }

    private fun option(machine: RemainingCapacity, spec: JobSpec): Option {
        if (optionsJob !== spec) {
            optionsJob = spec
            options.clear()
        }
        options[machine]?.takeIf { it.isUpToDate(machine) }?.let { return it }
        val victims = victims(machine, spec, spec.priority)
        val cost = victims?.let { cost(it, spec.resources) } ?: Double.MAX_VALUE
        return Option(machine.free, machine.releasing, victims, cost).also { options[machine] = it }
    }

    /** Whether the machine has a preemptible task with a priority below [below]. */
    fun hasPreemptible(machine: RemainingCapacity, below: Priority): Boolean {
        val lowest = machine.lowestPreemptiblePriority
        return lowest != null && lowest < below
    }

    /**
     * The tasks with a priority below [below] that must be stopped on the machine so that a task of the job
     * fits; null if it would not fit even then.
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
     * Orders victims: the lowest priority first, then those that are not much larger than the request, then large ones,
     * so that few rather than many are stopped, then those that lose least.
     */
    private fun cheapestFirst(request: Resources): Comparator<PreemptionCandidate> = compareBy(
        { it.priority },
        { it.request.weight > request.weight * OVERSIZED_VICTIM_RATIO },
        { -it.request.weight },
        { lossSeconds(it) },
    )

    /**
     * The cost of preempting the tasks, in seconds: each is restarted elsewhere and repeats its unsaved work. A
     * task that is larger than the request loses more work by the same factor.
     */
    fun cost(victims: List<PreemptionCandidate>, request: Resources): Double = victims.sumOf {
        (RESTART_COST_S + lossSeconds(it)) * maxOf(1.0, it.request.weight / maxOf(request.weight, MIN_WEIGHT))
    }

    /**
     * The loss if a task is stopped: its unsaved work, and a surcharge unless its job is late already, since restarting
     * a single task can make a job late.
     */
    private fun lossSeconds(victim: PreemptionCandidate): Double =
        unsavedSeconds(victim) + if (victim.task.job in lateJobs) 0.0 else ON_TIME_JOB_COST_S

    private fun unsavedSeconds(victim: PreemptionCandidate): Double =
        victim.unsavedSince?.let { (input.now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0

    private companion object {
        const val RESTART_COST_S = 10.0

        /** Avoids a division by zero for a request without CPUs and GPUs. */
        const val MIN_WEIGHT = 1e-9

        /** The cost of stopping a task of a job that is not late, in addition to the unsaved work. */
        const val ON_TIME_JOB_COST_S = 30.0

        /** A victim of more than this multiple of the request's weight is stopped only after smaller ones. */
        const val OVERSIZED_VICTIM_RATIO = 2.0
    }
}
