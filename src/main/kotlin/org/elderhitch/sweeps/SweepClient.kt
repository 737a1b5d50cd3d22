package org.elderhitch.sweeps

import kotlinx.coroutines.delay
import org.elderhitch.http.Address
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The outcome of a request that was tried at all nodes until its timeout. */
public sealed interface Told {
    public class Response(public val status: Int, public val body: JsonObject) : Told

    /** [mayBeDone]: a POST got no response, so it may have been carried out. */
    public class NoResponse(public val mayBeDone: Boolean) : Told
}

/**
 * Sends requests to whichever controller answers. All requests about sweeps are idempotent, so any may be retried.
 */
public class SweepClient(
    private val nodes: List<Address>,
    private val transport: Transport,
    private val clock: SteadyClock,
) {
    private var nodeIndex = 0

    public suspend fun ask(method: String, path: String, body: Map<String, Any?>?, timeout: Duration): Told {
        val deadline = clock.now() + timeout
        var sent = false
        while (true) {
            val response = transport.call(
                nodes[nodeIndex % nodes.size],
                method,
                path,
                body?.let { Json.bytes(it) } ?: if (method == "POST") ByteArray(0) else null,
                REQUEST_TIMEOUT,
            )
            val answer = response?.let(::parseResponse)
            if (answer != null && answer.status != UNAVAILABLE && answer.status != TOO_MANY_REQUESTS) return answer
            // No usable response: try the next node.
            if (response == null && method == "POST") sent = true
            nodeIndex++
            val retryDelay =
                response?.headers?.entries?.firstOrNull {
                    it.key.equals("Retry-After", ignoreCase = true)
                }?.value?.toLongOrNull()?.seconds
                    ?: RETRY_DELAY
            if (clock.now() + retryDelay >= deadline) return answer ?: Told.NoResponse(sent)
            delay(retryDelay)
        }
    }

    /** Null if the response is not from a controller: its body is not JSON. */
    private fun parseResponse(response: Response): Told.Response? = try {
        Told.Response(response.status, Json.parseObject(response.body))
    } catch (_: MalformedJson) {
        null
    }

    /** Sends the parts, then asks for acceptance. After a lost response or a crashed node, each request is retried. */
    public suspend fun submit(id: SweepId, packed: ByteArray, valueBytes: Int, dry: Boolean, timeout: Duration): Told {
        val parts = Parts.split(packed, valueBytes)
        if (parts.size > Parts.MAX) throw BadTemplate("the sweep takes ${parts.size} parts, more than ${Parts.MAX}")
        val deadline = clock.now() + timeout
        while (true) {
            for ((number, data) in parts.withIndex()) {
                val result = ask("POST", "/sweeps/$id/part/$number", mapOf("data" to data), deadline - clock.now())
                if (result !is Told.Response || result.status != OK) return result
            }
            val result = ask(
                "POST",
                "/sweeps/$id",
                mapOf(
                    "parts" to parts.size,
                    "sum" to Description.sum(packed),
                    "dry" to dry,
                ),
                deadline - clock.now(),
            )
            // If a part was deleted as an orphan meanwhile, all parts are sent again.
            val partMissing =
                result is Told.Response &&
                    result.status == CONFLICT &&
                    result.body.stringOrNull("error").orEmpty().endsWith("is missing")
            if (!partMissing || clock.now() >= deadline) return result
        }
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
        val RETRY_DELAY = 300.milliseconds
        val REQUEST_TIMEOUT = 10.seconds
    }
}
