package org.elderhitch.placement

import org.elderhitch.jobs.JobKind
import org.elderhitch.settings.Zone

/** Places the tasks of arrays and services, each by itself. */
internal class TaskPlacer(
    private val input: CycleInput,
    private val index: CandidateIndex,
    private val scorer: MachineScorer,
    private val preemption: Preemption,
    private val decisions: CycleDecisions,
) {
    /** How far the placement of one job is. */
    private class Progress(val job: JobView, val candidates: List<RemainingCapacity>) {
        val zones: MutableMap<Zone, Int> = HashMap(job.zones)
        var nextCandidate = 0

        /** Whether a machine with the image could be freed, when last tried. */
        var warmMachineFreed = true
    }

    fun place(job: JobView) {
        val progress = Progress(job, index.candidates(job.spec))
        val missing = placePending(progress)
        if (job.probe) {
            if (missing > 0 && input.hasNoMachineToTry(job)) {
                decisions.unplaced.add(UnplacedTasks(job.spec, 1, progress.zones))
            }
        } else {
            preemptForMissing(progress, missing)
        }
    }

    /** Places as many tasks as quota and machines allow; returns how many found no machine. */
    private fun placePending(progress: Progress): Int {
        val job = progress.job
        val spec = job.spec
        var missing = 0
        for (taskIndex in job.pending) {
            if (!decisions.quotaAllows(spec, spec.resources)) break
            val machine = nextMachine(progress)
            if (machine == null) {
                if (!decisions.addDemand(spec, spec.resources)) break
                missing++
            } else if (!freeWarmMachine(progress, machine)) {
                decisions.place(job, taskIndex, machine, progress.zones)
            }
        }
        return missing
    }

    /**
     * The first candidate that still takes a task. Neither capacity nor zones come back within a scheduling cycle, so
     * candidates that are passed over once are never tried again.
     */
    private fun nextMachine(progress: Progress): RemainingCapacity? {
        val spec = progress.job.spec
        val candidates = progress.candidates
        while (progress.nextCandidate < candidates.size) {
            val machine = candidates[progress.nextCandidate]
            if (scorer.accepts(spec, machine) && spec.zoneAllows(progress.zones, machine.view.zone)) return machine
            progress.nextCandidate++
        }
        return null
    }

    /**
     * Makes the task wait for capacity on a machine that has the image, or will have it soon, if fetching it to
     * [alternative] takes longer.
     *
     * @return whether such capacity will come
     */
    private fun freeWarmMachine(progress: Progress, alternative: RemainingCapacity): Boolean {
        val spec = progress.job.spec
        val worthFetching = scorer.fetchSeconds(spec, alternative) - PREEMPTION_S
        if (!progress.warmMachineFreed || progress.job.probe || worthFetching <= 0) return false
        val freed = preemption.makeRoom(spec, progress.zones) { scorer.fetchSeconds(spec, it) < worthFetching }
        progress.warmMachineFreed = freed
        return freed
    }

    /** Preempts less important tasks for those that found no machine, and records the tasks that remain. */
    private fun preemptForMissing(progress: Progress, missing: Int) {
        val spec = progress.job.spec
        // While most of the fleet boots, a service rather waits for a machine than displaces tasks for a long fetch.
        val anywhere = !(input.mostlyBooting && spec.kind == JobKind.SERVICE)
        var remaining = missing
        while (remaining > 0 &&
            preemption.makeRoom(spec, progress.zones) { anywhere || spec.image in it.view.images.cached }
        ) {
            remaining--
        }
        if (remaining > 0) decisions.unplaced.add(UnplacedTasks(spec, remaining, progress.zones))
    }

    private companion object {
        /** Preempting a task takes the time that it needs to save, and a heartbeat or two: longer fetches are worse. */
        const val PREEMPTION_S = 12.0
    }
}
