package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** User requests to any controller: submissions, cancellations, polls, and their errors. */
class UserRequestsTest {
    @Test
    fun `arrays, gangs and services run and end, and every node reports the same states`() = runInSimulatedCluster {
        submit("req-1", "array", 6, 3.0)
        submit("req-2", "gang", 3, 4.0, mapOf("samePlace" to true))
        submit("req-3", "daemon", 2, 0.0, mapOf("spread" to true))
        until("array and gang done", 60.seconds) { jobState("req-1") == "done" && jobState("req-2") == "done" }
        until("service runs", 30.seconds) { ask("GET", "/work/req-3").second["running"] == 2L }
        assertEquals(200, ask("POST", "/work/req-3/withdraw").first)
        for (node in names) {
            assertEquals("withdrawn", ask("GET", "/work/req-3", node = node).second["standing"])
            assertEquals("done", ask("GET", "/work/req-1", node = node).second["standing"])
            assertEquals(404, ask("GET", "/work/req-77", node = node).first)
        }
        until("the service's tasks are gone", 41.seconds) { onMachine.isEmpty() }
        // A cancellation that comes too late gets the state that was recorded first, and so does a repeated submission.
        assertEquals("done", ask("POST", "/work/req-1/withdraw").second["standing"])
        val (status, again) = ask("POST", "/work", mapOf("id" to "req-1", "lotKind" to "nonsense"))
        assertEquals(200 to "done", status to again["standing"])
        until("idle machines terminated", 180.seconds) { platform.cloud.machines().isEmpty() }
        assertNoViolations()
    }

    @Test
    fun `invalid requests get permanent errors, and requests during an outage get a retryable one`() =
        runInSimulatedCluster {
            submit("req-1", "array", 1, 1.0)
            val job = ClassArchiveTraining.exampleJob("req-2", "array")
            assertEquals(400, ask("POST", "/work", job + ("crates" to 0)).first)
            assertEquals(400, ask("POST", "/work", job + ("id" to "nonsense")).first)
            assertEquals(422, ask("POST", "/work", job + ("desk" to "strangers")).first)
            assertEquals(422, ask("POST", "/work", job + ("cores" to 49.0)).first)
            assertEquals(422, ask("POST", "/work", job + ("lotKind" to "gang") + ("crates" to 41)).first)
            assertEquals(201, ask("POST", "/work", job + ("crates" to 41)).first)
            val meters = ask("GET", "/status", node = "n0").second["meters"] as Map<*, *>
            assertEquals(5.0, meters["users.invalid"])
            assertEquals(405, ask("DELETE", "/work/req-1").first)
            assertEquals(404, ask("GET", "/nowhere").first)
            platform.state.down = true
            assertEquals(503, ask("POST", "/work", job + ("id" to "req-3"), node = "n0").first)
        }

    @Test
    fun `a node that the state service refuses forwards requests to a peer`() = runInSimulatedCluster {
        submit("req-1", "array", 1, 1.0)
        val node = names.first { it != leader() }
        cuts.add(node to "state")
        delay(5.seconds)
        val (status, answer) = ask("POST", "/work", ClassArchiveTraining.exampleJob("req-2", "array"), node = node)
        assertEquals(201, status, "$answer")
        until("done", 60.seconds) { ask("GET", "/work/req-2", node = node).second["standing"] == "done" }
    }

    /** 100,000 tasks are the most that a job may have; these need no accelerators and a fraction of a core each. */
    @Test
    fun `a job of 100,000 small tasks survives a leader crash, and is cancelled in time`() = runInSimulatedCluster {
        val small = mapOf("cores" to 0.25, "accelerators" to 0.0, "memGb" to 0.5)
        submit("req-1", "array", 100_000, 3.0, small)
        assertEquals(
            400,
            ask(
                "POST",
                "/work",
                ClassArchiveTraining.exampleJob("req-2", "array") + small + ("crates" to 100_001),
            ).first,
        )
        until("hundreds run", 60.seconds) { onMachine.size >= 400 }
        val leader = assertNotNull(leader())
        crash(leader)
        untilReplaced(leader, 15.seconds)
        val startsBefore = startsOf.size
        until("more are started", 30.seconds) { startsOf.size > startsBefore + 1000 }
        // Users may see running counts that are up to 3 s old: the new leader starts tasks before the other nodes have
        // received its counts.
        until("users see that it runs", 3.seconds) { jobState("req-1") == "running" }
        assertEquals("withdrawn", ask("POST", "/work/req-1/withdraw").second["standing"])
        val startsAtCancellation = startsOf.toMap()
        until("all are gone", 41.seconds) { onMachine.isEmpty() }
        delay(10.seconds)
        assertTrue(
            startsOf.size - startsAtCancellation.size < 400,
            "more starts than were already sent: ${startsOf.size - startsAtCancellation.size}",
        )
        assertTrue(onMachine.isEmpty())
        assertNoViolations()
    }

    @Test
    fun `hundreds of polls for known and unknown jobs are all answered`() = runInSimulatedCluster {
        submit("req-1", "daemon", 1, 0.0)
        until("it runs", 60.seconds) { onMachine.size == 1 && jobState("req-1") == "running" }
        repeat(300) { n ->
            assertEquals(404, ask("GET", "/work/req-none-${n % 20}", node = names[n % 3]).first)
            assertEquals("running", ask("GET", "/work/req-1", node = names[n % 3]).second["standing"])
        }
    }
}
