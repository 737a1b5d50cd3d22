package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.placement.ExpectedArrivals
import org.elderhitch.time.MonotonicInstant
import kotlin.math.exp
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** How many tasks of each class arrived lately, the more lately the more they count. */
internal class Arrivals {
    private class ClassArrivals(val spec: JobSpec, val ratePerS: Double, val at: MonotonicInstant)

    private val classes = HashMap<String, ClassArrivals>()

    fun add(spec: JobSpec, now: MonotonicInstant) {
        val rate = perSecond(spec.jobClass, now) + spec.tasks / OVER.toDouble(DurationUnit.SECONDS)
        classes[spec.jobClass] = ClassArrivals(spec, rate, now)
    }

    fun perSecond(jobClass: String, now: MonotonicInstant): Double =
        classes[jobClass]?.let { it.ratePerS * exp(-((now - it.at) / OVER)) } ?: 0.0

    fun expected(now: MonotonicInstant): List<ExpectedArrivals> = classes.values.map {
        ExpectedArrivals(it.spec, perSecond(it.spec.jobClass, now))
    }

    /** Machines' worth of tasks that arrive while a machine boots. */
    fun machinesWorth(catalog: Catalog, now: MonotonicInstant): Double = classes.values.sumOf { known ->
        val type = catalog.fitting(known.spec).minByOrNull { it.price } ?: return@sumOf 0.0
        perSecond(known.spec.jobClass, now) * type.bootTime.toDouble(DurationUnit.SECONDS) /
            FleetPlan.tasksPerMachine(known.spec, type).coerceAtLeast(1.0)
    }

    private companion object {
        val OVER = 120.seconds
    }
}
