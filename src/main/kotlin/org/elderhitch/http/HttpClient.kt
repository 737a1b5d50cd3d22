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

/** Calls other processes over connections that stay open between calls. Used from one thread only. */
public class HttpClient(
    private val group: AsynchronousChannelGroup,
    private val clock: SteadyClock,
    private val limits: Limits = Limits(headers = 16 * 1024, body = 16 * 1024 * 1024),
) : Transport {
    private class Connection(
        val channel: AsynchronousSocketChannel,
        val parser: MessageParser,
        var usedAt: MonotonicInstant,
    ) {
        var reusable = false
    }

    private val log = LoggerFactory.getLogger("elderhitch.http")
    private val idle = HashMap<Address, ArrayDeque<Connection>>()

    override suspend fun call(
        to: Address,
        method: String,
        target: String,
        body: ByteArray?,
        timeout: Duration,
    ): Response? {
        val sent = request(to, method, target, body)
        return try {
            withTimeoutOrNull(timeout) {
                val kept = keptConnection(to)
                if (kept != null && method == "GET") {
                    // A server may have closed a kept connection meanwhile; only a read is surely harmless twice.
                    try {
                        return@withTimeoutOrNull exchange(to, kept, sent)
                    } catch (e: IOException) {
                        log.debug("kept connection to {} lost: {}", to, e.message)
                    }
                    exchange(to, connect(to), sent)
                } else {
                    exchange(to, kept ?: connect(to), sent)
                }
            }
        } catch (e: IOException) {
            log.debug("no answer from {} for {}: {}", to, target, e.message)
            null
        } catch (e: BadMessage) {
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
                Delivery.Answered(converse(connection, request(to, method, target, body, last = true)))
            } ?: Delivery.Unknown
        } catch (e: IOException) {
            log.debug("no answer from {} for {}: {}", to, target, e.message)
            Delivery.Unknown
        } catch (e: BadMessage) {
            log.info("malformed answer from={} reason=\"{}\"", to, e.message)
            Delivery.Unknown
        } finally {
            connection.channel.closeQuietly()
        }
    }

    private fun keptConnection(to: Address): Connection? {
        val list = idle[to] ?: return null
        val oldest = clock.now() - KEPT
        while (true) {
            val connection = list.removeLastOrNull() ?: return null
            if (connection.usedAt >= oldest && connection.channel.isOpen) return connection
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

    private fun request(
        to: Address,
        method: String,
        target: String,
        body: ByteArray?,
        last: Boolean = false,
    ): ByteArray {
        val head = StringBuilder(
            HEAD_SIZE,
        ).append(method).append(' ').append(target).append(" HTTP/1.1\r\nHost: ").append(to.text)
            .append("\r\n")
        if (body != null) {
            head.append("Content-Type: application/json\r\nContent-Length: ").append(body.size).append("\r\n")
        }
        if (last) head.append("Connection: close\r\n")
        head.append("\r\n")
        return head.toString().toByteArray(Charsets.ISO_8859_1) + (body ?: ByteArray(0))
    }

    private suspend fun converse(connection: Connection, sent: ByteArray): Response {
        connection.channel.writeAll(ByteBuffer.wrap(sent))
        val buffer = ByteBuffer.allocate(BUFFER)
        while (true) {
            buffer.clear()
            if (connection.channel.readInto(buffer) < 0) throw IOException("closed before the answer was complete")
            val (taken, message) = connection.parser.feed(buffer.array(), 0, buffer.position())
            if (message != null) {
                connection.reusable = message.keepAlive && taken == buffer.position()
                return MessageParser.response(message)
            }
        }
    }

    private suspend fun exchange(to: Address, connection: Connection, sent: ByteArray): Response {
        connection.reusable = false
        try {
            return converse(connection, sent)
        } finally {
            val list = idle.getOrPut(to) { ArrayDeque() }
            if (connection.reusable && list.size < KEPT_PER_ADDRESS) {
                connection.usedAt = clock.now()
                list.addLast(connection)
            } else {
                connection.channel.closeQuietly()
            }
            if (idle.size > MANY_ADDRESSES) forgetUnused()
        }
    }

    private fun forgetUnused() {
        val oldest = clock.now() - KEPT
        idle.values.forEach { list ->
            list.removeAll { c -> (c.usedAt < oldest).also { if (it) c.channel.closeQuietly() } }
        }
        idle.values.removeAll { it.isEmpty() }
    }

    private companion object {
        const val BUFFER = 8192
        const val HEAD_SIZE = 160
        const val KEPT_PER_ADDRESS = 4
        const val MANY_ADDRESSES = 32
        val KEPT = 20.seconds
    }
}
