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
import org.elderhitch.lab.WorldSettings
import org.elderhitch.standin.TaskWatch
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A simulated cluster whose users and machines are checked against every invariant of the protocol, twice a second. */
internal class WatchedCluster(val cluster: SimulatedCluster, val cancel: Duration) {
    val rules = InvariantChecker(
        cluster.clock,
        cancel,
        cluster.limits,
        cluster::machine,
        cluster.cpuLimits,
        cluster::machinesUp,
    )
    private val line = cluster.network.transport("user")

    /** Every start so far: task and machine. */
    val starts = ArrayList<Pair<String, String>>()

    /** The bodies of all submissions by job id, to be sent again by [repeat]. */
    private val submitted = HashMap<String, ByteArray>()

    init {
        cluster.alsoTold = object : TaskWatch by rules {
            override fun started(task: String, machine: String) {
                starts.add(task to machine)
                rules.started(task, machine)
            }
        }
        cluster.outside.launch {
            while (true) {
                delay(500.milliseconds)
                rules.tick()
            }
        }
    }

    /** Submits an example job to any node until one accepts it. [runs]: run time of each task in seconds. */
    suspend fun submit(id: String, kind: String, tasks: Int, runs: Double, extra: Map<String, Any?> = emptyMap()) {
        val spec = ClassArchiveTraining.exampleJob(id, kind) + mapOf("crates" to tasks, "haulS" to runs) + extra
        val accelerators = spec["accelerators"] as Double
        rules.submits(
            JobFacts(
                id,
                spec["desk"] as String,
                tasks,
                accelerators,
                true,
                spec["hall"] as String?,
                cores = spec["cores"] as Double,
                oneZone = spec["samePlace"] == true,
                gang = kind == "gang",
                endless = kind == "daemon",
                submittedAt = cluster.clock.now(),
                spread = spec["spread"] == true,
            ),
        )
        val body = Json.bytes(spec)
        submitted[id] = body
        val began = cluster.clock.now()
        while (cluster.clock.now() - began < 60.seconds) {
            for (node in cluster.names.filter(cluster::isUp)) {
                if (told(node, "POST", "/work", body) { status, word, asked ->
                        rules.submitted(id, status, word, asked)
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
            if (cluster.clock.now() - began > limit) throw AssertionError("$node did not confirm the withdrawal of $id")
            delay(200.milliseconds)
        }
        assertEquals("withdrawn", rules.finalOf(id))
    }

    /** Repeats the submission at one node. Returns the status; null: no answer. */
    suspend fun repeat(id: String, node: String): Int? =
        told(node, "POST", "/work", submitted.getValue(id)) { status, word, asked ->
            rules.submitted(id, status, word, asked)
        }

    /**
     * Polls all nodes at intervals of milliseconds and repeats the submission, [rounds] times each. The checker fails
     * an answer that is older than one given before. Returns how many requests were answered.
     */
    suspend fun checkReadConsistency(id: String, random: Random, rounds: Int = 4): Int = coroutineScope {
        (0 until rounds).flatMap {
            cluster.names.filter(cluster::isUp).shuffled(random).flatMap { node ->
                delay(random.nextInt(1, 20).milliseconds)
                listOf(async { poll(id, node) }, async { repeat(id, node) })
            }
        }.awaitAll().count { it in 200..201 }
    }

    /** Sends one cancellation to one node. Returns the status; null: no answer. */
    suspend fun requestCancellation(id: String, node: String): Int? {
        rules.asksToWithdraw(id)
        return told(node, "POST", "/work/$id/withdraw", ByteArray(0)) { status, word, asked ->
            rules.told(id, status, word, asked)
        }
    }

    /** Cancels the job while the confirming node's broadcast reaches no peer: correctness must not rest on it. */
    suspend fun cancelUnseenByPeers(id: String, node: String) {
        cluster.network.peersRefuse = true
        cancel(id, node)
        delay(100.milliseconds)
        cluster.network.peersRefuse = false
    }

    /** Asks one node for the job's state. Returns the status; null: no answer. */
    suspend fun poll(id: String, node: String): Int? {
        val status = told(node, "GET", "/work/$id", null) { status, word, asked -> rules.told(id, status, word, asked) }
        rules.polled(id, status == 200 || status == 404)
        return status
    }

    private suspend fun told(
        node: String,
        method: String,
        path: String,
        body: ByteArray?,
        tell: (Int, String?, MonotonicInstant) -> Unit,
    ): Int? {
        val asked = cluster.clock.now()
        val response =
            line.call(Address("$node:80"), method, path, body, if (method == "GET") 2.seconds else 5.seconds)
                ?: return null
        val word = if (response.status in 200..201) Json.parseObject(response.body).stringOrNull("standing") else null
        tell(response.status, word, asked)
        return response.status
    }

    /** The machine of each running task of the job. */
    fun hosts(job: String): Map<String, String> = cluster.onMachine.filterKeys { it.startsWith("$job/") }

    /** The number of running tasks of the job. */
    fun running(job: String): Int = hosts(job).size

    suspend fun untilRunning(job: String, tasks: Int) = cluster.until("$tasks tasks of $job run", 120.seconds) {
        running(job) == tasks
    }

    /** Waits until another controller than [leader] leads, and returns it. */
    suspend fun replaced(leader: String, limit: Duration = 15.seconds): String {
        cluster.untilReplaced(leader, limit)
        return assertNotNull(cluster.leader())
    }

    /** Restarts [node] if it leads, so that another controller does from here on. */
    suspend fun ensureFollower(node: String) {
        if (cluster.leader() != node) return
        cluster.crash(node)
        cluster.untilReplaced(node, 30.seconds)
        cluster.startNode(node)
    }

    /** The number of the latest term. */
    fun term(): Long = cluster.platform.state.value("v/a/term")?.longOrNull("n") ?: 0

    /** Cuts all links for which [separates] holds. */
    fun cut(mode: CutMode, separates: (String, String) -> Boolean): Cut = Cut(mode, separates).also {
        cluster.network.cuts.add(it)
    }

    /** Cuts the links between the node and these hosts in both directions. */
    fun cutOff(node: String, mode: CutMode, vararg hosts: String): Cut =
        cut(mode) { a, b -> a == node && b in hosts || b == node && a in hosts }

    /** Fails with [what] if any invariant was violated so far. */
    fun assertInvariantsHold(what: String) {
        assertEquals(emptyList(), rules.broken, what)
        assertTrue(cluster.broken.isEmpty(), "$what: ${cluster.broken}")
    }
}

/**
 * Runs [body] once for each seed and checks the invariants at the end of each run.
 *
 * The default times are those of the deployments: heartbeats every 3 s, leases of 17.5 s, 47.5 s to cancel.
 */
internal fun faultScenario(
    seeds: LongRange,
    settings: (Long) -> WorldSettings = { WorldSettings(it, reportS = 3.0, leaseS = 17.5, mostGpus = 60.0) },
    body: suspend WatchedCluster.(seed: Long) -> Unit,
) {
    for (seed in seeds) {
        world(settings(seed)) {
            val watched = WatchedCluster(this, (settings(seed).leaseS + 30).seconds)
            until("a node leads", 30.seconds) { leader() != null }
            watched.body(seed)
            watched.assertInvariantsHold("seed $seed")
        }
    }
}
