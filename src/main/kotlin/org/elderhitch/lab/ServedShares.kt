package org.elderhitch.lab

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration.Companion.seconds

/**
 * The share of the due jobs that is served, for each class and each team: started if they run without end, otherwise
 * ended. Computed once. A storm fails if the share of any group is under a half, however well the others are served.
 */
internal class ServedShares(jobs: List<JobFacts>, cameBefore: MonotonicInstant) {
    private val dueJobs = jobs.filter { it.submittedAt <= cameBefore }

    /** The group with the smallest served share, and that share; null: no job was due, or [check] has not run. */
    var leastServed: Pair<String, Double>? = null
        private set
    private var checked = false

    fun check(rules: InvariantChecker, users: SimulatedUsers) {
        if (checked) return
        checked = true
        val open = dueJobs.filter { !users.isWithdrawing(it.id) }
        val shares =
            open.groupBy { "class " + it.jobClass } + open.groupBy { "team " + it.team } +
                largest(open).mapKeys { "the largest of class " + it.key }
        leastServed =
            shares.mapValues { (_, group) ->
                group.count { isServed(it, rules) }.toDouble() / group.size
            }.minByOrNull { it.value }?.toPair()
    }

    /** The quarter of the jobs with the most tasks, for each class. */
    private fun largest(jobs: List<JobFacts>): Map<String, List<JobFacts>> = jobs.groupBy {
        it.jobClass
    }.mapValues { (_, group) ->
        group.sortedByDescending { it.tasks }.take(
            (group.size + LARGEST_PART - 1) / LARGEST_PART,
        )
    }

    /**
     * The first of the largest jobs that did not start within [START_LIMIT]; null: none. To be called after the storm.
     */
    fun firstLate(rules: InvariantChecker, users: SimulatedUsers): String? =
        largest(dueJobs.filter { !users.isWithdrawing(it.id) }).values.flatten()
            .firstOrNull { job -> rules.begunAt(job.id).let { it == null || it - job.submittedAt > START_LIMIT } }
            ?.let { "${it.id}, among the largest of class ${it.jobClass}, did not begin within $START_LIMIT" }

    private fun isServed(job: JobFacts, rules: InvariantChecker): Boolean =
        rules.terminalStateOf(job.id) != null || job.endless && (0 until job.tasks).any { rules.isOn("${job.id}/$it") }

    private companion object {
        const val LARGEST_PART = 4
        val START_LIMIT = 240.seconds
    }
}
