package org.elderhitch.tasks

import org.elderhitch.jobs.JobAccount
import org.elderhitch.jobs.JobKind
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.WallTime
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Run time and attempts of a job, as observed by the leader in this term.
 *
 * The run time of an attempt lasts from the first report of it as running until the leader learns of its end. It is
 * useful if the task completed, was checkpointed or belongs to a service, and wasted otherwise. What ran in earlier
 * terms is not known and not estimated; [JobAccount.isLowerBound] is set if anything may have.
 */
internal class JobUsage {
    /** The number of attempts confirmed by a worker. */
    var attempts = 0L
        private set

    /** The number of attempts that ended neither by completion nor by a stop. */
    var lost = 0L
        private set
    private var useful = Duration.ZERO
    private var wasted = Duration.ZERO
    private var firstStart = MonotonicInstant.FOREVER

    /** Failed attempts by task index; null if there are none. Counted only if the job's class limits attempts. */
    private var failures: HashMap<Int, Int>? = null

    /** Records that a worker confirmed an attempt. */
    fun recordStart(now: MonotonicInstant) {
        attempts++
        if (now < firstStart) firstStart = now
    }

    /**
     * Records that the task of [placement] completed. If it was never reported as running, its run time counts from
     * [peerRunningSince]: when a task that ran together with it was first reported as running, or null if none was.
     */
    fun recordCompletion(placement: Placement, now: MonotonicInstant, peerRunningSince: MonotonicInstant?) {
        if (placement.state != PlacementState.CONFIRMED) recordStart(now)
        placement.accounted = true
        useful += (placement.runningSince ?: peerRunningSince)?.let { now - it } ?: Duration.ZERO
    }

    /**
     * Records that the task of [placement] is gone from its worker without having completed. Placements that are
     * already accounted for are ignored. [countsFailures]: whether a failed attempt is included in [failuresOf].
     */
    fun recordLoss(job: JobState, placement: Placement, now: MonotonicInstant, countsFailures: Boolean) {
        if (placement.accounted || placement.state != PlacementState.CONFIRMED) return
        placement.accounted = true
        val attemptRunTime = runTime(placement, now)
        val isCheckpointed = placement.stopGrace.let {
            it != null && job.spec.canCheckpoint && it >= job.spec.checkpointDuration
        }
        if (isCheckpointed || job.spec.kind == JobKind.SERVICE) useful += attemptRunTime else wasted += attemptRunTime
        if (placement.stopGrace != null) return
        lost++
        if (countsFailures && isTaskFailure(placement)) countFailure(placement.task.index)
    }

    /**
     * Whether the lost attempt is a failure of its task. A gang member that timed out waiting for the others, or an
     * image fetch that was interrupted, is not.
     */
    private fun isTaskFailure(placement: Placement): Boolean = placement.failed || placement.runningSince != null

    private fun countFailure(index: Int) {
        val counts = failures ?: HashMap<Int, Int>().also { failures = it }
        counts.merge(index, 1, Int::plus)
    }

    /** The number of failed attempts of the task at [index] since the last [resetFailures]. */
    fun failuresOf(index: Int): Int = failures?.get(index) ?: 0

    fun resetFailures() {
        failures = null
    }

    private fun runTime(placement: Placement, now: MonotonicInstant): Duration =
        placement.runningSince?.let { now - it } ?: Duration.ZERO

    /** Returns the account of [job] up to [now], which corresponds to [wallTime]. Run times in it are in seconds. */
    fun account(job: JobState, now: MonotonicInstant, wallTime: WallTime, isLowerBound: Boolean): JobAccount {
        var usefulSoFar = useful
        var wastedSoFar = wasted
        for (placement in job.placements.values) {
            if (placement.accounted) continue
            val attemptRunTime = runTime(placement, now)
            if (job.spec.kind == JobKind.SERVICE) usefulSoFar += attemptRunTime else wastedSoFar += attemptRunTime
        }
        val start = if (firstStart == MonotonicInstant.FOREVER) null else wallTime - (now - firstStart)
        return JobAccount(
            job.spec.team,
            job.spec.jobClass,
            attempts,
            lost,
            seconds(usefulSoFar),
            seconds(wastedSoFar),
            start,
            wallTime,
            isLowerBound,
        )
    }

    private fun seconds(duration: Duration): Double = duration.toDouble(DurationUnit.SECONDS)
}
