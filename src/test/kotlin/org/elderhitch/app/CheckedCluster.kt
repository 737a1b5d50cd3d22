package org.elderhitch.app

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.http.Address
import org.elderhitch.json.Json
import org.elderhitch.lab.Cut
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.InvariantChecker
import org.elderhitch.lab.JobFacts
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.SimulationSettings
import org.elderhitch.leadership.TokenRange
import org.elderhitch.standin.TaskObserver
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A simulated cluster whose users and machines are checked against every invariant of the protocol. Invariants that
 * time can break are checked twice a second. [cancelLimit]: within this time of a confirmed cancellation all tasks of
 * the job must be gone.
 */
internal class CheckedCluster(val cluster: SimulatedCluster, val cancelLimit: Duration) {
    val checker = InvariantChecker(
        cluster.clock,
        cancelLimit,
        cluster.limits,
        cluster::machine,
        cluster.cpuLimits,
        cluster::machinesUp,
    )
    private val userTransport = cluster.network.transport("user")

    /** All task starts so far, as pairs of task and machine. */
    val starts = ArrayList<Pair<String, String>>()

    /** The request bodies of all submissions by job id, for [resubmit]. */
    private val submittedBodies = HashMap<String, ByteArray>()

    init {
        cluster.taskObserver = object : TaskObserver by checker {
            override fun started(task: String, machine: String) {
                starts.add(task to machine)
                checker.started(task, machine)
            }
        }
        cluster.simulationScope.launch {
            while (true) {
                delay(500.milliseconds)
                checker.tick()
            }
        }
    }

    /** Submits an example job to the nodes in turn until one accepts it. [runSeconds]: run time of each task. */
    suspend fun submit(
        id: String,
        kind: String,
        tasks: Int,
        runSeconds: Double,
        extra: Map<String, Any?> = emptyMap(),
    ) {
        val spec = ClassArchiveTraining.exampleJob(id, kind) + mapOf("crates" to tasks, "haulS" to runSeconds) + extra
        checker.recordSubmission(JobFacts.of(spec, jobClass = "", cluster.clock.now()))
        val body = Json.bytes(spec)
        submittedBodies[id] = body
        val began = cluster.clock.now()
        while (cluster.clock.now() - began < 60.seconds) {
            for (node in cluster.names.filter(cluster::isUp)) {
                if (sendAndRecord(node, "POST", "/work", body) { status, state, sentAt ->
                        checker.recordSubmissionResponse(id, status, state, sentAt)
                    } in 200..201
                ) {
                    return
                }
            }
            delay(500.milliseconds)
        }
        throw AssertionError("$id was not accepted")
    }

    /** Cancels the job at one node, repeatedly until it confirms. The checker notes the time of the confirmation. */
    suspend fun cancel(id: String, node: String, limit: Duration = 10.seconds) {
        val began = cluster.clock.now()
        while (requestCancellation(id, node) != 200) {
            if (cluster.clock.now() - began > limit) throw AssertionError("$node didn't confirm cancellation of $id")
            delay(200.milliseconds)
        }
        assertEquals("withdrawn", checker.terminalStateOf(id))
    }

    /** Repeats the submission at one node. Returns the status; null: no response. */
    suspend fun resubmit(id: String, node: String): Int? =
        sendAndRecord(node, "POST", "/work", submittedBodies.getValue(id)) { status, state, sentAt ->
            checker.recordSubmissionResponse(id, status, state, sentAt)
        }

    /**
     * Polls all nodes at intervals of milliseconds and repeats the submission, [rounds] times each. The checker reports
     * a response that contradicts an earlier one. Returns how many requests were answered.
     */
    suspend fun checkReadConsistency(id: String, random: Random, rounds: Int = 4): Int = coroutineScope {
        (0 until rounds).flatMap {
            cluster.names.filter(cluster::isUp).shuffled(random).flatMap { node ->
                delay(random.nextInt(1, 20).milliseconds)
                listOf(async { poll(id, node) }, async { resubmit(id, node) })
            }
        }.awaitAll().count { it in 200..201 }
    }

    /** Sends one cancellation to one node. Returns the status; null: no response. */
    suspend fun requestCancellation(id: String, node: String): Int? {
        checker.recordCancellationRequest(id)
        return sendAndRecord(node, "POST", "/work/$id/withdraw", ByteArray(0)) { status, state, sentAt ->
            checker.recordResponse(id, status, state, sentAt)
        }
    }

    /**
     * Cancels the job while the confirming node's broadcast reaches no other controller: correctness must not depend on
     * it.
     */
    suspend fun cancelUnseenByPeers(id: String, node: String) {
        cluster.network.peersRefuse = true
        cancel(id, node)
        delay(100.milliseconds)
        cluster.network.peersRefuse = false
    }

    /** Asks one node for the job's state. Returns the status; null: no response. */
    suspend fun poll(id: String, node: String): Int? {
        val status = sendAndRecord(node, "GET", "/work/$id", null) { status, state, sentAt ->
            checker.recordResponse(id, status, state, sentAt)
        }
        checker.polled(id, status == 200 || status == 404)
        return status
    }

    /** Sends a request to one node and passes status, job state and sending time of the response to [record]. */
    private suspend fun sendAndRecord(
        node: String,
        method: String,
        path: String,
        body: ByteArray?,
        record: (Int, String?, MonotonicInstant) -> Unit,
    ): Int? {
        val sentAt = cluster.clock.now()
        val response =
            userTransport.call(Address("$node:80"), method, path, body, if (method == "GET") 2.seconds else 5.seconds)
                ?: return null
        val state = if (response.status in 200..201) Json.parseObject(response.body).stringOrNull("standing") else null
        record(response.status, state, sentAt)
        return response.status
    }

    /** The machine of each running task of the job. */
    fun hosts(job: String): Map<String, String> = cluster.onMachine.filterKeys { it.startsWith("$job/") }

    /** The number of running tasks of the job. */
    fun running(job: String): Int = hosts(job).size

    suspend fun untilRunning(job: String, tasks: Int) = cluster.until("$tasks tasks of $job run", 120.seconds) {
        running(job) == tasks
    }

    /** Waits until a controller other than [leader] leads, and returns its name. */
    suspend fun awaitSuccessor(leader: String, limit: Duration = 15.seconds): String {
        cluster.untilReplaced(leader, limit)
        return assertNotNull(cluster.leader())
    }

    /** Crashes [node] if it leads, and restarts it once another controller leads. */
    suspend fun ensureFollower(node: String) {
        if (cluster.leader() != node) return
        cluster.crash(node)
        cluster.untilReplaced(node, 30.seconds)
        cluster.startNode(node)
    }

    /** The number of terms so far. Each takes as many tokens from the counter as a range holds. */
    fun term(): Long = (cluster.platform.state.value("v/a/term")?.longOrNull("n") ?: 0) / TokenRange.SIZE

    /** Adds a partition that separates each pair of hosts for which [separates] holds. */
    fun cut(mode: CutMode, separates: (String, String) -> Boolean): Cut = Cut(mode, separates).also {
        cluster.network.cuts.add(it)
    }

    /** Cuts the links between the node and these hosts in both directions. */
    fun cutOff(node: String, mode: CutMode, vararg hosts: String): Cut =
        cut(mode) { a, b -> a == node && b in hosts || b == node && a in hosts }

    /** Fails with the message [context] if any invariant was violated so far. */
    fun assertInvariantsHold(context: String) {
        assertEquals(emptyList(), checker.violations, context)
        assertTrue(cluster.violations.isEmpty(), "$context: ${cluster.violations}")
    }
}

/**
 * Runs [body] once for each seed and checks the invariants at the end of each run.
 *
 * The default times are those of the deployments: heartbeats every 3 s, leases of 17.5 s, and 47.5 s until the tasks of
 * a cancelled job must be gone.
 */
internal fun faultScenario(
    seeds: LongRange,
    settings: (
        Long,
    ) -> SimulationSettings = { SimulationSettings(it, heartbeatIntervalS = 3.0, leaseS = 17.5, maxGpus = 60.0) },
    body: suspend CheckedCluster.(seed: Long) -> Unit,
) {
    for (seed in seeds) {
        runInSimulatedCluster(settings(seed)) {
            val checked = CheckedCluster(this, (settings(seed).leaseS + 30).seconds)
            until("a node leads", 30.seconds) { leader() != null }
            checked.body(seed)
            checked.assertInvariantsHold("seed $seed")
        }
    }
}
