package org.elderhitch.http

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.elderhitch.time.SystemSteadyClock
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.Executors
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class HttpServerTest {
    /** Keeps its connection between requests, and opens a new one if the server has closed it. */
    private class KeepAliveClient(private val port: Int) {
        private var socket: Socket? = null
        var connectionsOpened = 0
            private set

        fun request(): Boolean = tryRequest() || tryRequest()

        private fun tryRequest(): Boolean = try {
            val open = socket ?: Socket().also {
                it.soTimeout = TIMEOUT_MS
                it.connect(InetSocketAddress("127.0.0.1", port), TIMEOUT_MS)
                socket = it
                connectionsOpened++
            }
            open.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
            val response = ByteArray(512)
            var length = 0
            while ("\r\n\r\nok" !in String(response, 0, length)) {
                val read = open.getInputStream().read(response, length, response.size - length)
                if (read < 0) throw IOException("closed")
                length += read
            }
            true
        } catch (_: IOException) {
            close()
            false
        }

        fun close() {
            socket?.close()
            socket = null
        }
    }

    /**
     * Guards against a server that refuses new connections once it has reached its limit: half as many clients again as
     * it may have connections must all be served in every round, as idle connections are closed in favour of new ones.
     */
    @Test
    fun `a server at its connection limit closes idle connections to serve new clients`() {
        val group = AsynchronousChannelGroup.withThreadPool(Executors.newFixedThreadPool(2))
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default.limitedParallelism(1))
        val port = ServerSocket(0).use { it.localPort }
        HttpServer(
            group,
            scope,
            SystemSteadyClock,
            maxConnections = MAX_CONNECTIONS,
        ).listen(Address("127.0.0.1:$port")) {
            Response(200, "ok".toByteArray())
        }
        val clients = List(MAX_CONNECTIONS * 3 / 2) { KeepAliveClient(port) }
        try {
            repeat(4) { round -> assertEquals(clients.size, clients.count { it.request() }, "round $round") }
            // Some clients had to reconnect, which shows that the test reached the limit.
            assertTrue(clients.sumOf { it.connectionsOpened } > clients.size, "the connection limit was not reached")
        } finally {
            clients.forEach { it.close() }
            scope.cancel()
            group.shutdownNow()
        }
    }

    private companion object {
        const val MAX_CONNECTIONS = 40
        const val TIMEOUT_MS = 5_000
    }
}
