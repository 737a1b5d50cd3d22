package org.elderhitch.scheduler

import org.elderhitch.jobs.JobSpec
import kotlin.time.Duration

/**
 * How long tasks run, by their owners' estimates and by what was seen of their class: on some days estimates are mostly
 * too high or mostly too low (PROTOCOL, `POST /work`).
 */
internal class RunTimes {
    /** By class: the actual run time over the estimated one, as a moving average. */
    private val ratios = HashMap<String, Double>()

    /** A task of the job completed after it ran for [runTime]. */
    fun record(spec: JobSpec, runTime: Duration) {
        if (!spec.estimate.isPositive()) return
        val ratio = (runTime / spec.estimate).coerceIn(MIN_RATIO, MAX_RATIO)
        ratios[spec.jobClass] = ratios[spec.jobClass]?.let { it + (ratio - it) * SMOOTHING } ?: ratio
    }

    fun expected(spec: JobSpec): Duration = spec.estimate * (ratios[spec.jobClass] ?: 1.0)

    private companion object {
        /** The tasks of one job share the error of its estimate, so a class is known by some hundred tasks. */
        const val SMOOTHING = 0.02
        const val MIN_RATIO = 0.3
        const val MAX_RATIO = 4.0
    }
}
