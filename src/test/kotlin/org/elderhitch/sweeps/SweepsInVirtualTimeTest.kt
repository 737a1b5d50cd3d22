package org.elderhitch.sweeps

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.app.world
import org.elderhitch.features.FeatureFactory
import org.elderhitch.features.FeatureSet
import org.elderhitch.features.Features
import org.elderhitch.http.Address
import org.elderhitch.jobs.ClassRules
import org.elderhitch.jobs.JobId
import org.elderhitch.json.JsonObject
import org.elderhitch.lab.Fate
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.WorldSettings
import org.elderhitch.standin.TaskScript
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.Revision
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SweepsInVirtualTimeTest {
    private val id = SweepId("test")
    private val on = Features(ClassRules.NONE, listOf(FeatureFactory { Sweeps(SweepsSettings(), it) }))

    private fun swept(
        seed: Long = 1,
        runs: Double = 2.0,
        features: Features = on,
        body: suspend SimulatedCluster.() -> Unit,
    ) = world(WorldSettings(seed, machinesPerZone = 12, mostGpus = 300.0, features = features)) {
        platform.uploaded =
            { job -> SweepId.ofPoint(JobId(job))?.let { TaskScript("array", runs.seconds, 4.0, 0.5) } }
        delay(5.seconds)
        body()
        assertRulesKept()
    }

    private fun SimulatedCluster.client(vararg nodes: String): SweepClient = SweepClient(
        (
            nodes.toList().ifEmpty {
                names
            }
            ).map { Address("$it:80") },
        network.transport("user"),
        clock,
    )

    private suspend fun SimulatedCluster.submit(description: Description, vararg nodes: String): Told =
        client(*nodes).submit(id, description.pack(), 8192, dry = false, 60.seconds)

    private fun accepted(told: Told): Told.Response = assertIs<Told.Response>(told).also {
        assertTrue(it.status in 200..201, "${it.status} ${it.body.names.associateWith { n -> it.body.raw(n) }}")
    }

    private suspend fun SimulatedCluster.shown(): Map<String, Any?> = ask("GET", "/sweeps/$id").second

    private suspend fun SimulatedCluster.ended(limit: Int = 600) = until("sweep ended", limit.seconds) {
        shown()["open"] ==
            0L
    }

    private suspend fun SimulatedCluster.word(point: Int, node: String? = null): String =
        ask("GET", "/work/${id.point(point)}", node = node).second["standing"].toString()

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
                if (n ==
                    17
                ) {
                    "0.5"
                } else if (n ==
                    4711
                ) {
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
    fun `a leader that dies or sleeps with many points done and unrecorded`() {
        for (seed in 1L..4L) {
            swept(seed, runs = 2.0) {
                accepted(submit(Examples.range(1500, ""","at_once":300""")))
                until("many run", 120.seconds) { onMachine.size > 60 }
                repeat(3) {
                    // The block of the points that are done by now is not written: it is lost, late, or its leader's
                    // term is over.
                    fateOf = { _, commit -> if ("/b/" in commit) Fate.Late(15.seconds) else Fate.Answered }
                    delay(4.seconds)
                    val leader = assertNotNull(leader())
                    if (seed % 2 == 0L) crash(leader) else freeze(leader)
                    fateOf = { _, _ -> Fate.Answered }
                    delay(12.seconds)
                    if (seed % 2 == 0L) startNode(leader) else thaw(leader)
                    delay(5.seconds)
                }
                ended()
                val words = (0 until 1500).map { word(it, names[it % 3]) }
                assertEquals(setOf("done"), words.toSet())
                assertEquals(1500L, (shown()["account"] as Map<*, *>)["completed"])
            }
        }
    }

    /**
     * Of each point exactly one of the two is true, on every node and for ever, and what was withdrawn does not run on.
     */
    @Test
    fun `withdrawals of a thousand points one by one while they end`() {
        for (seed in 1L..3L) {
            swept(seed, runs = 1.0) {
                accepted(submit(Examples.range(1000, ""","at_once":400""")))
                val random = Random(seed)
                val told = HashMap<Int, String>()
                until("some run", 120.seconds) { onMachine.size > 20 }
                val machines = onMachine.values.toSet().take(3)
                outside.launch { machines.forEach { machine -> delay(2.seconds).also { platform.kill(machine) } } }
                repeat(150) {
                    val point = random.nextInt(1000)
                    outside.launch {
                        val word = ask("POST", "/work/${id.point(point)}/withdraw").second["standing"] as String
                        assertTrue(
                            told.put(point, word).let {
                                it == null || it == word
                            },
                            "point $point was ${told[point]} and is $word",
                        )
                    }
                    delay(random.nextInt(10, 200).milliseconds)
                }
                ended()
                delay(5.seconds)
                assertTrue(
                    told.values.toSet() == setOf("done", "withdrawn"),
                    "both happen: ${told.values.groupingBy {
                        it
                    }.eachCount()}",
                )
                for ((point, word) in told) {
                    for (node in names) {
                        assertEquals(
                            word,
                            word(point, node),
                            "point $point on $node",
                        )
                    }
                }
                assertEquals(1000L, (shown()["done"] as Long) + (shown()["withdrawn"] as Long))
            }
        }
    }

    /**
     * The cloud takes machines back with a notice: what can save is stopped, commands are outstanding, and then all of
     * it is withdrawn.
     */
    @Test
    fun `withdrawing a half-started sweep during a drain`() = swept(runs = 100.0) {
        val saving = Examples.json(
            """{"grid":{"threshold":"0 .. 0.00599 step 0.00001"}}""",
            ""","at_once":200""",
        ).let { json ->
            JsonObject.of(
                json.names.associateWith {
                    if (it ==
                        "job"
                    ) {
                        (json.raw(it) as Map<*, *>) + mapOf("tallyS" to 5.0, "stowS" to 2.0)
                    } else {
                        json.raw(it)
                    }
                },
            )
        }
        accepted(submit(Description.parse(saving)))
        until("many run", 120.seconds) { onMachine.size > 60 }
        val noticed = platform.workers().values.take(5)
        noticed.forEach { it.notice = 12.seconds }
        delay(1500.milliseconds)
        assertEquals(200 to 0L, ask("POST", "/sweeps/$id/withdraw", emptyMap()).let { it.first to it.second["open"] })
        delay(9.seconds)
        noticed.forEach { platform.cloud.remove(it.id) }
        until("nothing of it is left", 30.seconds) { onMachine.keys.none { it.startsWith("req-wtest-") } }
        assertEquals("withdrawn", word(0))
        delay(20.seconds)
        assertTrue(onMachine.isEmpty())
    }

    /**
     * Machines are lost and rented anew, points are on their way to workers, and the leader changes: within the time
     * for it, nothing is left.
     */
    @Test
    fun `withdrawing a half-started sweep while machines go`() = swept(runs = 100.0) {
        accepted(submit(Examples.range(2000, ""","at_once":300""")))
        until("many run", 120.seconds) { onMachine.size > 60 }
        onMachine.values.toSet().take(4).forEach { platform.kill(it) }
        lateCommands = { if (Random.nextInt(5) == 0) 8.seconds else null }
        val answer = ask("POST", "/sweeps/$id/withdraw", emptyMap())
        assertEquals(200 to 0L, answer.first to answer.second["open"])
        crash(assertNotNull(leader()))
        lateCommands = { null }
        until("nothing of it is left", 41.seconds) { onMachine.keys.none { it.startsWith("req-wtest-") } }
        for (point in listOf(0, 500, 1999)) assertEquals("withdrawn", word(point))
        delay(20.seconds)
        assertTrue(onMachine.isEmpty())
    }

    @Test
    fun `a point that fails everywhere holds back no other and closes no machine`() = swept {
        failing = { task, _ -> task.startsWith("${id.point(3)}/") }
        accepted(submit(Examples.range(200, ""","at_once":50""")))
        until("all others are done", 300.seconds) { shown()["done"] == 199L }
        for (node in names) {
            assertEquals(
                listOf(3L),
                (ask("GET", "/sweeps/$id/points?state=failed", node = node).second["points"] as List<*>).map {
                    (it as Map<*, *>)["point"]
                },
            )
        }
        assertEquals("withdrawn", ask("POST", "/work/${id.point(3)}/withdraw").second["standing"])
        ended()
    }

    @Test
    fun `a sweep does not push others back, and rents for no more than waits`() = swept(runs = 30.0) {
        accepted(submit(Examples.range(5000, ""","at_once":40""")))
        delay(40.seconds)
        assertTrue(onMachine.size in 1..40, "${onMachine.size} at once")
        assertTrue(
            platform.cloud.machines().size <= 8,
            "${platform.cloud.machines().size} machines for 40 points of half an accelerator",
        )
        submit("req-1", "array", 4, 2.0)
        until("another's job is done", 60.seconds) { standing("req-1") == "done" }
    }

    /**
     * Without the feature a node would tell users that their points are unknown, and as leader have them stopped: it
     * says so and ends.
     */
    @Test
    fun `a node without sweeps does not serve while one is recorded`() = swept {
        accepted(submit(Examples.range(50)))
        ended()
        val manifest = assertNotNull(platform.state.value("v/a/sweeps/test/m"))
        val without = FeatureSet(emptyList())
        val entry = Entry("v/a/sweeps/test/m", manifest, Revision(5))
        assertEquals("v/a/sweeps/test/m needs the feature sweeps, which is off here", without.unserved(listOf(entry)))
        assertEquals(null, without.unserved(listOf(Entry(Keys.TERM, JsonObject.of(mapOf("n" to 1)), Revision(5)))))
    }

    /**
     * A node that led before has points in its table: what ended under others must not be started there when it leads
     * again.
     */
    @Test
    fun `leaders that come and go start nothing that has ended`() = swept(runs = 2.0) {
        accepted(submit(Examples.range(400, ""","at_once":100""")))
        until("some are done", 120.seconds) { shown()["done"] as Long > 30 }
        repeat(4) {
            val leader = assertNotNull(leader())
            (names - leader + listOf("state", "cloud", "workers")).forEach { cuts.add(leader to it) }
            delay(10.seconds)
            cuts.clear()
            delay(4.seconds)
        }
        ended()
        val starts = (0 until 400).map { startsOf["${id.point(it)}/0"] ?: 0 }
        assertTrue(
            starts.all {
                it in 1..2
            },
            "points were started again and again: ${starts.groupingBy { it }.eachCount()}",
        )
        delay(30.seconds)
        assertTrue(onMachine.isEmpty() && starts == (0 until 400).map { startsOf["${id.point(it)}/0"] ?: 0 })
    }

    /**
     * A new leader that doesn't know the points yet would take their running tasks for those of ended jobs, and stop
     * them.
     */
    @Test
    fun `a takeover stops no running point`() = swept(runs = 25.0) {
        accepted(submit(Examples.range(60, ""","at_once":60""")))
        until("all run", 120.seconds) { onMachine.size == 60 }
        val leader = assertNotNull(leader())
        crash(leader)
        // The descriptions can't be read at once: until they can, the new term answers reports and judges none.
        platform.state.refuses = { it.path.startsWith("/store/v/sweeps/p/") }
        delay(9.seconds)
        assertEquals(60, onMachine.size)
        platform.state.refuses = { false }
        ended()
        assertTrue((0 until 60).all { startsOf["${id.point(it)}/0"] == 1 }, "a point was started again")
    }

    /** A part that is gone or torn: that sweep waits and says so, everything else goes on, and it can be withdrawn. */
    @Test
    fun `a sweep whose description is broken holds up nobody`() = swept {
        accepted(submit(Examples.range(50)))
        platform.state.overwrite("v/sweeps/p/test/0", mapOf("data" to "AAAA", "at" to 0))
        crash(assertNotNull(leader()))
        submit("req-1", "array", 4, 2.0)
        until("another's job is done", 60.seconds) { standing("req-1") == "done" }
        accepted(client().submit(SweepId("other"), Examples.range(20).pack(), 8192, dry = false, 60.seconds))
        until("another sweep ends", 120.seconds) { ask("GET", "/sweeps/other").second["open"] == 0L }
        assertEquals(200 to 0L, ask("POST", "/sweeps/$id/withdraw", emptyMap()).let { it.first to it.second["open"] })
        assertTrue(word(3) in setOf("done", "withdrawn"))
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
                        if (n ==
                            "job"
                        ) {
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
