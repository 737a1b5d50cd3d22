package org.elderhitch.lab

import org.elderhitch.standin.CloudStandIn
import org.elderhitch.standin.StandInMachine
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Histories that break each rule: a checker that can't find them proves nothing. */
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

    private fun job(
        id: String,
        tasks: Int = 1,
        accelerators: Double = 1.0,
        spot: Boolean = true,
        oneZone: Boolean = false,
        spread: Boolean = false,
        cores: Double = 0.0,
        types: Set<String>? = null,
    ) {
        rules.submits(
            JobFacts(
                id, "team", tasks, accelerators, spot, oneZone = oneZone, spread = spread, cores = cores, types = types,
            ),
        )
        rules.submitted(id, 201, "queued", now)
        now += 1.seconds
    }

    private fun names() = rules.broken.map { it.first }

    private fun run(task: String, machine: String) {
        rules.started(task, machine)
        now += 1.seconds
        rules.completed(task)
        rules.ended(task, machine)
    }

    @Test
    fun `a history that keeps the rules breaks none`() {
        job("req-1", tasks = 2)
        run("req-1/0", "m1")
        run("req-1/1", "m2")
        rules.told("req-1", 200, "done", now)
        job("req-2")
        rules.asksToWithdraw("req-2")
        rules.told("req-2", 200, "withdrawn", now)
        rules.told("req-9", 404, null, now)
        // Asked before the final answer was given, answered after it: no older answer to that user.
        rules.told("req-1", 200, "running", now - 5.seconds)
        rules.tick()
        rules.end()
        assertEquals(emptyList(), names())
    }

    @Test
    fun `a task on two machines, and a team over its limit`() {
        job("req-1", tasks = 6)
        rules.started("req-1/0", "m1")
        rules.started("req-1/0", "m2")
        assertEquals(listOf("ran_twice"), names())
        repeat(3) { rules.started("req-1/${it + 1}", "m1") }
        assertEquals(listOf("ran_twice", "quota"), names())
    }

    @Test
    fun `places that a job doesn't allow`() {
        job("req-1", tasks = 2, spot = false)
        rules.started("req-1/0", "m2")
        job("req-2", tasks = 2, oneZone = true)
        rules.started("req-2/0", "m1")
        rules.started("req-2/1", "m2")
        assertEquals(listOf("wrong_place", "wrong_place"), names())
    }

    @Test
    fun `tasks that are to be spread and are not`() {
        job("req-1", tasks = 3, spread = true)
        rules.started("req-1/0", "m1")
        rules.started("req-1/1", "m1")
        assertEquals(emptyList(), names())
        rules.started("req-1/2", "m1")
        assertEquals(listOf("wrong_place"), names())
    }

    @Test
    fun `once all troubles are over a job is forgotten however others fare`() {
        job("req-1")
        rules.polled("req-1", false)
        now += 60.seconds
        rules.troublesOver()
        now += 74.seconds
        rules.polled("req-1", false)
        assertEquals(emptyList(), names())
        now += 1.seconds
        rules.polled("req-1", false)
        assertEquals(listOf("forgotten"), names())
        rules.polled("req-1", true)
        now += 80.seconds
        rules.polled("req-1", false)
        assertEquals(listOf("forgotten"), names(), "it was answered meanwhile")
    }

    @Test
    fun `tasks that stay or start after a withdrawal`() {
        job("req-1", tasks = 2)
        rules.started("req-1/0", "m1")
        rules.asksToWithdraw("req-1")
        rules.told("req-1", 200, "withdrawn", now)
        now += 39.seconds
        rules.tick()
        assertEquals(emptyList(), names())
        now += 2.seconds
        rules.started("req-1/1", "m1")
        rules.tick()
        rules.tick()
        assertEquals(listOf("ran_cancelled", "ran_cancelled"), names())
    }

    @Test
    fun `jobs that are forgotten`() {
        job("req-1")
        rules.told("req-1", 404, null, now)
        rules.submitted("req-1", 422, null, now)
        job("req-2")
        job("req-3")
        repeat(20) {
            now += 5.seconds
            rules.polled("req-2", false)
            repeat(3) { rules.polled("req-3", true) }
        }
        assertEquals(listOf("forgotten", "forgotten", "forgotten"), names())
    }

    @Test
    fun `answers that are invented, too early, taken back, or not asked for`() {
        rules.told("req-7", 200, "queued", now)
        job("req-1", tasks = 2)
        run("req-1/0", "m1")
        rules.told("req-1", 200, "done", now)
        now += 1.seconds
        rules.told("req-1", 200, "running", now)
        job("req-2")
        rules.told("req-2", 200, "withdrawn", now)
        assertEquals(listOf("invented", "not_done", "went_back", "went_back"), names())
    }

    @Test
    fun `nothing runs`() {
        rules.end()
        assertEquals(listOf("nothing_ran"), names())
    }

    @Test
    fun `a team over its limit of cores, and a machine type that a job doesn't allow`() {
        job("req-1", tasks = 3, cores = 20.0)
        rules.started("req-1/0", "m1")
        rules.started("req-1/1", "m1")
        assertEquals(emptyList(), names())
        rules.started("req-1/2", "m2")
        assertEquals(listOf("quota"), names())
        rules.ended("req-1/2", "m2")
        job("req-2", types = setOf("another"))
        rules.started("req-2/0", "m1")
        assertEquals(listOf("quota", "wrong_place"), names())
    }

    @Test
    fun `a job that can't run is accepted`() {
        rules.submits(JobFacts("req-1", "team", 1, 1.0, true, impossible = true))
        rules.submitted("req-1", 422, null, now)
        assertEquals(emptyList(), names())
        rules.submitted("req-1", 201, "queued", now)
        assertEquals(listOf("accepted_impossible"), names())
    }

    /** Counted, and no broken rule before the time to cancel is over. */
    @Test
    fun `starts after a confirmed withdrawal`() {
        job("req-1", tasks = 2)
        rules.asksToWithdraw("req-1")
        rules.told("req-1", 200, "withdrawn", now)
        now += 3.seconds
        rules.started("req-1/0", "m1")
        rules.ended("req-1/0", "m1")
        assertEquals(1 to 3.seconds, rules.startsWithdrawn to rules.latestStart)
        assertEquals(emptyList(), names())
        now += 38.seconds
        rules.started("req-1/1", "m1")
        assertEquals(listOf("ran_cancelled"), names())
    }

    /** Only once the troubles are over, only where a machine that fits has room, and only under the team's limit. */
    @Test
    fun `a job that waits though it fits`() {
        fun wait(seconds: Int) = repeat(seconds) {
            now += 1.seconds
            rules.tick()
        }
        job("req-1", accelerators = 2.0, spot = false)
        up.add("m1")
        wait(200)
        rules.troublesOver()
        wait(60)
        up.clear()
        wait(5)
        // A spot machine, which it doesn't allow.
        up.add("m2")
        wait(200)
        assertEquals(emptyList(), names())
        up.add("m1")
        // Its team is at its limit.
        job("req-2", accelerators = 4.0)
        rules.started("req-2/0", "m1")
        wait(200)
        assertEquals(emptyList(), names())
        rules.ended("req-2/0", "m1")
        rules.completed("req-2/0")
        wait(100)
        assertEquals(listOf("left_waiting"), names())
    }
}
