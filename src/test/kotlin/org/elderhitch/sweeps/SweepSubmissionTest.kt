package org.elderhitch.sweeps

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.json.JsonObject
import org.elderhitch.lab.TransactionOutcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Submissions of sweeps: each is accepted as a whole or not at all, and invalid ones are refused. */
internal class SweepSubmissionTest : SweepScenario() {
    @Test
    fun `points are shown as jobs on every node, and the account of a sweep sums up its points`() = runScenario {
        expectAccepted(submit(ExampleSweeps.range(300)))
        assertEquals(201L, ask("POST", "/work", ClassArchiveTraining.exampleJob("req-1", "array")).first.toLong())
        awaitEnd()
        for (node in names) for (point in listOf(0, 150, 299)) assertEquals("done", jobStatus(point, node))
        assertEquals(404, ask("GET", "/work/${id.point(300)}").first)
        assertEquals(404, ask("GET", "/work/req-wnone-0").first)
        val account = details()["account"] as Map<*, *>
        assertEquals(300L, account["completed"])
        assertTrue(account["attempts"] as Long >= 300L)
        assertEquals(0L, account["lower_bounds"])
        // Each point ran for two seconds; the observed time may be off by two reporting intervals.
        assertTrue((account["p50_s"] as Double) in 0.5..4.0, "$account")
        // Submitting a point's job again returns its state; users can't choose ids in the form of points' ids.
        val body = ClassArchiveTraining.exampleJob(id.point(7).text, "array")
        assertEquals(200 to "done", ask("POST", "/work", body).let { it.first to it.second["standing"] })
        assertEquals(400, ask("POST", "/work", body + ("id" to "req-wother-7")).first)
        assertEquals("done", ask("POST", "/work/${id.point(7)}/withdraw").second["standing"])
        val page = ask("GET", "/sweeps/$id/points?state=done&after=100&count=10").second
        assertEquals((101L..110L).toList(), (page["points"] as List<*>).map { (it as Map<*, *>)["point"] })
        until("the other job is done", 60.seconds) { jobState("req-1") == "done" }
    }

    @Test
    fun `a sweep with malformed points is refused, or accepted without them if it asks for that`() = runScenario {
        val rows =
            (0 until 10_000).joinToString("\\n") { n ->
                if (n == 17) {
                    "0.5"
                } else if (n == 4711) {
                    "7.5\\tziway"
                } else if (n == 9000) {
                    "0.000180\\tziway"
                } else {
                    "${ExampleSweeps.decimal(n)}\\tziway"
                }
            } +
                "\\n"
        fun description(onBad: String) = ExampleSweeps.of(
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
        assertEquals(before, platform.state.keys().count { "v/a/sweeps" in it }, "a refused sweep must not be recorded")
        val skip = SweepId("skipping")
        val result = expectAccepted(client().submit(skip, description("skip").pack(), 8192, dry = false, 60.seconds))
        assertEquals(3L, result.body.long("skipped"))
        assertEquals(404, ask("GET", "/work/${skip.point(17)}").first, "a skipped point must not be a job")
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

    /**
     * Each step of a submission loses its answer, crashes its node or is carried out late. The client retries, and
     * exactly one complete sweep must result.
     */
    @Test
    fun `a failure at any step of a submission results in one complete sweep`() {
        val description = ExampleSweeps.of(
            """{"columns":["threshold","lake"],"rows":"${ExampleSweeps.irregularDecimals(3000).joinToString("") {
                "$it\\tziway\\n"
            }}"}""",
            ""","at_once":50""",
        )
        val steps = Parts.split(description.pack(), 8192).size + 1
        assertTrue(steps > 3, "$steps steps")
        for (fate in listOf("lost", "crash", "late")) {
            for (step in 0 until steps) {
                runScenario(taskSeconds = 0.2) {
                    var commits = 0
                    transactionOutcome = { node, commit ->
                        if ("sweeps/" in commit && commits++ == step) {
                            if (fate == "crash") crash(node)
                            if (fate == "late") TransactionOutcome.Late(25.seconds) else TransactionOutcome.AnswerLost
                        } else {
                            TransactionOutcome.Answered
                        }
                    }
                    expectAccepted(submit(description))
                    assertEquals(3000L, details()["points"])
                    assertEquals(1, platform.state.keys().count { it.endsWith("/m") })
                    // Another sweep under the same name is refused.
                    assertEquals(409, assertIs<Told.Response>(submit(ExampleSweeps.range(5))).status)
                    assertEquals(200, assertIs<Told.Response>(submit(description)).status)
                }
            }
        }
    }

    @Test
    fun `a submission succeeds although the state service is down for a while`() = runScenario {
        val description = ExampleSweeps.of(
            """{"columns":["threshold"],"rows":"${ExampleSweeps.irregularDecimals(3000).joinToString("") {
                "$it\\n"
            }}"}""",
        )
        simulationScope.launch {
            delay(10.milliseconds)
            platform.state.down = true
            delay(20.seconds)
            platform.state.down = false
        }
        expectAccepted(submit(description))
        assertEquals(3000L, details()["points"])
    }

    @Test
    fun `invalid requests are refused and record nothing`() = runScenario {
        suspend fun post(path: String, body: Map<String, Any?>) = ask("POST", "/sweeps/$path", body, node = "n0")
        assertEquals(400, post("BAD!", emptyMap()).first)
        assertEquals(400, post("test/part/999", mapOf("data" to "")).first)
        assertEquals(400, post("test/part/0", mapOf("data" to "x".repeat(9000))).first)
        assertEquals(409, post("test", mapOf("parts" to 1, "sum" to "00")).first)
        assertEquals(400, post("test", mapOf("parts" to 0, "sum" to "00")).first)
        assertEquals(200, post("test/part/0", mapOf("data" to "AAAA")).first)
        assertEquals(409, post("test/part/0", mapOf("data" to "BBBB")).first)
        assertEquals(409, post("test", mapOf("parts" to 1, "sum" to "00")).first, "wrong checksum")
        assertEquals(
            400,
            post("test", mapOf("parts" to 1, "sum" to Description.sum(byteArrayOf(0, 0, 0)))).first,
            "not a description",
        )
        assertEquals(404, ask("GET", "/sweeps/test", node = "n0").first)
        assertEquals(405, ask("DELETE", "/sweeps/test", node = "n0").first)
        assertEquals(404, ask("GET", "/sweeps/test/nowhere", node = "n0").first)
        val service = Description.parse(
            ExampleSweeps.json("""{"grid":{"threshold":[0.5]}}""").let { json ->
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
        val dryRun =
            expectAccepted(
                client().submit(SweepId("drydry"), ExampleSweeps.range(100).pack(), 8192, dry = true, 20.seconds),
            )
        assertEquals(100L, dryRun.body.long("points"))
        assertEquals("req-wdrydry-99", dryRun.body.requireObject("last").string("id"))
        assertEquals(600L, dryRun.body.long("team_limit_tasks"))
        assertEquals(404, ask("GET", "/sweeps/drydry", node = "n0").first)
    }
}
