package org.elderhitch.http

import kotlin.time.Duration

/** An IP address and a port in the form `10.0.0.1:8080`. */
@JvmInline
public value class Address(public val text: String) {
    public val host: String get() = text.substringBeforeLast(':')
    public val port: Int get() = text.substringAfterLast(':').toInt()

    override fun toString(): String = text

    public companion object {
        private const val MAX_PORT = 65535

        /** Null unless [text] is a host, a colon and a port. */
        public fun parse(text: String): Address? {
            val colon = text.lastIndexOf(':')
            val port = text.substring(colon + 1).toIntOrNull()
            return if (colon < 1 || port == null || port !in 1..MAX_PORT) null else Address(text)
        }
    }
}

/** A request as a [Handler] receives it; [path] and [query] are the parts of its target. */
public class Request(
    public val method: String,
    public val path: String,
    public val query: Map<String, String>,
    public val body: ByteArray,
    /** The IP address of the sender; null if unknown. */
    public val remoteAddress: String? = null,
)

public class Response(
    public val status: Int,
    public val body: ByteArray,
    public val headers: Map<String, String> = emptyMap(),
    public val contentType: String = "application/json",
)

/** Serves requests. */
public fun interface Handler {
    public suspend fun handle(request: Request): Response
}

/** The outcome of a request whose caller must know whether it may have been executed. */
public sealed interface Delivery {
    /** The response arrived. */
    public class Answered(public val response: Response) : Delivery

    /** No connection could be established, so the request was not sent and will never be executed. */
    public data object NotSent : Delivery

    /** No response arrived: the request may have been executed, or may still be executed later. */
    public data object Unknown : Delivery
}

/** Sends requests to other processes. */
public interface Transport {
    /**
     * Sends a request over a connection of its own, for recipients that are many and rarely called. [connect] limits
     * the time to establish the connection, [timeout] the time from then until the response is complete.
     */
    public suspend fun deliver(
        to: Address,
        method: String,
        target: String,
        body: ByteArray?,
        connect: Duration,
        timeout: Duration,
    ): Delivery

    /** Sends a request. Null if no response arrives within [timeout]; the request may still have been executed. */
    public suspend fun call(
        to: Address,
        method: String,
        target: String,
        body: ByteArray? = null,
        timeout: Duration,
    ): Response?
}
