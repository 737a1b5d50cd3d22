package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.placement.ExpectedArrivals
import org.elderhitch.time.MonotonicInstant
import kotlin.math.exp
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The recent arrival rate of tasks by job class: an average with exponential decay over [TIME_CONSTANT]. */
internal class ArrivalRates {
    private class ClassRate(val latestSpec: JobSpec, val tasksPerS: Double, val updatedAt: MonotonicInstant)

    private val rateByClass = HashMap<String, ClassRate>()

    /** Counts the tasks of a job that was opened. */
    fun jobOpened(spec: JobSpec, now: MonotonicInstant) {
        val rate = tasksPerSecond(spec.jobClass, now) + spec.tasks / TIME_CONSTANT.toDouble(DurationUnit.SECONDS)
        rateByClass[spec.jobClass] = ClassRate(spec, rate, now)
        if (rateByClass.size > MAX_CLASSES) removeSlowestClass(now)
    }

    private fun removeSlowestClass(now: MonotonicInstant) {
        rateByClass.keys.minByOrNull { tasksPerSecond(it, now) }?.let(rateByClass::remove)
    }

    fun tasksPerSecond(jobClass: String, now: MonotonicInstant): Double =
        rateByClass[jobClass]?.let { it.tasksPerS * exp(-((now - it.updatedAt) / TIME_CONSTANT)) } ?: 0.0

    /** The arrival rate of each class, with the latest job of the class as the model of its tasks. */
    fun expectedByClass(now: MonotonicInstant): List<ExpectedArrivals> = rateByClass.values.map {
        ExpectedArrivals(it.latestSpec, tasksPerSecond(it.latestSpec.jobClass, now))
    }

    /** Number of machines that the tasks arriving during the boot of a machine would fill. */
    fun machinesFilledDuringBoot(catalog: Catalog, now: MonotonicInstant): Double = rateByClass.values.sumOf { rate ->
        val type = catalog.fitting(rate.latestSpec).minByOrNull { it.price } ?: return@sumOf 0.0
        tasksPerSecond(rate.latestSpec.jobClass, now) * type.bootTime.toDouble(DurationUnit.SECONDS) /
            CapacityEstimates.tasksPerMachine(rate.latestSpec, type).coerceAtLeast(1)
    }

    private companion object {
        val TIME_CONSTANT = 120.seconds

        /** Each plan and each scheduling cycle considers all classes, and users may submit any number of them. */
        const val MAX_CLASSES = 500
    }
}
