package org.elderhitch.lab

import org.elderhitch.standin.CloudStandIn
import org.elderhitch.standin.StandInMachine
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Checks that the checker detects violations of each invariant, and accepts valid histories. */
class InvariantCheckerTest {
    private var now = MonotonicInstant(0) + 100.seconds
    private val machines = listOf("m1" to "a", "m2" to "b").associate { (id, zone) ->
        id to
            StandInMachine(id, CloudStandIn.USUAL, zone, spot = id == "m2")
    }
    private val up = ArrayList<String>()
    private val rules =
        InvariantChecker({
            now
        }, 40.seconds, mapOf("team" to 4.0), machines::get, mapOf("team" to 40.0)) { up.map(machines::getValue) }

    private fun submitJob(
        id: String,
        tasks: Int = 1,
        accelerators: Double = 1.0,
        spot: Boolean = true,
        oneZone: Boolean = false,
        spread: Boolean = false,
        cores: Double = 0.0,
        types: Set<String>? = null,
    ) {
        rules.recordSubmission(
            JobFacts(
                id, "team", tasks, accelerators, spot, oneZone = oneZone, spread = spread, cores = cores, types = types,
            ),
        )
        rules.recordSubmissionResponse(id, 201, "queued", now)
        now += 1.seconds
    }

    private fun violatedRules() = rules.violations.map { it.first }

    private fun runTask(task: String, machine: String) {
        rules.started(task, machine)
        now += 1.seconds
        rules.completed(task)
        rules.ended(task, machine)
    }

    @Test
    fun `a valid history has no violations`() {
        submitJob("req-1", tasks = 2)
        runTask("req-1/0", "m1")
        runTask("req-1/1", "m2")
        rules.recordResponse("req-1", 200, "done", now)
        submitJob("req-2")
        rules.recordCancellationRequest("req-2")
        rules.recordResponse("req-2", 200, "withdrawn", now)
        rules.recordResponse("req-9", 404, null, now)
        // The poll was sent before the final answer was given, so an older state is allowed.
        rules.recordResponse("req-1", 200, "running", now - 5.seconds)
        rules.tick()
        rules.end()
        assertEquals(emptyList(), violatedRules())
    }

    @Test
    fun `detects a task on two machines and a team over its accelerator quota`() {
        submitJob("req-1", tasks = 6)
        rules.started("req-1/0", "m1")
        rules.started("req-1/0", "m2")
        assertEquals(listOf("ran_twice"), violatedRules())
        repeat(3) { rules.started("req-1/${it + 1}", "m1") }
        assertEquals(listOf("ran_twice", "quota"), violatedRules())
    }

    @Test
    fun `detects placements that a job doesn't allow`() {
        submitJob("req-1", tasks = 2, spot = false)
        rules.started("req-1/0", "m2")
        submitJob("req-2", tasks = 2, oneZone = true)
        rules.started("req-2/0", "m1")
        rules.started("req-2/1", "m2")
        assertEquals(listOf("wrong_place", "wrong_place"), violatedRules())
    }

    @Test
    fun `detects too many tasks of a spread job in one zone`() {
        submitJob("req-1", tasks = 3, spread = true)
        rules.started("req-1/0", "m1")
        rules.started("req-1/1", "m1")
        assertEquals(emptyList(), violatedRules())
        rules.started("req-1/2", "m1")
        assertEquals(listOf("wrong_place"), violatedRules())
    }

    @Test
    fun `detects unanswered polls after all faults even if other jobs are affected too`() {
        submitJob("req-1")
        rules.polled("req-1", false)
        now += 60.seconds
        rules.faultsEnded()
        now += 74.seconds
        rules.polled("req-1", false)
        assertEquals(emptyList(), violatedRules())
        now += 1.seconds
        rules.polled("req-1", false)
        assertEquals(listOf("forgotten"), violatedRules())
        rules.polled("req-1", true)
        now += 80.seconds
        rules.polled("req-1", false)
        assertEquals(listOf("forgotten"), violatedRules(), "a poll was answered meanwhile")
    }

    @Test
    fun `detects tasks that run or start after the time to cancel`() {
        submitJob("req-1", tasks = 2)
        rules.started("req-1/0", "m1")
        rules.recordCancellationRequest("req-1")
        rules.recordResponse("req-1", 200, "withdrawn", now)
        now += 39.seconds
        rules.tick()
        assertEquals(emptyList(), violatedRules())
        now += 2.seconds
        rules.started("req-1/1", "m1")
        rules.tick()
        rules.tick()
        assertEquals(listOf("ran_cancelled", "ran_cancelled"), violatedRules())
    }

    @Test
    fun `detects forgotten jobs`() {
        submitJob("req-1")
        rules.recordResponse("req-1", 404, null, now)
        rules.recordSubmissionResponse("req-1", 422, null, now)
        submitJob("req-2")
        submitJob("req-3")
        repeat(20) {
            now += 5.seconds
            rules.polled("req-2", false)
            repeat(3) { rules.polled("req-3", true) }
        }
        assertEquals(listOf("forgotten", "forgotten", "forgotten"), violatedRules())
    }

    @Test
    fun `detects invented, premature, retracted and unrequested states`() {
        rules.recordResponse("req-7", 200, "queued", now)
        submitJob("req-1", tasks = 2)
        runTask("req-1/0", "m1")
        rules.recordResponse("req-1", 200, "done", now)
        now += 1.seconds
        rules.recordResponse("req-1", 200, "running", now)
        submitJob("req-2")
        rules.recordResponse("req-2", 200, "withdrawn", now)
        assertEquals(listOf("invented", "not_done", "went_back", "went_back"), violatedRules())
    }

    @Test
    fun `detects that no task was started`() {
        rules.end()
        assertEquals(listOf("nothing_ran"), violatedRules())
    }

    @Test
    fun `detects a team over its core quota and a machine type that a job doesn't allow`() {
        submitJob("req-1", tasks = 3, cores = 20.0)
        rules.started("req-1/0", "m1")
        rules.started("req-1/1", "m1")
        assertEquals(emptyList(), violatedRules())
        rules.started("req-1/2", "m2")
        assertEquals(listOf("quota"), violatedRules())
        rules.ended("req-1/2", "m2")
        submitJob("req-2", types = setOf("another"))
        rules.started("req-2/0", "m1")
        assertEquals(listOf("quota", "wrong_place"), violatedRules())
    }

    @Test
    fun `detects the acceptance of a job that can't run`() {
        rules.recordSubmission(JobFacts("req-1", "team", 1, 1.0, true, impossible = true))
        rules.recordSubmissionResponse("req-1", 422, null, now)
        assertEquals(emptyList(), violatedRules())
        rules.recordSubmissionResponse("req-1", 201, "queued", now)
        assertEquals(listOf("accepted_impossible"), violatedRules())
    }

    /** Such starts are counted, and a violation only after the time to cancel. */
    @Test
    fun `counts starts after a confirmed withdrawal`() {
        submitJob("req-1", tasks = 2)
        rules.recordCancellationRequest("req-1")
        rules.recordResponse("req-1", 200, "withdrawn", now)
        now += 3.seconds
        rules.started("req-1/0", "m1")
        rules.ended("req-1/0", "m1")
        assertEquals(1 to 3.seconds, rules.startsWithdrawn to rules.latestStart)
        assertEquals(emptyList(), violatedRules())
        now += 38.seconds
        rules.started("req-1/1", "m1")
        assertEquals(listOf("ran_cancelled"), violatedRules())
    }

    /** A violation only after the faults, if an allowed machine has capacity and the team's quota is not used up. */
    @Test
    fun `detects a job that waits although it fits`() {
        fun wait(seconds: Int) = repeat(seconds) {
            now += 1.seconds
            rules.tick()
        }
        submitJob("req-1", accelerators = 2.0, spot = false)
        up.add("m1")
        wait(200)
        rules.faultsEnded()
        wait(60)
        up.clear()
        wait(5)
        // A spot machine, which the job does not allow.
        up.add("m2")
        wait(200)
        assertEquals(emptyList(), violatedRules())
        up.add("m1")
        // The team is at its quota.
        submitJob("req-2", accelerators = 4.0)
        rules.started("req-2/0", "m1")
        wait(200)
        assertEquals(emptyList(), violatedRules())
        rules.ended("req-2/0", "m1")
        rules.completed("req-2/0")
        wait(100)
        assertEquals(listOf("left_waiting"), violatedRules())
    }
}
