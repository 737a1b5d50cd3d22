package org.elderhitch.heartbeat

import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.Term
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends commands and probes to workers' own addresses, a limited number at a time, so that sockets remain for the
 * connections that workers open.
 */
public class WorkerClient(private val transport: Transport) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val commandPermits = Semaphore(MAX_CONCURRENT_COMMANDS)
    private val probePermits = Semaphore(MAX_CONCURRENT_PROBES)

    /**
     * Sends commands to the worker at [to], which executes them only in [agentEpoch].
     *
     * @param entitled whether the leader may still send commands; asked once the request's turn has come, so that no
     *   command outlasts the leader's window while it waits.
     */
    public suspend fun send(
        to: Address,
        term: Term,
        agentEpoch: Long,
        commands: List<Command>,
        entitled: () -> Boolean,
    ): CommandOutcome = commandPermits.withPermit {
        if (!entitled()) return CommandOutcome.NotExecuted
        when (val delivery = deliverCommands(to, term, agentEpoch, commands)) {
            is Delivery.Answered -> commandOutcome(delivery.response)
            Delivery.NotSent -> CommandOutcome.Unreachable
            Delivery.Unknown -> CommandOutcome.Unknown
        }
    }

    private fun commandOutcome(response: Response): CommandOutcome = when (response.status) {
        OK -> decodeReply(response.body)
        CONFLICT, BAD_REQUEST -> CommandOutcome.NotExecuted
        else -> CommandOutcome.Unknown
    }

    /**
     * Asks the worker at [at] for its state, and tells it the [term] if it doesn't know it yet: then the outcome is its
     * state once it does. Two connections must fail before the worker counts as unreachable, since a single lost packet
     * delays a connection by a second.
     */
    public suspend fun probe(at: Address, term: Term, entitled: () -> Boolean): CommandOutcome =
        probePermits.withPermit {
            when (val outcome = inspect(at)) {
                is CommandOutcome.Executed -> announceTerm(at, term, outcome, entitled)
                else -> outcome
            }
        }

    private suspend fun inspect(at: Address): CommandOutcome {
        var delivery = deliverInspection(at)
        if (delivery == Delivery.NotSent) delivery = deliverInspection(at)
        return when (delivery) {
            is Delivery.Answered -> decodeReply(delivery.response.body)
            Delivery.NotSent -> CommandOutcome.Unreachable
            Delivery.Unknown -> CommandOutcome.Unknown
        }
    }

    private suspend fun announceTerm(
        at: Address,
        term: Term,
        inspected: CommandOutcome.Executed,
        entitled: () -> Boolean,
    ): CommandOutcome {
        if (inspected.heartbeat.term >= term || !entitled()) return inspected
        val delivery = deliverCommands(at, term, inspected.heartbeat.sequence.agentEpoch, emptyList())
        val accepted = delivery is Delivery.Answered && delivery.response.status == OK
        return if (accepted) decodeReply(delivery.response.body) else inspected
    }

    private suspend fun deliverInspection(at: Address): Delivery =
        transport.deliver(at, "GET", INSPECT_PATH, null, PROBE_CONNECT_TIMEOUT, REQUEST_TIMEOUT)

    private suspend fun deliverCommands(to: Address, term: Term, agentEpoch: Long, commands: List<Command>): Delivery {
        val body = HeartbeatCodec.encodeDirect(term, agentEpoch, commands)
        return transport.deliver(to, "POST", COMMANDS_PATH, body, CONNECT_TIMEOUT, REQUEST_TIMEOUT)
    }

    private fun decodeReply(body: ByteArray): CommandOutcome = try {
        CommandOutcome.Executed(HeartbeatCodec.decode(body))
    } catch (e: MalformedJson) {
        log.info("malformed answer from=worker reason=\"{}\"", e.message)
        CommandOutcome.Unknown
    }

    private companion object {
        const val COMMANDS_PATH = "/do"
        const val INSPECT_PATH = "/inspect"
        const val MAX_CONCURRENT_COMMANDS = 16
        const val MAX_CONCURRENT_PROBES = 32
        const val OK = 200
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
        val CONNECT_TIMEOUT = 1.seconds
        val PROBE_CONNECT_TIMEOUT = 600.milliseconds
        val REQUEST_TIMEOUT = 3.seconds
    }
}
