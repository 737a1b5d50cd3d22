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
 * When the members of a new gang start. A member that has its image waits for the others no longer than the workers'
 * `gang_wait_s`, and then the whole gang gives up, fetches included: where the fetch takes longer than that, such a
 * gang
 * would be placed again and again and never start. So members that have the image start as much later.
 */
internal class GangStart(private val wait: Duration, private val table: TaskTable, private val catalog: Catalog) {
    fun heldBack(placed: List<PlacementDecision>): Map<TaskId, Duration> {
        val gangs = LinkedHashMap<JobId, MutableList<PlacementDecision>>()
        for (p in placed) {
            if (p.joinAttempt == null &&
                table.jobs[p.task.job]?.isGang == true
            ) {
                gangs.getOrPut(p.task.job) { ArrayList() }.add(p)
            }
        }
        val held = HashMap<TaskId, Duration>()
        for (members in gangs.values) {
            val fetches = members.associate { it.task to fetch(it) }
            val longest = fetches.values.max() * SLOWEST
            for ((task, own) in fetches) {
                val later = longest - own * FASTEST - (wait - MARGIN)
                if (own == Duration.ZERO && later.isPositive()) held[task] = later
            }
        }
        return held
    }

    private fun fetch(placed: PlacementDecision): Duration {
        val worker = table.workers[placed.machine] ?: return Duration.ZERO
        val spec = table.jobs[placed.task.job]?.spec ?: return Duration.ZERO
        val type = catalog.types[worker.type] ?: return Duration.ZERO
        if (type.fetchGbPerS <= 0 || spec.image in worker.cachedImages(type.cacheGb)) return Duration.ZERO
        return (spec.imageGb / type.fetchGbPerS).seconds
    }

    private companion object {
        // Machines fetch at the stated rate, give or take a third.
        const val SLOWEST = 1.5
        const val FASTEST = 0.75

        /** A report or two, and the clocks' steps. */
        val MARGIN = 7.seconds
    }
}
