package org.elderhitch.lab

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Handler
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import kotlin.random.Random
import kotlin.time.Duration

/** A request to a worker's own address, with the connection and response timeouts of its caller. */
internal class DirectRequest(
    val from: String,
    val to: Address,
    val request: Request,
    val connect: Duration,
    val timeout: Duration,
)

/** Delivers requests to workers' own addresses, under the faults that are set in [network]. */
internal class CommandDelivery(
    private val network: Network,
    private val simulationScope: CoroutineScope,
    private val random: Random,
    private val workerAt: (Address) -> Handler?,
) {
    /** Number of commands that were executed late. */
    var lateCommands = 0
        private set

    /** Delivers a command; the answer may be lost, or the command arrive late. */
    suspend fun deliver(command: DirectRequest): Delivery {
        val to = command.to
        delay(Network.LATENCY)
        val cut = network.cutBetween(command.from, to.host)
        if (isUnreachable(command, cut)) {
            delay(command.connect)
            return Delivery.NotSent
        }
        if (to.host in network.unableToReceive) {
            delay(command.timeout)
            return Delivery.Unknown
        }
        val late = network.lateCommands()
        if (late == null && cut == null) return executeAtOnce(command)
        simulationScope.launch {
            cut?.over?.await()
            delay(late ?: Duration.ZERO)
            lateCommands++
            workerAt(to)?.handle(command.request) ?: return@launch
            repeatLater(command)
        }
        delay(command.timeout)
        return Delivery.Unknown
    }

    /** Whether no connection to the worker exists or can be made. [cut]: the partition between it and its caller. */
    private fun isUnreachable(command: DirectRequest, cut: Cut?): Boolean {
        val to = command.to
        if (workerAt(to) == null ||
            to.host in network.silentWorkers ||
            command.from to "workers" in network.cutPairs
        ) {
            return true
        }
        return cut != null && (cut.mode == CutMode.RESET || random.nextDouble() >= Network.OPEN_CONNECTION_SHARE)
    }

    /** If the machine hangs, the caller times out, and the command is executed when the machine resumes. */
    private suspend fun executeAtOnce(command: DirectRequest): Delivery {
        val from = command.from
        val to = command.to
        val done = CompletableDeferred<Response>()
        val back = network.slowReplies()
        simulationScope.launch {
            workerAt(to)?.handle(command.request)?.let {
                repeatLater(command)
                delay(back)
                done.complete(it)
            }
        }
        val answer = withTimeoutOrNull(command.timeout) { done.await() }
        network.cutBetween(to.host, from)?.let { delay(command.timeout) }
        network.onWork(from, "answer")
        return if (answer == null ||
            network.cutBetween(to.host, from) != null
        ) {
            Delivery.Unknown
        } else {
            Delivery.Answered(answer)
        }
    }

    private fun repeatLater(command: DirectRequest) = network.repeater.schedule(command.request) {
        workerAt(command.to)?.handle(command.request) != null
    }
}
