package org.elderhitch.fleet

import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Priority
import org.elderhitch.time.MonotonicInstant
import kotlin.math.ceil

/**
 * How much room work finds free or yielding that has no time to wait for a boot: by what arrived lately, and against
 * the loss of a machine.
 */
internal class SpareCapacity(
    private val arrivals: Arrivals,
    private val policy: FleetPolicy,
    /** Classes whose users don't wait as long as it takes to stop less important work. */
    private val instant: Set<String>,
) {
    fun room(services: List<JobSpec>, catalog: Catalog, now: MonotonicInstant): List<Headroom> =
        services.groupBy { it.jobClass }.values.flatMap { specs ->
            val spec = specs.maxBy { it.resources.gpus }
            val type = catalog.fitting(spec).minByOrNull { it.price } ?: return@flatMap emptyList()
            val rate = minOf(arrivals.perSecond(spec.jobClass, now), MOST_RATE)
            val arriving = FleetPlan.arrivingTasks(type, rate, policy)
            val stranded = FleetPlan.strandedTasks(spec, type, policy)
            if (spec.jobClass in instant) {
                listOf(Headroom(spec, ceil(arriving).toInt(), free = true), Headroom(spec, ceil(stranded).toInt()))
            } else {
                listOf(Headroom(spec, ceil(arriving + stranded).toInt()))
            }
        } +
            arrivals.expected(now).filter {
                it.spec.kind == JobKind.ARRAY &&
                    it.spec.jobClass in instant &&
                    it.spec.priority > Priority.LOW
            }
                .map { Headroom(it.spec, ceil(it.tasksPerS * STOPPING_S).toInt(), free = true) }

    private companion object {
        /** Tasks a second. The jobs that a day begins with come at once: no rate that room must be kept for. */
        const val MOST_RATE = 0.3

        /**
         * Arrays whose starts can't wait for others to be stopped find the room free that arrives in the time which
         * that takes.
         */
        const val STOPPING_S = 8.0
    }
}
