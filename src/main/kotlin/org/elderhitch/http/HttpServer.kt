package org.elderhitch.http

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.elderhitch.json.Json
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * An HTTP/1.1 server. A connection without a request is closed after [idleTimeout]; one whose request is incomplete or
 * whose response isn't read is closed after [transferTimeout]. At [maxConnections] the connection that has been idle
 * longest is closed in favour of a new one; if none is idle, the new one is closed.
 */
public class HttpServer(
    private val group: AsynchronousChannelGroup,
    private val scope: CoroutineScope,
    private val clock: SteadyClock,
    private val maxConnections: Int,
    private val limits: MessageLimits = MessageLimits(),
    private val idleTimeout: Duration = 120.seconds,
    private val transferTimeout: Duration = 10.seconds,
) {
    private class Connection(val channel: AsynchronousSocketChannel) {
        /** When the connection became idle; [MonotonicInstant.FOREVER] while a request is being served. */
        var idleSince: MonotonicInstant = MonotonicInstant.FOREVER
    }

    private val log = LoggerFactory.getLogger("elderhitch.http")
    private val open = LinkedHashSet<Connection>()

    /** Serves [address] with [handler] until the returned job is cancelled. Fails if the address can't be bound. */
    public fun listen(address: Address, handler: Handler): Job {
        val server = AsynchronousServerSocketChannel.open(group)
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        server.bind(InetSocketAddress(address.host, address.port), BACKLOG)
        return scope.launch {
            try {
                while (true) {
                    val channel = try {
                        server.acceptNext()
                    } catch (e: IOException) {
                        // Usually out of sockets: closes the longest idle connection and retries after a delay.
                        log.info("accept failed reason={}", e.message)
                        closeLongestIdle()
                        delay(ACCEPT_RETRY_DELAY)
                        continue
                    }
                    if (open.size >= maxConnections && !closeLongestIdle()) {
                        log.info("connection refused open={}", open.size)
                        channel.closeQuietly()
                        continue
                    }
                    val connection = Connection(channel)
                    open.add(connection)
                    scope.launch { serve(connection, handler) }
                }
            } finally {
                server.closeQuietly()
            }
        }
    }

    /** Returns false if no connection is idle. */
    private fun closeLongestIdle(): Boolean {
        val longestIdle =
            open.filter { it.idleSince < MonotonicInstant.FOREVER }.minByOrNull { it.idleSince } ?: return false
        longestIdle.channel.closeQuietly()
        open.remove(longestIdle)
        return true
    }

    private suspend fun serve(connection: Connection, handler: Handler) {
        val channel = connection.channel
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            val parser = MessageParser(limits, isResponse = false)
            val buffer = ByteBuffer.allocate(BUFFER_BYTES)
            val from = (channel.remoteAddress as? InetSocketAddress)?.address?.hostAddress
            while (true) {
                val message = readMessage(connection, parser, buffer) ?: return
                val response = try {
                    handler.handle(MessageParser.request(message, from))
                } catch (e: CancellationException) {
                    throw e
                } catch (e: MalformedMessage) {
                    errorResponse(e.status, e.message.orEmpty())
                } catch (@Suppress("TooGenericExceptionCaught") e: Exception) {
                    log.error("request failed line=\"{}\"", message.startLine, e)
                    errorResponse(INTERNAL_ERROR, "internal error")
                }
                send(channel, response, message.keepAlive)
                if (!message.keepAlive) return
            }
        } catch (e: MalformedMessage) {
            log.info("request refused status={} reason=\"{}\"", e.status, e.message)
            try {
                send(channel, errorResponse(e.status, e.message.orEmpty()), keepAlive = false)
            } catch (io: IOException) {
                log.debug("refusal not sent: {}", io.message)
            }
        } catch (e: IOException) {
            log.debug("connection lost: {}", e.message)
        } finally {
            open.remove(connection)
            channel.closeQuietly()
        }
    }

    /** Null if the peer closes the connection or a timeout passes. */
    private suspend fun readMessage(connection: Connection, parser: MessageParser, buffer: ByteBuffer): Message? {
        if (parser.isIdle) connection.idleSince = clock.now()
        var startedAt = MonotonicInstant.FOREVER
        while (true) {
            if (buffer.position() > 0) {
                buffer.flip()
                val (consumed, message) = parser.feed(buffer.array(), 0, buffer.limit())
                buffer.position(consumed)
                buffer.compact()
                if (message != null) {
                    connection.idleSince = MonotonicInstant.FOREVER
                    return message
                }
            }
            if (!parser.isIdle && startedAt == MonotonicInstant.FOREVER) startedAt = clock.now()
            val timeout = if (parser.isIdle) idleTimeout else transferTimeout - (clock.now() - startedAt)
            val read = withTimeoutOrNull(timeout) { connection.channel.readInto(buffer) } ?: return null
            if (read < 0) return null
        }
    }

    private suspend fun send(channel: AsynchronousSocketChannel, response: Response, keepAlive: Boolean) {
        val head = StringBuilder(INITIAL_HEAD_CHARS)
            .append("HTTP/1.1 ").append(response.status).append(' ').append(
                HttpStatus.reasonPhrase(response.status),
            ).append("\r\n")
            .append("Content-Type: ").append(response.contentType).append("\r\n")
            .append("Content-Length: ").append(response.body.size).append("\r\n")
        for ((name, value) in response.headers) head.append(name).append(": ").append(value).append("\r\n")
        if (!keepAlive) head.append("Connection: close\r\n")
        head.append("\r\n")
        val headBytes = head.toString().toByteArray(Charsets.ISO_8859_1)
        val buffer = ByteBuffer.allocate(headBytes.size + response.body.size).put(headBytes).put(response.body).flip()
        if (withTimeoutOrNull(transferTimeout) { channel.writeAll(buffer) } == null) throw IOException("write timeout")
    }

    public companion object {
        /**
         * Large because all workers and users reconnect within a second after a crash of all controllers, while a
         * process that has just started accepts slowly.
         */
        private const val BACKLOG = 1024
        private const val BUFFER_BYTES = 4096
        private const val INITIAL_HEAD_CHARS = 160
        private const val INTERNAL_ERROR = 500
        private const val METHOD_NOT_ALLOWED = 405
        private val ACCEPT_RETRY_DELAY = 20.milliseconds

        /** A response whose body gives [reason] as the error. */
        public fun errorResponse(status: Int, reason: String, retryAfter: Duration? = null): Response = Response(
            status,
            Json.bytes(mapOf("error" to reason)),
            if (retryAfter == null) {
                emptyMap()
            } else {
                mapOf("Retry-After" to retryAfter.inWholeSeconds.coerceAtLeast(1).toString())
            },
        )

        /** Serves a path that supports only [method]; answers any other with 405. */
        public suspend fun requireMethod(method: String, request: Request, serve: suspend () -> Response): Response {
            if (request.method == method) return serve()
            return errorResponse(METHOD_NOT_ALLOWED, "only $method").let {
                Response(it.status, it.body, mapOf("Allow" to method))
            }
        }
    }
}
