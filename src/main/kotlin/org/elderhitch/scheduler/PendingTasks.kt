package org.elderhitch.scheduler

import org.elderhitch.tasks.JobState

/**
 * The indices of all tasks of a job that have neither completed nor a placement, in ascending order. They are found
 * while iterating: a gang of a hundred thousand tasks that waits for machines costs a scheduling cycle no more than a
 * small one. Valid only as long as the job does not change.
 */
internal class PendingTasks(private val job: JobState) : AbstractCollection<Int>() {
    override val size: Int =
        job.spec.tasks - job.completed.count - job.placements.keys.count { it !in job.completed }

    override fun iterator(): Iterator<Int> = generateSequence(nextFrom(0)) { nextFrom(it + 1) }.iterator()

    /** The first pending task at or after [index]; null if there is none. */
    private fun nextFrom(index: Int): Int? {
        var next = job.completed.firstMissing(index)
        while (next in job.placements) next = job.completed.firstMissing(next + 1)
        return next.takeIf { it < job.spec.tasks }
    }
}
