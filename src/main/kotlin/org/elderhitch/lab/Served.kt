package org.elderhitch.lab

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration.Companion.seconds

/**
 * Of each class and each team, which share of the jobs that were due is served: started if they run for ever, else
 * ended. Looked at once: a day on which less than
 * half of any is served has failed, however well the others fare.
 */
internal class Served(jobs: List<JobFacts>, cameBefore: MonotonicInstant) {
    private val due = jobs.filter { it.submittedAt <= cameBefore }

    /** Who is served least, and its share; null: nothing was due, or nobody has looked. */
    var least: Pair<String, Double>? = null
        private set
    private var looked = false

    fun look(rules: InvariantChecker, users: SimulatedUsers) {
        if (looked) return
        looked = true
        val open = due.filter { !users.isWithdrawing(it.id) }
        val shares =
            open.groupBy { "class " + it.jobClass } + open.groupBy { "team " + it.team } +
                largest(open).mapKeys { "the largest of class " + it.key }
        least =
            shares.mapValues { (_, its) ->
                its.count { isServed(it, rules) }.toDouble() / its.size
            }.minByOrNull { it.value }?.toPair()
    }

    /** Of each class the quarter with the most tasks. */
    private fun largest(jobs: List<JobFacts>): Map<String, List<JobFacts>> = jobs.groupBy {
        it.jobClass
    }.mapValues { (_, its) -> its.sortedByDescending { it.tasks }.take((its.size + LARGEST_OF - 1) / LARGEST_OF) }

    /**
     * The largest jobs too have to begin within four minutes: one that did not, asked when the storm is over; null:
     * there is none.
     */
    fun late(rules: InvariantChecker, users: SimulatedUsers): String? =
        largest(due.filter { !users.isWithdrawing(it.id) }).values.flatten()
            .firstOrNull { job -> rules.begunAt(job.id).let { it == null || it - job.submittedAt > BEGIN_WITHIN } }
            ?.let { "${it.id}, among the largest of class ${it.jobClass}, did not begin within $BEGIN_WITHIN" }

    private fun isServed(job: JobFacts, rules: InvariantChecker): Boolean =
        rules.finalOf(job.id) != null || job.endless && (0 until job.tasks).any { rules.isOn("${job.id}/$it") }

    private companion object {
        const val LARGEST_OF = 4
        val BEGIN_WITHIN = 240.seconds
    }
}
