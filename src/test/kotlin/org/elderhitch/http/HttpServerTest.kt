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
    /** One worker's side: it keeps its connection, and opens another where that was closed between two requests. */
    private class Caller(private val port: Int) {
        private var socket: Socket? = null
        var reopened = 0
            private set

        fun ask(): Boolean = send() || send()

        private fun send(): Boolean = try {
            val open = socket ?: Socket().also {
                it.soTimeout = PATIENCE_MS
                it.connect(InetSocketAddress("127.0.0.1", port), PATIENCE_MS)
                socket = it
                reopened++
            }
            open.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
            val answer = ByteArray(512)
            var length = 0
            while ("\r\n\r\nok" !in String(answer, 0, length)) {
                val read = open.getInputStream().read(answer, length, answer.size - length)
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
     * Half as many machines again as there are sockets for: whoever was idle longest makes room, and all are served,
     * round after round.
     */
    @Test
    fun `a server at its limit of connections serves half as many callers again`() {
        val group = AsynchronousChannelGroup.withThreadPool(Executors.newFixedThreadPool(2))
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default.limitedParallelism(1))
        val port = ServerSocket(0).use { it.localPort }
        HttpServer(group, scope, SystemSteadyClock, maxConnections = LIMIT).listen(Address("127.0.0.1:$port")) {
            Response(200, "ok".toByteArray())
        }
        val callers = List(LIMIT * 3 / 2) { Caller(port) }
        try {
            repeat(4) { round -> assertEquals(callers.size, callers.count { it.ask() }, "round $round") }
            // Those that fit are not made to come again each time by those that don't, beyond what the limit asks for.
            assertTrue(callers.sumOf { it.reopened } > callers.size, "the limit was never reached")
        } finally {
            callers.forEach { it.close() }
            scope.cancel()
            group.shutdownNow()
        }
    }

    private companion object {
        const val LIMIT = 40
        const val PATIENCE_MS = 5_000
    }
}
