package org.elderhitch.tasks

import org.elderhitch.jobs.JobAccount
import org.elderhitch.jobs.JobKind
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.WallTime
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Run time and attempts of a job, as seen in this term.
 *
 * An attempt counts from when it was first to when it was last seen running. Its time is useful if the task completed,
 * belongs to a service, or was saved; otherwise it is wasted. What earlier terms saw is unknown and not estimated:
 * [JobAccount.lowerBound] is set then.
 */
internal class JobUsage {
    /** Attempts that workers confirmed. */
    var attempts = 0L
        private set

    /** Attempts that ended without completing and without being stopped. */
    var lost = 0L
        private set
    private var useful = Duration.ZERO
    private var wasted = Duration.ZERO
    private var firstStart = MonotonicInstant.FOREVER

    /** Failed attempts by task index; null: none were counted. Filled only for jobs with a rule about them. */
    private var failures: HashMap<Int, Int>? = null

    /** A worker confirmed an attempt. */
    fun recordStart(now: MonotonicInstant) {
        attempts++
        if (now < firstStart) firstStart = now
    }

    /**
     * The task of [placement] completed. If it was never seen running, [peerRunningSince] tells when a task that ran
     * together with it was; null: none was.
     */
    fun recordCompletion(placement: Placement, now: MonotonicInstant, peerRunningSince: MonotonicInstant?) {
        if (placement.state != PlacementState.CONFIRMED) recordStart(now)
        placement.accounted = true
        useful += (placement.runningSince ?: peerRunningSince)?.let { now - it } ?: Duration.ZERO
    }

    /**
     * The task of [placement] is gone from its worker. No effect on placements that are accounted for already.
     * [countsFailures]: whether a failed attempt counts towards [failuresOf].
     */
    fun recordLoss(job: JobState, placement: Placement, now: MonotonicInstant, countsFailures: Boolean) {
        if (placement.accounted || placement.state != PlacementState.CONFIRMED) return
        placement.accounted = true
        val ran = runTime(placement, now)
        val saved = placement.stopGrace.let {
            it != null && job.spec.takesCheckpoints && it >= job.spec.checkpointDuration
        }
        if (saved || job.spec.kind == JobKind.SERVICE) useful += ran else wasted += ran
        if (placement.stopGrace != null) return
        lost++
        if (countsFailures && blamesTask(placement)) addFailure(placement.task.index)
    }

    /** A gang member that waited in vain for the others, or a fetch that was cut short, is no failure of the task. */
    private fun blamesTask(placement: Placement): Boolean = placement.failed || placement.runningSince != null

    private fun addFailure(index: Int) {
        val counts = failures ?: HashMap<Int, Int>().also { failures = it }
        counts.merge(index, 1, Int::plus)
    }

    /** The number of failed attempts of the task with this index since the last [forgetFailures]. */
    fun failuresOf(index: Int): Int = failures?.get(index) ?: 0

    fun forgetFailures() {
        failures = null
    }

    private fun runTime(placement: Placement, now: MonotonicInstant): Duration =
        placement.runningSince?.let { now - it } ?: Duration.ZERO

    /** The account of [job] up to [now], which is [wallTime] by the calendar. Run times are in seconds. */
    fun account(job: JobState, now: MonotonicInstant, wallTime: WallTime, lowerBound: Boolean): JobAccount {
        var usefulSoFar = useful
        var wastedSoFar = wasted
        for (placement in job.placements.values) {
            if (placement.accounted) continue
            val ran = runTime(placement, now)
            if (job.spec.kind == JobKind.SERVICE) usefulSoFar += ran else wastedSoFar += ran
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
            lowerBound,
        )
    }

    private fun seconds(span: Duration): Double = span.toDouble(DurationUnit.SECONDS)
}
