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

/** Addresses of the controllers and the token for them: `elderhitch://HOST:PORT,HOST:PORT?token=TOKEN`. */
internal data class ContactString(val nodes: List<String>, val token: String) {
    override fun toString(): String = "$SCHEME${nodes.joinToString(",")}?$TOKEN$token"

    companion object {
        private const val SCHEME = "elderhitch://"
        private const val TOKEN = "token="
        private val NODE = Regex("[A-Za-z0-9.:\\[\\]-]+:[0-9]{1,5}")

        /** Throws [InvalidContactStringException]; the message doesn't contain the token. */
        fun parse(text: String): ContactString {
            val rest = text.trim()
            if (!rest.startsWith(SCHEME)) throw InvalidContactStringException("contact string must begin with $SCHEME")
            val nodes = rest.removePrefix(SCHEME).substringBefore('?').split(',')
            val token = rest.substringAfter("?$TOKEN", "")
            if (nodes.isEmpty() || nodes.any { !NODE.matches(it) }) {
                throw InvalidContactStringException("the contact string must name addresses of the form HOST:PORT")
            }
            if (token.isEmpty() || token.any { it <= ' ' }) {
                throw InvalidContactStringException("the contact string has no token")
            }
            return ContactString(nodes, token)
        }
    }
}

/** A node's HTTP response; [retryAfterS]: its Retry-After header, in seconds. */
internal class NodeAnswer(val status: Int, val body: ByteArray, val retryAfterS: Long?)

/** Sends a request to a node; null if there is no answer, in which case it may or may not have been carried out. */
internal fun interface Line {
    fun post(node: String, path: String, body: ByteArray, timeoutMs: Long): NodeAnswer?
}

/** Uses the HTTP client of the JDK, so that programs need no other library on their class path. */
internal class HttpTransport : Line {
    private val client = HttpClient.newBuilder().version(
        HttpClient.Version.HTTP_1_1,
    ).connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS)).build()

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
        const val CONNECT_TIMEOUT_MS = 2_000L
    }
}

/** The clock for retries and deadlines; tests replace it to avoid real waiting. */
internal interface ClientClock {
    fun nowMs(): Long

    fun sleep(ms: Long)
}

internal object SystemClientClock : ClientClock {
    override fun nowMs(): Long = System.nanoTime() / NANOS_PER_MS

    override fun sleep(ms: Long) {
        try {
            Thread.sleep(ms)
        } catch (e: InterruptedException) {
            Thread.currentThread().interrupt()
            throw DrmCommunicationException("interrupted: ${e.message}")
        }
    }

    private const val NANOS_PER_MS = 1_000_000L
}

/**
 * Sends requests to the controllers, retrying until one answers. Requests that must not be carried out twice carry an
 * id that stays the same on a retry, so it is safe to retry after a lost answer, also at another node.
 */
internal class Wire(private val contact: ContactString, private val transport: Line, private val clock: ClientClock) {
    @Volatile
    private var preferredNode = 0

    /** Retries for up to [retryLimitMs]. Throws the exception named by a controller or [DrmCommunicationException]. */
    fun ask(
        path: String,
        fields: Map<String, Any?>,
        retryLimitMs: Long,
        timeoutMs: Long = REQUEST_TIMEOUT_MS,
    ): JsonObject {
        val body = Json.bytes(linkedMapOf<String, Any?>("token" to contact.token) + fields)
        if (body.size > MAX_BYTES) throw InvalidAttributeValueException("the request is larger than $MAX_BYTES bytes")
        val deadline = clock.nowMs() + retryLimitMs
        var failure: DrmaaException = DrmCommunicationException("no answer from any of ${contact.nodes}")
        var attempts = 0
        while (true) {
            val index = preferredNode
            val answer = transport.post(contact.nodes[index % contact.nodes.size], "/drmaa/$path", body, timeoutMs)
            attempts++
            var pauseMs = 0L
            if (answer == null) {
                preferredNode = index + 1
                if (attempts % contact.nodes.size == 0) pauseMs = RETRY_PAUSE_MS
            } else if (answer.status == SERVICE_UNAVAILABLE || answer.status == TOO_MANY_REQUESTS) {
                failure = exceptionOf(answer)
                preferredNode = index + 1
                // Tries the next node at once; pauses as Retry-After says once all nodes were tried.
                if (attempts % contact.nodes.size == 0) pauseMs = (answer.retryAfterS ?: 1) * MS_PER_S
            } else if (answer.status == OK) {
                return decode(answer.body)
            } else {
                throw exceptionOf(answer)
            }
            if (clock.nowMs() + pauseMs >= deadline) throw failure
            if (pauseMs > 0) clock.sleep(pauseMs)
        }
    }

    private fun decode(body: ByteArray): JsonObject = try {
        Json.parseObject(body)
    } catch (e: MalformedJson) {
        throw DrmCommunicationException("malformed answer from the controller: ${e.message}").apply { initCause(e) }
    }

    private fun exceptionOf(answer: NodeAnswer): DrmaaException {
        val fields = try {
            Json.parseObject(answer.body)
        } catch (_: MalformedJson) {
            return DrmCommunicationException(
                "status ${answer.status} without a reason; is this an elderhitch controller?",
            )
        }
        val reason = (fields.raw("error") as? String) ?: "status ${answer.status}"
        return when (fields.raw("exception") as? String) {
            "InvalidContactStringException" -> InvalidContactStringException(reason)

            "InvalidAttributeFormatException" -> InvalidAttributeFormatException(reason)

            "InvalidAttributeValueException" -> InvalidAttributeValueException(reason)

            "ConflictingAttributeValuesException" -> ConflictingAttributeValuesException(reason)

            // The Java binding uses IllegalArgumentException here.
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
        const val TOO_MANY_REQUESTS = 429
        const val SERVICE_UNAVAILABLE = 503
        const val MS_PER_S = 1000L
        const val REQUEST_TIMEOUT_MS = 8_000L
        const val RETRY_PAUSE_MS = 500L
        const val MAX_BYTES = 64 * 1024
    }
}
