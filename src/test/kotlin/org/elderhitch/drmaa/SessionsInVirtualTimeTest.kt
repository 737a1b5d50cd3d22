package org.elderhitch.drmaa

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import org.elderhitch.app.world
import org.elderhitch.features.FeatureFactory
import org.elderhitch.features.Features
import org.elderhitch.jobs.ClassRule
import org.elderhitch.jobs.ClassRules
import org.elderhitch.jobs.JobId
import org.elderhitch.lab.Fate
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.WireClient
import org.elderhitch.lab.WorldSettings
import org.elderhitch.settings.TeamName
import org.elderhitch.store.Keys
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Whole controllers with DRMAA on, and the wire as client programs speak it. */
class SessionsInVirtualTimeTest {
    private val tokens = Tokens.parse("keys", listOf("k1 AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"))
    private val categories = mapOf(
        "short" to
            mapOf(
                "lotClass" to "short",
                "catchImage" to "img-1",
                "cores" to 4.0,
                "accelerators" to 1.0,
                "memGb" to 8.0,
                "haulS" to 2L,
                "borrowedRigs" to true,
            ),
        "long" to
            mapOf(
                "lotClass" to "long",
                "catchImage" to "img-1",
                "cores" to 4.0,
                "accelerators" to 1.0,
                "memGb" to 8.0,
                "haulS" to 300L,
                "borrowedRigs" to true,
            ),
        "saving" to
            mapOf(
                "lotClass" to "saving",
                "catchImage" to "img-1",
                "cores" to 4.0,
                "accelerators" to 1.0,
                "memGb" to 8.0,
                "haulS" to 300L,
                "tallyS" to 5L,
                "stowS" to 1L,
            ),
        "once" to
            mapOf(
                "lotClass" to "once",
                "catchImage" to "img-1",
                "cores" to 4.0,
                "accelerators" to 1.0,
                "memGb" to 8.0,
                "haulS" to 2L,
            ),
    )

    private fun settings(
        change: (DrmaaSettings) -> DrmaaSettings = {
            it
        },
    ) = change(DrmaaSettings(tokens, Networks.of(listOf("127.0.0.1")), categories))

    private fun drmaa(
        settings: DrmaaSettings = settings(),
        seed: Long = 1,
        body: suspend SimulatedCluster.(DrmaaSettings) -> Unit,
    ) {
        val features =
            Features(
                ClassRules(mapOf("once" to ClassRule(repeats = false))),
                listOf(
                    FeatureFactory {
                        Drmaa(settings, it)
                    },
                ),
            )
        world(WorldSettings(seed = seed, features = features)) {
            delay(3.seconds)
            body(settings)
            assertRulesKept()
        }
    }

    private suspend fun SimulatedCluster.client(settings: DrmaaSettings, tag: String = "clientaa", shift: Int = 0) =
        WireClient(this, WireClient.grant(settings), tag, shift).open()

    /** Another program with the same contact string. */
    private fun SimulatedCluster.joining(other: WireClient, tag: String, shift: Int = 0) =
        WireClient(this, other.contact(), tag, shift)

    private val short = mapOf("category" to "short")

    private suspend fun WireClient.submitted(template: Map<String, Any?>, members: Int? = null): String {
        val answer = run(template, members)
        assertEquals(200, answer.status, "${answer.body.raw("error")}")
        return answer.body.string("job")
    }

    private suspend fun WireClient.control(job: String, action: String) = ask(
        "control",
        mapOf(
            "job" to job,
            "action" to action,
        ),
    )

    private suspend fun WireClient.status(job: String) = ask("status", mapOf("job" to job)).body.string("name")

    @Test
    fun `jobs and members of bulk jobs are waited for, each once, with their account`() = drmaa { settings ->
        val client = client(settings)
        val job = client.submitted(short)
        val bulk = client.submitted(short, members = 3)
        assertTrue(bulk.endsWith("x3"))
        val info = assertNotNull(client.wait(job, 60.seconds))
        assertEquals(true, info.body.raw("done"))
        assertEquals(1L, info.body.obj("account").long("tries"))
        val members = (0 until 3).map { assertNotNull(client.wait(WireClient.ANY, 60.seconds)).body.string("job") }
        assertEquals((0 until 3).map { "$bulk/$it" }.toSet(), members.toSet())
        val after = assertNotNull(client.wait(WireClient.ANY, 60.seconds))
        assertEquals(404 to "InvalidJobException", after.status to after.fault)
        assertEquals("InvalidJobException", client.wait(job, 5.seconds)?.fault)
        assertEquals("DONE", client.status(job))
        // The native path tells the same of the same job.
        assertEquals("done", standing(job))
    }

    @Test
    fun `a client that went away finds its result at another node, once`() = drmaa { settings ->
        val client = client(settings)
        val job = client.submitted(short)
        val request = client.request()
        // Its first wait is answered, and the answer never seen.
        assertNotNull(client.wait(job, 60.seconds, request, node = "n0"))
        val again = joining(client, "clientaa")
        for (node in names) assertEquals(job, again.wait(job, 30.seconds, request, node)?.body?.string("job"), node)
        assertEquals("InvalidJobException", again.wait(job, 10.seconds)?.fault)
    }

    @Test
    fun `two clients of a session that wait for any get different results`() = drmaa { settings ->
        val one = client(settings)
        val two = joining(one, "clientbb", shift = 1)
        val jobs = List(12) { one.submitted(short) }
        val taken = ArrayList<String>()
        val waits = listOf(one, two).map { client ->
            backgroundly {
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
    fun `the node that holds a wait dies, or stands still, and the result goes to its client once`() =
        drmaa { settings ->
            val client = client(settings)
            val job = client.submitted(mapOf("category" to "long", "native" to "haulS=12"))
            val request = client.request()
            val waiting = backgroundly { client.wait(job, 120.seconds, request) }
            delay(2.seconds)
            crash("n0")
            delay(3.seconds)
            freeze("n1")
            delay(20.seconds)
            thaw("n1")
            startNode("n0")
            assertEquals(job, waiting.await()?.body?.string("job"))
            assertEquals("InvalidJobException", client.wait(job, 10.seconds)?.fault)
        }

    @Test
    fun `a reap that is carried out late, after another client took the result, changes nothing`() = drmaa { settings ->
        val one = client(settings)
        val two = joining(one, "clientbb")
        val job = one.submitted(short)
        until("done", 60.seconds) { standing(job) == "done" }
        fateOf =
            { node, commit -> if (node == "n0" && "v/drmaa/r/" in commit) Fate.Late(30.seconds) else Fate.Answered }
        val stuck = backgroundly { one.wait(job, 8.seconds, node = "n0") }
        delay(3.seconds)
        val taken = two.wait(job, 8.seconds, node = "n1")
        fateOf = { _, _ -> Fate.Answered }
        val first = stuck.await()
        // Exactly one of the two has it, and it stays so when the late one arrives.
        assertEquals(
            1,
            listOfNotNull(first, taken).count {
                it.status == 200
            },
            "${first?.body?.raw("error")} ${taken?.body?.raw("error")}",
        )
        delay(40.seconds)
        val third = joining(one, "clientcc")
        assertEquals("InvalidJobException", third.wait(job, 10.seconds)?.fault)
    }

    @Test
    fun `an answer lost with its reap is the same when asked for again`() = drmaa { settings ->
        val client = client(settings)
        val jobs = List(2) { client.submitted(short) }
        until("done", 90.seconds) { jobs.all { standing(it) == "done" } }
        var lost = 0
        fateOf = { _, commit -> if ("v/drmaa/r/" in commit && lost++ == 0) Fate.AnswerLost else Fate.Answered }
        val request = client.request()
        val first = assertNotNull(client.wait(WireClient.ANY, 60.seconds, request))
        assertEquals(first.body.string("job"), client.wait(WireClient.ANY, 60.seconds, request)?.body?.string("job"))
        assertNotEquals(first.body.string("job"), client.wait(WireClient.ANY, 60.seconds)?.body?.string("job"))
        assertTrue(lost > 0)
    }

    @Test
    fun `what is held is recorded and not submitted until it is released or its time has come`() = drmaa { settings ->
        val client = client(settings)
        val held = client.submitted(short + mapOf("hold" to true))
        val later = client.submitted(short + mapOf("startAt" to (wallClock.now() + 30.seconds).ms))
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
        val ended = client.submitted(short + mapOf("hold" to true))
        assertEquals(200, client.control(ended, "TERMINATE").status)
        assertEquals(false, client.wait(ended, 10.seconds)?.body?.raw("done"))
        assertTrue(platform.state.keys().none { it.startsWith("v/a/drmaa/h/") })
    }

    @Test
    fun `a hold races with the start, and it is held or refused, never both`() {
        var refused = 0
        for (seed in 1L..8L) {
            drmaa(seed = seed) { settings ->
                val client = client(settings)
                // Its machine boots for five seconds, and is given the task at once when it is up.
                val job = client.submitted(mapOf("category" to "long"))
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
    fun `a hold whose leader dies is recorded, or the job goes on`() = drmaa { settings ->
        val client = client(settings)
        val job = client.submitted(mapOf("category" to "long"))
        val leader = assertNotNull(leader())
        fateOf =
            { node, commit -> if (node == leader && "v/a/hold/" in commit) Fate.Late(20.seconds) else Fate.Answered }
        val asked =
            backgroundly { client.ask("control", mapOf("job" to job, "action" to "HOLD"), patience = 1.seconds) }
        delay(1.seconds)
        crash(leader)
        assertEquals(503, asked.await().status)
        fateOf = { _, _ -> Fate.Answered }
        // The late write names a term that is over: the new leader starts the job, and it stays so.
        until("started", 60.seconds) { startsOf["$job/0"] == 1 }
        delay(30.seconds)
        assertEquals("RUNNING", client.status(job))
    }

    @Test
    fun `a hold that nobody answers for is settled in the end, and nothing starts before`() = drmaa { settings ->
        val client = client(settings)
        val job = client.submitted(mapOf("category" to "long"))
        var lost = 0
        fateOf = { _, commit -> if ("v/a/hold/" in commit && lost++ < 6) Fate.Late(5.minutes) else Fate.Answered }
        assertEquals(503, client.ask("control", mapOf("job" to job, "action" to "HOLD"), patience = 1.seconds).status)
        until("held after all", 60.seconds) { client.status(job) == "USER_ON_HOLD" }
        assertNull(startsOf["$job/0"])
        assertEquals(200, client.control(job, "RELEASE").status)
        until("started", 60.seconds) { startsOf["$job/0"] == 1 }
        // The late ones must not hold again what was released meanwhile.
        delay(6.minutes)
        assertEquals("DONE", client.status(job))
        assertTrue(platform.state.keys().none { it.startsWith("v/a/hold/") })
    }

    @Test
    fun `suspension stops with a save what can save, and refuses what can't`() = drmaa { settings ->
        val client = client(settings)
        val saves = client.submitted(mapOf("category" to "saving"))
        val loses = client.submitted(mapOf("category" to "long"))
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
    fun `a repeat is denied by the rule of the class, and allowed once per request`() = drmaa { settings ->
        val client = client(settings)
        val job = client.submitted(mapOf("category" to "once"))
        val other = client.submitted(short)
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
    fun `terminating races with the end, and what is told stays true`() = drmaa { settings ->
        val client = client(settings)
        val jobs = List(8) { client.submitted(short) }
        delay(8.seconds)
        for (job in jobs) {
            delay(150.milliseconds)
            assertEquals(200, client.control(job, "TERMINATE").status)
            val done = standing(job) == "done"
            assertEquals(done, client.wait(job, 30.seconds)?.body?.raw("done"))
            assertEquals(if (done) "DONE" else "FAILED", client.status(job))
        }
        val bulk = client.submitted(mapOf("category" to "long"), members = 2)
        assertEquals("DeniedByDrmException", client.control("$bulk/1", "TERMINATE").fault)
        assertEquals(200, client.control(bulk, "TERMINATE").status)
        assertEquals(false, client.wait("$bulk/1", 30.seconds)?.body?.raw("done"))
    }

    @Test
    fun `members that completed before their bulk job was terminated completed`() = drmaa { settings ->
        val client = client(settings)
        // Forty run at a time by the team's limit: some complete long before the others begin.
        val bulk = client.submitted(mapOf("category" to "long", "native" to "haulS=8"), members = 100)
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

    @Test
    fun `all jobs of a session are synchronized, terminated and counted, over several requests`() = drmaa { settings ->
        val client = client(settings)
        val other = client(settings, "clientzz")
        val jobs = List(150) { client.submitted(mapOf("category" to "long")) }
        val kept = other.submitted(mapOf("category" to "long"))
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
                mapOf("upto" to answer.body.obj("upto").let { said -> said.names.associateWith { said.raw(it) } })
        }
        assertEquals(150L, done)
        assertTrue(requests > 1, "all at once, beyond the write budget")
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
        // One change takes up to 4,096 results away.
        assertEquals(1, platform.state.keys().count { it.startsWith("v/drmaa/r/${client.session}/") })
        assertNotEquals("FAILED", other.status(kept))
    }

    /**
     * Overlooked once: a held job with a lower number than the last submitted took its place, and the later ones were
     * not waited for.
     */
    @Test
    fun `all jobs so far include those after a held one`() = drmaa { settings ->
        val client = client(settings)
        val held = client.submitted(short + mapOf("hold" to true))
        val long = client.submitted(mapOf("category" to "long"))
        val request = client.request()
        // What "all so far" are is said by the first answer, and comes back with each further question.
        var upTo: Map<String, Any?> = emptyMap()
        suspend fun synchronized(): Any? {
            val answer = client.ask(
                "sync",
                mapOf("request" to request, "jobs" to listOf(WireClient.ALL), "dispose" to false, "holdMs" to 3_000) +
                    upTo,
            ).body
            answer.objectOrNull("upto")?.let { said ->
                upTo = mapOf("upto" to said.names.associateWith { said.raw(it) })
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
    fun `an outage during a bulk job of a hundred thousand loses nothing and submits it once`() = drmaa { settings ->
        val client = client(settings)
        platform.state.down = true
        val asked = backgroundly { client.run(short + mapOf("native" to "haulS=1"), members = 100_000) }
        delay(15.seconds)
        platform.state.down = false
        val answer = asked.await()
        assertEquals(200, answer.status)
        assertEquals(100_000L, answer.body.long("members"))
        assertEquals(1, platform.state.keys().count { it.startsWith("v/a/job/") })
        assertEquals(200, client.control(answer.body.string("job"), "TERMINATE").status)
    }

    @Test
    fun `quotas hold over both paths together`() = drmaa { settings ->
        val client = client(settings)
        var most = 0
        submit("req-1", "array", 60, 6.0)
        client.submitted(mapOf("category" to "short", "native" to "haulS=6"), members = 60)
        until("done", 180.seconds) {
            most = maxOf(most, onMachine.size)
            standing("req-1") == "done" && onMachine.isEmpty()
        }
        assertEquals(40, most)
    }

    @Test
    fun `sessions, results and held jobs are bounded, and what goes is told`() = drmaa(
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
        val jobs = List(5) { client.submitted(short) }
        assertEquals(
            "TryLaterException",
            client.ask("run", mapOf("request" to client.request(), "template" to short), 2.seconds).fault,
        )
        until("done", 120.seconds) { jobs.all { standing(it) == "done" } }
        assertNotNull(client.wait(jobs[0], 10.seconds))
        client.submitted(short + mapOf("hold" to true))
        val two = joining(client, "clientdd")
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
        // Nobody took the other four in time.
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
    fun `who closes a session ends it for all, and jobs go on`() = drmaa { settings ->
        val client = client(settings)
        val other = joining(client, "clientbb", 1)
        val job = client.submitted(mapOf("category" to "short", "native" to "haulS=10"))
        assertEquals(200, client.ask("close", emptyMap()).status)
        assertEquals(200, client.ask("close", emptyMap()).status.let { if (it == 404) 200 else it })
        for (node in names) {
            assertEquals(
                "NoActiveSessionException",
                other.ask("wait", mapOf("request" to other.request(), "job" to job, "holdMs" to 0), node = node).fault,
            )
        }
        until("done", 90.seconds) { standing(job) == "done" }
        assertNull(platform.state.value(Keys.job(JobId(job))))
    }

    @Test
    fun `tokens of others, networks not allowed and broken requests are refused with a reason`() = drmaa { settings ->
        val client = client(settings)
        val job = client.submitted(short)
        val foreign = Tokens.parse(
            "other",
            listOf("k1 BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB"),
        ).issue(Claim.InSession(TeamName("team"), SessionName("a".repeat(12))))
        val stranger = tokens.issue(Claim.Grant(TeamName("strangers"), null))
        val cases = listOf(
            Triple(
                "open",
                mapOf("token" to foreign),
                401,
            ),
            Triple("open", mapOf("token" to "nonsense"), 401), Triple("open", mapOf("token" to stranger), 403),
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
        val keys = platform.state.keys().size
        for ((path, fields, status) in cases) {
            val answer = client.ask(path, fields)
            assertEquals(status, answer.status, "$path $fields: ${answer.body.raw("error")}")
            if (path != "nowhere") assertNotNull(answer.fault, "$path $fields")
            assertTrue("\n" !in answer.body.string("error"))
        }
        assertEquals(keys, platform.state.keys().size, "something was recorded")
        assertEquals(405, ask("GET", "/drmaa/open").first)
        // A session of another team's token.
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
    fun `the leader dies between a job's end and its reap, and the others know the result`() = drmaa { settings ->
        val client = client(settings)
        val jobs = List(3) { client.submitted(short) }
        until("done", 90.seconds) { jobs.all { platform.state.value(Keys.terminalRecord(JobId(it))) != null } }
        crash(assertNotNull(leader()))
        assertEquals(
            jobs.toSet(),
            List(3) {
                assertNotNull(client.wait(WireClient.ANY, 60.seconds)).body.string("job")
            }.toSet(),
        )
        // A node that starts now has seen nothing of it, and reads what it needs.
        val gone = names.first { ask("POST", "/drmaa/nowhere", emptyMap(), node = it).first == 503 }
        startNode(gone)
        until("it is up", 20.seconds) { client.ask("status", mapOf("job" to jobs[0]), 1.seconds, gone).status == 200 }
        assertEquals("InvalidJobException", client.wait(jobs[1], 20.seconds, node = gone)?.fault)
    }

    @Test
    fun `more waits than a node has room for are refused at once, with when to come back`() = drmaa { settings ->
        val client = client(settings)
        client.submitted(mapOf("category" to "long"))
        val from = clock.now()
        // A quarter of the 1,024 sockets that settings without a limit mean.
        val waits = List(300) { n ->
            backgroundly {
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

    @Test
    fun `clients of other networks are refused before anything else is looked at`() =
        drmaa(settings { DrmaaSettings(it.tokens, Networks.of(listOf("10.0.0.0/8")), it.categories) }) { settings ->
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

    private fun <T> SimulatedCluster.backgroundly(body: suspend () -> T) = outside.async { body() }
}
