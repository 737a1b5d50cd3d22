package org.elderhitch.sweeps

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.features.FeatureSet
import org.elderhitch.json.JsonObject
import org.elderhitch.lab.TransactionOutcome
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.Revision
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sweeps that run while points are withdrawn or fail, machines are lost and leaders change. */
internal class SweepExecutionTest : SweepScenario() {
    @Test
    fun `a sweep completes although leaders crash or freeze with many completed points unrecorded`() {
        for (seed in 1L..4L) {
            runScenario(seed, taskSeconds = 2.0) {
                expectAccepted(submit(ExampleSweeps.range(1500, ""","at_once":300""")))
                until("many run", 120.seconds) { onMachine.size > 60 }
                repeat(3) {
                    // The blocks of the points that are done by now are not written in time: each write is late, or
                    // comes after the leader's term has ended.
                    transactionOutcome = { _, commit ->
                        if ("/b/" in commit) TransactionOutcome.Late(15.seconds) else TransactionOutcome.Answered
                    }
                    delay(4.seconds)
                    val leader = assertNotNull(leader())
                    if (seed % 2 == 0L) crash(leader) else pauseNode(leader)
                    transactionOutcome = { _, _ -> TransactionOutcome.Answered }
                    delay(12.seconds)
                    if (seed % 2 == 0L) startNode(leader) else resumeNode(leader)
                    delay(5.seconds)
                }
                awaitEnd()
                val jobStatuses = (0 until 1500).map { jobStatus(it, names[it % 3]) }
                assertEquals(setOf("done"), jobStatuses.toSet())
                assertEquals(1500L, (details()["account"] as Map<*, *>)["completed"])
            }
        }
    }

    /**
     * When points are withdrawn while they complete, each must end as exactly one of done and withdrawn, the same on
     * every node and unchanged later, and withdrawn points must not run on.
     */
    @Test
    fun `points withdrawn one by one while the sweep completes end in one way on all nodes`() {
        for (seed in 1L..3L) {
            runScenario(seed, taskSeconds = 1.0) {
                expectAccepted(submit(ExampleSweeps.range(1000, ""","at_once":400""")))
                val random = Random(seed)
                val statusByPoint = HashMap<Int, String>()
                until("some run", 120.seconds) { onMachine.size > 20 }
                val machines = onMachine.values.toSet().take(3)
                simulationScope.launch {
                    machines.forEach { machine -> delay(2.seconds).also { platform.kill(machine) } }
                }
                repeat(150) {
                    val point = random.nextInt(1000)
                    simulationScope.launch {
                        val jobStatus = ask("POST", "/work/${id.point(point)}/withdraw").second["standing"] as String
                        assertTrue(
                            statusByPoint.put(point, jobStatus).let {
                                it == null || it == jobStatus
                            },
                            "point $point was ${statusByPoint[point]} and is $jobStatus",
                        )
                    }
                    delay(random.nextInt(10, 200).milliseconds)
                }
                awaitEnd()
                delay(5.seconds)
                assertTrue(
                    statusByPoint.values.toSet() == setOf("done", "withdrawn"),
                    "expected both ends: ${statusByPoint.values.groupingBy {
                        it
                    }.eachCount()}",
                )
                for ((point, jobStatus) in statusByPoint) {
                    for (node in names) {
                        assertEquals(
                            jobStatus,
                            jobStatus(point, node),
                            "point $point on $node",
                        )
                    }
                }
                assertEquals(1000L, (details()["done"] as Long) + (details()["withdrawn"] as Long))
            }
        }
    }

    /**
     * The cloud reclaims spot machines with a notice: tasks that can save their state are stopped, and the sweep is
     * withdrawn while these commands are outstanding.
     */
    @Test
    fun `withdrawing a partly started sweep while machines are drained`() = runScenario(taskSeconds = 100.0) {
        val checkpointing = ExampleSweeps.json(
            """{"grid":{"threshold":"0 .. 0.00599 step 0.00001"}}""",
            ""","at_once":200""",
        ).let { json ->
            JsonObject.of(
                json.names.associateWith {
                    if (it == "job") {
                        (json.raw(it) as Map<*, *>) + mapOf("tallyS" to 5.0, "stowS" to 2.0)
                    } else {
                        json.raw(it)
                    }
                },
            )
        }
        expectAccepted(submit(Description.parse(checkpointing)))
        until("many run", 120.seconds) { onMachine.size > 60 }
        val noticed = platform.workers().values.take(5)
        noticed.forEach { it.notice = 12.seconds }
        delay(1500.milliseconds)
        assertEquals(200 to 0L, ask("POST", "/sweeps/$id/withdraw", emptyMap()).let { it.first to it.second["open"] })
        delay(9.seconds)
        noticed.forEach { platform.cloud.remove(it.id) }
        until("no task of the sweep is left", 30.seconds) { onMachine.keys.none { it.startsWith("req-wtest-") } }
        assertEquals("withdrawn", jobStatus(0))
        delay(20.seconds)
        assertTrue(onMachine.isEmpty())
    }

    /**
     * The sweep is withdrawn while machines are lost and replaced, commands to workers are late and the leader changes:
     * within the time limit no task of it may be left.
     */
    @Test
    fun `withdrawing a partly started sweep while machines are lost and the leader changes`() =
        runScenario(taskSeconds = 100.0) {
            expectAccepted(submit(ExampleSweeps.range(2000, ""","at_once":300""")))
            until("many run", 120.seconds) { onMachine.size > 60 }
            onMachine.values.toSet().take(4).forEach { platform.kill(it) }
            lateCommands = { if (Random.nextInt(5) == 0) 8.seconds else null }
            val answer = ask("POST", "/sweeps/$id/withdraw", emptyMap())
            assertEquals(200 to 0L, answer.first to answer.second["open"])
            crash(assertNotNull(leader()))
            lateCommands = { null }
            until("no task of the sweep is left", 41.seconds) { onMachine.keys.none { it.startsWith("req-wtest-") } }
            for (point in listOf(0, 500, 1999)) assertEquals("withdrawn", jobStatus(point))
            delay(20.seconds)
            assertTrue(onMachine.isEmpty())
        }

    @Test
    fun `a point that fails on every machine delays no other point and closes no machine`() = runScenario {
        failing = { task, _ -> task.startsWith("${id.point(3)}/") }
        expectAccepted(submit(ExampleSweeps.range(200, ""","at_once":50""")))
        until("all others are done", 300.seconds) { details()["done"] == 199L }
        for (node in names) {
            assertEquals(
                listOf(3L),
                (ask("GET", "/sweeps/$id/points?state=failed", node = node).second["points"] as List<*>).map {
                    (it as Map<*, *>)["point"]
                },
            )
        }
        assertEquals("withdrawn", ask("POST", "/work/${id.point(3)}/withdraw").second["standing"])
        awaitEnd()
    }

    @Test
    fun `a sweep does not delay other jobs, and machines are provisioned only for its waiting points`() =
        runScenario(taskSeconds = 30.0) {
            expectAccepted(submit(ExampleSweeps.range(5000, ""","at_once":40""")))
            delay(40.seconds)
            assertTrue(onMachine.size in 1..40, "${onMachine.size} at once")
            assertTrue(
                platform.cloud.machines().size <= 8,
                "${platform.cloud.machines().size} machines for 40 points of half an accelerator",
            )
            submit("req-1", "array", 4, 2.0)
            until("the other user's job is done", 60.seconds) { jobState("req-1") == "done" }
        }

    /**
     * Without the feature a node would answer that recorded points are unknown, and as leader it would stop their
     * tasks. So it must refuse to serve, and name the missing feature.
     */
    @Test
    fun `a node with the feature off does not serve while a sweep is recorded`() = runScenario {
        expectAccepted(submit(ExampleSweeps.range(50)))
        awaitEnd()
        val manifest = assertNotNull(platform.state.value("v/a/sweeps/test/m"))
        val without = FeatureSet(emptyList())
        val entry = Entry("v/a/sweeps/test/m", manifest, Revision(5))
        assertEquals(
            "v/a/sweeps/test/m needs the feature sweeps, which is off here",
            without.unmetRequirement(listOf(entry)),
        )
        assertEquals(
            null,
            without.unmetRequirement(listOf(Entry(Keys.TERM, JsonObject.of(mapOf("n" to 1)), Revision(5)))),
        )
    }

    /**
     * A node that has led before still has points in its job table. Those that ended under other leaders must not be
     * started again when it leads again.
     */
    @Test
    fun `leaders that alternate do not start points that have ended`() = runScenario(taskSeconds = 2.0) {
        expectAccepted(submit(ExampleSweeps.range(400, ""","at_once":100""")))
        until("some are done", 120.seconds) { details()["done"] as Long > 30 }
        repeat(4) {
            val leader = assertNotNull(leader())
            (names - leader + listOf("state", "cloud", "workers")).forEach { cuts.add(leader to it) }
            delay(10.seconds)
            cuts.clear()
            delay(4.seconds)
        }
        awaitEnd()
        val starts = (0 until 400).map { startsOf["${id.point(it)}/0"] ?: 0 }
        assertTrue(
            starts.all {
                it in 1..2
            },
            "points were started more than twice: ${starts.groupingBy { it }.eachCount()}",
        )
        delay(30.seconds)
        assertTrue(onMachine.isEmpty() && starts == (0 until 400).map { startsOf["${id.point(it)}/0"] ?: 0 })
    }

    /**
     * A new leader that has not loaded the points yet would take their running tasks for those of ended jobs, and stop
     * them.
     */
    @Test
    fun `a takeover stops no running point`() = runScenario(taskSeconds = 25.0) {
        expectAccepted(submit(ExampleSweeps.range(60, ""","at_once":60""")))
        until("all run", 120.seconds) { onMachine.size == 60 }
        val leader = assertNotNull(leader())
        crash(leader)
        // The descriptions can't be read at first. Until they can, the new leader must not act on workers' reports.
        platform.state.refuses = { it.path.startsWith("/store/v/sweeps/p/") }
        delay(9.seconds)
        assertEquals(60, onMachine.size)
        platform.state.refuses = { false }
        awaitEnd()
        assertTrue((0 until 60).all { startsOf["${id.point(it)}/0"] == 1 }, "a point was started again")
    }

    /** If a stored part is missing or corrupt, only that sweep waits, and it can still be withdrawn. */
    @Test
    fun `a sweep with a broken description delays no other sweep or job`() = runScenario {
        expectAccepted(submit(ExampleSweeps.range(50)))
        platform.state.overwrite("v/sweeps/p/test/0", mapOf("data" to "AAAA", "at" to 0))
        crash(assertNotNull(leader()))
        submit("req-1", "array", 4, 2.0)
        until("the other user's job is done", 60.seconds) { jobState("req-1") == "done" }
        expectAccepted(client().submit(SweepId("other"), ExampleSweeps.range(20).pack(), 8192, dry = false, 60.seconds))
        until("another sweep ends", 120.seconds) { ask("GET", "/sweeps/other").second["open"] == 0L }
        assertEquals(200 to 0L, ask("POST", "/sweeps/$id/withdraw", emptyMap()).let { it.first to it.second["open"] })
        assertTrue(jobStatus(3) in setOf("done", "withdrawn"))
    }
}
