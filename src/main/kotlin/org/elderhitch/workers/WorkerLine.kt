package org.elderhitch.workers

import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Transport
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.Term
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** What became of commands that were sent to a worker's own address. */
public sealed interface CommandOutcome {
    public data class Executed(val report: Report) : CommandOutcome

    /** Surely not executed, now or later. */
    public data object NotExecuted : CommandOutcome

    /** The same, and the worker took no connection. */
    public data object Unreachable : CommandOutcome

    /** Executed, or not, or still to be executed. */
    public data object Unknown : CommandOutcome
}

/** Sends commands to workers' own addresses, a few at a time: sockets are for those who call. */
public class WorkerLine(private val transport: Transport) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val turns = Semaphore(AT_ONCE)

    /** [entitled] is asked last, when its turn has come: commands don't wait in line beyond the leader's window. */
    public suspend fun send(to: Address, term: Term, session: Long, commands: List<Command>, entitled: () -> Boolean): CommandOutcome =
        turns.withPermit {
            if (!entitled()) return CommandOutcome.NotExecuted
            when (val delivery = transport.deliver(to, "POST", "/do", ReportCodec.encodeDirect(term, session, commands), CONNECT, TIMEOUT)) {
                is Delivery.Answered -> when (delivery.response.status) {
                    OK -> executed(delivery.response.body)
                    CONFLICT, BAD -> CommandOutcome.NotExecuted
                    else -> CommandOutcome.Unknown
                }
                Delivery.NotSent -> CommandOutcome.Unreachable
                Delivery.Unknown -> CommandOutcome.Unknown
            }
        }

    private fun executed(body: ByteArray): CommandOutcome = try {
        CommandOutcome.Executed(ReportCodec.decode(body))
    } catch (e: MalformedJson) {
        log.info("malformed answer from=worker reason=\"{}\"", e.message)
        CommandOutcome.Unknown
    }

    private companion object {
        const val AT_ONCE = 16
        const val OK = 200
        const val BAD = 400
        const val CONFLICT = 409
        val CONNECT = 1.seconds
        val TIMEOUT = 3.seconds
    }
}
