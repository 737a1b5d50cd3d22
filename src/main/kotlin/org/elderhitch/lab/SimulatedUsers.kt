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
 * The users of a storm: services that stay, arrays and gangs that come and go. They submit, repeat, poll and withdraw
 * as PROTOCOL has it, at
 * whichever node, and every answer goes into the rule book.
 */
internal class SimulatedUsers(
    val world: SimulatedCluster,
    private val rules: InvariantChecker,
    val machines: Int,
    private val shape: Shape,
    seed: Long,
) {
    /** For what users do besides: how often that is depends on the answers that they get. */
    val random = Random(seed xor ASKING)

    /**
     * What jobs come, and when, in the order of their coming: the same for a seed whatever the code makes of it, so
     * that two versions are held to the same day.
     */
    val coming = Random(seed xor COMING)

    /** Jobs whose submission was answered, by kind. */
    val services = ArrayList<JobFacts>()
    val batches = ArrayList<JobFacts>()
    private val withdrawing = HashSet<String>()
    private val bodies = HashMap<String, ByteArray>()

    /**
     * Whether users look closely at what they were told, and which share of the jobs that complete is withdrawn at that
     * moment.
     */
    var looksClosely = false
    var withdrawsAtEnd = 0.0

    /** What a burst of habits has come to: close looks, requests that make no sense, and withdrawals at the end. */
    var habits = 0
        private set
    private val line = world.network.transport("user")
    private var next = 1

    /** How long submissions took that were answered, and how many never were. */
    val waited = ArrayList<Duration>()
    var givenUp = 0
        private set

    fun begin(scope: CoroutineScope, until: MonotonicInstant) {
        if (shape == Shape.TYPES) return beginMixed(scope, until)
        repeat(machines / SERVICES_PER) { service(scope) }
        val perSecond = minOf(MOST_PER_S, machines / ARRAYS_PER)
        scope.launch {
            while (world.clock.now() < until) {
                if (coming.nextInt(GANG_EVERY) == 0) gang(scope) else array(scope, perSecond)
                if (random.nextInt(STRANGER_EVERY) == 0) scope.launch { stranger() }
                delay((coming.nextDouble() * 2 / perSecond).seconds)
            }
        }
    }

    /**
     * Three classes without accelerators: large tasks that fit only the large machines and ask for a third of those,
     * small ones that ask for more than
     * the small machines have, and urgent small ones.
     */
    class Mixed(
        val name: String,
        val cores: Double,
        val memGb: Double,
        val tasks: Int,
        val runsS: Int,
        val urgency: String,
        val coresPerMachine: Double,
    )

    private fun beginMixed(scope: CoroutineScope, until: MonotonicInstant) {
        for (kind in MIXED) {
            scope.launch {
                // One row of jobs a class: whose turn it is when two come at once is none of their business.
                val coming = Random(coming.nextLong())
                val perS = kind.coresPerMachine * machines / (kind.tasks * kind.cores * kind.runsS)
                while (world.clock.now() < until) {
                    mixed(scope, kind, coming)
                    if (random.nextInt(STRANGER_EVERY) == 0) scope.launch { stranger() }
                    delay((coming.nextDouble() * 2 / perS).seconds)
                }
            }
        }
    }

    /** Many arrays at once. */
    fun burst(scope: CoroutineScope, share: Double) {
        if (shape == Shape.TYPES) {
            repeat((machines * share / 10).toInt() + 1) { mixed(scope, MIXED.last(), coming) }
            return
        }
        repeat((machines * share / 2).toInt() + 1) { array(scope, MOST_PER_S) }
    }

    fun id(): String = "req-%06d".format(next++)

    fun comes(
        scope: CoroutineScope,
        facts: JobFacts,
        kind: String,
        runs: Double,
        body: Map<String, Any?>,
        withdrawAfter: Duration?,
    ) {
        scope.launch {
            if (!submit(facts, kind, runs, body)) return@launch
            (if (facts.endless) services else batches).add(facts)
            follow(scope, facts, withdrawAfter)
        }
    }

    /** Somebody asks about a job that nobody submitted. */
    private suspend fun stranger() {
        val id = "req-none-${random.nextInt(100)}"
        val asked = world.clock.now()
        val response = request("GET", "/work/$id", null, POLL_PATIENCE) ?: return
        rules.told(id, response.status, word(response), asked)
    }

    private suspend fun submit(facts: JobFacts, kind: String, runs: Double, extra: Map<String, Any?>): Boolean {
        rules.submits(facts)
        val body = Json.bytes(
            ClassArchiveTraining.exampleJob(facts.id, kind) + mapOf("crates" to facts.tasks, "haulS" to runs) + extra,
        )
        bodies[facts.id] = body
        val began = world.clock.now()
        while (world.clock.now() - began < SUBMIT_PATIENCE) {
            val asked = world.clock.now()
            val response = request("POST", "/work", body, SUBMIT_TIMEOUT)
            if (response != null) rules.submitted(facts.id, response.status, word(response), asked)
            if (response?.status in OK..CREATED) {
                look(facts.id)
                waited.add(world.clock.now() - began)
                if (random.nextInt(REPEAT_EVERY) == 0) {
                    delay(random.nextInt(40).seconds)
                    val again = world.clock.now()
                    request("POST", "/work", body, SUBMIT_TIMEOUT)?.let {
                        rules.submitted(facts.id, it.status, word(it), again)
                    }
                }
                return true
            }
            if (response != null && response.status in BAD..UNPROCESSABLE) break
            delay(1.seconds + random.nextInt(500).milliseconds)
        }
        givenUp++
        return false
    }

    private fun follow(scope: CoroutineScope, facts: JobFacts, withdrawAfter: Duration?) {
        scope.launch {
            while (rules.finalOf(facts.id) == null) {
                delay(5.seconds + random.nextInt(1000).milliseconds)
                val asked = world.clock.now()
                val response = request("GET", "/work/${facts.id}", null, POLL_PATIENCE)
                val answered = response != null && (response.status == OK || response.status == NOT_FOUND)
                if (response != null && answered) rules.told(facts.id, response.status, word(response), asked)
                rules.polled(facts.id, answered)
            }
            look(facts.id)
        }
        if (withdrawAfter == null) return
        scope.launch {
            delay(withdrawAfter)
            cancel(facts)
        }
    }

    private suspend fun cancel(facts: JobFacts) {
        if (!withdrawing.add(facts.id)) return
        rules.asksToWithdraw(facts.id)
        while (rules.finalOf(facts.id) == null) {
            val asked = world.clock.now()
            val response = request("POST", "/work/${facts.id}/withdraw", ByteArray(0), SUBMIT_TIMEOUT)
            if (response != null) rules.told(facts.id, response.status, word(response), asked)
            look(facts.id)
            delay(1.seconds)
        }
    }

    /** All nodes are asked within milliseconds, and the submission is repeated at one of them. */
    private fun look(id: String) {
        if (!looksClosely) return
        habits++
        for (node in world.names.filter(world::isUp)) {
            world.outside.launch {
                delay(random.nextInt(1, 20).milliseconds)
                val asked = world.clock.now()
                line.call(Address("$node:80"), "GET", "/work/$id", null, POLL_PATIENCE)?.let {
                    rules.told(id, it.status, word(it), asked)
                }
            }
        }
        world.outside.launch { repeat(id) }
    }

    private suspend fun repeat(id: String) {
        val asked = world.clock.now()
        request("POST", "/work", bodies.getValue(id), SUBMIT_TIMEOUT)?.let {
            rules.submitted(id, it.status, word(it), asked)
        }
    }

    /** A task has completed; if it was its job's last, its user may call the job off in that moment. */
    fun completed(task: String) {
        if (withdrawsAtEnd <= 0.0) return
        val facts = batches.firstOrNull { it.id == task.substringBeforeLast('/') } ?: return
        if (rules.completedOf(facts.id) < (if (facts.gang) 1 else facts.tasks) ||
            random.nextDouble() >= withdrawsAtEnd
        ) {
            return
        }
        habits++
        world.outside.launch { cancel(facts) }
    }

    /**
     * Once: a repeated submission, the withdrawal of a job that is done, and a job that fits nothing, is of no team or
     * lacks a field.
     */
    suspend fun oddRequest() {
        habits++
        when (random.nextInt(3)) {
            0 -> batches.filter { rules.finalOf(it.id) == null }.randomOrNull(random)?.let { repeat(it.id) }

            1 -> batches.filter { rules.finalOf(it.id) == "done" }.randomOrNull(random)?.let { facts ->
                val asked = world.clock.now()
                request("POST", "/work/${facts.id}/withdraw", ByteArray(0), SUBMIT_TIMEOUT)?.let {
                    rules.told(facts.id, it.status, word(it), asked)
                }
            }

            else -> {
                val facts =
                    JobFacts("req-odd-%05d".format(next++), "team", 1, 1.0, spotAllowed = true, impossible = true)
                rules.submits(facts)
                val spec = ClassArchiveTraining.exampleJob(facts.id, "array")
                val wrong = listOf(
                    spec + ("desk" to "nobody"),
                    spec + ("cores" to 4000.0),
                    spec + ("rigs" to listOf("none-such")),
                    spec - "crates",
                    spec - "lotKind",
                    spec + ("crates" to 0),
                ).random(random)
                val asked = world.clock.now()
                request("POST", "/work", Json.bytes(wrong), SUBMIT_TIMEOUT)?.let {
                    rules.submitted(facts.id, it.status, word(it), asked)
                }
            }
        }
    }

    /** So large a share of the jobs that run is withdrawn within a fifth of a second. Where their tasks are. */
    fun callOff(scope: CoroutineScope, share: Double): Set<String> {
        val running = (services + batches).filter { facts ->
            rules.finalOf(facts.id) == null &&
                (0 until facts.tasks).any { rules.isOn("${facts.id}/$it") } &&
                random.nextDouble() < share
        }
        for (facts in running) {
            scope.launch {
                delay(random.nextInt(0, 200).milliseconds)
                cancel(facts)
            }
        }
        val ids = running.map { it.id }.toSet()
        return world.onMachine.filterKeys { it.substringBeforeLast('/') in ids }.values.toSet()
    }

    /** So large a share of the open jobs is withdrawn at once. */
    fun withdrawSome(scope: CoroutineScope, share: Double) {
        for (facts in services + batches) {
            if (rules.finalOf(facts.id) == null && random.nextDouble() < share) {
                scope.launch { cancel(facts) }
            }
        }
    }

    fun isWithdrawing(id: String): Boolean = id in withdrawing

    private suspend fun request(method: String, path: String, body: ByteArray?, timeout: Duration): Response? {
        for (node in world.names.shuffled(random)) {
            // What refuses a connection is passed over at once; what takes it and says nothing is waited for.
            if (!world.isUp(node)) continue
            return line.call(Address("$node:80"), method, path, body, timeout)
        }
        return null
    }

    private fun word(response: Response): String? = if (response.status in OK..CREATED) {
        Json.parseObject(response.body).stringOrNull("standing")
    } else {
        null
    }

    companion object {
        /** Teams without a limit or a guarantee. */
        val TEAMS = listOf("crew", "desk", "shift", "bench")
        val MIXED = listOf(
            Mixed("large", 32.0, 56.0, tasks = 6, runsS = 45, "normal", coresPerMachine = 3.2),
            Mixed("urgent", 4.0, 5.0, tasks = 20, runsS = 10, "urgent", coresPerMachine = 0.8),
            Mixed("small", 4.0, 6.0, tasks = 30, runsS = 25, "normal", coresPerMachine = 9.0),
        )
        private const val COMING = 0x10b5L
        private const val ASKING = 0xa5c5L
        private const val OK = 200
        private const val CREATED = 201
        private const val BAD = 400
        private const val NOT_FOUND = 404
        private const val UNPROCESSABLE = 422
        private const val SERVICES_PER = 4
        const val ARRAYS_PER = 200.0
        private const val MOST_PER_S = 2.0
        private const val GANG_EVERY = 6
        private const val STRANGER_EVERY = 10
        private const val REPEAT_EVERY = 12
        private val SUBMIT_PATIENCE = 60.seconds
        private val SUBMIT_TIMEOUT = 5.seconds
        private val POLL_PATIENCE = 2.seconds
    }
}
