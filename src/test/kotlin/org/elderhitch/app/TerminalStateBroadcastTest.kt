package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import org.elderhitch.cluster.TerminalStateBroadcast
import org.elderhitch.cluster.TerminalStateNotice
import org.elderhitch.http.Address
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.TransactionOutcome
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Controllers broadcast the terminal states of jobs to each other at once. Malformed or false broadcasts change
 * nothing.
 */
@OptIn(ExperimentalSerializationApi::class)
class TerminalStateBroadcastTest {
    private suspend fun SimulatedCluster.sendBroadcast(node: String, body: ByteArray): Int? =
        network.transport("n0").call(Address("$node:81"), "POST", "/cluster/ended", body, 2.seconds)?.status

    private fun broadcast(from: String, vararg terminalStates: Pair<String, String>) = ProtoBuf.encodeToByteArray(
        TerminalStateBroadcast.serializer(),
        TerminalStateBroadcast(
            from,
            terminalStates.map {
                TerminalStateNotice(it.first, it.second.encodeToByteArray())
            },
        ),
    )

    /**
     * The state service refuses the leader alone, and then answers nobody. Regression: without a broadcast by the node
     * that confirmed the cancellation, the tasks ran until their leases ended.
     */
    @Test
    fun `a leader that the state service refuses learns of cancellations from the node that confirmed them`() =
        faultScenario(1L..2L) {
            submit("req-1", "array", 8, 300.0)
            untilRunning("req-1", 8)
            val leader = assertNotNull(cluster.leader())
            cluster.network.refused.add(leader)
            delay(500.milliseconds)
            cancel("req-1", cluster.names.first { it != leader })
            cluster.platform.state.down = true
            cluster.until("stopped with the next heartbeats", 5.seconds) { running("req-1") == 0 }
        }

    /**
     * The transaction that cancels the job is executed and its response lost. Regression: the retry found the job
     * cancelled already, and the node sent no broadcast.
     */
    @Test
    fun `a cancellation that a retry finds recorded is broadcast as well`() = faultScenario(1L..2L) {
        submit("req-1", "array", 8, 300.0)
        untilRunning("req-1", 8)
        val leader = assertNotNull(cluster.leader())
        val follower = cluster.names.first { it != leader }
        cluster.network.refused.add(leader)
        var lostResponses = 0
        cluster.transactionOutcome =
            { node, commit ->
                if (node == follower && "v/z/end/" in commit && lostResponses++ == 0) {
                    TransactionOutcome.AnswerLost
                } else {
                    TransactionOutcome.Answered
                }
            }
        delay(500.milliseconds)
        cancel("req-1", follower)
        cluster.platform.state.down = true
        assertTrue(lostResponses > 0)
        cluster.until("stopped with the next heartbeats", 5.seconds) { running("req-1") == 0 }
    }

    /**
     * The job's record is gone and its terminal record can't be read. The job is neither run again nor reported as
     * open, unknown or new: requests about it get status 503, retry later.
     */
    @Test
    fun `an unreadable terminal record starts nothing and produces no false response`() = faultScenario(1L..1L) {
        submit("req-1", "array", 4, 200.0)
        submit("req-2", "daemon", 2, 0.0)
        untilRunning("req-1", 4)
        cancel("req-1", cluster.names[0])
        cluster.until("gone", 15.seconds) { running("req-1") == 0 }
        val starts = cluster.startsOf.getValue("req-1/0")
        cluster.platform.state.overwrite("v/z/end/req-1", mapOf("end" to "eaten", "done" to 0))
        cluster.names.forEach(cluster::crash)
        cluster.names.forEach(cluster::startNode)
        cluster.until("the job of the service is readable", 30.seconds) { poll("req-2", "n0") == 200 }
        for (node in cluster.names) assertEquals(503, poll("req-1", node))
        assertEquals(
            503,
            cluster.ask("POST", "/work", ClassArchiveTraining.exampleJob("req-1", "array"), node = "n1").first,
        )
        assertEquals(503, cluster.ask("POST", "/work/req-1/withdraw", node = "n2").first)
        delay(20.seconds)
        assertEquals(starts, cluster.startsOf["req-1/0"])
        assertEquals(2, running("req-2"))
    }

    @Test
    fun `malformed broadcasts and those of an unknown controller, job or state are ignored`() = faultScenario(1L..1L) {
        submit("req-1", "daemon", 4, 0.0)
        untilRunning("req-1", 4)
        val leader = assertNotNull(cluster.leader())
        val valid = broadcast("n0", "req-1" to "{\"end\":\"withdrawn\",\"done\":0}")
        for (length in 0 until valid.size) cluster.sendBroadcast(leader, valid.copyOf(length))
        val random = Random(1)
        repeat(200) { cluster.sendBroadcast(leader, random.nextBytes(random.nextInt(60))) }
        assertEquals(
            400,
            cluster.sendBroadcast(leader, broadcast("n9", "req-1" to "{\"end\":\"withdrawn\",\"done\":0}")),
            "unknown controller",
        )
        assertEquals(
            200,
            cluster.sendBroadcast(
                leader,
                broadcast(
                    "n0",
                    "req-1" to "{\"end\":\"eaten\",\"done\":0}",
                    "req-1" to "[]",
                    "req-1" to "{\"end\":",
                    "nonsense" to "{\"end\":\"done\",\"done\":0}",
                ),
            ),
        )
        assertEquals(
            200,
            cluster.sendBroadcast(leader, broadcast("n0", "req-77" to "{\"end\":\"withdrawn\",\"done\":0}")),
            "unknown job",
        )
        delay(3.seconds)
        assertEquals(4, running("req-1"))
        for (node in cluster.names) {
            assertEquals(200, poll("req-1", node))
            assertEquals(404, cluster.ask("GET", "/work/req-77", node = node).first)
        }
        assertTrue(checker.terminalStateOf("req-1") == null)
    }
}
