package org.elderhitch.tasks

import org.elderhitch.jobs.JobAccount
import org.elderhitch.jobs.JobKind
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.WallTime
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * What this term has seen of a job's work. A run counts from when it was first seen running to when it was last: useful
 * if it completed, served or was saved, lost otherwise. An earlier term's part is not guessed: [JobAccount.lowerBound]
 * says so.
 */
internal class JobUsage {
    var attempts = 0L
        private set
    var lost = 0L
        private set
    private var useful = Duration.ZERO
    private var wasted = Duration.ZERO
    private var firstStart = MonotonicInstant.FOREVER

    /** Starts of each task that came to nothing by themselves; kept only where a rule asks for it. */
    private var failures: HashMap<Int, Int>? = null

    fun recordStart(now: MonotonicInstant) {
        attempts++
        if (now < firstStart) firstStart = now
    }

    /** [alike]: when a task that it ran together with was first seen running, for one that was not seen at all. */
    fun recordCompletion(placement: Placement, now: MonotonicInstant, alike: MonotonicInstant?) {
        if (placement.state != PlacementState.CONFIRMED) recordStart(now)
        placement.accounted = true
        useful += (placement.runningSince ?: alike)?.let { now - it } ?: Duration.ZERO
    }

    /** The task is no longer on its machine, and [completed] was not called for it. */
    fun recordLoss(job: JobState, placement: Placement, now: MonotonicInstant, counting: Boolean) {
        if (placement.accounted || placement.state != PlacementState.CONFIRMED) return
        placement.accounted = true
        val ran = ran(placement, now)
        val saved = placement.stopGrace.let { it != null && job.spec.takesCheckpoints && it >= job.spec.checkpointDuration }
        if (saved || job.spec.kind == JobKind.SERVICE) useful += ran else wasted += ran
        if (placement.stopGrace != null) return
        lost++
        // A member of a gang that waited in vain for the others, or a fetch that was cut short, says nothing of the
        // task.
        if (counting &&
            (placement.failed || placement.runningSince != null)
        ) {
            (failures ?: HashMap<Int, Int>().also { failures = it }).merge(placement.task.index, 1, Int::plus)
        }
    }

    fun failuresOf(index: Int): Int = failures?.get(index) ?: 0

    fun forgetFailures() {
        failures = null
    }

    private fun ran(placement: Placement, now: MonotonicInstant): Duration =
        placement.runningSince?.let { now - it } ?: Duration.ZERO

    fun account(job: JobState, now: MonotonicInstant, wallClock: WallTime, lowerBound: Boolean): JobAccount {
        var serving = useful
        var open = wasted
        for (p in job.placements.values) {
            if (p.accounted) continue
            if (job.spec.kind == JobKind.SERVICE) serving += ran(p, now) else open += ran(p, now)
        }
        return JobAccount(
            job.spec.team, job.spec.jobClass, attempts, lost, seconds(serving), seconds(open),
            if (firstStart == MonotonicInstant.FOREVER) null else wallClock - (now - firstStart), wallClock, lowerBound,
        )
    }

    private fun seconds(span: Duration): Double = span.toDouble(DurationUnit.SECONDS)
}
