package org.elderhitch.placement

import org.elderhitch.jobs.JobKind
import org.elderhitch.settings.Zone

/** Places the tasks of arrays and services, each independently of the others. */
internal class TaskPlacer(
    private val input: CycleInput,
    private val index: CandidateIndex,
    private val scorer: MachineScorer,
    private val preemption: Preemption,
    private val decisions: CycleDecisions,
) {
    /** The progress of placing one job. */
    private class Progress(val job: JobView, val candidates: List<RemainingCapacity>) {
        /** The number of the job's tasks in each zone. */
        val zoneCounts: MutableMap<Zone, Int> = HashMap(job.tasksPerZone)
        var nextCandidate = 0

        /** Whether the last attempt to claim capacity on a machine with the image succeeded; true before the first. */
        var canClaimWarmMachine = true
    }

    fun place(job: JobView) {
        val progress = Progress(job, index.candidates(job.spec))
        val unplacedCount = placePending(progress)
        if (job.isProbe) {
            if (unplacedCount > 0 && input.hasNoMachineToRetryOn(job)) {
                decisions.unplaced.add(UnplacedTasks(job.spec, 1, progress.zoneCounts))
            }
        } else {
            preemptForUnplaced(progress, unplacedCount)
        }
    }

    /** Places as many tasks as quota and machines allow; returns how many no machine has capacity for. */
    private fun placePending(progress: Progress): Int {
        val job = progress.job
        val spec = job.spec
        var unplacedCount = 0
        for (taskIndex in job.pending) {
            if (!decisions.quotaAllows(spec, spec.resources)) break
            val machine = nextMachine(progress)
            if (machine == null) {
                if (!decisions.addDemand(spec, spec.resources)) break
                unplacedCount++
            } else if (!claimWarmMachine(progress, machine)) {
                decisions.place(job, taskIndex, machine, progress.zoneCounts)
            }
        }
        return unplacedCount
    }

    /**
     * The first candidate that still accepts a task. Within a scheduling cycle, free capacity only shrinks and zones
     * only gain tasks, so candidates that were skipped once are not retried.
     */
    private fun nextMachine(progress: Progress): RemainingCapacity? {
        val spec = progress.job.spec
        val candidates = progress.candidates
        while (progress.nextCandidate < candidates.size) {
            val machine = candidates[progress.nextCandidate]
            if (scorer.accepts(spec, machine) && spec.zoneAllows(progress.zoneCounts, machine.view.zone)) return machine
            progress.nextCandidate++
        }
        return null
    }

    /**
     * Claims capacity on a machine that has the job's image, or will have it soon, if preempting tasks and completing
     * the fetch there takes less time than fetching the image to [alternative].
     *
     * @return whether capacity was claimed, so that the task waits for it
     */
    private fun claimWarmMachine(progress: Progress, alternative: RemainingCapacity): Boolean {
        val spec = progress.job.spec
        val maxFetchSeconds = scorer.fetchSeconds(spec, alternative) - PREEMPTION_DELAY_S
        if (!progress.canClaimWarmMachine || progress.job.isProbe || maxFetchSeconds <= 0) return false
        val claimed =
            preemption.claimOrPreempt(spec, progress.zoneCounts) { scorer.fetchSeconds(spec, it) < maxFetchSeconds }
        progress.canClaimWarmMachine = claimed
        return claimed
    }

    /** Claims or preempts capacity for tasks that found none, and records those that remain unplaced. */
    private fun preemptForUnplaced(progress: Progress, unplacedCount: Int) {
        val spec = progress.job.spec
        // While most of the fleet is booting, a service preempts tasks only on machines that have its image: it is
        // better to wait for a new machine than to stop tasks and then fetch the image for a long time.
        val mayUseColdMachine = !(input.mostlyBooting && spec.kind == JobKind.SERVICE)
        var remaining = unplacedCount
        while (remaining > 0 &&
            preemption.claimOrPreempt(spec, progress.zoneCounts) {
                mayUseColdMachine || spec.image in it.view.images.cached
            }
        ) {
            remaining--
        }
        if (remaining > 0) decisions.unplaced.add(UnplacedTasks(spec, remaining, progress.zoneCounts))
    }

    private companion object {
        /** The time that a preempted task takes to save its work, and one or two heartbeats. */
        const val PREEMPTION_DELAY_S = 12.0
    }
}
