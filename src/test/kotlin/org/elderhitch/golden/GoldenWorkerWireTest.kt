package org.elderhitch.golden

import kotlinx.coroutines.test.runTest
import org.elderhitch.app.runInSimulatedCluster
import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.Command
import org.elderhitch.heartbeat.CommandOutcome
import org.elderhitch.heartbeat.DirectCommands
import org.elderhitch.heartbeat.ExitCause
import org.elderhitch.heartbeat.HeartbeatCodec
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.heartbeat.WorkerClient
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TaskId
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.FencingToken
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class GoldenWorkerWireTest {
    private val commands = listOf(
        Command.Start(TaskId(JobId("req-0611"), 3), Attempt(5)),
        Command.Stop(TaskId(JobId("req-0612"), 0), Attempt(2), 7.5.seconds),
        Command.Stop(TaskId(JobId("req-0612"), 1), Attempt(2), Duration.ZERO),
        Command.Reap(TaskId(JobId("req-0613"), 99_999), Attempt(4_294_967_296)),
    )
    private val directCommands =
        DirectCommands(MachineId("host-000907"), Address("10.4.2.17:9100"), 6, FencingToken(34), commands)
    private val heartbeat = GoldenFiles.bytes("wire/checkin-full.json")

    /** Answers the requests with the given answers in order, and records the requests. */
    private class Worker(vararg answers: Response) : Transport {
        private val remaining = ArrayDeque(answers.toList())
        val sent = ArrayList<String>()

        override suspend fun call(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            timeout: Duration,
        ): Response? = null

        override suspend fun deliver(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            connect: Duration,
            timeout: Duration,
        ): Delivery {
            sent.add("$method $target ${body?.decodeToString().orEmpty()}")
            return Delivery.Answered(remaining.removeFirst())
        }
    }

    private suspend fun outcomeOf(answer: Response): CommandOutcome =
        WorkerClient(Worker(answer)).send(directCommands) { true }

    @Test
    fun `a heartbeat with every field is read`() {
        val read = HeartbeatCodec.decode(heartbeat)
        assertEquals("host-000907", read.machine.text)
        assertEquals("10.4.2.17:9100", read.address.text)
        assertEquals("k4", read.type.name)
        assertEquals("west", read.zone.name)
        assertEquals(true, read.spot)
        assertEquals(6, read.sequence.agentEpoch)
        assertEquals(1207, read.sequence.number)
        assertEquals(33, read.token.number)
        assertEquals(22.5.seconds, read.preemptionNotice)
        assertEquals(List(12) { "req-0${610 + it}" to it }, read.tasks.map { it.task.job.text to it.task.index })
        assertEquals(List(12) { it + 1L }, read.tasks.map { it.attempt.number })
        val phases = listOf(TaskPhase.FETCHING, TaskPhase.WAITING, TaskPhase.RUNNING, TaskPhase.SAVING)
        assertEquals(phases + List(8) { TaskPhase.EXITED }, read.tasks.map { it.phase })
        val causes = listOf(
            ExitCause.DONE,
            ExitCause.STOPPED,
            ExitCause.PEERS,
            ExitCause.INCOMPLETE,
            ExitCause.ERROR,
            ExitCause.NO_ROOM,
            ExitCause.BUSY,
            ExitCause.UNKNOWN,
        )
        assertEquals(List(4) { null } + causes, read.tasks.map { it.cause })
    }

    @Test
    fun `a heartbeat without optional fields is read, and null counts as absent`() {
        val least = GoldenFiles.text("wire/checkin-least.json")
        val nulls = least.dropLast(1) + ",\"recallS\":null,\"crates\":null,\"later\":[{}]}"
        for (text in listOf(least, nulls)) {
            val read = HeartbeatCodec.decode(text.encodeToByteArray())
            assertEquals("host-000044", read.machine.text)
            assertEquals(false, read.spot)
            assertEquals(0, read.token.number)
            assertNull(read.preemptionNotice)
            assertEquals(0, read.tasks.size)
        }
    }

    @Test
    fun `an exit without a known cause counts as an error`() {
        val text = heartbeat.decodeToString()
        for (cause in listOf("", ",\"cause\":\"bored\"", ",\"cause\":null")) {
            val read = HeartbeatCodec.decode(text.replace(",\"cause\":\"done\"", cause).encodeToByteArray())
            assertEquals(ExitCause.ERROR, read.tasks[4].cause, cause)
        }
    }

    @Test
    fun `malformed heartbeats are rejected with the expected messages`() =
        BadSamples.check("wire/checkin-full.json", "wire/checkin-bad.tsv") {
            assertFailsWith<MalformedJson>(it.decodeToString()) { HeartbeatCodec.decode(it) }.message.orEmpty()
        }

    @Test
    fun `answers to heartbeats have a fixed encoding`() {
        val full = HeartbeatCodec.encode(FencingToken(34), commands).decodeToString()
        assertEquals(GoldenFiles.text("wire/checkin-answer.json"), full)
        val empty = HeartbeatCodec.encode(FencingToken(1), emptyList()).decodeToString()
        assertEquals(GoldenFiles.text("wire/checkin-answer-empty.json"), empty)
    }

    @Test
    fun `commands to a worker's own address have a fixed encoding`() = runTest {
        val worker = Worker(Response(200, heartbeat), Response(200, heartbeat))
        val client = WorkerClient(worker)
        val outcome = client.send(directCommands) { true }
        assertIs<CommandOutcome.Executed>(outcome)
        assertEquals("host-000907", outcome.heartbeat.machine.text)
        client.send(directCommands.copy(commands = emptyList())) { true }
        val bodies = listOf("do", "do-empty").map { "POST /do " + GoldenFiles.text("wire/$it.json") }
        assertEquals(bodies, worker.sent)
    }

    @Test
    fun `each answer to commands maps to an outcome`() = runTest {
        assertEquals(CommandOutcome.NotExecuted, outcomeOf(Response(409, heartbeat)))
        assertEquals(CommandOutcome.NotExecuted, outcomeOf(Response(400, ByteArray(0))))
        assertEquals(CommandOutcome.Unknown, outcomeOf(Response(503, ByteArray(0))))
        assertEquals(CommandOutcome.Unknown, outcomeOf(Response(200, heartbeat.copyOf(50))))
        assertEquals(CommandOutcome.Unknown, outcomeOf(Response(200, "[]".encodeToByteArray())))
    }

    @Test
    fun `a worker is probed, and told the term if it doesn't know it`() = runTest {
        val worker = Worker(Response(200, heartbeat), Response(200, heartbeat))
        val outcome = WorkerClient(worker).probe(Address("10.4.2.17:9100"), FencingToken(34)) { true }
        assertIs<CommandOutcome.Executed>(outcome)
        assertEquals(1207, outcome.heartbeat.sequence.number)
        assertEquals(listOf("GET /inspect ", "POST /do " + GoldenFiles.text("wire/do-empty.json")), worker.sent)
        val upToDate = Worker(Response(200, heartbeat))
        WorkerClient(upToDate).probe(Address("10.4.2.17:9100"), FencingToken(33)) { true }
        assertEquals(listOf("GET /inspect "), upToDate.sent)
    }

    @Test
    fun `a node's answer to a heartbeat depends on what it knows of the leader`() = runInSimulatedCluster {
        val withoutLeader = assertNotNull(call("n0", "POST", "/checkin", heartbeat))
        assertEquals(503, withoutLeader.status)
        assertEquals(GoldenFiles.text("wire/checkin-no-leader.json"), withoutLeader.body.decodeToString())
        assertEquals(mapOf("Retry-After" to "1"), withoutLeader.headers)
        until("a leader is elected", 30.seconds) { leader() != null }
        val leader = assertNotNull(leader())
        val other = names.first { it != leader }
        val least = GoldenFiles.bytes("wire/checkin-least.json")
        until("the leader is known", 30.seconds) { call(other, "POST", "/checkin", least)?.status == 421 }
        val redirection = assertNotNull(call(other, "POST", "/checkin", least)).body.decodeToString()
        assertEquals(GoldenFiles.text("wire/checkin-elsewhere.json").replace("n1", leader), redirection)
        // The leader answers a heartbeat only once and drops its repetition: the answer has to be kept from the loop.
        var answer: Response? = null
        until("the leader answers", 30.seconds) {
            answer = call(leader, "POST", "/checkin", least)
            answer?.status == 200
        }
        assertEquals(GoldenFiles.text("wire/checkin-answer-empty.json"), answer?.body?.decodeToString())
        val malformed = assertNotNull(call(other, "POST", "/checkin", "{}".encodeToByteArray()))
        assertEquals("400 {\"error\":\"stall: missing\"}", "${malformed.status} ${malformed.body.decodeToString()}")
        val wrongMethod = assertNotNull(call(other, "GET", "/checkin", null))
        assertEquals("405 {\"error\":\"only POST\"}", "${wrongMethod.status} ${wrongMethod.body.decodeToString()}")
    }
}
