package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.placement.Expected
import org.elderhitch.time.Moment
import kotlin.math.exp
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** How many tasks of each class arrived lately, the more lately the more they count. */
internal class Arrivals {
    private class Known(val spec: JobSpec, val ratePerS: Double, val at: Moment)

    private val classes = HashMap<String, Known>()

    fun add(spec: JobSpec, now: Moment) {
        val rate = perSecond(spec.jobClass, now) + spec.tasks / OVER.toDouble(DurationUnit.SECONDS)
        classes[spec.jobClass] = Known(spec, rate, now)
    }

    fun perSecond(jobClass: String, now: Moment): Double =
        classes[jobClass]?.let { it.ratePerS * exp(-((now - it.at) / OVER)) } ?: 0.0

    fun expected(now: Moment): List<Expected> = classes.values.map {
        Expected(it.spec, perSecond(it.spec.jobClass, now))
    }

    /** Machines' worth of tasks that arrive while a machine boots. */
    fun machinesWorth(catalog: Catalog, now: Moment): Double = classes.values.sumOf { known ->
        val type = catalog.fitting(known.spec).minByOrNull { it.price } ?: return@sumOf 0.0
        perSecond(known.spec.jobClass, now) * type.boot.toDouble(DurationUnit.SECONDS) /
            FleetPlan.tasksPerMachine(known.spec, type).coerceAtLeast(1.0)
    }

    private companion object {
        val OVER = 120.seconds
    }
}
