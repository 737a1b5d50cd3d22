package org.elderhitch.fleet

import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Priority
import org.elderhitch.time.MonotonicInstant
import kotlin.math.ceil

/**
 * Calculates how much capacity to keep free, or preemptible, for work that can't wait for a machine to boot: enough for
 * the recent arrival rate, and for the services that would be displaced by a machine failure.
 */
internal class HeadroomCalculator(
    private val arrivals: ArrivalRates,
    private val policy: FleetPolicy,
    /** Job classes whose start-time objective leaves no time to preempt other work, so that capacity must be free. */
    private val nonPreemptingClasses: Set<String>,
) {
    fun headroom(services: List<JobSpec>, catalog: Catalog, now: MonotonicInstant): List<Headroom> =
        services.groupBy { it.jobClass }.values.flatMap { forServices(it, catalog, now) } + forInstantArrays(now)

    /** The headroom for one job class, of which [services] are the open services. */
    private fun forServices(services: List<JobSpec>, catalog: Catalog, now: MonotonicInstant): List<Headroom> {
        val spec = services.maxBy { it.resources.gpus }
        val type = catalog.fitting(spec).minByOrNull { it.price } ?: return emptyList()
        val rate = minOf(arrivals.tasksPerSecond(spec.jobClass, now), MAX_SERVICES_PER_S)
        val arriving = CapacityEstimates.arrivingTasks(type, rate, policy)
        val displaced = CapacityEstimates.displacedTasks(spec, type, policy)
        return if (spec.jobClass in nonPreemptingClasses) {
            listOf(Headroom(spec, ceil(arriving).toInt(), mustBeFree = true), Headroom(spec, ceil(displaced).toInt()))
        } else {
            listOf(Headroom(spec, ceil(arriving + displaced).toInt()))
        }
    }

    private fun forInstantArrays(now: MonotonicInstant): List<Headroom> = arrivals.expectedByClass(now)
        .filter {
            it.spec.kind == JobKind.ARRAY && it.spec.jobClass in nonPreemptingClasses && it.spec.priority > Priority.LOW
        }
        .map { Headroom(it.spec, ceil(it.tasksPerS * PREEMPTION_TIME_S).toInt(), mustBeFree = true) }

    private companion object {
        /** Limits the arrival rate that capacity is kept for, as the services of a new day all arrive at once. */
        const val MAX_SERVICES_PER_S = 0.3

        /**
         * Duration of a preemption. For arrays of instant classes, capacity is kept free for the arrivals of that time.
         */
        const val PREEMPTION_TIME_S = 8.0
    }
}
