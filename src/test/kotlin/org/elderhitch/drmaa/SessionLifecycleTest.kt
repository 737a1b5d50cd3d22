package org.elderhitch.drmaa

import kotlinx.coroutines.delay
import org.elderhitch.jobs.JobId
import org.elderhitch.lab.WireClient
import org.elderhitch.settings.TeamName
import org.elderhitch.store.Keys
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Sessions as a whole: synchronization, quotas, limits, closing and refused requests. */
internal class SessionLifecycleTest : DrmaaScenario() {
    @Test
    fun `all jobs of a session are terminated over several requests and synchronized`() = withDrmaa { settings ->
        val client = client(settings)
        val other = client(settings, "clientzz")
        val jobs = List(150) { client.submit(mapOf("category" to "long")) }
        val kept = other.submit(mapOf("category" to "long"))
        var fields: Map<String, Any?> = mapOf("job" to WireClient.ALL, "action" to "TERMINATE")
        var done = 0L
        var requests = 0
        while (true) {
            val answer = client.ask("control", fields)
            assertEquals(200, answer.status)
            done += answer.body.long("done")
            requests++
            if (answer.body.long("left") == 0L) break
            fields =
                fields +
                mapOf(
                    "upto" to
                        answer.body.requireObject("upto").let { numbers ->
                            numbers.names.associateWith { numbers.raw(it) }
                        },
                )
        }
        assertEquals(150L, done)
        assertTrue(requests > 1, "all in one request, beyond the write rate")
        val request = client.request()
        repeat(2) {
            val synced = client.ask(
                "sync",
                mapOf(
                    "request" to request,
                    "jobs" to listOf(WireClient.ALL),
                    "dispose" to true,
                    "holdMs" to 20_000,
                ),
            )
            assertEquals(true, synced.body.raw("ended"), "${synced.body.raw("error")}")
        }
        assertEquals("InvalidJobException", client.wait(jobs.first(), 5.seconds)?.fault)
        // One write takes up to 4,096 results.
        assertEquals(1, platform.state.keys().count { it.startsWith("v/drmaa/r/${client.session}/") })
        assertNotEquals("FAILED", other.status(kept))
    }

    /**
     * A held job with a lower number used to replace the highest submitted number, so that synchronizing all jobs did
     * not wait for the later ones.
     */
    @Test
    fun `synchronizing all jobs includes those after a held one`() = withDrmaa { settings ->
        val client = client(settings)
        val held = client.submit(short + mapOf("hold" to true))
        val long = client.submit(mapOf("category" to "long"))
        val request = client.request()
        // The first answer says which numbers "all jobs so far" covers; further requests send them back.
        var upTo: Map<String, Any?> = emptyMap()
        suspend fun synchronized(): Any? {
            val answer = client.ask(
                "sync",
                mapOf("request" to request, "jobs" to listOf(WireClient.ALL), "dispose" to false, "holdMs" to 3_000) +
                    upTo,
            ).body
            answer.objectOrNull("upto")?.let { numbers ->
                upTo = mapOf("upto" to numbers.names.associateWith { numbers.raw(it) })
            }
            return answer.raw("ended")
        }
        assertEquals(null, synchronized())
        assertEquals(200, client.control(held, "TERMINATE").status)
        delay(2.seconds)
        assertEquals(null, synchronized(), "the later job still runs")
        assertEquals(200, client.control(long, "TERMINATE").status)
        delay(2.seconds)
        assertEquals(true, synchronized())
    }

    @Test
    fun `an outage during a bulk submission of a hundred thousand submits it once`() = withDrmaa { settings ->
        val client = client(settings)
        platform.state.down = true
        val asked = inBackground { client.run(short + mapOf("native" to "haulS=1"), members = 100_000) }
        delay(15.seconds)
        platform.state.down = false
        val answer = asked.await()
        assertEquals(200, answer.status)
        assertEquals(100_000L, answer.body.long("members"))
        assertEquals(1, platform.state.keys().count { it.startsWith("v/a/job/") })
        assertEquals(200, client.control(answer.body.string("job"), "TERMINATE").status)
    }

    @Test
    fun `quotas apply to native and DRMAA jobs together`() = withDrmaa { settings ->
        val client = client(settings)
        var most = 0
        submit("req-1", "array", 60, 6.0)
        client.submit(mapOf("category" to "short", "native" to "haulS=6"), members = 60)
        until("done", 180.seconds) {
            most = maxOf(most, onMachine.size)
            jobState("req-1") == "done" && onMachine.isEmpty()
        }
        assertEquals(40, most)
    }

    @Test
    fun `sessions, results and held jobs are limited and expire`() = withDrmaa(
        settings {
            DrmaaSettings(
                it.tokens,
                it.networks,
                it.categories,
                sessionsPerTeam = 2,
                resultsPerSession = 5,
                heldPerTeam = 1,
                keepResults = 10.minutes,
                keepSessions = 40.minutes,
            )
        },
    ) { settings ->
        val client = client(settings)
        client(settings, "clientbb")
        val third = WireClient(this, WireClient.grant(settings), "clientcc")
        assertEquals(
            "TryLaterException",
            third.ask("open", mapOf("nonce" to "nonce-for-clientcc"), patience = 2.seconds).fault,
        )
        val jobs = List(5) { client.submit(short) }
        assertEquals(
            "TryLaterException",
            client.ask("run", mapOf("request" to client.request(), "template" to short), 2.seconds).fault,
        )
        until("done", 120.seconds) { jobs.all { jobState(it) == "done" } }
        assertNotNull(client.wait(jobs[0], 10.seconds))
        client.submit(short + mapOf("hold" to true))
        val two = joinSession(client, "clientdd")
        assertEquals(
            "TryLaterException",
            two.ask(
                "run",
                mapOf(
                    "request" to two.request(),
                    "template" to short + mapOf("hold" to true),
                ),
                2.seconds,
            ).fault,
        )
        delay(25.minutes)
        // The other four were not taken in time.
        assertEquals("InvalidJobException", client.wait(jobs[1], 5.seconds)?.fault)
        delay(20.minutes)
        delay(5.minutes)
        assertEquals(
            "NoActiveSessionException",
            client.ask(
                "wait",
                mapOf(
                    "request" to client.request(),
                    "job" to jobs[2],
                    "holdMs" to 0,
                ),
            ).fault,
        )
        assertTrue(
            platform.state.keys().none {
                it.startsWith("v/a/drmaa/s/") || it.startsWith("v/drmaa/r/")
            },
            "${platform.state.keys()}",
        )
    }

    @Test
    fun `closing a session ends it for all clients, and its jobs go on`() = withDrmaa { settings ->
        val client = client(settings)
        val other = joinSession(client, "clientbb", 1)
        val job = client.submit(mapOf("category" to "short", "native" to "haulS=10"))
        assertEquals(200, client.ask("close", emptyMap()).status)
        assertEquals(200, client.ask("close", emptyMap()).status.let { if (it == 404) 200 else it })
        for (node in names) {
            assertEquals(
                "NoActiveSessionException",
                other.ask("wait", mapOf("request" to other.request(), "job" to job, "holdMs" to 0), node = node).fault,
            )
        }
        until("done", 90.seconds) { jobState(job) == "done" }
        assertNull(platform.state.value(Keys.job(JobId(job))))
    }

    @Test
    fun `foreign tokens and malformed requests are refused with a reason`() = withDrmaa { settings ->
        val client = client(settings)
        val job = client.submit(short)
        val foreign = Tokens.parse(
            "other",
            listOf("k1 BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB"),
        ).issue(Claim.InSession(TeamName("team"), SessionName("a".repeat(12))))
        val unknownTeam = tokens.issue(Claim.Grant(TeamName("strangers"), null))
        val cases = listOf(
            Triple(
                "open",
                mapOf("token" to foreign),
                401,
            ),
            Triple("open", mapOf("token" to "nonsense"), 401), Triple("open", mapOf("token" to unknownTeam), 403),
            Triple(
                "open",
                mapOf("token" to WireClient.grant(settings)),
                400,
            ),
            Triple("wait", mapOf("job" to job), 400), Triple("wait", mapOf("job" to job, "request" to "x"), 400),
            Triple("wait", mapOf("job" to job, "request" to "clientaa-9", "holdMs" to -5), 400),
            Triple("wait", mapOf("job" to "req-1", "request" to "clientaa-9"), 404),
            Triple(
                "control",
                mapOf("job" to job, "action" to "EXPLODE"),
                400,
            ),
            Triple("run", mapOf("request" to "clientaa-9", "template" to 5), 400),
            Triple("run", mapOf("request" to "clientaa-9", "template" to mapOf("category" to "nothing")), 400),
            Triple(
                "run",
                mapOf(
                    "request" to "clientaa-9",
                    "template" to short,
                    "bulk" to mapOf("start" to 1, "end" to 5, "step" to 0),
                ),
                400,
            ),
            Triple("nowhere", emptyMap(), 404),
        )

        // The leader provisions machines for the accepted job meanwhile.
        fun recordedKeys() = platform.state.keys().filterNot { it.startsWith("v/a/hire/") }

        val keys = recordedKeys()
        for ((path, fields, status) in cases) {
            val answer = client.ask(path, fields)
            assertEquals(status, answer.status, "$path $fields: ${answer.body.raw("error")}")
            if (path != "nowhere") assertNotNull(answer.fault, "$path $fields")
            assertTrue("\n" !in answer.body.string("error"))
        }
        assertEquals(keys, recordedKeys(), "a refused request was recorded")
        assertEquals(405, ask("GET", "/drmaa/open").first)
        // A token of a session that is not open.
        assertEquals(
            404,
            ask(
                "POST",
                "/drmaa/status",
                mapOf(
                    "token" to tokens.issue(Claim.InSession(TeamName("team"), SessionName("b".repeat(12)))),
                    "job" to job,
                ),
            ).first,
        )
    }

    @Test
    fun `clients of other networks are refused before anything else is checked`() =
        withDrmaa(settings { DrmaaSettings(it.tokens, Networks.of(listOf("10.0.0.0/8")), it.categories) }) { settings ->
            assertEquals(403, ask("POST", "/drmaa/open", mapOf("token" to "nonsense")).first)
            assertEquals(
                403,
                ask(
                    "POST",
                    "/drmaa/open",
                    mapOf(
                        "token" to WireClient.grant(settings),
                        "nonce" to "nonce-for-me",
                    ),
                ).first,
            )
        }
}
