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

/** How a request ended that was tried at all nodes for as long as there was time. */
public sealed interface Told {
    public class Response(public val status: Int, public val body: JsonObject) : Told

    /** [mayBeDone]: a try went out and nobody said what became of it. */
    public class NoResponse(public val mayBeDone: Boolean) : Told
}

/**
 * Speaks to whichever controller answers. All requests of sweeps may be repeated: the same one again changes nothing.
 */
public class SweepClient(
    private val nodes: List<Address>,
    private val transport: Transport,
    private val clock: SteadyClock,
) {
    private var at = 0

    public suspend fun ask(method: String, path: String, body: Map<String, Any?>?, patience: Duration): Told {
        val until = clock.now() + patience
        var sent = false
        while (true) {
            val response = transport.call(
                nodes[at % nodes.size],
                method,
                path,
                body?.let { Json.bytes(it) } ?: if (method == "POST") ByteArray(0) else null,
                TIMEOUT,
            )
            val answer = response?.let(::answer)
            if (answer != null && answer.status != BUSY && answer.status != TOO_MANY) return answer
            // Whatever was said, or not: the next node may do better.
            if (response == null && method == "POST") sent = true
            at++
            val pause =
                response?.headers?.entries?.firstOrNull {
                    it.key.equals("Retry-After", ignoreCase = true)
                }?.value?.toLongOrNull()?.seconds
                    ?: PAUSE
            if (clock.now() + pause >= until) return answer ?: Told.NoResponse(sent)
            delay(pause)
        }
    }

    /** Null: not what a controller says. */
    private fun answer(response: Response): Told.Response? = try {
        Told.Response(response.status, Json.parseObject(response.body))
    } catch (_: MalformedJson) {
        null
    }

    /** Parts first, then the manifest. A lost answer or a node's crash anywhere: the same again. */
    public suspend fun submit(id: SweepId, packed: ByteArray, valueBytes: Int, dry: Boolean, patience: Duration): Told {
        val parts = Parts.split(packed, valueBytes)
        if (parts.size > Parts.MOST) throw BadTemplate("the sweep takes ${parts.size} parts, more than ${Parts.MOST}")
        val until = clock.now() + patience
        while (true) {
            for ((number, data) in parts.withIndex()) {
                val told = ask("POST", "/sweeps/$id/part/$number", mapOf("data" to data), until - clock.now())
                if (told !is Told.Response || told.status != OK) return told
            }
            val told = ask(
                "POST",
                "/sweeps/$id",
                mapOf(
                    "parts" to parts.size,
                    "sum" to Description.sum(packed),
                    "dry" to dry,
                ),
                until - clock.now(),
            )
            // A part that was collected meanwhile is sent again.
            val again =
                told is Told.Response &&
                    told.status == CONFLICT &&
                    told.body.stringOrNull("error").orEmpty().endsWith("is missing")
            if (!again || clock.now() >= until) return told
        }
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val TOO_MANY = 429
        const val BUSY = 503
        val PAUSE = 300.milliseconds
        val TIMEOUT = 10.seconds
    }
}
