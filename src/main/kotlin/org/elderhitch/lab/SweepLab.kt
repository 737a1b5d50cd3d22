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
 * Runs a sweep of many points beside the jobs of other users, with a crash and a pause of the leader, a partition, lost
 * transactions and a partial withdrawal. Each point must reach one final state, the same on every node, and no task of
 * a withdrawn point may continue to run.
 */
internal class SweepLab(private val seed: Long, private val points: Int, private val progress: (String) -> Unit) {
    private val random = Random(seed)
    private val id = SweepId("lab$seed")

    /** The points to withdraw. About half of them have started by then, a few seconds after the sweep was accepted. */
    private val withdrawnPoints =
        minOf(FIRST_WITHDRAWN_POINT, points / 2) until minOf(FIRST_WITHDRAWN_POINT, points / 2) + maxOf(1, points / 10)
    private val looksBySweepOpen = HashMap<Boolean, MutableList<Long>>()

    /**
     * Whether a point runs without end. Every other withdrawn point does, so that only the withdrawal can end it; for
     * the others, completion and withdrawal race.
     */
    private fun isEndless(point: Int): Boolean = point in withdrawnPoints && point % 2 == 0

    /** The sweep description that the user uploads. */
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
            val cluster = cluster(this, time)
            val rules = checkerFor(cluster, time)
            val otherUsers = BackgroundUsers(cluster)
            launch { otherUsers.run(this) }
            delay(WARM_UP)
            launch { submitSingleJobs(cluster) }
            awaitSingleJobs(cluster)
            val singleChanges = singleJobChanges.toDouble() / SINGLE_JOBS
            sweepOpen = true
            val began = time.clock.now()
            otherUsers.measuredFrom = began
            val acceptance = acceptance(cluster, began)
            otherUsers.measuredUntil = time.clock.now()
            progress(
                "accepted after ${acceptance.took} with ${acceptance.changes} changes: ${acceptance.accepted}",
            )
            for (n in 0 until points) rules.recordSubmissionResponse(id.point(n).text, 200, "queued", began)
            launch { injectFaults(cluster) }
            launch { pollAtRandom(cluster, rules) }
            withdrawPoints(cluster, rules)
            val hasEnded = awaitEnd(cluster)
            progress("ended after ${time.clock.now() - began}: $hasEnded")
            val (unanswered, contradictory) = pollAll(cluster, rules)
            delay(CANCEL_TIME)
            rules.tick()
            figures(
                time,
                Measurements(acceptance, sweepChanges, singleChanges, unanswered, contradictory, hasEnded),
                otherUsers,
                rules,
            )
        }
    }

    /** Whether the sweep was accepted, after which time, and with how many changes in the state service. */
    private class Acceptance(val accepted: Boolean, val took: Duration, val changes: Long)

    /** The measurements of a run, from the sweep's acceptance to the final answers about its points. */
    private class Measurements(
        val acceptance: Acceptance,
        val allChanges: Long,
        val singleChanges: Double,
        val unanswered: Int,
        val contradictory: Int,
        val hasEnded: Boolean,
    )

    private var sweepOpen = false

    /** Changes in the state service for the sweep, and for a sample of its points as single jobs. */
    private var sweepChanges = 0L
    private var singleJobChanges = 0L

    private fun cluster(scope: CoroutineScope, time: VirtualTime): SimulatedCluster {
        val cluster = SimulatedCluster(
            scope,
            time.clock,
            SimulationSettings(
                seed,
                requestsPerS = 150.0,
                writesPerS = 25.0,
                maxGpus = 4000.0,
                machinesPerZone = 30,
                features = Features(
                    ClassRules.NONE,
                    listOf(FeatureFactory { Sweeps(SweepsSettings(tablePoints = 400), it) }),
                ),
                onCycle = { machineVisits -> looksBySweepOpen.getOrPut(sweepOpen) { ArrayList() }.add(machineVisits) },
            ),
        )
        cluster.platform.uploaded =
            { job ->
                SweepId.ofPoint(JobId(job))?.let { (_, point) ->
                    TaskScript("array", if (isEndless(point)) ENDLESS_RUN_TIME else POINT_RUN_TIME, CORES, ACCELERATORS)
                }
            }
        val count = { key: String ->
            if ("sweeps/" in key) sweepChanges++
            if ("req-single-" in key) singleJobChanges++
        }
        cluster.platform.state.onPut = count
        cluster.platform.state.onDrop = count
        return cluster
    }

    /** The invariant checker, with every point of the sweep registered. */
    private fun checkerFor(cluster: SimulatedCluster, time: VirtualTime): InvariantChecker {
        val rules = InvariantChecker(time.clock, 41.seconds, cluster.limits, cluster::machine)
        cluster.taskObserver = rules
        for (n in 0 until points) {
            rules.recordSubmission(
                JobFacts(id.point(n).text, "team", 1, ACCELERATORS, spotAllowed = true),
            )
        }
        return rules
    }

    private suspend fun acceptance(cluster: SimulatedCluster, began: MonotonicInstant): Acceptance {
        val accepted = submit(cluster)
        return Acceptance(accepted, cluster.clock.now() - began, sweepChanges)
    }

    private fun figures(
        time: VirtualTime,
        measured: Measurements,
        otherUsers: BackgroundUsers,
        rules: InvariantChecker,
    ): LabResult {
        val acceptance = measured.acceptance
        val figures = linkedMapOf<String, Any?>(
            "lab" to "sweep", "seed" to seed, "points" to points,
            "accepted_s" to acceptance.took.inWholeMilliseconds / MS_PER_S,
            "changes_sweep" to acceptance.changes,
            "changes_sweep_to_its_end" to measured.allChanges,
            "changes_single" to (measured.singleChanges * points).toLong(),
            "others_submit_p99_ms" to otherUsers.p99(), "bytes_per_open_point" to bytesPerPoint(),
            "cycle_looks_with" to looksBySweepOpen[true]?.average()?.toLong(),
            "cycle_looks_without" to looksBySweepOpen[false]?.average()?.toLong(),
            "without_answer" to measured.unanswered, "with_two_answers" to measured.contradictory,
            "ran_after_cancel" to rules.violations.count { it.first == "ran_cancelled" },
            "rules_broken" to rules.violations.size, "ended" to measured.hasEnded,
            "took_s" to time.nowMs / MS_PER_S.toLong(),
        )
        rules.violations.take(MAX_REPORTED_VIOLATIONS).forEach {
            progress("invariant violated: ${it.first} ${it.second}")
        }
        val failedCheck = when {
            !acceptance.accepted -> "not accepted"

            !measured.hasEnded -> "not ended"

            else -> listOf("without_answer", "with_two_answers", "ran_after_cancel", "rules_broken").firstOrNull {
                figures[it] !=
                    0
            }
                ?: when {
                    // A single job takes one change to be accepted, and two to end.
                    acceptance.changes * MIN_SAVING > points && points >= MIN_SAVING * MIN_SAVING -> "changes_sweep"

                    acceptance.took > MAX_ACCEPTANCE_TIME -> "accepted_s"

                    otherUsers.p99().let { it == null || it > MAX_OTHERS_P99_MS } -> "others_submit_p99_ms"

                    else -> null
                }
        }
        return LabResult(figures, failedCheck)
    }

    /** Heap bytes per point of the sweep's state, without the entries of the leader's table. */
    private fun bytesPerPoint(): Double {
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
        val bytesPerPoint = (used() - before).toDouble() / COPIES / points
        check(held.size == COPIES)
        return Math.rint(bytesPerPoint * MS_PER_S) / MS_PER_S
    }

    private fun client(cluster: SimulatedCluster): SweepClient = SweepClient(
        cluster.names.map {
            Address("$it:80")
        },
        cluster.network.transport("user"),
        cluster.clock,
    )

    private suspend fun submit(cluster: SimulatedCluster): Boolean {
        // The answers of the first two transactions are lost, so that the client has to retry.
        var lost = 0
        cluster.transactionOutcome = { _, commit ->
            if ("sweeps/" in commit && lost++ < 2) TransactionOutcome.AnswerLost else TransactionOutcome.Answered
        }
        val told = client(cluster).submit(id, description.pack(), VALUE_BYTES, dry = false, 60.seconds)
        val again = client(cluster).submit(id, description.pack(), VALUE_BYTES, dry = false, 60.seconds)
        cluster.transactionOutcome = { _, _ -> TransactionOutcome.Answered }
        return told is Told.Response && told.status in OK..CREATED && again is Told.Response && again.status == OK
    }

    /** Submits some points as single jobs, to measure the changes per job. */
    private suspend fun submitSingleJobs(cluster: SimulatedCluster) {
        repeat(SINGLE_JOBS) { n ->
            val body = ClassArchiveTraining.exampleJob("req-single-$n", "array") + mapOf("crates" to 1, "haulS" to 1.0)
            cluster.ask("POST", "/work", body)
        }
    }

    private suspend fun awaitSingleJobs(cluster: SimulatedCluster) = cluster.until("single jobs done", 5.minutes) {
        (0 until SINGLE_JOBS).all {
            cluster.platform.state.value("v/z/end/req-single-$it") !=
                null
        }
    }

    private suspend fun injectFaults(cluster: SimulatedCluster) {
        // Some block writes are late, and must not overwrite newer ones, or their answers are lost.
        cluster.transactionOutcome =
            { _, commit ->
                if ("v/a/sweeps/" in commit && random.nextInt(6) == 0) {
                    (
                        if (random.nextBoolean()) {
                            TransactionOutcome.AnswerLost
                        } else {
                            TransactionOutcome.Late(
                                (
                                    3 +
                                        random.nextInt(20)
                                    ).seconds,
                            )
                        }
                        )
                } else {
                    TransactionOutcome.Answered
                }
            }
        delay((5 + random.nextInt(5)).seconds)
        val leader = cluster.leader() ?: cluster.names[0]
        cluster.crash(leader)
        delay(8.seconds)
        cluster.startNode(leader)
        delay((5 + random.nextInt(10)).seconds)
        val next = cluster.leader() ?: cluster.names[0]
        cluster.pauseNode(next)
        delay((3 + random.nextInt(12)).seconds)
        cluster.resumeNode(next)
        delay(10.seconds)
        val cut = cluster.names[random.nextInt(cluster.names.size)]
        (cluster.names - cut + listOf("state", "cloud", "workers")).forEach { cluster.cuts.add(cut to it) }
        delay(10.seconds)
        cluster.cuts.clear()
        delay(60.seconds)
        cluster.transactionOutcome = { _, _ -> TransactionOutcome.Answered }
    }

    /** Polls random points at random nodes. The checker fails a final state that changes. */
    private suspend fun pollAtRandom(cluster: SimulatedCluster, rules: InvariantChecker) {
        while (true) {
            val point = random.nextInt(points)
            val asked = cluster.clock.now()
            val (status, body) = cluster.ask("GET", "/work/${id.point(point)}", node = cluster.names.random(random))
            rules.recordResponse(id.point(point).text, status, body["standing"] as? String, asked)
            delay(100.milliseconds)
        }
    }

    private suspend fun withdrawPoints(cluster: SimulatedCluster, rules: InvariantChecker) {
        delay(12.seconds)
        withdrawnPoints.forEach { rules.recordCancellationRequest(id.point(it).text) }
        val told = client(cluster).ask(
            "POST",
            "/sweeps/$id/withdraw",
            mapOf(
                "from" to withdrawnPoints.first,
                "to" to withdrawnPoints.last,
            ),
            120.seconds,
        )
        if (told !is Told.Response || told.status != OK) progress("the withdrawal was not confirmed")
    }

    private suspend fun awaitEnd(cluster: SimulatedCluster): Boolean {
        val until = cluster.clock.now() + RUN_LIMIT
        while (cluster.clock.now() < until) {
            val told = client(cluster).ask("GET", "/sweeps/$id", null, 10.seconds)
            if (told is Told.Response && told.body.raw("open") == 0L) return true
            delay(2.seconds)
        }
        return false
    }

    /** Polls every point at one node, and at the other nodes too; with many points only a sample there. */
    private suspend fun pollAll(cluster: SimulatedCluster, rules: InvariantChecker): Pair<Int, Int> {
        var unanswered = 0
        var contradictory = 0
        val told = HashMap<Int, String>()
        for ((n, node) in cluster.names.withIndex()) {
            for (point in 0 until points) {
                if (n > 0 && points > FULLY_POLLED_POINTS && point % (points / FULLY_POLLED_POINTS) != 0) continue
                val asked = cluster.clock.now()
                val (status, body) = cluster.ask("GET", "/work/${id.point(point)}", node = node)
                val word = body["standing"] as? String
                rules.recordResponse(id.point(point).text, status, word, asked)
                if (word != "done" && word != "withdrawn") unanswered++
                if (word != null && told.getOrPut(point) { word } != word) contradictory++
                if (word == "withdrawn" && point !in withdrawnPoints) contradictory++
            }
        }
        progress("done ${told.values.count { it == "done" }}, withdrawn ${told.values.count { it == "withdrawn" }}")
        return unanswered to contradictory
    }

    private companion object {
        const val DECIMALS = 100_000.0
        const val OK = 200
        const val CREATED = 201
        const val VALUE_BYTES = 8192
        const val CORES = 4.0
        const val ACCELERATORS = 0.5
        const val SINGLE_JOBS = 40
        const val MAX_REPORTED_VIOLATIONS = 10
        const val COPIES = 20
        const val MS_PER_S = 1000.0
        const val MIN_SAVING = 100

        const val MAX_OTHERS_P99_MS = 1000L
        const val FULLY_POLLED_POINTS = 20_000
        const val FIRST_WITHDRAWN_POINT = 40
        val MAX_ACCEPTANCE_TIME = 5.seconds
        val POINT_RUN_TIME = 4.seconds
        val ENDLESS_RUN_TIME = 100_000.seconds
        val WARM_UP = 20.seconds
        val CANCEL_TIME = 45.seconds
        val RUN_LIMIT = 120.minutes
    }
}
