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
    private val runTimes = RunTimeEstimator()
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

    private fun startLimitsSeconds(spec: JobSpec): List<Long> {
        val array = deadlines.waitingArray(spec, opened, 10)
        return array.deadlines.map { (it - opened).inWholeSeconds }
    }

    @Test
    fun `an array gets a deadline for each start or finish objective of its class`() {
        assertEquals(listOf(60L, 140L, 280L, 560L), startLimitsSeconds(spec(1, "sack")))
        assertEquals(
            listOf(5L, 20L, 40L, 80L),
            startLimitsSeconds(spec(2, "truck", estimate = 15.seconds, deadline = 35.seconds)),
        )
        assertEquals(
            listOf(10L, 30L, 60L, 120L),
            startLimitsSeconds(spec(3, "sack", estimate = 150.seconds)),
            "a tenth of the objective if the run time exceeds it",
        )
        assertEquals(
            listOf(180L, 360L, 720L),
            startLimitsSeconds(spec(4, "other")),
            "the longest objective if the class has none",
        )
        repeat(500) { runTimes.record(spec(5, "sack"), 60.seconds) }
        assertEquals(
            listOf(40L, 120L, 240L, 480L),
            startLimitsSeconds(spec(6, "sack")),
            "earlier deadlines if the estimates of the class are too low",
        )
    }

    @Test
    fun `a gang keeps its first objective when it misses it`() {
        assertEquals(
            StartDeadline(opened + 100.seconds, isLate = false),
            deadlines.forGangOrService(spec(1, "sack", JobKind.GANG), opened, opened + 99.seconds),
        )
        assertEquals(
            StartDeadline(opened + 100.seconds, isLate = true),
            deadlines.forGangOrService(spec(1, "sack", JobKind.GANG), opened, opened + 300.seconds),
        )
    }

    private fun waiting(id: Int, deadlines: List<Duration>, work: Duration) =
        WaitingArray(JobId("req-%03d".format(id)), deadlines.map { opened + it }, work)

    private val startLimits = listOf(60.seconds, 140.seconds, 280.seconds, 560.seconds)

    /**
     * Regression: 42 jobs arrived within 40 s, and all were late by seconds or minutes. Postponing the few largest
     * would have let the others be in time.
     */
    @Test
    fun `schedule postpones the fewest and largest arrays when not all can be in time`() {
        val jobs = List(9) { waiting(it, startLimits, 10.seconds) } + waiting(9, startLimits, 500.seconds)
        val lateArrays = StartDeadlines.schedule(jobs, weightInUse = 2.0, opened).filterValues { it.isLate }
        assertEquals(setOf("req-009"), lateArrays.keys.map { it.text }.toSet())
        assertEquals(0, countLateJobs(jobs, weightInUse = 100.0), "all can be in time")
        assertEquals(0, countLateJobs(jobs, weightInUse = 0.0), "the class may still get more capacity")
    }

    private fun countLateJobs(jobs: List<WaitingArray>, weightInUse: Double): Int =
        StartDeadlines.schedule(jobs, weightInUse, opened).values.count { it.isLate }

    /**
     * Guards against estimates that users submit without a bound: sums of infinite durations threw, so that no cycle
     * ran, and a deadline beyond the range of the clock counted as missed long ago.
     */
    @Test
    fun `arrays with huge estimates and deadlines are scheduled after the others`() {
        for (huge in listOf(1e10.seconds, 1e15.seconds)) {
            val specs = listOf(
                spec(1, "sack"),
                spec(2, "sack", estimate = huge),
                spec(3, "sack", estimate = huge),
                spec(4, "other", deadline = huge),
            )
            val waiting = specs.map { deadlines.waitingArray(it, opened, pending = 1_000) }
            for (weightInUse in listOf(0.0, 1e-12, 4.0)) {
                val scheduled = StartDeadlines.schedule(waiting, weightInUse, opened + 1.seconds)
                assertEquals(4, scheduled.size)
                val first = scheduled.getValue(JobId("req-1")).at
                val unlimited = scheduled.getValue(JobId("req-4")).at
                assertTrue(unlimited > first, "the deadline $huge is before the others")
                assertTrue(scheduled.values.all { it.at > opened }, "$huge, weight $weightInUse: $scheduled")
            }
        }
    }

    @Test
    fun `schedule finds a largest set of arrays in time when arrays are random`() {
        val random = Random(11)
        repeat(300) { round ->
            val jobs = List(random.nextInt(1, 30)) { randomArray(it, random) }
            val weightInUse = 1 + random.nextDouble() * 20
            val scheduled = StartDeadlines.schedule(jobs, weightInUse, opened)
            assertEquals(jobs.size, scheduled.size)
            val inTime = jobs.filter { !scheduled.getValue(it.id).isLate }.sortedBy { it.deadlines.first() }
            assertTrue(canAllBeInTime(inTime, weightInUse), "round $round")
            for (other in jobs - inTime.toSet()) {
                if (!canAllBeInTime(inTime + other, weightInUse)) continue
                // A late array fits only if no array in time is larger, or if the late one was given a later deadline.
                assertTrue(
                    inTime.none { it.work > other.work } ||
                        scheduled.getValue(other.id).at > other.deadlines.first(),
                    "round $round",
                )
            }
        }
    }

    private fun randomArray(id: Int, random: Random): WaitingArray {
        val deadlines = startLimits.map { it * (0.5 + random.nextDouble()) }.sorted()
        return waiting(id, deadlines, (1 + random.nextInt(100)).seconds)
    }

    /** Whether all arrays meet their first deadlines if processed one after the other in deadline order. */
    private fun canAllBeInTime(arrays: List<WaitingArray>, weightInUse: Double): Boolean {
        var scheduledUntil = opened
        return arrays.sortedBy { it.deadlines.first() }.all { array ->
            scheduledUntil += array.work / weightInUse
            scheduledUntil <= array.deadlines.first()
        }
    }

    /**
     * Starvation bound: later arrays of its class can overtake an array for at most four times its last objective, here
     * a start within 140 s. The queue is overloaded for the whole test. Without the last deadline, large jobs were
     * overtaken until the test ended.
     */
    @Test
    fun `schedule lets later arrays overtake an array for at most four times its last objective`() {
        val random = Random(3)
        repeat(20) { round ->
            val queue = OverloadedQueue(random)
            for (second in 0 until 2000) {
                val now = opened + second.seconds
                // The load is one and a half times the capacity.
                if (second % 3 == 0) queue.submitArray(now)
                val order = queue.inStartOrder(now)
                for (job in queue.open) {
                    val waited = now - job.submittedAt
                    if (waited <= startLimits.last()) continue
                    val before = order.takeWhile { it.array.id != job.array.id }
                    assertTrue(
                        before.none { it.submittedAt > job.submittedAt },
                        "round $round: ${job.array.id} has waited for $waited and is overtaken by later arrays",
                    )
                }
                queue.processOneSecond(order)
            }
        }
    }

    private class SubmittedArray(val submittedAt: MonotonicInstant, val array: WaitingArray)

    /** Arrays that are submitted faster than capacity of weight [CAPACITY_WEIGHT] can process them. */
    private inner class OverloadedQueue(private val random: Random) {
        val open = ArrayList<SubmittedArray>()
        private var nextId = 0

        fun submitArray(now: MonotonicInstant) {
            val id = JobId("req-%05d".format(nextId++))
            val work = ((0.1 + random.nextDouble()) * 75).seconds
            open.add(SubmittedArray(now, WaitingArray(id, startLimits.map { now + it }, work)))
        }

        fun inStartOrder(now: MonotonicInstant): List<SubmittedArray> {
            val scheduled = StartDeadlines.schedule(open.map { it.array }, CAPACITY_WEIGHT, now)
            return open.sortedWith(compareBy({ scheduled.getValue(it.array.id).at }, { it.submittedAt }))
        }

        /** Processes the arrays in the given order for one second. */
        fun processOneSecond(order: List<SubmittedArray>) {
            var capacity = CAPACITY_WEIGHT
            for (job in order) {
                if (capacity <= 0) break
                val done = minOf(capacity, job.array.work.inWholeMilliseconds / 1000.0)
                capacity -= done
                open.removeAll { it.array.id == job.array.id }
                val left = job.array.work - done.seconds
                if (left.inWholeMilliseconds > 0) {
                    open.add(SubmittedArray(job.submittedAt, WaitingArray(job.array.id, job.array.deadlines, left)))
                }
            }
        }
    }

    private companion object {
        const val CAPACITY_WEIGHT = 10.0
    }
}
