package org.elderhitch.scheduler

import org.elderhitch.fleet.Catalog
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TaskId
import org.elderhitch.placement.PlacementDecision
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.isGang
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds

/**
 * Computes start delays for members of a new gang whose machine already has the image.
 *
 * A member that has its image waits for the others no longer than the workers' `gang_wait_s` ([maxMemberWait]); then
 * the whole gang gives up, fetches included. With a fetch that takes longer than that, the gang would be placed again
 * and again without ever starting. Members that have the image are therefore started later by as much.
 */
internal class GangStartDelays(
    private val maxMemberWait: Duration,
    private val table: TaskTable,
    private val catalog: Catalog,
) {
    /** Returns the start delay of each task; tasks without a delay are omitted. */
    fun startDelays(placed: List<PlacementDecision>): Map<TaskId, Duration> {
        val delays = HashMap<TaskId, Duration>()
        for (members in newGangs(placed).values) {
            val fetchTimes = members.associate { it.task to fetchTime(it) }
            val longestFetchTime = fetchTimes.values.max() * SLOWEST_FETCH_FACTOR
            for ((task, ownFetchTime) in fetchTimes) {
                val delay = longestFetchTime - ownFetchTime * FASTEST_FETCH_FACTOR - (maxMemberWait - WAIT_MARGIN)
                if (ownFetchTime == Duration.ZERO && delay.isPositive()) delays[task] = delay
            }
        }
        return delays
    }

    private fun newGangs(placed: List<PlacementDecision>): Map<JobId, List<PlacementDecision>> {
        val gangs = LinkedHashMap<JobId, MutableList<PlacementDecision>>()
        for (decision in placed) {
            val isNewGang = decision.joinAttempt == null && table.jobs[decision.task.job]?.isGang == true
            if (isNewGang) gangs.getOrPut(decision.task.job) { ArrayList() }.add(decision)
        }
        return gangs
    }

    /** The time to fetch the task's image at the machine's nominal rate; zero if the machine has the image. */
    private fun fetchTime(decision: PlacementDecision): Duration {
        val worker = table.workers[decision.machine] ?: return Duration.ZERO
        val spec = table.jobs[decision.task.job]?.spec ?: return Duration.ZERO
        val type = catalog.types[worker.type] ?: return Duration.ZERO
        if (type.fetchGbPerS <= 0 || spec.image in worker.cachedImages(type.cacheGb)) return Duration.ZERO
        return (spec.imageGb / type.fetchGbPerS).seconds.coerceAtMost(MAX_FETCH_TIME)
    }

    private companion object {
        /** Actual fetch rates are within a third of the nominal rate. These are factors of the nominal fetch time. */
        const val SLOWEST_FETCH_FACTOR = 1.5
        const val FASTEST_FETCH_FACTOR = 0.75

        /** Users may submit any image size; differences of infinite durations are undefined. */
        val MAX_FETCH_TIME = 1.days

        /** Allows for several heartbeat intervals and for clock adjustments. */
        val WAIT_MARGIN = 7.seconds
    }
}
