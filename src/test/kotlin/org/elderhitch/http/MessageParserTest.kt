package org.elderhitch.http

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class MessageParserTest {
    /** Feeds [bytes] to [parser] in pieces that end at the offsets [cuts]. */
    private fun parseAll(bytes: ByteArray, cuts: List<Int>, parser: MessageParser): List<Message> {
        val messages = ArrayList<Message>()
        var from = 0
        for (until in cuts + bytes.size) {
            var position = from
            while (position < until) {
                val (consumed, message) = parser.feed(bytes, position, until)
                position += consumed
                message?.let(messages::add)
            }
            from = until
        }
        return messages
    }

    @Test
    fun `messages are parsed alike however their bytes are split`() {
        val random = Random(1)
        repeat(300) { round ->
            val bodies = List(1 + random.nextInt(4)) { ByteArray(random.nextInt(200)) { random.nextInt(256).toByte() } }
            val bytes = bodies.flatMapIndexed { n, body ->
                val head = if (random.nextBoolean() || body.isEmpty()) {
                    "POST /work/$n HTTP/1.1\r\nContent-Length: ${body.size}\r\n\r\n".toByteArray().toList() +
                        body.toList()
                } else {
                    val cut = random.nextInt(1, body.size + 1)
                    val first = body.copyOf(cut)
                    val rest = body.copyOfRange(cut, body.size)
                    var chunked = "POST /work/$n HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".toByteArray().toList()
                    for (part in listOf(first, rest).filter { it.isNotEmpty() }) {
                        chunked =
                            chunked + "${part.size.toString(16)}\r\n".toByteArray().toList() + part.toList() +
                            "\r\n".toByteArray().toList()
                    }
                    chunked + "0\r\n\r\n".toByteArray().toList()
                }
                head
            }.toByteArray()
            val cuts = List(random.nextInt(6)) { random.nextInt(bytes.size) }.sorted()
            val messages = parseAll(bytes, cuts, MessageParser(MessageLimits(), isResponse = false))
            assertEquals(bodies.size, messages.size, "round $round")
            for ((n, message) in messages.withIndex()) {
                assertEquals("/work/$n", MessageParser.request(message).path)
                assertTrue(bodies[n].contentEquals(message.body), "round $round body $n")
            }
        }
    }

    @Test
    fun `messages that exceed a limit or violate the protocol are rejected`() {
        fun status(text: String, limits: MessageLimits = MessageLimits()): Int = assertFailsWith<MalformedMessage> {
            parseAll(
                text.toByteArray(),
                emptyList(),
                MessageParser(limits, isResponse = false),
            ).forEach(MessageParser::request)
        }.status
        assertEquals(414, status("GET /" + "a".repeat(5000) + " HTTP/1.1\r\n\r\n"))
        assertEquals(431, status("GET / HTTP/1.1\r\nX: " + "a".repeat(20_000) + "\r\n\r\n"))
        assertEquals(431, status("GET / HTTP/1.1\r\n" + "X: a\r\n".repeat(70) + "\r\n"))
        assertEquals(400, status("POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"))
        assertEquals(400, status("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"))
        assertEquals(400, status("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n"))
        assertEquals(400, status("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"))
        assertEquals(400, status("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"))
        assertEquals(501, status("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"))
        assertEquals(400, status("GET / HTTP/1.1\nHost: a\n\n"))
        assertEquals(400, status("GET / HTTP/1.1\r\n folded: a\r\n\r\n"))
        assertEquals(400, status("get / HTTP/1.1\r\n\r\n"))
        assertEquals(400, status("GET nowhere HTTP/1.1\r\n\r\n"))
        assertEquals(400, status("GET /a?b=%zz HTTP/1.1\r\n\r\n"))
    }

    @Test
    fun `a connection is kept alive unless the headers or the version say otherwise`() {
        fun keepsAlive(text: String) =
            parseAll(text.toByteArray(), emptyList(), MessageParser(MessageLimits(), isResponse = false))
                .single().keepAlive
        assertTrue(keepsAlive("GET / HTTP/1.1\r\n\r\n"))
        assertTrue(!keepsAlive("GET / HTTP/1.1\r\nConnection: Close\r\n\r\n"))
        assertTrue(!keepsAlive("GET / HTTP/1.0\r\n\r\n"))
        val parser = MessageParser(MessageLimits(), isResponse = false)
        assertTrue(parser.isIdle)
        assertNull(parser.feed("GET ".toByteArray(), 0, 4).second)
        assertTrue(!parser.isIdle)
    }

    @Test
    fun `random bytes are parsed or rejected as malformed`() {
        val random = Random(2)
        repeat(2000) {
            val bytes = ByteArray(random.nextInt(1, 80)) { random.nextInt(256).toByte() }
            try {
                parseAll(bytes, emptyList(), MessageParser(MessageLimits(), isResponse = false)).forEach {
                    assertNotNull(MessageParser.request(it))
                }
            } catch (e: MalformedMessage) {
                assertTrue(e.status in 400..501)
            }
        }
    }
}
