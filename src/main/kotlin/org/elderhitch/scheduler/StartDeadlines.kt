package org.elderhitch.scheduler

import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.settings.Objective
import org.elderhitch.time.MonotonicInstant
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds

/** The time by which a job's tasks should start. [isLate]: the job has missed, or will miss, its first objective. */
internal data class StartDeadline(val at: MonotonicInstant, val isLate: Boolean)

/**
 * An array job with tasks to start. [deadlines]: the times by which they should start to meet the job's objectives,
 * earliest first. [work]: the time that the remaining tasks would take on capacity of weight 1.
 */
internal class WaitingArray(val id: JobId, val deadlines: List<MonotonicInstant>, val work: Duration)

/**
 * Computes deadlines by which jobs should start to meet their objectives. Jobs of equal priority are ordered by these
 * deadlines.
 *
 * If not all jobs of a class can meet their objective, the largest are postponed to their next objective, because a few
 * large jobs make many small ones late (Moore-Hodgson algorithm, which minimizes the number of late jobs). After its
 * last objective, a job gets deadlines at two and four times that time, and a job that misses those too comes before
 * all jobs that were submitted later. Thus *arrays of equal priority and class that were submitted later can overtake
 * an array for at most four times its last objective*. Gangs and services keep their first objective, and so the order
 * of their submission.
 */
internal class StartDeadlines(objectives: List<Objective>, private val runTimes: RunTimeEstimator) {
    private class ClassObjectives(val start: List<Duration>, val finish: List<Duration>)

    private val objectivesByClass = objectives.filter { it.within != null }
        .groupBy { it.jobClass }
        .mapValues { (_, ofClass) ->
            val (start, finish) = ofClass.partition { it.kind == START_OBJECTIVE }
            ClassObjectives(start.mapNotNull { it.within }, finish.mapNotNull { it.within })
        }
    private val longestObjective = objectives.mapNotNull { it.within }.maxOrNull() ?: DEFAULT_OBJECTIVE

    /** Returns the deadline of a gang or a service: its tightest objective, regardless of other waiting jobs. */
    fun forGangOrService(spec: JobSpec, opened: MonotonicInstant, now: MonotonicInstant): StartDeadline {
        val ofClass = objectivesByClass[spec.jobClass]
        val tightest = (ofClass?.start.orEmpty() + ofClass?.finish.orEmpty()).minOrNull() ?: longestObjective
        val at = opened + tightest
        return StartDeadline(at, isLate = now > at)
    }

    /** Creates the input of [schedule] for an array with [pending] tasks to start. */
    fun waitingArray(spec: JobSpec, opened: MonotonicInstant, pending: Int): WaitingArray {
        val deadlines = startLimits(spec).map { opened + it }
        return WaitingArray(spec.id, deadlines, runTimes.expected(spec) * (spec.resources.weight * pending))
    }

    /** The times after an array's submission by which its tasks should start, shortest first. */
    private fun startLimits(spec: JobSpec): List<Duration> {
        val ofClass = objectivesByClass[spec.jobClass]
        val runTime = runTimes.expected(spec)
        val finishWithin = ofClass?.finish.orEmpty() + listOfNotNull(spec.deadline)
        val latestStarts = finishWithin.map { maxOf(it - runTime, it * MIN_START_SHARE) }
        val objectives = (ofClass?.start.orEmpty() + latestStarts).ifEmpty { listOf(longestObjective) }.sorted()
        return objectives + MISSED_OBJECTIVE_FACTORS.map { objectives.last() * it }
    }

    /** An array in [schedule], with the deadline that it is scheduled for. */
    private class ScheduledArray(val array: WaitingArray, var deadlineIndex: Int, val duration: Duration) {
        val deadline: MonotonicInstant get() = array.deadlines[deadlineIndex]
        val isLast: Boolean get() = deadlineIndex == array.deadlines.lastIndex
    }

    companion object {
        private const val START_OBJECTIVE = "wait"

        /** Used if there are no objectives at all. */
        private val DEFAULT_OBJECTIVE = 300.seconds

        /** A task whose run time exceeds its objective still gets at least this share of the objective to start. */
        private const val MIN_START_SHARE = 0.1

        /** Longer than any objective. The sum over all waiting arrays must be finite, or their order is undefined. */
        private val MAX_DURATION = 36_500.days

        /** Further deadlines of a job that missed all its objectives, as multiples of the last objective. */
        private val MISSED_OBJECTIVE_FACTORS = listOf(2, 4)

        /**
         * Returns the time by which each of a class's [waiting] arrays should start. [weightInUse]: the weight of the
         * capacity that the class uses, or 0 if it may still get more.
         */
        fun schedule(
            waiting: List<WaitingArray>,
            weightInUse: Double,
            now: MonotonicInstant,
        ): Map<JobId, StartDeadline> {
            val remaining = TreeSet(compareBy<ScheduledArray>({ it.deadline }, { it.array.id.text }))
            for (array in waiting) remaining.add(toScheduledArray(array, weightInUse, now))
            val postponable = TreeSet(compareByDescending<ScheduledArray> { it.duration }.thenBy { it.array.id.text })
            val deadlines = HashMap<JobId, StartDeadline>()
            var scheduled = Duration.ZERO
            while (true) {
                val earliest = remaining.pollFirst() ?: break
                scheduled += earliest.duration
                deadlines[earliest.array.id] = StartDeadline(earliest.deadline, isLate = earliest.deadlineIndex > 0)
                if (!earliest.isLast) postponable.add(earliest)
                if (now + scheduled <= earliest.deadline) continue
                val largest = postponable.pollFirst() ?: continue
                scheduled -= largest.duration
                largest.deadlineIndex++
                remaining.add(largest)
            }
            return deadlines
        }

        private fun toScheduledArray(array: WaitingArray, weightInUse: Double, now: MonotonicInstant): ScheduledArray {
            val next = array.deadlines.indexOfFirst { it >= now }
            val index = if (next < 0) array.deadlines.lastIndex else next
            val duration = if (weightInUse > 0) array.work / weightInUse else Duration.ZERO
            return ScheduledArray(array, index, duration.coerceAtMost(MAX_DURATION))
        }
    }
}
