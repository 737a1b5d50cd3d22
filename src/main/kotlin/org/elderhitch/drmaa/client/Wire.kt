package org.elderhitch.drmaa.client

import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.ggf.drmaa.AuthorizationException
import org.ggf.drmaa.ConflictingAttributeValuesException
import org.ggf.drmaa.DeniedByDrmException
import org.ggf.drmaa.DrmCommunicationException
import org.ggf.drmaa.DrmaaException
import org.ggf.drmaa.HoldInconsistentStateException
import org.ggf.drmaa.InternalException
import org.ggf.drmaa.InvalidAttributeFormatException
import org.ggf.drmaa.InvalidAttributeValueException
import org.ggf.drmaa.InvalidContactStringException
import org.ggf.drmaa.InvalidJobException
import org.ggf.drmaa.NoActiveSessionException
import org.ggf.drmaa.ReleaseInconsistentStateException
import org.ggf.drmaa.ResumeInconsistentStateException
import org.ggf.drmaa.SuspendInconsistentStateException
import org.ggf.drmaa.TryLaterException
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Where the controllers are, and by which right they are asked: `elderhitch://HOST:PORT,HOST:PORT?token=TOKEN`. */
internal data class ContactString(val nodes: List<String>, val token: String) {
    override fun toString(): String = "$SCHEME${nodes.joinToString(",")}?$TOKEN$token"

    companion object {
        private const val SCHEME = "elderhitch://"
        private const val TOKEN = "token="
        private val NODE = Regex("[A-Za-z0-9.:\\[\\]-]+:[0-9]{1,5}")

        /** Throws [InvalidContactStringException]; the message holds nothing of the token. */
        fun parse(text: String): ContactString {
            val rest = text.trim()
            if (!rest.startsWith(SCHEME)) throw InvalidContactStringException("a contact string begins with $SCHEME")
            val nodes = rest.removePrefix(SCHEME).substringBefore('?').split(',')
            val token = rest.substringAfter("?$TOKEN", "")
            if (nodes.isEmpty() || nodes.any { !NODE.matches(it) }) {
                throw InvalidContactStringException("the contact string names no addresses of the form HOST:PORT")
            }
            if (token.isEmpty() || token.any { it <= ' ' }) {
                throw InvalidContactStringException("the contact string has no token")
            }
            return ContactString(nodes, token)
        }
    }
}

/** One node's answer; [retryAfterS]: when it wants to be asked again. */
internal class NodeAnswer(val status: Int, val body: ByteArray, val retryAfterS: Long?)

/** Carries a request to a node; null: no answer, and nobody knows whether it was carried out. */
internal fun interface Line {
    fun post(node: String, path: String, body: ByteArray, timeoutMs: Long): NodeAnswer?
}

/** The JDK's own client: a program needs nothing else on its class path. */
internal class HttpLine : Line {
    private val client = HttpClient.newBuilder().version(
        HttpClient.Version.HTTP_1_1,
    ).connectTimeout(Duration.ofMillis(CONNECT_MS)).build()

    override fun post(node: String, path: String, body: ByteArray, timeoutMs: Long): NodeAnswer? = try {
        val request = HttpRequest.newBuilder(URI("http://$node$path")).timeout(Duration.ofMillis(timeoutMs))
            .header("Content-Type", "application/json").POST(HttpRequest.BodyPublishers.ofByteArray(body)).build()
        val response = client.send(request, HttpResponse.BodyHandlers.ofByteArray())
        NodeAnswer(
            response.statusCode(),
            response.body(),
            response.headers().firstValue("Retry-After").orElse(null)?.toLongOrNull(),
        )
    } catch (_: IOException) {
        null
    } catch (e: InterruptedException) {
        Thread.currentThread().interrupt()
        throw DrmCommunicationException("interrupted: ${e.message}")
    }

    private companion object {
        const val CONNECT_MS = 2_000L
    }
}

/** Injected, so that tests need not wait. */
internal interface ClientClock {
    fun nowMs(): Long

    fun sleep(ms: Long)
}

internal object SystemClientClock : ClientClock {
    override fun nowMs(): Long = System.nanoTime() / NANOS

    override fun sleep(ms: Long) {
        try {
            Thread.sleep(ms)
        } catch (e: InterruptedException) {
            Thread.currentThread().interrupt()
            throw DrmCommunicationException("interrupted: ${e.message}")
        }
    }

    private const val NANOS = 1_000_000L
}

/**
 * Asks the controllers until one answers. Each request carries its own number, so that asking again, and asking another
 * node, is
 * harmless: what was carried out before its answer was lost is not carried out twice.
 */
internal class Wire(private val contact: ContactString, private val line: Line, private val clock: ClientClock) {
    @Volatile
    private var preferred = 0

    /** Asks again for as long as [patienceMs] lasts. Throws what the daemon names, or [DrmCommunicationException]. */
    fun ask(path: String, fields: Map<String, Any?>, patienceMs: Long, timeoutMs: Long = REQUEST_MS): JsonObject {
        val body = Json.bytes(linkedMapOf<String, Any?>("token" to contact.token) + fields)
        if (body.size > MOST_BYTES) throw InvalidAttributeValueException("the request is larger than $MOST_BYTES bytes")
        val until = clock.nowMs() + patienceMs
        var failure: DrmaaException = DrmCommunicationException("none of ${contact.nodes} answers")
        var tries = 0
        while (true) {
            val at = preferred
            val answer = line.post(contact.nodes[at % contact.nodes.size], "/drmaa/$path", body, timeoutMs)
            tries++
            var pause = 0L
            if (answer == null) {
                preferred = at + 1
                if (tries % contact.nodes.size == 0) pause = AGAIN_MS
            } else if (answer.status == BUSY || answer.status == TOO_MANY) {
                failure = fault(answer)
                preferred = at + 1
                // The next node may do better at once; after a round of refusals they say when to come back.
                if (tries % contact.nodes.size == 0) pause = (answer.retryAfterS ?: 1) * MS
            } else if (answer.status == OK) {
                return decoded(answer.body)
            } else {
                throw fault(answer)
            }
            if (clock.nowMs() + pause >= until) throw failure
            if (pause > 0) clock.sleep(pause)
        }
    }

    private fun decoded(body: ByteArray): JsonObject = try {
        Json.parseObject(body)
    } catch (e: MalformedJson) {
        throw DrmCommunicationException("the daemon's answer can't be read: ${e.message}").apply { initCause(e) }
    }

    private fun fault(answer: NodeAnswer): DrmaaException {
        val said = try {
            Json.parseObject(answer.body)
        } catch (_: MalformedJson) {
            return DrmCommunicationException(
                "status ${answer.status}, and no word why: is this a controller of elderhitch?",
            )
        }
        val reason = (said.raw("error") as? String) ?: "status ${answer.status}"
        return when (said.raw("exception") as? String) {
            "InvalidContactStringException" -> InvalidContactStringException(reason)

            "InvalidAttributeFormatException" -> InvalidAttributeFormatException(reason)

            "InvalidAttributeValueException" -> InvalidAttributeValueException(reason)

            "ConflictingAttributeValuesException" -> ConflictingAttributeValuesException(reason)

            // The binding has no checked exception for it.
            "InvalidArgumentException" -> throw IllegalArgumentException(reason)

            "AuthorizationException" -> AuthorizationException(reason)

            "DeniedByDrmException" -> DeniedByDrmException(reason)

            "InvalidJobException" -> InvalidJobException(reason)

            "NoActiveSessionException" -> NoActiveSessionException(reason)

            "HoldInconsistentStateException" -> HoldInconsistentStateException(reason)

            "ReleaseInconsistentStateException" -> ReleaseInconsistentStateException(reason)

            "SuspendInconsistentStateException" -> SuspendInconsistentStateException(reason)

            "ResumeInconsistentStateException" -> ResumeInconsistentStateException(reason)

            "TryLaterException" -> TryLaterException(reason)

            "DrmCommunicationException" -> DrmCommunicationException(reason)

            else -> if (answer.status == NOT_FOUND) {
                DrmCommunicationException("the controllers don't serve DRMAA: $reason")
            } else {
                InternalException(reason)
            }
        }
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val TOO_MANY = 429
        const val BUSY = 503
        const val MS = 1000L
        const val REQUEST_MS = 8_000L
        const val AGAIN_MS = 500L
        const val MOST_BYTES = 64 * 1024
    }
}
