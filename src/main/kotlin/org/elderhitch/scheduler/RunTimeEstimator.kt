package org.elderhitch.scheduler

import org.elderhitch.jobs.JobSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days

/**
 * Predicts the run times of tasks from their owners' estimates, corrected by the observed run times of their class.
 * Estimates can be consistently too high or too low for a whole day.
 */
internal class RunTimeEstimator {
    /** Moving average of the ratio of actual to estimated run time, by job class. */
    private val ratios = HashMap<String, Double>()

    /** Records that a task of the job completed after a run time of [runTime]. */
    fun record(spec: JobSpec, runTime: Duration) {
        if (!spec.estimate.isPositive()) return
        val ratio = (runTime / spec.estimate).coerceIn(MIN_RATIO, MAX_RATIO)
        ratios[spec.jobClass] = ratios[spec.jobClass]?.let { it + (ratio - it) * SMOOTHING } ?: ratio
    }

    /** The expected run time of a task, at most [MAX_RUN_TIME]. */
    fun expected(spec: JobSpec): Duration = (spec.estimate * (ratios[spec.jobClass] ?: 1.0)).coerceAtMost(MAX_RUN_TIME)

    private companion object {
        /** The tasks of one job share the error of its estimate, so the average covers some hundred tasks. */
        const val SMOOTHING = 0.02
        const val MIN_RATIO = 0.3
        const val MAX_RATIO = 4.0

        /** Users may submit any estimate; sums of infinite durations are undefined. */
        val MAX_RUN_TIME = 365.days
    }
}
