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

/** The same mix with the same troubles, natively and through DRMAA: both must give the same answers and accounts. */
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
        val (native, nativeChanges) = path(mix, drmaa = false)
        val (drmaa, drmaaChanges) = path(mix, drmaa = true)
        val pairs = native.zip(drmaa)
        val waited = waits.sorted()
        pairs.zip(mix).filter { (pair, job) -> !alike(job, pair.first.record, pair.second.record) }.take(SHOWN)
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
                    a.told != b.told ||
                        a.record?.state != b.record?.state ||
                        a.told != a.record?.state?.wireName
                },
            "accounts_differ" to
                pairs.zip(mix).count { (pair, job) -> !alike(job, pair.first.record, pair.second.record) },
            "lost" to (native + drmaa).count { it.told == null || it.record == null }, "reaped_twice" to reapedTwice,
            "quota_broken" to quotaBroken,
            "rules_broken" to rulesBroken,
            "exact_accounts" to
                pairs.count { (a, b) ->
                    a.record?.account?.lowerBound == false &&
                        b.record?.account?.lowerBound == false
                },
            "waits_measured" to waited.size, "wait_p50_ms" to at(waited, HALF), "wait_p99_ms" to at(waited, MOST),
            "state_changes_per_job" to
                mapOf("native" to nativeChanges.toDouble() / size, "drmaa" to drmaaChanges.toDouble() / size),
        )
        val zero = listOf("answers_differ", "accounts_differ", "lost", "reaped_twice", "quota_broken", "rules_broken")
        val broken =
            zero.firstOrNull { figures[it] != 0 }
                ?: if (at(waited, MOST).let { it == null || it > MOST_WAIT_MS }) "wait_p99_ms" else null
        return LabResult(figures, broken)
    }

    private fun at(sorted: List<Duration>, share: Double): Long? =
        sorted.getOrNull(((sorted.size - 1) * share).toInt())?.inWholeMilliseconds

    /** Lower bounds are compared as such: what a takeover did not see is not the same in two runs. */
    private fun alike(job: MixJob, a: TerminalRecord?, b: TerminalRecord?): Boolean {
        if (a == null || b == null) return false
        val one = a.account ?: return false
        val two = b.account ?: return false
        if (a.state == TerminalState.DONE && (a.done != b.done || a.done != job.tasks)) return false
        if (one.team != two.team || missesStarts(one, a) || missesStarts(two, b)) return false
        val comparable = a.state == TerminalState.DONE && exact(one) && exact(two)
        return !comparable || sameUse(job, one, two)
    }

    /** An account that claims to be whole, with fewer starts than tasks that completed. */
    private fun missesStarts(account: JobAccount, record: TerminalRecord): Boolean =
        !account.lowerBound && account.attempts < record.done

    /** As many starts, and the same useful time but for what reports may miss. */
    private fun sameUse(job: MixJob, one: JobAccount, two: JobAccount): Boolean = one.attempts == two.attempts &&
        Math.abs(one.usefulSeconds - two.usefulSeconds) <= job.tasks * REPORT_SLACK_S

    private fun exact(account: JobAccount): Boolean = !account.lowerBound && account.lost == 0L

    private fun path(mix: List<MixJob>, drmaa: Boolean): Pair<List<MixOutcome>, Long> {
        val time = VirtualTime()
        return time.run {
            val world =
                SimulatedCluster(
                    this,
                    time.clock,
                    WorldSettings(seed = seed, features = featuresOf(drmaa), requestsPerS = 300.0, writesPerS = 60.0),
                )
            recordEnds(world)
            val runner = if (drmaa) DrmaaRunner(world, mix) else NativeRunner(world, mix)
            failAsMixed(world, mix, runner)
            delay(SETTLE)
            launch { watchQuota(world) }
            launch { troubles(world) }
            val outcomes = runner.run(this)
            if (drmaa) checkTimes(runner.ids)
            rulesBroken += world.broken.size
            world.broken.take(SHOWN).forEach { progress("rule broken: $it") }
            progress(
                "${if (drmaa) "drmaa" else "native"}: $size jobs in ${time.nowMs / MS} simulated seconds, " +
                    "${world.platform.state.changes} changes",
            )
            outcomes to world.platform.state.changes
        }
    }

    private fun featuresOf(drmaa: Boolean): Features =
        if (drmaa) Features(ClassRules.NONE, listOf(FeatureFactory { Drmaa(settings, it) })) else Features.NONE

    /** Notes when each job's end is recorded. */
    private fun recordEnds(world: SimulatedCluster) {
        world.platform.state.onPut =
            { key ->
                (Keys.parse(key) as? StoredKey.TerminalRecord)?.let { endedAt[it.id.text] = world.clock.now() }
            }
    }

    /** Each task of a job fails as often as the mix says. */
    private fun failAsMixed(world: SimulatedCluster, mix: List<MixJob>, runner: Runner) {
        val failing = mix.filter { it.failures > 0 }.associate { it.number to it.failures }
        world.failing =
            { task, _ ->
                val failures = runner.numberOf(task.substringBeforeLast('/'))?.let { failing[it] }
                failures != null && (world.startsOf[task] ?: 0) <= failures
            }
    }

    private suspend fun watchQuota(world: SimulatedCluster) {
        while (true) {
            val used = world.onMachine.size * MixJob.GPUS
            if (used > MOST_GPUS && quotaBroken++ < SHOWN) {
                progress("quota broken: $used GPUs in use at ${world.wallClock.now()}")
            }
            delay(100.milliseconds)
        }
    }

    /** Each comes at its part of the time that the submissions take, the same in both paths. */
    private val span = (size / 6.0).seconds
    private val quiet = ArrayList<Pair<MonotonicInstant, MonotonicInstant>>()

    private suspend fun troubles(world: SimulatedCluster) {
        val random = Random(seed + 1)
        val until = world.clock.now() + span
        world.fateOf = { _, commit ->
            val draw = if (world.clock.now() < until && "v/a/leader" !in commit) random.nextDouble() else 1.0
            if (draw < ASTRAY) {
                Fate.AnswerLost
            } else if (draw < ASTRAY * 2) {
                Fate.Late(30.seconds)
            } else {
                Fate.Answered
            }
        }
        during(world, 0.2) {
            val leader = world.leader() ?: world.names[0]
            world.crash(leader)
            delay(8.seconds)
            world.startNode(leader)
        }
        during(world, 0.2) {
            val follower = world.names.first { it != world.leader() }
            world.freeze(follower)
            delay(20.seconds)
            world.thaw(follower)
        }
        during(world, 0.2) {
            world.platform.state.down = true
            delay(15.seconds)
            world.platform.state.down = false
        }
        during(world, 0.1) {
            // All of its links at once, and then as it was.
            val cut = world.names[random.nextInt(world.names.size)]
            val others = world.names - cut + listOf("state", "cloud", "workers")
            others.forEach { world.cuts.add(cut to it) }
            delay(10.seconds)
            world.cuts.clear()
        }
    }

    private suspend fun during(world: SimulatedCluster, after: Double, trouble: suspend () -> Unit) {
        delay(span * after)
        val from = world.clock.now()
        trouble()
        quiet.add(from - 2.seconds to world.clock.now() + AFTERMATH)
    }

    /** From the recorded end to the answer in the client's hands, where the nodes were up. */
    private fun checkTimes(ids: Map<Int, String>) {
        for ((number, at) in answeredAt) {
            val end = endedAt[ids[number]] ?: continue
            if (quiet.any { (from, to) -> end in from..to || at in from..to }) continue
            waits.add(at - end)
        }
    }

    private val answeredAt = HashMap<Int, MonotonicInstant>()
    private val endedAt = HashMap<String, MonotonicInstant>()

    private fun SimulatedCluster.ending(id: String): TerminalRecord? =
        platform.state.value(Keys.terminalRecord(JobId(id)))?.let(TerminalRecord::decode)

    /** Submits the mix by one path, and says how each job ended. */
    private abstract inner class Runner(protected val world: SimulatedCluster, protected val mix: List<MixJob>) {
        val ids = HashMap<Int, String>()
        private val numbers = HashMap<String, Int>()
        protected val told = HashMap<Int, String>()

        fun numberOf(id: String): Int? = numbers[id]

        /** Answers about jobs whose submission has not been answered yet: that may take longer than the job itself. */
        private val early = HashMap<String, Pair<String, MonotonicInstant>>()

        protected fun accepted(job: MixJob, id: String) {
            ids[job.number] = id
            numbers[id] = job.number
            early.remove(id)?.let { (word, at) -> answered(id, word, at) }
        }

        protected fun answered(id: String, word: String, at: MonotonicInstant) {
            val number = numberOf(id)
            if (number == null) {
                early[id] = word to at
                return
            }
            answeredAt[number] = at
            tell(number, word)
        }

        protected fun tell(number: Int, word: String) {
            if (told.put(number, word) != null) reapedTwice++
        }

        protected abstract suspend fun serve(scope: CoroutineScope, job: MixJob)

        protected open suspend fun collect(scope: CoroutineScope) = Unit

        suspend fun run(scope: CoroutineScope): List<MixOutcome> {
            val began = world.clock.now()
            collect(scope)
            for (job in mix) {
                val wait = began + job.submitAfter - world.clock.now()
                if (wait.isPositive()) delay(wait)
                scope.launch { serve(scope, job) }
            }
            val limit = world.clock.now() + LIMIT
            while (told.size < mix.size && world.clock.now() < limit) delay(1.seconds)
            delay(AFTERMATH)
            mix.filter {
                it.number !in told
            }.take(SHOWN).forEach { progress("no answer for ${ids[it.number]}, job ${it.number} of kind ${it.kind}") }
            return mix.map { job -> MixOutcome(told[job.number], ids[job.number]?.let { world.ending(it) }) }
        }
    }

    private inner class NativeRunner(world: SimulatedCluster, mix: List<MixJob>) : Runner(world, mix) {
        override suspend fun serve(scope: CoroutineScope, job: MixJob) {
            val id = "req-${job.number}"
            accepted(job, id)
            val body = ClassArchiveTraining.exampleJob(id, job.kind) + job.needs + mapOf("crates" to job.tasks)
            repeat(if (job.twice) 2 else 1) {
                check(world.ask("POST", "/work", body).first in WireClient.OK..CREATED) { "$id was refused" }
            }
            job.cancelAfter?.let {
                delay(it)
                world.ask("POST", "/work/$id/withdraw")
            }
            while (true) {
                delay(POLL)
                val word = world.ask("GET", "/work/$id").second["standing"] as? String
                if (word == "done" || word == "withdrawn") return tell(job.number, word)
            }
        }
    }

    /** A few sessions, each with two programs that wait for any result, and one that submits. */
    private inner class DrmaaRunner(world: SimulatedCluster, mix: List<MixJob>) : Runner(world, mix) {
        private val submitters = ArrayList<WireClient>()
        private val random = Random(seed + 2)
        private val requests = HashMap<String, String>()

        override suspend fun collect(scope: CoroutineScope) {
            repeat(SESSIONS) { n ->
                val owner = WireClient(world, WireClient.grant(settings), "owner00$n", n).open()
                submitters.add(owner)
                repeat(WAITERS) { w ->
                    val waiter = WireClient(world, owner.contact(), "waiter$n$w", n + w)
                    scope.launch { reap(waiter) }
                }
            }
        }

        private suspend fun reap(waiter: WireClient) {
            while (told.size < mix.size) {
                val request = waiter.request()
                val answer = waiter.wait(WireClient.ANY, 60.seconds, request)
                if (answer == null || answer.status != WireClient.OK) {
                    // Nothing is left to wait for just now.
                    delay(500.milliseconds)
                    continue
                }
                val id = answer.body.string("job").substringBefore('/')
                // An answer that was lost is asked for again by a program that came back.
                if (random.nextDouble() < LOST_ANSWERS) {
                    val again = waiter.wait(WireClient.ANY, 60.seconds, request)
                    check(again?.body?.raw("job") == answer.body.raw("job")) {
                        "request $request got ${answer.body.raw("job")}, then ${again?.body?.raw("job")}"
                    }
                }
                if (requests.put(answer.body.string("job"), request) != null) reapedTwice++
                answered(id, if (answer.body.raw("done") == true) "done" else "withdrawn", world.clock.now())
            }
        }

        override suspend fun serve(scope: CoroutineScope, job: MixJob) {
            val client = submitters[job.number % SESSIONS]
            val fields =
                job.needs.entries.joinToString(" ") { "${it.key}=${it.value}" } +
                    if (job.tasks > 1) " crates=${job.tasks}" else ""
            val request = client.request()
            repeat(if (job.twice) 2 else 1) {
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
        const val MS = 1000
        const val SHOWN = 5
        const val CREATED = 201
        const val MOST_GPUS = 40.0
        const val HALF = 0.5
        const val MOST = 0.99
        const val MOST_WAIT_MS = 500L
        const val SESSIONS = 4
        const val WAITERS = 3
        const val ASTRAY = 0.003
        const val LOST_ANSWERS = 0.05

        /**
         * A run is seen from report to report. One sent to a node that stands still is given up after 4 s, and sent to
         * the next one a second later.
         */
        const val REPORT_SLACK_S = 7.0
        val SETTLE = 3.seconds
        val POLL = 5.seconds
        val AFTERMATH = 15.seconds
        val LIMIT = 1200.seconds
    }
}
