package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.features.FeatureFactory
import org.elderhitch.features.Features
import org.elderhitch.http.Address
import org.elderhitch.jobs.ClassRules
import org.elderhitch.jobs.JobId
import org.elderhitch.json.Json
import org.elderhitch.standin.TaskScript
import org.elderhitch.store.Revision
import org.elderhitch.sweeps.Description
import org.elderhitch.sweeps.Manifest
import org.elderhitch.sweeps.SweepClient
import org.elderhitch.sweeps.SweepId
import org.elderhitch.sweeps.SweepState
import org.elderhitch.sweeps.Sweeps
import org.elderhitch.sweeps.SweepsSettings
import org.elderhitch.sweeps.Told
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.WallTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * A sweep of many points beside other users' jobs: submitted, run with a leader's crash, a cut, a frozen leader and
 * lost transactions, partly withdrawn.
 * Each point must reach one final answer, the same on every node, and nothing of a withdrawn one may run on.
 */
internal class SweepLab(private val seed: Long, private val points: Int, private val progress: (String) -> Unit) {
    private val random = Random(seed)
    private val id = SweepId("lab$seed")

    /**
     * Points that are half started when they are withdrawn: a few seconds after the sweep was accepted, and not before.
     */
    private val cancelled =
        minOf(FIRST_WITHDRAWN, points / 2) until minOf(FIRST_WITHDRAWN, points / 2) + maxOf(1, points / 10)
    private val rounds = HashMap<Boolean, MutableList<Long>>()

    /**
     * Of what is withdrawn every other point would never end by itself: that it ends is the withdrawal's doing alone.
     * The others race with it.
     */
    private fun isEndless(point: Int): Boolean = point in cancelled && point % 2 == 0

    /** What the user uploads for the workers, who fetch it. */
    private val description = Description.parse(
        Json.parseObject(
            """{"params":{"threshold":{"type":"number"},"runs":{"type":"number","default":4}},"at_once":400,
            "job":{"lotClass":"score","desk":"team","lotKind":"array","urgency":"normal","crates":1,"cores":4.0,"accelerators":0.5,"memGb":8.0,
            "catchImage":"img-s",
            "pullGb":1.0,"borrowedRigs":true,"haulS":"${'$'}{runs}","tallyS":0.0,"stowS":0.0},
            "points":{"grid":{"threshold":"0 .. ${(points - 1) / DECIMALS} step 0.00001"}}}""".encodeToByteArray(),
        ),
    )

    fun run(): LabResult {
        val time = VirtualTime()
        return time.run {
            val world = world(this, time)
            val rules = rulesOf(world, time)
            val others = Others(world)
            launch { others.run(this) }
            delay(WARM_UP)
            launch { singles(world) }
            singlesDone(world)
            val singleChanges = ofSingles.toDouble() / SINGLES
            sweepOpen = true
            val began = time.clock.now()
            val acceptance = acceptance(world, began)
            others.calmUntil = time.clock.now()
            progress(
                "accepted after ${acceptance.took} with ${acceptance.changes} changes: ${acceptance.accepted}",
            )
            for (n in 0 until points) rules.submitted(id.point(n).text, 200, "queued", began)
            launch { troubles(world) }
            launch { polls(world, rules) }
            cancel(world, rules)
            val ended = ended(world)
            progress("ended after ${time.clock.now() - began}: $ended")
            val (without, two) = answers(world, rules)
            delay(CANCEL)
            rules.tick()
            figures(time, Measured(acceptance, ofSweep, singleChanges, without, two, ended), others, rules)
        }
    }

    /** Whether the sweep was accepted, how long that took, and how many changes of the state. */
    private class Acceptance(val accepted: Boolean, val took: Duration, val changes: Long)

    /** What a run came to, from the sweep's acceptance to the last answers about its points. */
    private class Measured(
        val acceptance: Acceptance,
        val allChanges: Long,
        val singleChanges: Double,
        val without: Int,
        val two: Int,
        val ended: Boolean,
    )

    private var sweepOpen = false

    /** Changes of the state for the sweep, and for the same points as single jobs. */
    private var ofSweep = 0L
    private var ofSingles = 0L

    private fun world(scope: CoroutineScope, time: VirtualTime): SimulatedCluster {
        val world = SimulatedCluster(
            scope,
            time.clock,
            WorldSettings(
                seed,
                requestsPerS = 150.0,
                writesPerS = 25.0,
                mostGpus = 4000.0,
                machinesPerZone = 30,
                features = Features(
                    ClassRules.NONE,
                    listOf(FeatureFactory { Sweeps(SweepsSettings(tablePoints = 400), it) }),
                ),
                onCycle = { looks -> rounds.getOrPut(sweepOpen) { ArrayList() }.add(looks) },
            ),
        )
        world.platform.uploaded =
            { job ->
                SweepId.ofPoint(JobId(job))?.let { (_, point) ->
                    TaskScript("array", if (isEndless(point)) ENDLESS else RUNS, CORES, ACCELERATORS)
                }
            }
        val count = { key: String ->
            if ("sweeps/" in key) ofSweep++
            if ("req-single-" in key) ofSingles++
        }
        world.platform.state.onPut = count
        world.platform.state.onDrop = count
        return world
    }

    /** The rules that the world is held to, which know of every point before it is submitted. */
    private fun rulesOf(world: SimulatedCluster, time: VirtualTime): InvariantChecker {
        val rules = InvariantChecker(time.clock, 41.seconds, world.limits, world::machine)
        world.alsoTold = rules
        for (n in 0 until points) {
            rules.submits(
                JobFacts(id.point(n).text, "team", 1, ACCELERATORS, spotAllowed = true),
            )
        }
        return rules
    }

    private suspend fun acceptance(world: SimulatedCluster, began: MonotonicInstant): Acceptance {
        val accepted = submit(world)
        return Acceptance(accepted, world.clock.now() - began, ofSweep)
    }

    private fun figures(time: VirtualTime, measured: Measured, others: Others, rules: InvariantChecker): LabResult {
        val acceptance = measured.acceptance
        val figures = linkedMapOf<String, Any?>(
            "lab" to "sweep", "seed" to seed, "points" to points,
            "accepted_s" to acceptance.took.inWholeMilliseconds / MS,
            "changes_sweep" to acceptance.changes,
            "changes_sweep_to_its_end" to measured.allChanges,
            "changes_single" to (measured.singleChanges * points).toLong(),
            "others_submit_p99_ms" to others.p99(), "bytes_per_open_point" to bytes(),
            "cycle_looks_with" to rounds[true]?.average()?.toLong(),
            "cycle_looks_without" to rounds[false]?.average()?.toLong(),
            "without_answer" to measured.without, "with_two_answers" to measured.two,
            "ran_after_cancel" to rules.broken.count { it.first == "ran_cancelled" },
            "rules_broken" to rules.broken.size, "ended" to measured.ended, "took_s" to time.nowMs / MS.toLong(),
        )
        rules.broken.take(SHOWN).forEach { progress("rule broken: ${it.first} ${it.second}") }
        val broken = when {
            !acceptance.accepted -> "not accepted"

            !measured.ended -> "not ended"

            else -> listOf("without_answer", "with_two_answers", "ran_after_cancel", "rules_broken").firstOrNull {
                figures[it] !=
                    0
            }
                ?: when {
                    // A single job costs one change to be accepted, and two to end.
                    acceptance.changes * CHEAPER > points && points >= CHEAPER * CHEAPER -> "changes_sweep"

                    acceptance.took > MOST_ACCEPTED -> "accepted_s"

                    others.p99().let { it == null || it > MOST_OTHERS } -> "others_submit_p99_ms"

                    else -> null
                }
        }
        return LabResult(figures, broken)
    }

    /** What the state of the points takes of the heap, without those in the leader's table. */
    private fun bytes(): Double {
        val runtime = Runtime.getRuntime()
        fun used(): Long {
            repeat(4) { System.gc() }
            return runtime.totalMemory() - runtime.freeMemory()
        }
        val before = used()
        val held = List(COPIES) {
            Description.unpack(description.pack()) to
                SweepState(id, Manifest(points, 1, "", "team", "score", WallTime(0), emptyMap()), Revision(1))
        }
        val bytes = (used() - before).toDouble() / COPIES / points
        check(held.size == COPIES)
        return Math.rint(bytes * MS) / MS
    }

    private fun client(world: SimulatedCluster): SweepClient = SweepClient(
        world.names.map {
            Address("$it:80")
        },
        world.network.transport("user"),
        world.clock,
    )

    private suspend fun submit(world: SimulatedCluster): Boolean {
        // The first tries lose their answers: before half of the parts, and after the manifest.
        var lost = 0
        world.fateOf = { _, commit -> if ("sweeps/" in commit && lost++ < 2) Fate.AnswerLost else Fate.Answered }
        val told = client(world).submit(id, description.pack(), VALUE, dry = false, 60.seconds)
        val again = client(world).submit(id, description.pack(), VALUE, dry = false, 60.seconds)
        world.fateOf = { _, _ -> Fate.Answered }
        return told is Told.Response && told.status in OK..CREATED && again is Told.Response && again.status == OK
    }

    /** The same points as single jobs: some of them tell what each costs. */
    private suspend fun singles(world: SimulatedCluster) {
        repeat(SINGLES) { n ->
            val body = ClassArchiveTraining.exampleJob("req-single-$n", "array") + mapOf("crates" to 1, "haulS" to 1.0)
            world.ask("POST", "/work", body)
        }
    }

    private suspend fun singlesDone(world: SimulatedCluster) = world.until("single jobs done", 5.minutes) {
        (0 until SINGLES).all {
            world.platform.state.value("v/z/end/req-single-$it") !=
                null
        }
    }

    private suspend fun troubles(world: SimulatedCluster) {
        // Some blocks are written late, over newer ones if they could be, or their writer never hears of it.
        world.fateOf =
            { _, commit ->
                if ("v/a/sweeps/" in commit && random.nextInt(6) == 0) {
                    (
                        if (random.nextBoolean()) {
                            Fate.AnswerLost
                        } else {
                            Fate.Late(
                                (
                                    3 +
                                        random.nextInt(20)
                                    ).seconds,
                            )
                        }
                        )
                } else {
                    Fate.Answered
                }
            }
        delay((5 + random.nextInt(5)).seconds)
        val leader = world.leader() ?: world.names[0]
        world.crash(leader)
        delay(8.seconds)
        world.startNode(leader)
        delay((5 + random.nextInt(10)).seconds)
        val next = world.leader() ?: world.names[0]
        world.freeze(next)
        delay((3 + random.nextInt(12)).seconds)
        world.thaw(next)
        delay(10.seconds)
        val cut = world.names[random.nextInt(world.names.size)]
        (world.names - cut + listOf("state", "cloud", "workers")).forEach { world.cuts.add(cut to it) }
        delay(10.seconds)
        world.cuts.clear()
        delay(60.seconds)
        world.fateOf = { _, _ -> Fate.Answered }
    }

    /** Users who ask for some point at some node, all the time: what they were told for good must stay. */
    private suspend fun polls(world: SimulatedCluster, rules: InvariantChecker) {
        while (true) {
            val point = random.nextInt(points)
            val asked = world.clock.now()
            val (status, body) = world.ask("GET", "/work/${id.point(point)}", node = world.names.random(random))
            rules.told(id.point(point).text, status, body["standing"] as? String, asked)
            delay(100.milliseconds)
        }
    }

    private suspend fun cancel(world: SimulatedCluster, rules: InvariantChecker) {
        delay(12.seconds)
        cancelled.forEach { rules.asksToWithdraw(id.point(it).text) }
        val told = client(world).ask(
            "POST",
            "/sweeps/$id/withdraw",
            mapOf(
                "from" to cancelled.first,
                "to" to cancelled.last,
            ),
            120.seconds,
        )
        if (told !is Told.Response || told.status != OK) progress("withdrawal not answered")
    }

    private suspend fun ended(world: SimulatedCluster): Boolean {
        val until = world.clock.now() + LIMIT
        while (world.clock.now() < until) {
            val told = client(world).ask("GET", "/sweeps/$id", null, 10.seconds)
            if (told is Told.Response && told.body.raw("open") == 0L) return true
            delay(2.seconds)
        }
        return false
    }

    /** Asks every node for every point; with many points, all of them of one node and a part of the others. */
    private suspend fun answers(world: SimulatedCluster, rules: InvariantChecker): Pair<Int, Int> {
        var without = 0
        var two = 0
        val told = HashMap<Int, String>()
        for ((n, node) in world.names.withIndex()) {
            for (point in 0 until points) {
                if (n > 0 && points > MOST_ASKED && point % (points / MOST_ASKED) != 0) continue
                val asked = world.clock.now()
                val (status, body) = world.ask("GET", "/work/${id.point(point)}", node = node)
                val word = body["standing"] as? String
                rules.told(id.point(point).text, status, word, asked)
                if (word != "done" && word != "withdrawn") without++
                if (word != null && told.getOrPut(point) { word } != word) two++
                if (word == "withdrawn" && point !in cancelled) two++
            }
        }
        progress("done ${told.values.count { it == "done" }}, withdrawn ${told.values.count { it == "withdrawn" }}")
        return without to two
    }

    private companion object {
        const val DECIMALS = 100_000.0
        const val OK = 200
        const val CREATED = 201
        const val VALUE = 8192
        const val CORES = 4.0
        const val ACCELERATORS = 0.5
        const val SINGLES = 40
        const val SHOWN = 10
        const val COPIES = 20
        const val MS = 1000.0
        const val CHEAPER = 100

        const val MOST_OTHERS = 1000L
        const val MOST_ASKED = 20_000
        const val FIRST_WITHDRAWN = 40
        val MOST_ACCEPTED = 5.seconds
        val RUNS = 4.seconds
        val ENDLESS = 100_000.seconds
        val WARM_UP = 20.seconds
        val CANCEL = 45.seconds
        val LIMIT = 120.minutes
    }
}
