package org.elderhitch.scheduler

import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.settings.Objective
import org.elderhitch.time.MonotonicInstant
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** By when a job's tasks should start. [late]: the first of its aims is missed, or will be. */
internal data class StartDeadline(val at: MonotonicInstant, val late: Boolean)

/**
 * An array that waits: by when its aims ask its tasks to start, the tightest first, and for how long what is left of it
 * would hold a room of weight 1.
 */
internal class Waiting(val id: JobId, val aims: List<MonotonicInstant>, val work: Duration)

/**
 * The order among jobs of equal priority: by when their next aim asks them to start. Where not all of a class can be in
 * time, the largest wait for their next aim
 * (Moore and Hodgson's rule for the least number of late jobs): what is started first is what would be late otherwise,
 * and a few large jobs make many small
 * ones late. After its last aim a job has two times and four times as long; what missed that too stands before all that
 * came later. So the bound: *an array
 * is passed by younger work of equal priority and class for at most four times its last aim.* Gangs and services keep
 * their first aim, and so the order of their
 * submission.
 */
internal class StartDeadlines(objectives: List<Objective>, private val runs: RunTimes) {
    private class Aims(val start: List<Duration>, val finish: List<Duration>)

    private val aims = objectives.filter { it.within != null }.groupBy { it.jobClass }.mapValues { (_, its) ->
        val (start, finish) = its.partition { it.kind == WAIT }
        Aims(start.mapNotNull { it.within }, finish.mapNotNull { it.within })
    }
    private val longest = objectives.mapNotNull { it.within }.maxOrNull() ?: NO_AIM

    fun ofWhole(spec: JobSpec, opened: MonotonicInstant, now: MonotonicInstant): StartDeadline {
        val its = aims[spec.jobClass]
        val first = opened + ((its?.start.orEmpty() + its?.finish.orEmpty()).minOrNull() ?: longest)
        return StartDeadline(first, late = now > first)
    }

    fun waiting(spec: JobSpec, opened: MonotonicInstant, pending: Int): Waiting =
        Waiting(spec.id, spans(spec).map { opened + it }, runs.expected(spec) * (spec.resources.weight * pending))

    /** Spans from a job's submission by which its tasks should start, the tightest first. */
    private fun spans(spec: JobSpec): List<Duration> {
        val its = aims[spec.jobClass]
        val runs = runs.expected(spec)
        val finish = its?.finish.orEmpty() + listOfNotNull(spec.deadline)
        val spans = (
            its?.start.orEmpty() + finish.map {
                maxOf(it - runs, it * LEAST_SHARE)
            }
            ).ifEmpty { listOf(longest) }.sorted()
        return spans + listOf(spans.last() * 2, spans.last() * 4)
    }

    companion object {
        private const val WAIT = "wait"

        /** Where no class has an aim. */
        private val NO_AIM = 300.seconds

        /**
         * A task that runs for longer than its aim allows is late from the first moment on: it still has a part of it.
         */
        private const val LEAST_SHARE = 0.1

        /**
         * By when each of a class's waiting arrays should start; [held]: the weight of the room that the class has, 0
         * if that isn't known.
         */
        fun among(waiting: List<Waiting>, held: Double, now: MonotonicInstant): Map<JobId, StartDeadline> {
            class Entry(val job: Waiting, var aim: Int) {
                val at get() = job.aims[aim]
                val takes = if (held > 0) job.work / held else Duration.ZERO
            }
            val byDue = compareBy<Entry>({ it.at }, { it.job.id.text })
            val left = TreeSet(byDue)
            for (job in waiting) {
                left.add(
                    Entry(
                        job,
                        job.aims.indexOfFirst { it >= now }.let {
                            if (it <
                                0
                            ) {
                                job.aims.lastIndex
                            } else {
                                it
                            }
                        },
                    ),
                )
            }
            val inTime = TreeSet(compareByDescending<Entry> { it.takes }.thenBy { it.job.id.text })
            val due = HashMap<JobId, StartDeadline>()
            var full = Duration.ZERO
            while (true) {
                val next = left.pollFirst() ?: break
                full += next.takes
                due[next.job.id] = StartDeadline(next.at, late = next.aim > 0)
                if (next.aim < next.job.aims.lastIndex) inTime.add(next)
                if (now + full <= next.at) continue
                val largest = inTime.pollFirst() ?: continue
                full -= largest.takes
                largest.aim++
                left.add(largest)
            }
            return due
        }
    }
}
