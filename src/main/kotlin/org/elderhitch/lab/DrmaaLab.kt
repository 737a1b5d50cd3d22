package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.drmaa.Drmaa
import org.elderhitch.drmaa.DrmaaSettings
import org.elderhitch.drmaa.Networks
import org.elderhitch.drmaa.Tokens
import org.elderhitch.features.FeatureFactory
import org.elderhitch.features.Features
import org.elderhitch.jobs.ClassRules
import org.elderhitch.jobs.JobAccount
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.jobs.TerminalState
import org.elderhitch.store.Keys
import org.elderhitch.store.StoredKey
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the same job mix with the same faults through the native interface and through DRMAA. Both must give the same
 * answers and accounts.
 */
internal class DrmaaLab(private val seed: Long, private val size: Int, private val progress: (String) -> Unit) {
    private val settings = DrmaaSettings(
        Tokens.parse("lab", listOf("lab AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA")),
        Networks.of(Networks.LOOPBACK),
        emptyMap(),
        resultsPerSession = 1_000_000,
    )
    private val waits = ArrayList<Duration>()
    private var reapedTwice = 0
    private var quotaBroken = 0
    private var rulesBroken = 0

    fun run(): LabResult {
        val mix = MixJob.mix(size, Random(seed))
        val (native, nativeChanges) = runMix(mix, drmaa = false)
        val (drmaa, drmaaChanges) = runMix(mix, drmaa = true)
        val pairs = native.zip(drmaa)
        val waited = waits.sorted()
        pairs.zip(mix).filter { (pair, job) ->
            !recordsAgree(job, pair.first.record, pair.second.record)
        }.take(MAX_REPORTED)
            .forEach { (pair, job) ->
                progress(
                    "accounts of job ${job.number} (${job.kind}) differ: " +
                        "${pair.first.record} and ${pair.second.record}",
                )
            }
        val figures = linkedMapOf<String, Any?>(
            "lab" to "drmaa", "seed" to seed, "jobs" to size,
            "answers_differ" to
                pairs.count { (a, b) ->
                    a.answer != b.answer ||
                        a.record?.state != b.record?.state ||
                        a.answer != a.record?.state?.wireName
                },
            "accounts_differ" to
                pairs.zip(mix).count { (pair, job) -> !recordsAgree(job, pair.first.record, pair.second.record) },
            "lost" to (native + drmaa).count { it.answer == null || it.record == null }, "reaped_twice" to reapedTwice,
            "quota_broken" to quotaBroken,
            "rules_broken" to rulesBroken,
            "exact_accounts" to
                pairs.count { (a, b) ->
                    a.record?.account?.isLowerBound == false &&
                        b.record?.account?.isLowerBound == false
                },
            "waits_measured" to waited.size, "wait_p50_ms" to percentileMs(waited, MEDIAN),
            "wait_p99_ms" to percentileMs(waited, P99),
            "state_changes_per_job" to
                mapOf("native" to nativeChanges.toDouble() / size, "drmaa" to drmaaChanges.toDouble() / size),
        )
        val zero = listOf("answers_differ", "accounts_differ", "lost", "reaped_twice", "quota_broken", "rules_broken")
        val failedCheck =
            zero.firstOrNull { figures[it] != 0 }
                ?: if (percentileMs(waited, P99).let { it == null || it > MAX_WAIT_P99_MS }) "wait_p99_ms" else null
        return LabResult(figures, failedCheck)
    }

    private fun percentileMs(sorted: List<Duration>, share: Double): Long? =
        sorted.getOrNull(((sorted.size - 1) * share).toInt())?.inWholeMilliseconds

    /**
     * Whether the terminal records of both runs agree. Usage is only compared for exact accounts: what a takeover
     * misses differs between runs.
     */
    private fun recordsAgree(job: MixJob, a: TerminalRecord?, b: TerminalRecord?): Boolean {
        if (a == null || b == null) return false
        val one = a.account ?: return false
        val two = b.account ?: return false
        if (a.state == TerminalState.DONE && (a.done != b.done || a.done != job.tasks)) return false
        if (one.team != two.team || missesAttempts(one, a) || missesAttempts(two, b)) return false
        val comparable = a.state == TerminalState.DONE && isExact(one) && isExact(two)
        return !comparable || similarUsage(job, one, two)
    }

    /** Whether an account that is not marked as a lower bound has fewer attempts than completed tasks. */
    private fun missesAttempts(account: JobAccount, record: TerminalRecord): Boolean =
        !account.isLowerBound && account.attempts < record.done

    /** Whether the attempts are equal, and the useful times within the resolution of the reports. */
    private fun similarUsage(job: MixJob, one: JobAccount, two: JobAccount): Boolean = one.attempts == two.attempts &&
        Math.abs(one.usefulSeconds - two.usefulSeconds) <= job.tasks * REPORT_SLACK_S

    private fun isExact(account: JobAccount): Boolean = !account.isLowerBound && account.lost == 0L

    private fun runMix(mix: List<MixJob>, drmaa: Boolean): Pair<List<MixOutcome>, Long> {
        val time = VirtualTime()
        return time.run {
            val cluster = SimulatedCluster(
                this,
                time.clock,
                SimulationSettings(seed = seed, features = featuresOf(drmaa), requestsPerS = 300.0, writesPerS = 60.0),
            )
            recordEnds(cluster)
            val runner = if (drmaa) DrmaaRunner(cluster, mix) else NativeRunner(cluster, mix)
            failAsMixed(cluster, mix, runner)
            delay(START_DELAY)
            launch { watchQuota(cluster) }
            launch { injectFaults(cluster) }
            val outcomes = runner.run(this)
            if (drmaa) measureWaits(runner.ids)
            rulesBroken += cluster.violations.size
            cluster.violations.take(MAX_REPORTED).forEach { progress("invariant violated: $it") }
            progress(
                "${if (drmaa) "drmaa" else "native"}: $size jobs in ${time.nowMs / MS_PER_S} simulated seconds, " +
                    "${cluster.platform.state.changes} changes",
            )
            outcomes to cluster.platform.state.changes
        }
    }

    private fun featuresOf(drmaa: Boolean): Features =
        if (drmaa) Features(ClassRules.NONE, listOf(FeatureFactory { Drmaa(settings, it) })) else Features.NONE

    /** Records the time at which each job's terminal record is stored. */
    private fun recordEnds(cluster: SimulatedCluster) {
        cluster.platform.state.onPut =
            { key ->
                (Keys.parse(key) as? StoredKey.TerminalRecord)?.let { endedAt[it.id.text] = cluster.clock.now() }
            }
    }

    /** Makes each task fail as often as the mix defines. */
    private fun failAsMixed(cluster: SimulatedCluster, mix: List<MixJob>, runner: Runner) {
        val failing = mix.filter { it.failures > 0 }.associate { it.number to it.failures }
        cluster.failing =
            { task, _ ->
                val failures = runner.numberOf(task.substringBeforeLast('/'))?.let { failing[it] }
                failures != null && (cluster.startsOf[task] ?: 0) <= failures
            }
    }

    private suspend fun watchQuota(cluster: SimulatedCluster) {
        while (true) {
            val used = cluster.onMachine.size * MixJob.GPUS
            if (used > MOST_GPUS && quotaBroken++ < MAX_REPORTED) {
                progress("quota broken: $used GPUs in use at ${cluster.wallClock.now()}")
            }
            delay(100.milliseconds)
        }
    }

    /** Duration of the submissions. The faults are spread over it, at the same times in both runs. */
    private val span = (size / 6.0).seconds
    private val disturbedPeriods = ArrayList<Pair<MonotonicInstant, MonotonicInstant>>()

    private suspend fun injectFaults(cluster: SimulatedCluster) {
        val random = Random(seed + 1)
        val until = cluster.clock.now() + span
        cluster.transactionOutcome = { _, commit ->
            val draw = if (cluster.clock.now() < until && "v/a/leader" !in commit) random.nextDouble() else 1.0
            if (draw < COMMIT_FAULT_SHARE) {
                TransactionOutcome.AnswerLost
            } else if (draw < COMMIT_FAULT_SHARE * 2) {
                TransactionOutcome.Late(30.seconds)
            } else {
                TransactionOutcome.Answered
            }
        }
        duringSpan(cluster, 0.2) {
            val leader = cluster.leader() ?: cluster.names[0]
            cluster.crash(leader)
            delay(8.seconds)
            cluster.startNode(leader)
        }
        duringSpan(cluster, 0.2) {
            val follower = cluster.names.first { it != cluster.leader() }
            cluster.pauseNode(follower)
            delay(20.seconds)
            cluster.resumeNode(follower)
        }
        duringSpan(cluster, 0.2) {
            cluster.platform.state.down = true
            delay(15.seconds)
            cluster.platform.state.down = false
        }
        duringSpan(cluster, 0.1) {
            // All links of the node are cut at once, and restored at once.
            val cut = cluster.names[random.nextInt(cluster.names.size)]
            val others = cluster.names - cut + listOf("state", "cloud", "workers")
            others.forEach { cluster.cuts.add(cut to it) }
            delay(10.seconds)
            cluster.cuts.clear()
        }
    }

    private suspend fun duringSpan(cluster: SimulatedCluster, after: Double, fault: suspend () -> Unit) {
        delay(span * after)
        val from = cluster.clock.now()
        fault()
        disturbedPeriods.add(from - 2.seconds to cluster.clock.now() + SETTLING_TIME)
    }

    /** Measures the time from the stored end to the client's answer, outside of the disturbed periods. */
    private fun measureWaits(ids: Map<Int, String>) {
        for ((number, at) in answeredAt) {
            val end = endedAt[ids[number]] ?: continue
            if (disturbedPeriods.any { (from, to) -> end in from..to || at in from..to }) continue
            waits.add(at - end)
        }
    }

    private val answeredAt = HashMap<Int, MonotonicInstant>()
    private val endedAt = HashMap<String, MonotonicInstant>()

    private fun SimulatedCluster.terminalRecord(id: String): TerminalRecord? =
        platform.state.value(Keys.terminalRecord(JobId(id)))?.let(TerminalRecord::decode)

    /** Submits the mix through one interface, and reports how each job ended. */
    private abstract inner class Runner(protected val cluster: SimulatedCluster, protected val mix: List<MixJob>) {
        val ids = HashMap<Int, String>()
        private val numbers = HashMap<String, Int>()
        protected val answers = HashMap<Int, String>()

        fun numberOf(id: String): Int? = numbers[id]

        /** Results of jobs whose submission has not been answered yet; the answer may take longer than the job. */
        private val earlyAnswers = HashMap<String, Pair<String, MonotonicInstant>>()

        protected fun accepted(job: MixJob, id: String) {
            ids[job.number] = id
            numbers[id] = job.number
            earlyAnswers.remove(id)?.let { (word, at) -> answered(id, word, at) }
        }

        protected fun answered(id: String, word: String, at: MonotonicInstant) {
            val number = numberOf(id)
            if (number == null) {
                earlyAnswers[id] = word to at
                return
            }
            answeredAt[number] = at
            recordAnswer(number, word)
        }

        protected fun recordAnswer(number: Int, word: String) {
            if (answers.put(number, word) != null) reapedTwice++
        }

        protected abstract suspend fun runJob(scope: CoroutineScope, job: MixJob)

        protected open suspend fun collect(scope: CoroutineScope) = Unit

        suspend fun run(scope: CoroutineScope): List<MixOutcome> {
            val began = cluster.clock.now()
            collect(scope)
            for (job in mix) {
                val wait = began + job.submitAfter - cluster.clock.now()
                if (wait.isPositive()) delay(wait)
                scope.launch { runJob(scope, job) }
            }
            val limit = cluster.clock.now() + RUN_LIMIT
            while (answers.size < mix.size && cluster.clock.now() < limit) delay(1.seconds)
            delay(SETTLING_TIME)
            mix.filter {
                it.number !in answers
            }.take(MAX_REPORTED).forEach {
                progress("no answer for ${ids[it.number]}, job ${it.number} of kind ${it.kind}")
            }
            return mix.map { job ->
                MixOutcome(answers[job.number], ids[job.number]?.let { cluster.terminalRecord(it) })
            }
        }
    }

    private inner class NativeRunner(cluster: SimulatedCluster, mix: List<MixJob>) : Runner(cluster, mix) {
        override suspend fun runJob(scope: CoroutineScope, job: MixJob) {
            val id = "req-${job.number}"
            accepted(job, id)
            val body = ClassArchiveTraining.exampleJob(id, job.kind) + job.needs + mapOf("crates" to job.tasks)
            repeat(if (job.submittedTwice) 2 else 1) {
                check(cluster.ask("POST", "/work", body).first in WireClient.OK..CREATED) { "$id was refused" }
            }
            job.cancelAfter?.let {
                delay(it)
                cluster.ask("POST", "/work/$id/withdraw")
            }
            while (true) {
                delay(POLL)
                val word = cluster.ask("GET", "/work/$id").second["standing"] as? String
                if (word == "done" || word == "withdrawn") return recordAnswer(job.number, word)
            }
        }
    }

    /** Uses [SESSIONS] sessions, each with one submitting client and [WAITERS_PER_SESSION] that wait for any result. */
    private inner class DrmaaRunner(cluster: SimulatedCluster, mix: List<MixJob>) : Runner(cluster, mix) {
        private val submitters = ArrayList<WireClient>()
        private val random = Random(seed + 2)
        private val requests = HashMap<String, String>()

        override suspend fun collect(scope: CoroutineScope) {
            repeat(SESSIONS) { n ->
                val owner = WireClient(cluster, WireClient.grant(settings), "owner00$n", n).open()
                submitters.add(owner)
                repeat(WAITERS_PER_SESSION) { w ->
                    val waiter = WireClient(cluster, owner.contact(), "waiter$n$w", n + w)
                    scope.launch { reapResults(waiter) }
                }
            }
        }

        private suspend fun reapResults(waiter: WireClient) {
            while (answers.size < mix.size) {
                val request = waiter.request()
                val answer = waiter.wait(WireClient.ANY, 60.seconds, request)
                if (answer == null || answer.status != WireClient.OK) {
                    // No job to wait for at the moment.
                    delay(500.milliseconds)
                    continue
                }
                val id = answer.body.string("job").substringBefore('/')
                // Simulates a restarted client that asks again for a lost answer.
                if (random.nextDouble() < LOST_ANSWER_SHARE) {
                    val again = waiter.wait(WireClient.ANY, 60.seconds, request)
                    check(again?.body?.raw("job") == answer.body.raw("job")) {
                        "request $request got ${answer.body.raw("job")}, then ${again?.body?.raw("job")}"
                    }
                }
                if (requests.put(answer.body.string("job"), request) != null) reapedTwice++
                answered(id, if (answer.body.raw("done") == true) "done" else "withdrawn", cluster.clock.now())
            }
        }

        override suspend fun runJob(scope: CoroutineScope, job: MixJob) {
            val client = submitters[job.number % SESSIONS]
            val fields =
                job.needs.entries.joinToString(" ") { "${it.key}=${it.value}" } +
                    if (job.tasks > 1) " crates=${job.tasks}" else ""
            val request = client.request()
            repeat(if (job.submittedTwice) 2 else 1) {
                val answer = client.run(mapOf("command" to "img-1", "native" to fields), request = request)
                check(answer.status == WireClient.OK) { "job ${job.number} was refused: ${answer.body.raw("error")}" }
                accepted(job, answer.body.string("job"))
            }
            job.cancelAfter?.let {
                delay(it)
                client.ask("control", mapOf("job" to ids.getValue(job.number), "action" to "TERMINATE"))
            }
        }
    }

    private companion object {
        const val MS_PER_S = 1000
        const val MAX_REPORTED = 5
        const val CREATED = 201
        const val MOST_GPUS = 40.0
        const val MEDIAN = 0.5
        const val P99 = 0.99
        const val MAX_WAIT_P99_MS = 500L
        const val SESSIONS = 4
        const val WAITERS_PER_SESSION = 3
        const val COMMIT_FAULT_SHARE = 0.003
        const val LOST_ANSWER_SHARE = 0.05

        /**
         * Tolerance of useful times: run times are measured between reports. A report to a paused node times out after
         * 4 s, and is sent to the next node a second later.
         */
        const val REPORT_SLACK_S = 7.0
        val START_DELAY = 3.seconds
        val POLL = 5.seconds
        val SETTLING_TIME = 15.seconds
        val RUN_LIMIT = 1200.seconds
    }
}
