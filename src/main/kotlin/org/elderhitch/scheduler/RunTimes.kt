package org.elderhitch.scheduler

import org.elderhitch.jobs.JobSpec
import kotlin.time.Duration

/**
 * How long tasks run, by their owners' estimates and by what was seen of their class: on some days estimates are mostly
 * too high or mostly too low
 * (PROTOCOL, `POST /work`).
 */
internal class RunTimes {
    private val ratios = HashMap<String, Double>()

    /** A task of that job ran for so long. */
    fun seen(spec: JobSpec, ran: Duration) {
        if (!spec.estimate.isPositive()) return
        val ratio = (ran / spec.estimate).coerceIn(LEAST, MOST)
        ratios[spec.jobClass] = ratios[spec.jobClass]?.let { it + (ratio - it) * WEIGHT } ?: ratio
    }

    fun expected(spec: JobSpec): Duration = spec.estimate * (ratios[spec.jobClass] ?: 1.0)

    private companion object {
        /** The tasks of one job share its estimate's mistake: a class is known by some hundred tasks. */
        const val WEIGHT = 0.02
        const val LEAST = 0.3
        const val MOST = 4.0
    }
}
