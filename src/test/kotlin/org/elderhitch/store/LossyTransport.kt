package org.elderhitch.store

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Handler
import org.elderhitch.http.Message
import org.elderhitch.http.MessageParser
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A simulated network that loses requests and responses, and delivers some requests long after the sender gave up. */
class LossyTransport(private val scope: CoroutineScope, private val random: Random, private val handler: Handler) :
    Transport {
    var failureProbability = 0.15

    override suspend fun call(
        to: Address,
        method: String,
        target: String,
        body: ByteArray?,
        timeout: Duration,
    ): Response? {
        val message = Message("$method $target HTTP/1.1", emptyMap(), body ?: ByteArray(0), true)
        val request = MessageParser.request(message)
        val failureDraw = random.nextDouble()
        if (failureDraw < failureProbability) {
            when {
                failureDraw < failureProbability / 3 -> Unit

                failureDraw < failureProbability * 2 / 3 -> handler.handle(request)

                else -> scope.launch {
                    delay(random.nextLong(MAX_LATE_DELIVERY_MS).milliseconds)
                    handler.handle(request)
                }
            }
            delay(timeout)
            return null
        }
        return withTimeoutOrNull(timeout) {
            delay(random.nextLong(1, MAX_LATENCY_MS).milliseconds)
            val response = handler.handle(request)
            delay(random.nextLong(1, MAX_LATENCY_MS).milliseconds)
            response
        }
    }

    override suspend fun deliver(
        to: Address,
        method: String,
        target: String,
        body: ByteArray?,
        connect: Duration,
        timeout: Duration,
    ): Delivery = call(to, method, target, body, timeout)?.let { Delivery.Answered(it) } ?: Delivery.Unknown

    private companion object {
        const val MAX_LATE_DELIVERY_MS = 20_000L
        const val MAX_LATENCY_MS = 8L
    }
}
