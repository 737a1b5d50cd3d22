package org.elderhitch.http

import kotlin.time.Duration

/** An IP number and a port, as the settings and the workers name them. */
@JvmInline
public value class Address(public val text: String) {
    public val host: String get() = text.substringBeforeLast(':')
    public val port: Int get() = text.substringAfterLast(':').toInt()

    override fun toString(): String = text

    public companion object {
        private const val HIGHEST_PORT = 65535

        /** Null unless the text is a host, a colon and a port. */
        public fun parse(text: String): Address? {
            val colon = text.lastIndexOf(':')
            val port = text.substring(colon + 1).toIntOrNull()
            return if (colon < 1 || port == null || port !in 1..HIGHEST_PORT) null else Address(text)
        }
    }
}

public class Request(
    public val method: String,
    public val path: String,
    public val query: Map<String, String>,
    public val body: ByteArray,
    /** The IP number of whoever sent it; null: not told. */
    public val from: String? = null,
)

public class Response(
    public val status: Int,
    public val body: ByteArray,
    public val headers: Map<String, String> = emptyMap(),
    public val contentType: String = "application/json",
)

/** What serves requests: a slice, or a stand-in. */
public fun interface Handler {
    public suspend fun handle(request: Request): Response
}

/** What became of a request that must not be carried out unnoticed. */
public sealed interface Delivery {
    public class Answered(public val response: Response) : Delivery

    /** No connection came about, so the request was never sent, and never will be. */
    public data object NotSent : Delivery

    /** Perhaps carried out, perhaps later. */
    public data object Unknown : Delivery
}

/** What carries requests to other processes. */
public interface Transport {
    /** A request over a connection of its own: for peers that are many and rarely called. */
    public suspend fun deliver(
        to: Address,
        method: String,
        target: String,
        body: ByteArray?,
        connect: Duration,
        timeout: Duration,
    ): Delivery

    /** Null: no answer, and nobody knows whether it was carried out. */
    public suspend fun call(
        to: Address,
        method: String,
        target: String,
        body: ByteArray? = null,
        timeout: Duration,
    ): Response?
}
