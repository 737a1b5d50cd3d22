package org.elderhitch.http

import kotlinx.coroutines.withTimeoutOrNull
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A [Transport] over HTTP/1.1; [call] reuses connections. Not thread-safe. */
public class HttpClient(
    private val group: AsynchronousChannelGroup,
    private val clock: SteadyClock,
    private val limits: MessageLimits = MessageLimits(headerBytes = 16 * 1024, bodyBytes = 16 * 1024 * 1024),
) : Transport {
    private class Connection(
        val channel: AsynchronousSocketChannel,
        val parser: MessageParser,
        var lastUsedAt: MonotonicInstant,
    ) {
        var isReusable = false
    }

    private val log = LoggerFactory.getLogger("elderhitch.http")
    private val idleConnections = HashMap<Address, ArrayDeque<Connection>>()

    override suspend fun call(
        to: Address,
        method: String,
        target: String,
        body: ByteArray?,
        timeout: Duration,
    ): Response? {
        val requestBytes = encodeRequest(to, method, target, body)
        return try {
            withTimeoutOrNull(timeout) {
                val reused = takeIdleConnection(to)
                if (reused != null && method == "GET") {
                    // The server may have closed the idle connection meanwhile. Only a GET is safe to send again.
                    try {
                        return@withTimeoutOrNull exchange(to, reused, requestBytes)
                    } catch (e: IOException) {
                        log.debug("kept connection to {} lost: {}", to, e.message)
                    }
                    exchange(to, connect(to), requestBytes)
                } else {
                    exchange(to, reused ?: connect(to), requestBytes)
                }
            }
        } catch (e: IOException) {
            log.debug("no answer from {} for {}: {}", to, target, e.message)
            null
        } catch (e: MalformedMessage) {
            log.info("malformed answer from={} reason=\"{}\"", to, e.message)
            null
        }
    }

    override suspend fun deliver(
        to: Address,
        method: String,
        target: String,
        body: ByteArray?,
        connect: Duration,
        timeout: Duration,
    ): Delivery {
        val connection = try {
            withTimeoutOrNull(connect) { connect(to) } ?: return Delivery.NotSent
        } catch (e: IOException) {
            log.debug("no connection to {}: {}", to, e.message)
            return Delivery.NotSent
        }
        return try {
            withTimeoutOrNull(timeout) {
                Delivery.Answered(
                    sendAndReceive(connection, encodeRequest(to, method, target, body, closeAfter = true)),
                )
            } ?: Delivery.Unknown
        } catch (e: IOException) {
            log.debug("no answer from {} for {}: {}", to, target, e.message)
            Delivery.Unknown
        } catch (e: MalformedMessage) {
            log.info("malformed answer from={} reason=\"{}\"", to, e.message)
            Delivery.Unknown
        } finally {
            connection.channel.closeQuietly()
        }
    }

    /** Takes the most recently used connection to [to] that has not expired, and closes those that have. */
    private fun takeIdleConnection(to: Address): Connection? {
        val connections = idleConnections[to] ?: return null
        val earliestUse = clock.now() - MAX_IDLE_TIME
        while (true) {
            val connection = connections.removeLastOrNull() ?: return null
            if (connection.lastUsedAt >= earliestUse && connection.channel.isOpen) return connection
            connection.channel.closeQuietly()
        }
    }

    private suspend fun connect(to: Address): Connection {
        val channel = AsynchronousSocketChannel.open(group)
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            channel.connectTo(InetSocketAddress(to.host, to.port))
        } catch (e: IOException) {
            channel.closeQuietly()
            throw e
        }
        return Connection(channel, MessageParser(limits, isResponse = true), clock.now())
    }

    private fun encodeRequest(
        to: Address,
        method: String,
        target: String,
        body: ByteArray?,
        closeAfter: Boolean = false,
    ): ByteArray {
        val head = StringBuilder(INITIAL_HEAD_CHARS)
            .append(method).append(' ').append(target).append(" HTTP/1.1\r\nHost: ").append(to.text)
            .append("\r\n")
        if (body != null) {
            head.append("Content-Type: application/json\r\nContent-Length: ").append(body.size).append("\r\n")
        }
        if (closeAfter) head.append("Connection: close\r\n")
        head.append("\r\n")
        return head.toString().toByteArray(Charsets.ISO_8859_1) + (body ?: ByteArray(0))
    }

    private suspend fun sendAndReceive(connection: Connection, requestBytes: ByteArray): Response {
        connection.channel.writeAll(ByteBuffer.wrap(requestBytes))
        val buffer = ByteBuffer.allocate(BUFFER_BYTES)
        while (true) {
            buffer.clear()
            if (connection.channel.readInto(buffer) < 0) throw IOException("closed before the response was complete")
            val (consumed, message) = connection.parser.feed(buffer.array(), 0, buffer.position())
            if (message != null) {
                connection.isReusable = message.keepAlive && consumed == buffer.position()
                return MessageParser.response(message)
            }
        }
    }

    /** Keeps [connection] for later calls if it can be reused, and closes it otherwise. */
    private suspend fun exchange(to: Address, connection: Connection, requestBytes: ByteArray): Response {
        connection.isReusable = false
        try {
            return sendAndReceive(connection, requestBytes)
        } finally {
            val connections = idleConnections.getOrPut(to) { ArrayDeque() }
            if (connection.isReusable && connections.size < MAX_IDLE_PER_ADDRESS) {
                connection.lastUsedAt = clock.now()
                connections.addLast(connection)
            } else {
                connection.channel.closeQuietly()
            }
            if (idleConnections.size > MAX_ADDRESSES_BEFORE_EVICTION) evictExpired()
        }
    }

    private fun evictExpired() {
        val earliestUse = clock.now() - MAX_IDLE_TIME
        idleConnections.values.forEach { connections ->
            connections.removeAll { c -> (c.lastUsedAt < earliestUse).also { if (it) c.channel.closeQuietly() } }
        }
        idleConnections.values.removeAll { it.isEmpty() }
    }

    private companion object {
        const val BUFFER_BYTES = 8192
        const val INITIAL_HEAD_CHARS = 160
        const val MAX_IDLE_PER_ADDRESS = 4
        const val MAX_ADDRESSES_BEFORE_EVICTION = 32
        val MAX_IDLE_TIME = 20.seconds
    }
}
