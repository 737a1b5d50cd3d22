package org.elderhitch.scheduler

import org.elderhitch.fleet.Catalog
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TaskId
import org.elderhitch.placement.PlacementDecision
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.isGang
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Delays the starts of members of a new gang. A member that has its image waits for the others no longer than the
 * workers' `gang_wait_s` ([memberWait]), and then the whole gang gives up, fetches included: where a fetch takes longer
 * than that, the gang would be placed again and again and never start. So members that have the image start later by as
 * much.
 */
internal class GangStart(
    private val memberWait: Duration,
    private val table: TaskTable,
    private val catalog: Catalog,
) {
    /** By how much later than the others' the start of a task is sent; tasks with no delay are left out. */
    fun startDelays(placed: List<PlacementDecision>): Map<TaskId, Duration> {
        val delays = HashMap<TaskId, Duration>()
        for (members in newGangs(placed).values) {
            val fetchTimes = members.associate { it.task to fetchTime(it) }
            val longest = fetchTimes.values.max() * SLOWEST_FETCH
            for ((task, own) in fetchTimes) {
                val delay = longest - own * FASTEST_FETCH - (memberWait - MARGIN)
                if (own == Duration.ZERO && delay.isPositive()) delays[task] = delay
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

    /** How long the machine fetches the task's image at its stated rate; zero: it has the image. */
    private fun fetchTime(decision: PlacementDecision): Duration {
        val worker = table.workers[decision.machine] ?: return Duration.ZERO
        val spec = table.jobs[decision.task.job]?.spec ?: return Duration.ZERO
        val type = catalog.types[worker.type] ?: return Duration.ZERO
        if (type.fetchGbPerS <= 0 || spec.image in worker.cachedImages(type.cacheGb)) return Duration.ZERO
        return (spec.imageGb / type.fetchGbPerS).seconds
    }

    private companion object {
        /** Machines fetch at the stated rate, give or take a third: factors of the stated time. */
        const val SLOWEST_FETCH = 1.5
        const val FASTEST_FETCH = 0.75

        /** Some heartbeat intervals, and steps of the clocks. */
        val MARGIN = 7.seconds
    }
}
