package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.placement.ExpectedArrivals
import org.elderhitch.time.MonotonicInstant
import kotlin.math.exp
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The recent arrival rate of tasks by job class: an exponentially weighted average over two minutes. */
internal class Arrivals {
    private class ClassRate(val latestSpec: JobSpec, val tasksPerS: Double, val at: MonotonicInstant)

    private val classes = HashMap<String, ClassRate>()

    /** A job was opened. */
    fun add(spec: JobSpec, now: MonotonicInstant) {
        val rate = tasksPerSecond(spec.jobClass, now) + spec.tasks / AVERAGED_OVER.toDouble(DurationUnit.SECONDS)
        classes[spec.jobClass] = ClassRate(spec, rate, now)
    }

    fun tasksPerSecond(jobClass: String, now: MonotonicInstant): Double =
        classes[jobClass]?.let { it.tasksPerS * exp(-((now - it.at) / AVERAGED_OVER)) } ?: 0.0

    /** The rate of each class, with the latest job of the class as its shape. */
    fun expected(now: MonotonicInstant): List<ExpectedArrivals> = classes.values.map {
        ExpectedArrivals(it.latestSpec, tasksPerSecond(it.latestSpec.jobClass, now))
    }

    /** How many machines the tasks would fill that arrive while a machine boots. */
    fun machinesPerBoot(catalog: Catalog, now: MonotonicInstant): Double = classes.values.sumOf { known ->
        val type = catalog.fitting(known.latestSpec).minByOrNull { it.price } ?: return@sumOf 0.0
        tasksPerSecond(known.latestSpec.jobClass, now) * type.bootTime.toDouble(DurationUnit.SECONDS) /
            CapacityEstimates.tasksPerMachine(known.latestSpec, type).coerceAtLeast(1.0)
    }

    private companion object {
        val AVERAGED_OVER = 120.seconds
    }
}
