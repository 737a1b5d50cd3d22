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

/** What carries requests to other processes. Null: no answer, and nobody knows whether it was carried out. */
public interface Transport {
    public suspend fun call(
        to: Address,
        method: String,
        target: String,
        body: ByteArray? = null,
        timeout: Duration,
    ): Response?
}
