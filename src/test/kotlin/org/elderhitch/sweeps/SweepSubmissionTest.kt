package org.elderhitch.sweeps

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.json.JsonObject
import org.elderhitch.lab.Fate
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Submissions of sweeps: whole or not at all, and what is refused. */
internal class SweepSubmissionTest : SweepScenario() {
    @Test
    fun `points are jobs to their users on every node, and a sweep's account is that of its points`() = swept {
        accepted(submit(Examples.range(300)))
        assertEquals(201L, ask("POST", "/work", ClassArchiveTraining.exampleJob("req-1", "array")).first.toLong())
        ended()
        for (node in names) for (point in listOf(0, 150, 299)) assertEquals("done", word(point, node))
        assertEquals(404, ask("GET", "/work/${id.point(300)}").first)
        assertEquals(404, ask("GET", "/work/req-wnone-0").first)
        val account = shown()["account"] as Map<*, *>
        assertEquals(300L, account["completed"])
        assertTrue(account["attempts"] as Long >= 300L)
        assertEquals(0L, account["lower_bounds"])
        // Each ran for two seconds, seen to within two reports.
        assertTrue((account["p50_s"] as Double) in 0.5..4.0, "$account")
        // A repeat of a point's submission is told how it stands; a form that is given can't be chosen.
        val body = ClassArchiveTraining.exampleJob(id.point(7).text, "array")
        assertEquals(200 to "done", ask("POST", "/work", body).let { it.first to it.second["standing"] })
        assertEquals(400, ask("POST", "/work", body + ("id" to "req-wother-7")).first)
        assertEquals("done", ask("POST", "/work/${id.point(7)}/withdraw").second["standing"])
        val page = ask("GET", "/sweeps/$id/points?state=done&after=100&count=10").second
        assertEquals((101L..110L).toList(), (page["points"] as List<*>).map { (it as Map<*, *>)["point"] })
        until("the other is done", 60.seconds) { standing("req-1") == "done" }
    }

    @Test
    fun `ten thousand points of which three are malformed`() = swept {
        val rows =
            (0 until 10_000).joinToString("\\n") { n ->
                if (n == 17) {
                    "0.5"
                } else if (n == 4711) {
                    "7.5\\tziway"
                } else if (n == 9000) {
                    "0.000180\\tziway"
                } else {
                    "${Examples.decimal(n)}\\tziway"
                }
            } +
                "\\n"
        fun description(onBad: String) = Examples.of(
            """{"columns":["threshold","lake"],"rows":"${rows.replace("\\t", "\\t")}"}""",
            ""","on_bad":"$onBad"""",
        )
        val before = platform.state.keys().count { "v/a/sweeps" in it }
        val refused = assertIs<Told.Response>(submit(description("refuse")))
        assertEquals(400, refused.status)
        assertEquals(3L, refused.body.long("bad_count"))
        assertEquals(
            listOf(18L to "lake", 4712L to "threshold"),
            refused.body.objects("bad").take(2).map {
                it.long("row") to
                    it.string("column")
            },
        )
        assertEquals(before, platform.state.keys().count { "v/a/sweeps" in it }, "nothing is recorded")
        val skip = SweepId("skipping")
        val told = accepted(client().submit(skip, description("skip").pack(), 8192, dry = false, 60.seconds))
        assertEquals(3L, told.body.long("skipped"))
        assertEquals(404, ask("GET", "/work/${skip.point(17)}").first, "what is skipped is no job")
        assertEquals(
            listOf(17L, 4711L, 9000L),
            (ask("GET", "/sweeps/$skip/points?state=skipped").second["points"] as List<*>).map {
                (it as Map<*, *>)["point"]
            },
        )
        assertEquals(200, ask("POST", "/sweeps/$skip/withdraw", emptyMap()).first)
        assertEquals(9997L, ask("GET", "/sweeps/$skip").second["withdrawn"])
        assertEquals(3L, ask("GET", "/sweeps/$skip").second["skipped"])
    }

    /** Everything is cut off after each single step; the client repeats, and there is one sweep, whole. */
    @Test
    fun `a controller that dies anywhere in a submission leaves a whole sweep or none`() {
        val description = Examples.of(
            """{"columns":["threshold","lake"],"rows":"${Examples.scattered(3000).joinToString("") {
                "$it\\tziway\\n"
            }}"}""",
            ""","at_once":50""",
        )
        val steps = Parts.split(description.pack(), 8192).size + 1
        assertTrue(steps > 3, "$steps steps")
        for (fate in listOf("lost", "crash", "late")) {
            for (step in 0 until steps) {
                swept(runs = 0.2) {
                    var commits = 0
                    fateOf = { node, commit ->
                        if ("sweeps/" in commit && commits++ == step) {
                            if (fate == "crash") crash(node)
                            if (fate == "late") Fate.Late(25.seconds) else Fate.AnswerLost
                        } else {
                            Fate.Answered
                        }
                    }
                    accepted(submit(description))
                    assertEquals(3000L, shown()["points"])
                    assertEquals(1, platform.state.keys().count { it.endsWith("/m") })
                    // Whoever has another sweep of that name is told so.
                    assertEquals(409, assertIs<Told.Response>(submit(Examples.range(5))).status)
                    assertEquals(200, assertIs<Told.Response>(submit(description)).status)
                }
            }
        }
    }

    @Test
    fun `a state service that refuses and is down in the middle of a submission`() = swept {
        val description = Examples.of(
            """{"columns":["threshold"],"rows":"${Examples.scattered(3000).joinToString("") {
                "$it\\n"
            }}"}""",
        )
        outside.launch {
            delay(10.milliseconds)
            platform.state.down = true
            delay(20.seconds)
            platform.state.down = false
        }
        accepted(submit(description))
        assertEquals(3000L, shown()["points"])
    }

    @Test
    fun `mistakes are told and nothing is recorded`() = swept {
        suspend fun post(path: String, body: Map<String, Any?>) = ask("POST", "/sweeps/$path", body, node = "n0")
        assertEquals(400, post("BAD!", emptyMap()).first)
        assertEquals(400, post("test/part/999", mapOf("data" to "")).first)
        assertEquals(400, post("test/part/0", mapOf("data" to "x".repeat(9000))).first)
        assertEquals(409, post("test", mapOf("parts" to 1, "sum" to "00")).first)
        assertEquals(400, post("test", mapOf("parts" to 0, "sum" to "00")).first)
        assertEquals(200, post("test/part/0", mapOf("data" to "AAAA")).first)
        assertEquals(409, post("test/part/0", mapOf("data" to "BBBB")).first)
        assertEquals(409, post("test", mapOf("parts" to 1, "sum" to "00")).first, "not that sum")
        assertEquals(
            400,
            post("test", mapOf("parts" to 1, "sum" to Description.sum(byteArrayOf(0, 0, 0)))).first,
            "not a description",
        )
        assertEquals(404, ask("GET", "/sweeps/test", node = "n0").first)
        assertEquals(405, ask("DELETE", "/sweeps/test", node = "n0").first)
        assertEquals(404, ask("GET", "/sweeps/test/nowhere", node = "n0").first)
        val service = Description.parse(
            Examples.json("""{"grid":{"threshold":[0.5]}}""").let { json ->
                JsonObject.of(
                    json.names.associateWith { n ->
                        if (n == "job") {
                            (json.raw(n) as Map<*, *>) + ("lotKind" to "daemon")
                        } else {
                            json.raw(n)
                        }
                    },
                )
            },
        )
        val refused =
            assertIs<Told.Response>(client().submit(SweepId("service"), service.pack(), 8192, dry = false, 20.seconds))
        assertEquals(400 to "lotKind", refused.status to refused.body.objects("bad").first().string("column"))
        val dry = accepted(client().submit(SweepId("drydry"), Examples.range(100).pack(), 8192, dry = true, 20.seconds))
        assertEquals(100L, dry.body.long("points"))
        assertEquals("req-wdrydry-99", dry.body.obj("last").string("id"))
        assertEquals(600L, dry.body.long("team_limit_tasks"))
        assertEquals(404, ask("GET", "/sweeps/drydry", node = "n0").first)
    }
}
