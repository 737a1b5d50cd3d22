package org.elderhitch.drmaa

import kotlinx.coroutines.delay
import org.elderhitch.jobs.JobId
import org.elderhitch.lab.TransactionOutcome
import org.elderhitch.lab.WireClient
import org.elderhitch.store.Keys
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Waits for results: each is given out once, whichever nodes and clients fail. */
internal class SessionResultsTest : DrmaaScenario() {
    @Test
    fun `jobs and bulk job members can be waited for once, and return their account`() = withDrmaa { settings ->
        val client = client(settings)
        val job = client.submit(short)
        val bulk = client.submit(short, members = 3)
        assertTrue(bulk.endsWith("x3"))
        val info = assertNotNull(client.wait(job, 60.seconds))
        assertEquals(true, info.body.raw("done"))
        assertEquals(1L, info.body.requireObject("account").long("tries"))
        val members = (0 until 3).map { assertNotNull(client.wait(WireClient.ANY, 60.seconds)).body.string("job") }
        assertEquals((0 until 3).map { "$bulk/$it" }.toSet(), members.toSet())
        val after = assertNotNull(client.wait(WireClient.ANY, 60.seconds))
        assertEquals(404 to "InvalidJobException", after.status to after.fault)
        assertEquals("InvalidJobException", client.wait(job, 5.seconds)?.fault)
        assertEquals("DONE", client.status(job))
        // The native API reports the same of the same job.
        assertEquals("done", jobState(job))
    }

    @Test
    fun `a client that lost its answer gets the result from other nodes, once`() = withDrmaa { settings ->
        val client = client(settings)
        val job = client.submit(short)
        val request = client.request()
        // The answer to the first wait is lost.
        assertNotNull(client.wait(job, 60.seconds, request, node = "n0"))
        val again = joinSession(client, "clientaa")
        for (node in names) assertEquals(job, again.wait(job, 30.seconds, request, node)?.body?.string("job"), node)
        assertEquals("InvalidJobException", again.wait(job, 10.seconds)?.fault)
    }

    @Test
    fun `two clients of a session that wait for any get different results`() = withDrmaa { settings ->
        val one = client(settings)
        val two = joinSession(one, "clientbb", shift = 1)
        val jobs = List(12) { one.submit(short) }
        val taken = ArrayList<String>()
        val waits = listOf(one, two).map { client ->
            inBackground {
                while (true) {
                    val answer = client.wait(WireClient.ANY, 120.seconds) ?: break
                    if (answer.status != 200) break
                    taken.add(answer.body.string("job"))
                }
            }
        }
        waits.forEach { it.await() }
        assertEquals(jobs.sorted(), taken.sorted())
    }

    @Test
    fun `a crash or freeze of the node that holds a wait delivers the result once`() = withDrmaa { settings ->
        val client = client(settings)
        val job = client.submit(mapOf("category" to "long", "native" to "haulS=12"))
        val request = client.request()
        val waiting = inBackground { client.wait(job, 120.seconds, request) }
        delay(2.seconds)
        crash("n0")
        delay(3.seconds)
        pauseNode("n1")
        delay(20.seconds)
        resumeNode("n1")
        startNode("n0")
        assertEquals(job, waiting.await()?.body?.string("job"))
        assertEquals("InvalidJobException", client.wait(job, 10.seconds)?.fault)
    }

    @Test
    fun `a reap carried out late, after another client took the result, changes nothing`() = withDrmaa { settings ->
        val one = client(settings)
        val two = joinSession(one, "clientbb")
        val job = one.submit(short)
        until("done", 60.seconds) { jobState(job) == "done" }
        transactionOutcome = { node, commit ->
            if (node == "n0" &&
                "v/drmaa/r/" in commit
            ) {
                TransactionOutcome.Late(30.seconds)
            } else {
                TransactionOutcome.Answered
            }
        }
        val stuck = inBackground { one.wait(job, 8.seconds, node = "n0") }
        delay(3.seconds)
        val taken = two.wait(job, 8.seconds, node = "n1")
        transactionOutcome = { _, _ -> TransactionOutcome.Answered }
        val first = stuck.await()
        // Exactly one of the two gets it, also after the late transaction.
        assertEquals(
            1,
            listOfNotNull(first, taken).count {
                it.status == 200
            },
            "${first?.body?.raw("error")} ${taken?.body?.raw("error")}",
        )
        delay(40.seconds)
        val third = joinSession(one, "clientcc")
        assertEquals("InvalidJobException", third.wait(job, 10.seconds)?.fault)
    }

    @Test
    fun `a retry after a lost reap answer returns the same result`() = withDrmaa { settings ->
        val client = client(settings)
        val jobs = List(2) { client.submit(short) }
        until("done", 90.seconds) { jobs.all { jobState(it) == "done" } }
        var lost = 0
        transactionOutcome = { _, commit ->
            if ("v/drmaa/r/" in commit && lost++ == 0) TransactionOutcome.AnswerLost else TransactionOutcome.Answered
        }
        val request = client.request()
        val first = assertNotNull(client.wait(WireClient.ANY, 60.seconds, request))
        assertEquals(first.body.string("job"), client.wait(WireClient.ANY, 60.seconds, request)?.body?.string("job"))
        assertNotEquals(first.body.string("job"), client.wait(WireClient.ANY, 60.seconds)?.body?.string("job"))
        assertTrue(lost > 0)
    }

    @Test
    fun `a crash of the leader between a job's end and its reap keeps the result`() = withDrmaa { settings ->
        val client = client(settings)
        val jobs = List(3) { client.submit(short) }
        until("done", 90.seconds) { jobs.all { platform.state.value(Keys.terminalRecord(JobId(it))) != null } }
        crash(assertNotNull(leader()))
        assertEquals(
            jobs.toSet(),
            List(3) {
                assertNotNull(client.wait(WireClient.ANY, 60.seconds)).body.string("job")
            }.toSet(),
        )
        // A node that starts now has followed none of this, and loads the session.
        val gone = names.first { ask("POST", "/drmaa/nowhere", emptyMap(), node = it).first == 503 }
        startNode(gone)
        until("it is up", 20.seconds) { client.ask("status", mapOf("job" to jobs[0]), 1.seconds, gone).status == 200 }
        assertEquals("InvalidJobException", client.wait(jobs[1], 20.seconds, node = gone)?.fault)
    }

    @Test
    fun `waits above a node's limit are refused at once`() = withDrmaa { settings ->
        val client = client(settings)
        client.submit(mapOf("category" to "long"))
        val from = clock.now()
        // The limit of 256 is a quarter of the 1,024 sockets that a node has by default.
        val waits = List(300) { n ->
            inBackground {
                client.ask(
                    "wait",
                    mapOf(
                        "request" to "clientaa-${1000 + n}",
                        "job" to WireClient.ANY,
                        "holdMs" to 15_000,
                    ),
                    0.seconds,
                    "n1",
                ) to
                    clock.now() - from
            }
        }.map { it.await() }
        val refused = waits.filter { it.first.status == 503 }
        assertEquals(300 - 256, refused.size)
        assertTrue(refused.all { it.first.fault == "TryLaterException" && it.second < 1.seconds })
        assertTrue(waits.filter { it.first.status == 200 }.all { it.second > 14.seconds })
    }
}
