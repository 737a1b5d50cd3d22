package org.elderhitch.fleet

import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Priority
import org.elderhitch.time.MonotonicInstant
import kotlin.math.ceil

/**
 * How much capacity is kept free, or preemptible, for work that can't wait until a machine has booted: enough for what
 * recently arrived, and for the services that would be lost with a machine.
 */
internal class SpareCapacity(
    private val arrivals: Arrivals,
    private val policy: FleetPolicy,
    /** Classes whose start-time objective leaves no time to preempt other work: their capacity must be free. */
    private val instantClasses: Set<String>,
) {
    fun headroom(services: List<JobSpec>, catalog: Catalog, now: MonotonicInstant): List<Headroom> =
        services.groupBy { it.jobClass }.values.flatMap { forServices(it, catalog, now) } + forInstantArrays(now)

    /** [services] are the running services of one class. */
    private fun forServices(services: List<JobSpec>, catalog: Catalog, now: MonotonicInstant): List<Headroom> {
        val spec = services.maxBy { it.resources.gpus }
        val type = catalog.fitting(spec).minByOrNull { it.price } ?: return emptyList()
        val rate = minOf(arrivals.tasksPerSecond(spec.jobClass, now), MAX_SERVICES_PER_S)
        val arriving = CapacityEstimates.arrivingTasks(type, rate, policy)
        val stranded = CapacityEstimates.strandedTasks(spec, type, policy)
        return if (spec.jobClass in instantClasses) {
            listOf(Headroom(spec, ceil(arriving).toInt(), free = true), Headroom(spec, ceil(stranded).toInt()))
        } else {
            listOf(Headroom(spec, ceil(arriving + stranded).toInt()))
        }
    }

    private fun forInstantArrays(now: MonotonicInstant): List<Headroom> = arrivals.expected(now)
        .filter {
            it.spec.kind == JobKind.ARRAY && it.spec.jobClass in instantClasses && it.spec.priority > Priority.LOW
        }
        .map { Headroom(it.spec, ceil(it.tasksPerS * PREEMPTION_S).toInt(), free = true) }

    private companion object {
        /** Bounds the rate that capacity is kept for: the services that a day begins with all come at once. */
        const val MAX_SERVICES_PER_S = 0.3

        /** How long a preemption takes: arrays of instant classes find capacity free for the tasks of that time. */
        const val PREEMPTION_S = 8.0
    }
}
