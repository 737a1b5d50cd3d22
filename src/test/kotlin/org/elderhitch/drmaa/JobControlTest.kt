package org.elderhitch.drmaa

import kotlinx.coroutines.delay
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.SubmissionFields
import org.elderhitch.lab.TransactionOutcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Holds, releases, suspensions, repeats and terminations of jobs. */
internal class JobControlTest : DrmaaScenario() {
    @Test
    fun `a held job is submitted only when released or at its start time`() = withDrmaa { settings ->
        val client = client(settings)
        val held = client.submit(short + mapOf("hold" to true))
        val later = client.submit(short + mapOf("startAt" to (wallClock.now() + 30.seconds).ms))
        assertEquals(404, ask("GET", "/work/$held").first)
        assertEquals("USER_ON_HOLD" to "SYSTEM_ON_HOLD", client.status(held) to client.status(later))
        assertTrue("held by its user" in ask("GET", "/explain/$held").second["why"].toString())
        crash(assertNotNull(leader()))
        delay(20.seconds)
        assertEquals("USER_ON_HOLD", client.status(held))
        assertEquals(200, client.control(held, "RELEASE").status)
        assertEquals("ReleaseInconsistentStateException", client.control(held, "RELEASE").fault)
        assertEquals(held, client.wait(held, 90.seconds)?.body?.string("job"))
        assertEquals(later, client.wait(later, 90.seconds)?.body?.string("job"))
        val ended = client.submit(short + mapOf("hold" to true))
        assertEquals(200, client.control(ended, "TERMINATE").status)
        assertEquals(false, client.wait(ended, 10.seconds)?.body?.raw("done"))
        assertTrue(platform.state.keys().none { it.startsWith("v/a/drmaa/h/") })
    }

    @Test
    fun `a held job that an earlier version recorded without flags is submitted when released`() =
        withDrmaa { settings ->
            val client = client(settings)
            val held = client.submit(short + mapOf("hold" to true))
            val key = DrmaaKeys.held(assertNotNull(JobName.parse(JobId(held))))
            val record = assertNotNull(platform.state.value(key))
            val job = record.requireObject("job")
            val earlierJob = (job.names - SubmissionFields.FLAGS.toSet()).associateWith(job::raw)
            platform.state.overwrite(key, record.names.associateWith(record::raw) + ("job" to earlierJob))
            crash(assertNotNull(leader()))
            delay(20.seconds)
            assertEquals(200, client.control(held, "RELEASE").status)
            assertEquals(held, client.wait(held, 90.seconds)?.body?.string("job"))
        }

    @Test
    fun `a hold that races with the start is either applied or refused`() {
        var refused = 0
        for (seed in 1L..8L) {
            withDrmaa(seed = seed) { settings ->
                val client = client(settings)
                // The machine boots for five seconds and gets the task as soon as it is up.
                val job = client.submit(mapOf("category" to "long"))
                delay(4.seconds + (seed * 600).milliseconds)
                val answer = client.control(job, "HOLD")
                if (answer.status == 200) {
                    delay(30.seconds)
                    assertNull(startsOf["$job/0"], "held and started")
                    assertEquals("USER_ON_HOLD", client.status(job))
                    assertEquals(200, client.control(job, "RELEASE").status)
                } else {
                    refused++
                    assertEquals("HoldInconsistentStateException", answer.fault)
                }
                until("started", 30.seconds) { startsOf["$job/0"] == 1 }
            }
        }
        assertTrue(refused in 1..7, "no race: $refused of 8 refused")
    }

    @Test
    fun `a hold written late by a crashed leader has no effect`() = withDrmaa { settings ->
        val client = client(settings)
        val job = client.submit(mapOf("category" to "long"))
        val leader = assertNotNull(leader())
        transactionOutcome = { node, commit ->
            if (node == leader &&
                "v/a/hold/" in commit
            ) {
                TransactionOutcome.Late(20.seconds)
            } else {
                TransactionOutcome.Answered
            }
        }
        val asked =
            inBackground { client.ask("control", mapOf("job" to job, "action" to "HOLD"), patience = 1.seconds) }
        delay(1.seconds)
        crash(leader)
        assertEquals(503, asked.await().status)
        transactionOutcome = { _, _ -> TransactionOutcome.Answered }
        // The late write is conditional on an ended term: the new leader starts the job, which keeps running.
        until("started", 60.seconds) { startsOf["$job/0"] == 1 }
        delay(30.seconds)
        assertEquals("RUNNING", client.status(job))
    }

    @Test
    fun `a hold with unanswered writes is settled before anything starts`() = withDrmaa { settings ->
        val client = client(settings)
        val job = client.submit(mapOf("category" to "long"))
        var lost = 0
        transactionOutcome = { _, commit ->
            if ("v/a/hold/" in commit && lost++ < 6) TransactionOutcome.Late(5.minutes) else TransactionOutcome.Answered
        }
        assertEquals(503, client.ask("control", mapOf("job" to job, "action" to "HOLD"), patience = 1.seconds).status)
        until("held after all", 60.seconds) { client.status(job) == "USER_ON_HOLD" }
        assertNull(startsOf["$job/0"])
        assertEquals(200, client.control(job, "RELEASE").status)
        until("started", 60.seconds) { startsOf["$job/0"] == 1 }
        // The late writes must not hold the job again after its release.
        delay(6.minutes)
        assertEquals("DONE", client.status(job))
        assertTrue(platform.state.keys().none { it.startsWith("v/a/hold/") })
    }

    @Test
    fun `suspension saves and stops a job that can save, and is refused otherwise`() = withDrmaa { settings ->
        val client = client(settings)
        val saves = client.submit(mapOf("category" to "saving"))
        val loses = client.submit(mapOf("category" to "long"))
        assertEquals("SuspendInconsistentStateException", client.control(saves, "SUSPEND").fault)
        until("both run", 60.seconds) { onMachine.size == 2 && client.status(saves) == "RUNNING" }
        assertEquals("SuspendInconsistentStateException", client.control(loses, "SUSPEND").fault)
        assertEquals(200, client.control(saves, "SUSPEND").status)
        until("stopped", 15.seconds) { onMachine.size == 1 }
        delay(20.seconds)
        assertEquals(1, startsOf["$saves/0"])
        assertEquals("USER_SUSPENDED", client.status(saves))
        assertEquals(200, client.control(saves, "RESUME").status)
        until("runs again", 30.seconds) { startsOf["$saves/0"] == 2 }
        assertEquals("ResumeInconsistentStateException", client.control(saves, "RESUME").fault)
    }

    @Test
    fun `a repeat is denied by the class rule, and submitted once per request`() = withDrmaa { settings ->
        val client = client(settings)
        val job = client.submit(mapOf("category" to "once"))
        val other = client.submit(short)
        val denied = client.run(mapOf("category" to "once", "native" to "repeatOf=$job"))
        assertEquals("DeniedByDrmException", denied.fault)
        assertTrue("once" in denied.body.string("error") && "repeats = false" in denied.body.string("error"))
        assertEquals(404, ask("GET", "/work/${job.dropLast(1)}2").first)
        val request = client.request()
        val first = client.run(short + mapOf("native" to "repeatOf=$other"), request = request)
        assertEquals(
            first.body.string("job"),
            client.run(short + mapOf("native" to "repeatOf=$other"), request = request).body.string("job"),
        )
        assertEquals(3, platform.state.keys().count { it.startsWith("v/a/job/") || it.startsWith("v/z/end/") })
    }

    @Test
    fun `a termination that races with the end gives a consistent outcome`() = withDrmaa { settings ->
        val client = client(settings)
        val jobs = List(8) { client.submit(short) }
        delay(8.seconds)
        for (job in jobs) {
            delay(150.milliseconds)
            assertEquals(200, client.control(job, "TERMINATE").status)
            val done = jobState(job) == "done"
            assertEquals(done, client.wait(job, 30.seconds)?.body?.raw("done"))
            assertEquals(if (done) "DONE" else "FAILED", client.status(job))
        }
        val bulk = client.submit(mapOf("category" to "long"), members = 2)
        assertEquals("DeniedByDrmException", client.control("$bulk/1", "TERMINATE").fault)
        assertEquals(200, client.control(bulk, "TERMINATE").status)
        assertEquals(false, client.wait("$bulk/1", 30.seconds)?.body?.raw("done"))
    }

    @Test
    fun `members that completed before their bulk job was terminated count as done`() = withDrmaa { settings ->
        val client = client(settings)
        // The team's limit lets forty run at a time, so some complete long before the last ones start.
        val bulk = client.submit(mapOf("category" to "long", "native" to "haulS=8"), members = 100)
        until("some are recorded", 90.seconds) {
            client.status("$bulk/0") == "DONE" &&
                platform.state.keys().any { it.startsWith("v/a/fin/") }
        }
        assertEquals(200, client.control(bulk, "TERMINATE").status)
        val answers = (0 until 100).map {
            assertNotNull(client.wait("$bulk/$it", 30.seconds, node = names[it % 3])).body.raw("done") ==
                true
        }
        assertTrue(answers[0] && !answers[99])
        delay(30.seconds)
        for (n in listOf(0, 99)) assertEquals(if (answers[n]) "DONE" else "FAILED", client.status("$bulk/$n"))
    }
}
