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
 * Serves one address. A connection that sits idle is closed after [idle]; one that leaves a request half sent is closed
 * after [slow]. At [maxConnections] the connection that was idle longest makes room, so that a full node still serves.
 */
public class HttpServer(
    private val group: AsynchronousChannelGroup,
    private val scope: CoroutineScope,
    private val clock: SteadyClock,
    private val maxConnections: Int,
    private val limits: Limits = Limits(),
    private val idle: Duration = 120.seconds,
    private val slow: Duration = 10.seconds,
) {
    private class Connection(val channel: AsynchronousSocketChannel) {
        var quietSince: MonotonicInstant = MonotonicInstant.FOREVER
    }

    private val log = LoggerFactory.getLogger("elderhitch.http")
    private val open = LinkedHashSet<Connection>()

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
                        // Out of sockets: whoever is idle longest makes room, and the next connection waits a moment.
                        log.info("accept failed reason={}", e.message)
                        shed()
                        delay(ACCEPT_PAUSE)
                        continue
                    }
                    if (open.size >= maxConnections && !shed()) {
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

    private fun shed(): Boolean {
        val oldest =
            open.filter { it.quietSince < MonotonicInstant.FOREVER }.minByOrNull { it.quietSince } ?: return false
        oldest.channel.closeQuietly()
        open.remove(oldest)
        return true
    }

    private suspend fun serve(connection: Connection, handler: Handler) {
        val channel = connection.channel
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            val parser = MessageParser(limits, isResponse = false)
            val buffer = ByteBuffer.allocate(BUFFER)
            val from = (channel.remoteAddress as? InetSocketAddress)?.address?.hostAddress
            while (true) {
                val message = readMessage(connection, parser, buffer) ?: return
                val response = try {
                    handler.handle(MessageParser.request(message, from))
                } catch (e: CancellationException) {
                    throw e
                } catch (e: BadMessage) {
                    refusal(e.status, e.message.orEmpty())
                } catch (@Suppress("TooGenericExceptionCaught") e: Exception) {
                    log.error("request failed line=\"{}\"", message.startLine, e)
                    refusal(INTERNAL, "internal error")
                }
                send(channel, response, message.keepAlive)
                if (!message.keepAlive) return
            }
        } catch (e: BadMessage) {
            log.info("request refused status={} reason=\"{}\"", e.status, e.message)
            try {
                send(channel, refusal(e.status, e.message.orEmpty()), keepAlive = false)
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

    private suspend fun readMessage(connection: Connection, parser: MessageParser, buffer: ByteBuffer): Message? {
        if (parser.idle) connection.quietSince = clock.now()
        var started = MonotonicInstant.FOREVER
        while (true) {
            if (buffer.position() > 0) {
                buffer.flip()
                val (taken, message) = parser.feed(buffer.array(), 0, buffer.limit())
                buffer.position(taken)
                buffer.compact()
                if (message != null) {
                    connection.quietSince = MonotonicInstant.FOREVER
                    return message
                }
            }
            if (!parser.idle && started == MonotonicInstant.FOREVER) started = clock.now()
            val patience = if (parser.idle) idle else slow - (clock.now() - started)
            val read = withTimeoutOrNull(patience) { connection.channel.readInto(buffer) } ?: return null
            if (read < 0) return null
        }
    }

    private suspend fun send(channel: AsynchronousSocketChannel, response: Response, keepAlive: Boolean) {
        val head = StringBuilder(HEAD_SIZE)
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
        if (withTimeoutOrNull(slow) { channel.writeAll(buffer) } == null) throw IOException("the peer doesn't read")
    }

    public companion object {
        /**
         * After a crash of all controllers each worker and user comes back within a second, while the process that has
         * just started is slow.
         */
        private const val BACKLOG = 1024
        private const val BUFFER = 4096
        private const val HEAD_SIZE = 160
        private const val INTERNAL = 500
        private const val WRONG_METHOD = 405
        private val ACCEPT_PAUSE = 20.milliseconds

        public fun refusal(status: Int, reason: String, retryAfter: Duration? = null): Response = Response(
            status,
            Json.bytes(mapOf("error" to reason)),
            if (retryAfter == null) {
                emptyMap()
            } else {
                mapOf("Retry-After" to retryAfter.inWholeSeconds.coerceAtLeast(1).toString())
            },
        )

        /** Serves the one method that a path has. */
        public suspend fun only(method: String, request: Request, serve: suspend () -> Response): Response {
            if (request.method == method) return serve()
            return refusal(WRONG_METHOD, "only $method").let { Response(it.status, it.body, mapOf("Allow" to method)) }
        }
    }
}
