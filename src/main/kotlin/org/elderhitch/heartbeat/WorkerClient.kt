package org.elderhitch.heartbeat

import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.FencingToken
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends commands and probes to workers' own addresses. The number of concurrent requests is limited, so that sockets
 * remain available for connections that workers open.
 */
public class WorkerClient(private val transport: Transport) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val commandPermits = Semaphore(MAX_CONCURRENT_COMMANDS)
    private val probePermits = Semaphore(MAX_CONCURRENT_PROBES)

    /**
     * Sends commands to a worker's own address.
     *
     * @param maySendCommands whether the leader may still send commands. Evaluated when the request is about to be
     *   sent, so that a command that waited past the end of the leader's command window isn't sent.
     */
    public suspend fun send(request: DirectCommands, maySendCommands: () -> Boolean): CommandOutcome =
        commandPermits.withPermit {
            if (!maySendCommands()) return CommandOutcome.NotExecuted
            deliver(request)
        }

    private suspend fun deliver(request: DirectCommands): CommandOutcome =
        when (val delivery = deliverCommands(request)) {
            is Delivery.Answered -> commandOutcome(delivery.response)
            Delivery.NotSent -> CommandOutcome.Unreachable
            Delivery.Unknown -> CommandOutcome.Unknown
        }

    private fun commandOutcome(response: Response): CommandOutcome = when (response.status) {
        OK -> decodeReply(response.body)
        CONFLICT, BAD_REQUEST -> CommandOutcome.NotExecuted
        else -> CommandOutcome.Unknown
    }

    /**
     * Requests the state of the worker at [at], and announces [token] if the worker has seen only lower ones. The
     * outcome then holds the worker's state after the announcement. A worker counts as unreachable only after two
     * failed connections, since a single lost packet delays a connection by a second.
     */
    public suspend fun probe(at: Address, token: FencingToken, maySendCommands: () -> Boolean): CommandOutcome =
        probePermits.withPermit {
            when (val outcome = inspect(at)) {
                is CommandOutcome.Executed -> announceTerm(at, token, outcome, maySendCommands)
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
        token: FencingToken,
        inspected: CommandOutcome.Executed,
        maySendCommands: () -> Boolean,
    ): CommandOutcome {
        if (inspected.heartbeat.token >= token || !maySendCommands()) return inspected
        val agentEpoch = inspected.heartbeat.sequence.agentEpoch
        val delivery =
            deliverCommands(DirectCommands(inspected.heartbeat.machine, at, agentEpoch, token, emptyList()))
        val accepted = delivery is Delivery.Answered && delivery.response.status == OK
        return if (accepted) decodeReply(delivery.response.body) else inspected
    }

    private suspend fun deliverInspection(at: Address): Delivery =
        transport.deliver(at, "GET", INSPECT_PATH, null, PROBE_CONNECT_TIMEOUT, REQUEST_TIMEOUT)

    private suspend fun deliverCommands(request: DirectCommands): Delivery {
        val body = HeartbeatCodec.encodeDirect(request.token, request.agentEpoch, request.commands)
        return transport.deliver(request.address, "POST", COMMANDS_PATH, body, CONNECT_TIMEOUT, REQUEST_TIMEOUT)
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
