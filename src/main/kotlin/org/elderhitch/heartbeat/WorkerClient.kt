package org.elderhitch.heartbeat

import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Transport
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.Term
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends commands to workers' own addresses, a few at a time: sockets are for those who call. */
public class WorkerClient(private val transport: Transport) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val turns = Semaphore(AT_ONCE)
    private val questions = Semaphore(QUESTIONS_AT_ONCE)

    /** [entitled] is asked last, when its turn has come: commands don't wait in line beyond the leader's window. */
    public suspend fun send(
        to: Address,
        term: Term,
        agentEpoch: Long,
        commands: List<Command>,
        entitled: () -> Boolean,
    ): CommandOutcome = turns.withPermit {
        if (!entitled()) return CommandOutcome.NotExecuted
        when (
            val delivery = transport.deliver(
                to,
                "POST",
                "/do",
                HeartbeatCodec.encodeDirect(term, agentEpoch, commands),
                CONNECT,
                TIMEOUT,
            )
        ) {
            is Delivery.Answered -> when (delivery.response.status) {
                OK -> executed(delivery.response.body)
                CONFLICT, BAD -> CommandOutcome.NotExecuted
                else -> CommandOutcome.Unknown
            }

            Delivery.NotSent -> CommandOutcome.Unreachable

            Delivery.Unknown -> CommandOutcome.Unknown
        }
    }

    /**
     * What a worker says, once it knows our term. Two connections must fail before it counts as unreachable: a single
     * lost packet keeps one from coming about for a second.
     */
    public suspend fun probe(at: Address, term: Term, entitled: () -> Boolean): CommandOutcome = questions.withPermit {
        var first = transport.deliver(at, "GET", "/inspect", null, ASK_CONNECT, TIMEOUT)
        if (first == Delivery.NotSent) first = transport.deliver(at, "GET", "/inspect", null, ASK_CONNECT, TIMEOUT)
        val said = when (first) {
            is Delivery.Answered -> executed(first.response.body) as? CommandOutcome.Executed
                ?: return CommandOutcome.Unknown

            Delivery.NotSent -> return CommandOutcome.Unreachable

            Delivery.Unknown -> return CommandOutcome.Unknown
        }
        if (said.heartbeat.term >= term || !entitled()) return said
        val told = transport.deliver(
            at,
            "POST",
            "/do",
            HeartbeatCodec.encodeDirect(term, said.heartbeat.sequence.agentEpoch, emptyList()),
            CONNECT,
            TIMEOUT,
        )
        if (told is Delivery.Answered && told.response.status == OK) executed(told.response.body) else said
    }

    private fun executed(body: ByteArray): CommandOutcome = try {
        CommandOutcome.Executed(HeartbeatCodec.decode(body))
    } catch (e: MalformedJson) {
        log.info("malformed answer from=worker reason=\"{}\"", e.message)
        CommandOutcome.Unknown
    }

    private companion object {
        const val AT_ONCE = 16
        const val QUESTIONS_AT_ONCE = 32
        val ASK_CONNECT = 600.milliseconds
        const val OK = 200
        const val BAD = 400
        const val CONFLICT = 409
        val CONNECT = 1.seconds
        val TIMEOUT = 3.seconds
    }
}
