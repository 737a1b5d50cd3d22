package org.elderhitch.scheduler

import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.settings.Objective
import org.elderhitch.time.MonotonicInstant
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** By when a job's tasks should start. [late]: the job misses the first of its objectives, or will. */
internal data class StartDeadline(val at: MonotonicInstant, val late: Boolean)

/**
 * An array with tasks to start. [deadlines]: by when they should start to meet its objectives, the tightest first.
 * [work]: for how long what is left of it would occupy capacity of weight 1.
 */
internal class WaitingArray(val id: JobId, val deadlines: List<MonotonicInstant>, val work: Duration)

/**
 * Orders jobs of equal priority by the time by which their next objective needs them to start.
 *
 * Where not all jobs of a class can be in time, the largest wait for their next objective (Moore and Hodgson's rule for
 * the least number of late jobs): what starts first is what would be late otherwise, and a few large jobs make many
 * small ones late. After its last objective a job gets deadlines at two and four times that time, and a job that misses
 * those too comes before all jobs that were submitted later. So *an array is passed by younger work of equal priority
 * and class for at most four times its last objective*. Gangs and services keep their first objective, and so the order
 * of their submission.
 */
internal class StartDeadlines(objectives: List<Objective>, private val runTimes: RunTimes) {
    private class ClassObjectives(val start: List<Duration>, val finish: List<Duration>)

    private val objectivesByClass = objectives.filter { it.within != null }
        .groupBy { it.jobClass }
        .mapValues { (_, ofClass) ->
            val (start, finish) = ofClass.partition { it.kind == START_OBJECTIVE }
            ClassObjectives(start.mapNotNull { it.within }, finish.mapNotNull { it.within })
        }
    private val longestObjective = objectives.mapNotNull { it.within }.maxOrNull() ?: NO_OBJECTIVE

    /** For a gang or a service: by its tightest objective, whatever other jobs wait. */
    fun forWholeJob(spec: JobSpec, opened: MonotonicInstant, now: MonotonicInstant): StartDeadline {
        val ofClass = objectivesByClass[spec.jobClass]
        val tightest = (ofClass?.start.orEmpty() + ofClass?.finish.orEmpty()).minOrNull() ?: longestObjective
        val at = opened + tightest
        return StartDeadline(at, late = now > at)
    }

    /** An array of which [pending] tasks are to be started, as input for [schedule]. */
    fun waitingArray(spec: JobSpec, opened: MonotonicInstant, pending: Int): WaitingArray {
        val deadlines = startWithin(spec).map { opened + it }
        return WaitingArray(spec.id, deadlines, runTimes.expected(spec) * (spec.resources.weight * pending))
    }

    /** Times from an array's submission by which its tasks should start, the tightest first. */
    private fun startWithin(spec: JobSpec): List<Duration> {
        val ofClass = objectivesByClass[spec.jobClass]
        val runTime = runTimes.expected(spec)
        val finishWithin = ofClass?.finish.orEmpty() + listOfNotNull(spec.deadline)
        val latestStarts = finishWithin.map { maxOf(it - runTime, it * MIN_START_SHARE) }
        val objectives = (ofClass?.start.orEmpty() + latestStarts).ifEmpty { listOf(longestObjective) }.sorted()
        return objectives + MISSED_FACTORS.map { objectives.last() * it }
    }

    /** An array in [schedule], and which of its deadlines it is to meet. */
    private class Entry(val array: WaitingArray, var index: Int, val duration: Duration) {
        val deadline: MonotonicInstant get() = array.deadlines[index]
        val isLast: Boolean get() = index == array.deadlines.lastIndex
    }

    companion object {
        private const val START_OBJECTIVE = "wait"

        /** Where no class has an objective. */
        private val NO_OBJECTIVE = 300.seconds

        /** A task that runs for longer than its objective allows still has this share of it to start. */
        private const val MIN_START_SHARE = 0.1

        /** The deadlines of a job that missed its objectives, as factors of the last of them. */
        private val MISSED_FACTORS = listOf(2, 4)

        /**
         * By when each of a class's [waiting] arrays should start. [weightInUse]: the weight of the capacity that the
         * class has; 0 if it isn't known that it gets no more.
         */
        fun schedule(
            waiting: List<WaitingArray>,
            weightInUse: Double,
            now: MonotonicInstant,
        ): Map<JobId, StartDeadline> {
            val remaining = TreeSet(compareBy<Entry>({ it.deadline }, { it.array.id.text }))
            for (array in waiting) remaining.add(firstEntry(array, weightInUse, now))
            val inTime = TreeSet(compareByDescending<Entry> { it.duration }.thenBy { it.array.id.text })
            val deadlines = HashMap<JobId, StartDeadline>()
            var scheduled = Duration.ZERO
            while (true) {
                val earliest = remaining.pollFirst() ?: break
                scheduled += earliest.duration
                deadlines[earliest.array.id] = StartDeadline(earliest.deadline, late = earliest.index > 0)
                if (!earliest.isLast) inTime.add(earliest)
                if (now + scheduled <= earliest.deadline) continue
                val largest = inTime.pollFirst() ?: continue
                scheduled -= largest.duration
                largest.index++
                remaining.add(largest)
            }
            return deadlines
        }

        private fun firstEntry(array: WaitingArray, weightInUse: Double, now: MonotonicInstant): Entry {
            val next = array.deadlines.indexOfFirst { it >= now }
            val index = if (next < 0) array.deadlines.lastIndex else next
            val duration = if (weightInUse > 0) array.work / weightInUse else Duration.ZERO
            return Entry(array, index, duration)
        }
    }
}
