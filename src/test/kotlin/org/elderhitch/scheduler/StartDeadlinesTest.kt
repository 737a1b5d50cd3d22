package org.elderhitch.scheduler

import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Objective
import org.elderhitch.settings.TeamName
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class StartDeadlinesTest {
    private val runTimes = RunTimes()
    private val objectives =
        listOf(
            Objective("wait", "truck", 5.seconds),
            Objective("finished", "sack", 100.seconds),
            Objective("finished", "sack", 180.seconds),
        )
    private val deadlines = StartDeadlines(objectives, runTimes)
    private val opened = MonotonicInstant(0) + 500.seconds

    private fun spec(
        id: Int,
        jobClass: String,
        kind: JobKind = JobKind.ARRAY,
        estimate: Duration = 40.seconds,
        deadline: Duration? = null,
    ) = JobSpec(
        JobId("req-$id"),
        jobClass,
        TeamName("team"),
        kind,
        Priority.NORMAL,
        tasks = 10,
        Resources(4.0, 0.0, 6.0),
        null,
        null,
        false,
        false,
        true,
        Image("img"),
        1.0,
        estimate,
        Duration.ZERO,
        Duration.ZERO,
        deadline,
    )

    private fun startsWithinS(spec: JobSpec): List<Long> {
        val array = deadlines.waitingArray(spec, opened, 10)
        return array.deadlines.map { (it - opened).inWholeSeconds }
    }

    @Test
    fun `an array gets a deadline for each objective when its class has objectives to start or to finish`() {
        assertEquals(listOf(60L, 140L, 280L, 560L), startsWithinS(spec(1, "sack")))
        assertEquals(
            listOf(5L, 20L, 40L, 80L),
            startsWithinS(spec(2, "truck", estimate = 15.seconds, deadline = 35.seconds)),
        )
        assertEquals(
            listOf(10L, 30L, 60L, 120L),
            startsWithinS(spec(3, "sack", estimate = 150.seconds)),
            "a tenth of its objective where the run time exceeds it",
        )
        assertEquals(
            listOf(180L, 360L, 720L),
            startsWithinS(spec(4, "other")),
            "the longest objective where its class has none",
        )
        repeat(500) { runTimes.record(spec(5, "sack"), 60.seconds) }
        assertEquals(
            listOf(40L, 120L, 240L, 480L),
            startsWithinS(spec(6, "sack")),
            "a class whose estimates are mostly too low",
        )
    }

    @Test
    fun `a gang keeps its first objective when it misses it`() {
        assertEquals(
            StartDeadline(opened + 100.seconds, late = false),
            deadlines.forWholeJob(spec(1, "sack", JobKind.GANG), opened, opened + 99.seconds),
        )
        assertEquals(
            StartDeadline(opened + 100.seconds, late = true),
            deadlines.forWholeJob(spec(1, "sack", JobKind.GANG), opened, opened + 300.seconds),
        )
    }

    private fun waiting(id: Int, deadlines: List<Duration>, work: Duration) =
        WaitingArray(JobId("req-%03d".format(id)), deadlines.map { opened + it }, work)

    private val startsWithin = listOf(60.seconds, 140.seconds, 280.seconds, 560.seconds)

    /**
     * Seen: of 42 jobs that arrived within 40 s all were late by seconds or minutes; had the few largest waited, the
     * others would have been in time.
     */
    @Test
    fun `schedule delays the fewest and largest arrays when not all can be in time`() {
        val jobs = List(9) { waiting(it, startsWithin, 10.seconds) } + waiting(9, startsWithin, 500.seconds)
        val late = StartDeadlines.schedule(jobs, weightInUse = 2.0, opened).filterValues { it.late }
        assertEquals(setOf("req-009"), late.keys.map { it.text }.toSet())
        assertEquals(0, lateJobs(jobs, weightInUse = 100.0), "all can be in time")
        assertEquals(0, lateJobs(jobs, weightInUse = 0.0), "nothing is known yet")
    }

    private fun lateJobs(jobs: List<WaitingArray>, weightInUse: Double): Int =
        StartDeadlines.schedule(jobs, weightInUse, opened).values.count { it.late }

    @Test
    fun `schedule finds a largest set of arrays in time when arrays are drawn at random`() {
        val random = Random(11)
        repeat(300) { round ->
            val jobs = List(random.nextInt(1, 30)) { drawn(it, random) }
            val weightInUse = 1 + random.nextDouble() * 20
            val scheduled = StartDeadlines.schedule(jobs, weightInUse, opened)
            assertEquals(jobs.size, scheduled.size)
            val inTime = jobs.filter { !scheduled.getValue(it.id).late }.sortedBy { it.deadlines.first() }
            assertTrue(allInTime(inTime, weightInUse), "round $round")
            for (other in jobs - inTime.toSet()) {
                if (!allInTime(inTime + other, weightInUse)) continue
                // An array that was left out fits only if it is no larger than what it would displace.
                assertTrue(
                    inTime.none { it.work > other.work } ||
                        scheduled.getValue(other.id).at > other.deadlines.first(),
                    "round $round",
                )
            }
        }
    }

    private fun drawn(id: Int, random: Random): WaitingArray {
        val deadlines = startsWithin.map { it * (0.5 + random.nextDouble()) }.sorted()
        return waiting(id, deadlines, (1 + random.nextInt(100)).seconds)
    }

    /** Whether all arrays meet their first deadlines when they are worked off one after the other. */
    private fun allInTime(arrays: List<WaitingArray>, weightInUse: Double): Boolean {
        var scheduledUntil = opened
        return arrays.sortedBy { it.deadlines.first() }.all { array ->
            scheduledUntil += array.work / weightInUse
            scheduledUntil <= array.deadlines.first()
        }
    }

    /**
     * The bound on waiting: younger work of its class passes an array for at most four times its last objective (here
     * a start within 140 s). More arrives here than can ever be done. Without the last deadline, large jobs were passed
     * for as long as the test ran.
     */
    @Test
    fun `schedule lets younger work pass an array no longer than four times its last objective`() {
        val random = Random(3)
        repeat(20) { round ->
            val queue = OverloadedQueue(random)
            for (second in 0 until 2000) {
                val now = opened + second.seconds
                // One and a half times as much as can be done.
                if (second % 3 == 0) queue.arrive(now)
                val order = queue.inOrder(now)
                for (job in queue.open) {
                    val waited = now - job.submittedAt
                    if (waited <= startsWithin.last()) continue
                    val before = order.takeWhile { it.array.id != job.array.id }
                    assertTrue(
                        before.none { it.submittedAt > job.submittedAt },
                        "round $round: ${job.array.id} waits for $waited and is passed by younger ones",
                    )
                }
                queue.work(order)
            }
        }
    }

    private class Submitted(val submittedAt: MonotonicInstant, val array: WaitingArray)

    /** Arrays that arrive faster than capacity of weight [WEIGHT] works them off. */
    private inner class OverloadedQueue(private val random: Random) {
        val open = ArrayList<Submitted>()
        private var nextId = 0

        fun arrive(now: MonotonicInstant) {
            val id = JobId("req-%05d".format(nextId++))
            val work = ((0.1 + random.nextDouble()) * 75).seconds
            open.add(Submitted(now, WaitingArray(id, startsWithin.map { now + it }, work)))
        }

        fun inOrder(now: MonotonicInstant): List<Submitted> {
            val scheduled = StartDeadlines.schedule(open.map { it.array }, WEIGHT, now)
            return open.sortedWith(compareBy({ scheduled.getValue(it.array.id).at }, { it.submittedAt }))
        }

        /** Does one second's work in the given order. */
        fun work(order: List<Submitted>) {
            var capacity = WEIGHT
            for (job in order) {
                if (capacity <= 0) break
                val done = minOf(capacity, job.array.work.inWholeMilliseconds / 1000.0)
                capacity -= done
                open.removeAll { it.array.id == job.array.id }
                val left = job.array.work - done.seconds
                if (left.inWholeMilliseconds > 0) {
                    open.add(Submitted(job.submittedAt, WaitingArray(job.array.id, job.array.deadlines, left)))
                }
            }
        }
    }

    private companion object {
        const val WEIGHT = 10.0
    }
}
