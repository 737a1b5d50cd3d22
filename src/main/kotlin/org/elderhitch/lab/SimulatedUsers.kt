package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.http.Address
import org.elderhitch.http.Response
import org.elderhitch.json.Json
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The simulated users of a storm. They run long-lived services and submit arrays and gangs; they submit, repeat, poll
 * and withdraw at any node, and pass every answer to the invariant checker.
 */
internal class SimulatedUsers(
    val cluster: SimulatedCluster,
    private val rules: InvariantChecker,
    val machines: Int,
    private val shape: Shape,
    seed: Long,
) {
    /** For all other behaviour. The number of draws depends on the answers that users get. */
    val random = Random(seed xor BEHAVIOUR_SALT)

    /**
     * For the jobs and their arrival times. It is separate from [random], so that the same seed gives the same workload
     * to two versions of the scheduler whatever they answer.
     */
    val arrivals = Random(seed xor ARRIVAL_SALT)

    /** Jobs whose submission was confirmed: those without an end, and all others. */
    val services = ArrayList<JobFacts>()
    val batches = ArrayList<JobFacts>()
    private val withdrawalsSent = HashSet<String>()
    private val bodies = HashMap<String, ByteArray>()

    /** Whether users compare the answers of all nodes, and the share of jobs that is withdrawn on completion. */
    var checksAllNodes = false
    var withdrawAtEndShare = 0.0

    /** Number of checks of all nodes, odd requests, and withdrawals on completion. */
    var unusualActions = 0
        private set
    private val transport = cluster.network.transport("user")
    private var nextId = 1

    /** Durations of the confirmed submissions, and the number of submissions that were given up. */
    val submissionLatencies = ArrayList<Duration>()
    var submissionsGivenUp = 0
        private set

    fun start(scope: CoroutineScope, until: MonotonicInstant) {
        if (shape == Shape.TYPES) return startMixed(scope, until)
        repeat(machines / MACHINES_PER_SERVICE) { submitService(scope) }
        val arrivalsPerSecond = minOf(MAX_ARRAYS_PER_S, machines / MACHINES_PER_ARRAY_PER_S)
        scope.launch {
            while (cluster.clock.now() < until) {
                if (arrivals.nextInt(ONE_GANG_IN) == 0) submitGang(scope) else submitArray(scope, arrivalsPerSecond)
                if (random.nextInt(ONE_UNKNOWN_JOB_IN) == 0) scope.launch { askForUnknownJob() }
                delay((arrivals.nextDouble() * 2 / arrivalsPerSecond).seconds)
            }
        }
    }

    /**
     * The load of one job class, none of which uses accelerators: large tasks that fit only the large machines and need
     * a third of those, small tasks that need more than all small machines have, and urgent small tasks.
     */
    class JobClassLoad(
        val name: String,
        val cores: Double,
        val memGb: Double,
        val tasks: Int,
        val runSeconds: Int,
        val urgency: String,
        val coresPerMachine: Double,
    )

    private fun startMixed(scope: CoroutineScope, until: MonotonicInstant) {
        for (kind in MIXED_CLASSES) {
            scope.launch {
                // A generator per class: its jobs must not depend on the order of simultaneous arrivals.
                val arrivals = Random(arrivals.nextLong())
                val arrivalsPerSecond = kind.coresPerMachine * machines / (kind.tasks * kind.cores * kind.runSeconds)
                while (cluster.clock.now() < until) {
                    submitMixedJob(scope, kind, arrivals)
                    if (random.nextInt(ONE_UNKNOWN_JOB_IN) == 0) scope.launch { askForUnknownJob() }
                    delay((arrivals.nextDouble() * 2 / arrivalsPerSecond).seconds)
                }
            }
        }
    }

    /** Submits many arrays at once. */
    fun burst(scope: CoroutineScope, share: Double) {
        if (shape == Shape.TYPES) {
            repeat((machines * share / 10).toInt() + 1) { submitMixedJob(scope, MIXED_CLASSES.last(), arrivals) }
            return
        }
        repeat((machines * share / 2).toInt() + 1) { submitArray(scope, MAX_ARRAYS_PER_S) }
    }

    fun id(): String = "req-%06d".format(nextId++)

    /** Submits [job] and polls it until it has ended. Withdraws it after [withdrawAfter]; null: never. */
    fun submitAndFollow(scope: CoroutineScope, job: SubmittedJob, withdrawAfter: Duration?) {
        scope.launch {
            if (!submit(job)) return@launch
            (if (job.facts.endless) services else batches).add(job.facts)
            follow(scope, job.facts, withdrawAfter)
        }
    }

    /** Polls for a job that nobody submitted. */
    private suspend fun askForUnknownJob() {
        val id = "req-none-${random.nextInt(100)}"
        val sentAt = cluster.clock.now()
        val response = request("GET", "/work/$id", null, POLL_TIMEOUT) ?: return
        rules.recordResponse(id, response.status, stateIn(response), sentAt)
    }

    private suspend fun submit(job: SubmittedJob): Boolean {
        val facts = job.facts
        rules.recordSubmission(facts)
        val body = Json.bytes(job.body)
        bodies[facts.id] = body
        val began = cluster.clock.now()
        while (cluster.clock.now() - began < SUBMIT_RETRY_LIMIT) {
            val sentAt = cluster.clock.now()
            val response = request("POST", "/work", body, SUBMIT_TIMEOUT)
            if (response != null) rules.recordSubmissionResponse(facts.id, response.status, stateIn(response), sentAt)
            if (response?.status in OK..CREATED) {
                checkAllNodes(facts.id)
                submissionLatencies.add(cluster.clock.now() - began)
                if (random.nextInt(ONE_REPEAT_IN) == 0) {
                    delay(random.nextInt(40).seconds)
                    val again = cluster.clock.now()
                    request("POST", "/work", body, SUBMIT_TIMEOUT)?.let {
                        rules.recordSubmissionResponse(facts.id, it.status, stateIn(it), again)
                    }
                }
                return true
            }
            if (response != null && response.status in BAD_REQUEST..UNPROCESSABLE) break
            delay(1.seconds + random.nextInt(500).milliseconds)
        }
        submissionsGivenUp++
        return false
    }

    private fun follow(scope: CoroutineScope, facts: JobFacts, withdrawAfter: Duration?) {
        scope.launch {
            while (rules.terminalStateOf(facts.id) == null) {
                delay(5.seconds + random.nextInt(1000).milliseconds)
                val sentAt = cluster.clock.now()
                val response = request("GET", "/work/${facts.id}", null, POLL_TIMEOUT)
                val isOk = response != null && (response.status == OK || response.status == NOT_FOUND)
                if (response != null && isOk) rules.recordResponse(facts.id, response.status, stateIn(response), sentAt)
                rules.polled(facts.id, isOk)
            }
            checkAllNodes(facts.id)
        }
        if (withdrawAfter == null) return
        scope.launch {
            delay(withdrawAfter)
            withdraw(facts)
        }
    }

    private suspend fun withdraw(facts: JobFacts) {
        if (!withdrawalsSent.add(facts.id)) return
        rules.recordCancellationRequest(facts.id)
        while (rules.terminalStateOf(facts.id) == null) {
            val sentAt = cluster.clock.now()
            val response = request("POST", "/work/${facts.id}/withdraw", ByteArray(0), SUBMIT_TIMEOUT)
            if (response != null) rules.recordResponse(facts.id, response.status, stateIn(response), sentAt)
            checkAllNodes(facts.id)
            delay(1.seconds)
        }
    }

    /** Polls all nodes within milliseconds, and repeats the submission at one of them. */
    private fun checkAllNodes(id: String) {
        if (!checksAllNodes) return
        unusualActions++
        for (node in cluster.names.filter(cluster::isUp)) {
            cluster.simulationScope.launch {
                delay(random.nextInt(1, 20).milliseconds)
                val sentAt = cluster.clock.now()
                transport.call(Address("$node:80"), "GET", "/work/$id", null, POLL_TIMEOUT)?.let {
                    rules.recordResponse(id, it.status, stateIn(it), sentAt)
                }
            }
        }
        cluster.simulationScope.launch { repeat(id) }
    }

    private suspend fun repeat(id: String) {
        val sentAt = cluster.clock.now()
        request("POST", "/work", bodies.getValue(id), SUBMIT_TIMEOUT)?.let {
            rules.recordSubmissionResponse(id, it.status, stateIn(it), sentAt)
        }
    }

    /** On completion of the last task of a job, withdraws the job in [withdrawAtEndShare] of the cases. */
    fun completed(task: String) {
        if (withdrawAtEndShare <= 0.0) return
        val facts = batches.firstOrNull { it.id == task.substringBeforeLast('/') } ?: return
        if (rules.completedOf(facts.id) < (if (facts.gang) 1 else facts.tasks) ||
            random.nextDouble() >= withdrawAtEndShare
        ) {
            return
        }
        unusualActions++
        cluster.simulationScope.launch { withdraw(facts) }
    }

    /**
     * Sends one of: a repeated submission, the withdrawal of a job that is done, or a job that fits no machine, has an
     * unknown team or lacks a field.
     */
    suspend fun sendOddRequest() {
        unusualActions++
        when (random.nextInt(3)) {
            0 -> batches.filter { rules.terminalStateOf(it.id) == null }.randomOrNull(random)?.let { repeat(it.id) }

            1 -> batches.filter { rules.terminalStateOf(it.id) == "done" }.randomOrNull(random)?.let { facts ->
                val sentAt = cluster.clock.now()
                request("POST", "/work/${facts.id}/withdraw", ByteArray(0), SUBMIT_TIMEOUT)?.let {
                    rules.recordResponse(facts.id, it.status, stateIn(it), sentAt)
                }
            }

            else -> {
                val facts =
                    JobFacts("req-odd-%05d".format(nextId++), "team", 1, 1.0, spotAllowed = true, impossible = true)
                rules.recordSubmission(facts)
                val spec = ClassArchiveTraining.exampleJob(facts.id, "array")
                val invalidBody = listOf(
                    spec + ("desk" to "nobody"),
                    spec + ("cores" to 4000.0),
                    spec + ("rigs" to listOf("none-such")),
                    spec - "crates",
                    spec - "lotKind",
                    spec + ("crates" to 0),
                ).random(random)
                val sentAt = cluster.clock.now()
                request("POST", "/work", Json.bytes(invalidBody), SUBMIT_TIMEOUT)?.let {
                    rules.recordSubmissionResponse(facts.id, it.status, stateIn(it), sentAt)
                }
            }
        }
    }

    /** Withdraws a [share] of the running jobs within 200 ms. Returns the machines of their tasks. */
    fun withdrawRunning(scope: CoroutineScope, share: Double): Set<String> {
        val running = (services + batches).filter { facts ->
            rules.terminalStateOf(facts.id) == null &&
                (0 until facts.tasks).any { rules.isOn("${facts.id}/$it") } &&
                random.nextDouble() < share
        }
        for (facts in running) {
            scope.launch {
                delay(random.nextInt(0, 200).milliseconds)
                withdraw(facts)
            }
        }
        val ids = running.map { it.id }.toSet()
        return cluster.onMachine.filterKeys { it.substringBeforeLast('/') in ids }.values.toSet()
    }

    /** Withdraws a [share] of the open jobs at once. */
    fun withdrawOpen(scope: CoroutineScope, share: Double) {
        for (facts in services + batches) {
            if (rules.terminalStateOf(facts.id) == null && random.nextDouble() < share) {
                scope.launch { withdraw(facts) }
            }
        }
    }

    fun isWithdrawing(id: String): Boolean = id in withdrawalsSent

    private suspend fun request(method: String, path: String, body: ByteArray?, timeout: Duration): Response? {
        for (node in cluster.names.shuffled(random)) {
            // A node that is down refuses the connection: try the next. A node that does not answer is waited for.
            if (!cluster.isUp(node)) continue
            return transport.call(Address("$node:80"), method, path, body, timeout)
        }
        return null
    }

    private fun stateIn(response: Response): String? = if (response.status in OK..CREATED) {
        Json.parseObject(response.body).stringOrNull("standing")
    } else {
        null
    }

    companion object {
        /** Teams without a quota or a guarantee. */
        val TEAMS = listOf("crew", "desk", "shift", "bench")
        val MIXED_CLASSES = listOf(
            JobClassLoad("large", 32.0, 56.0, tasks = 6, runSeconds = 45, "normal", coresPerMachine = 3.2),
            JobClassLoad("urgent", 4.0, 5.0, tasks = 20, runSeconds = 10, "urgent", coresPerMachine = 0.8),
            JobClassLoad("small", 4.0, 6.0, tasks = 30, runSeconds = 25, "normal", coresPerMachine = 9.0),
        )
        private const val ARRIVAL_SALT = 0x10b5L
        private const val BEHAVIOUR_SALT = 0xa5c5L
        private const val OK = 200
        private const val CREATED = 201
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
        private const val UNPROCESSABLE = 422
        private const val MACHINES_PER_SERVICE = 4
        const val MACHINES_PER_ARRAY_PER_S = 200.0
        private const val MAX_ARRAYS_PER_S = 2.0
        private const val ONE_GANG_IN = 6
        private const val ONE_UNKNOWN_JOB_IN = 10
        private const val ONE_REPEAT_IN = 12
        private val SUBMIT_RETRY_LIMIT = 60.seconds
        private val SUBMIT_TIMEOUT = 5.seconds
        private val POLL_TIMEOUT = 2.seconds
    }
}
