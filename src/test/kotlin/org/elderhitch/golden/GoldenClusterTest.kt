package org.elderhitch.golden

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf
import org.elderhitch.cluster.ForwardedRequest
import org.elderhitch.cluster.ForwardedResponse
import org.elderhitch.cluster.PeerHeartbeat
import org.elderhitch.cluster.TerminalStateBroadcast
import org.elderhitch.cluster.TerminalStateNotice
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Messages between controllers keep their encoding, as two versions run side by side during an update. */
@OptIn(ExperimentalSerializationApi::class, ExperimentalStdlibApi::class)
class GoldenClusterTest {
    private fun hex(name: String) = GoldenFiles.text("cluster/$name.hex")

    private fun <T> read(name: String, serializer: KSerializer<T>): T =
        ProtoBuf.decodeFromByteArray(serializer, hex(name).hexToByteArray())

    /** Decodes the file and asserts that encoding the result gives the same bytes. */
    private fun <T> assertRoundTrip(name: String, serializer: KSerializer<T>): T = read(name, serializer).also {
        assertEquals(hex(name), ProtoBuf.encodeToByteArray(serializer, it).toHexString(), name)
    }

    private fun <T> decodeFailure(bytes: String, serializer: KSerializer<T>): Exception =
        assertFailsWith<Exception> { ProtoBuf.decodeFromByteArray(serializer, bytes.hexToByteArray()) }

    @Test
    fun `a peer heartbeat round-trips`() {
        val full = assertRoundTrip("hello-full", PeerHeartbeat.serializer())
        assertEquals(listOf("n1", "run-1"), listOf(full.node, full.run))
        assertEquals(42L, full.term)
        assertTrue(full.leading && full.reachesState)
        assertEquals(mapOf("req-1" to 300, "req-2" to 0), full.runningTasks)
        assertEquals(listOf(50_000_000L, 4000L), listOf(full.openJobsLimitBytes, full.delegateMs))
    }

    @Test
    fun `a peer heartbeat without the fields added later is read with defaults`() {
        val least = assertRoundTrip("hello-least", PeerHeartbeat.serializer())
        assertEquals(listOf("n2", "run-0"), listOf(least.node, least.run))
        assertEquals(listOf(0L, 0L, 0L), listOf(least.term, least.openJobsLimitBytes, least.delegateMs))
        assertEquals(0L, least.lastToken)
        assertFalse(least.leading || least.reachesState)
        assertEquals(emptyMap(), least.runningTasks)
    }

    @Test
    fun `a peer heartbeat carries the last token of a delegation in field 9`() {
        val heartbeat = read("hello-full", PeerHeartbeat.serializer()).copy(lastToken = 300)
        val encoded = ProtoBuf.encodeToByteArray(PeerHeartbeat.serializer(), heartbeat).toHexString()
        assertEquals(hex("hello-full") + "48ac02", encoded)
    }

    @Test
    fun `a forwarded request round-trips with and without its sender`() {
        val full = assertRoundTrip("forwarded-full", ForwardedRequest.serializer())
        assertEquals(listOf("POST", "/work", "10.0.0.7"), listOf(full.method, full.path, full.senderAddress))
        assertEquals("{\"id\":\"req-1\"}", full.body.decodeToString())
        val least = assertRoundTrip("forwarded-least", ForwardedRequest.serializer())
        assertEquals(listOf("GET", "/work/req-1", ""), listOf(least.method, least.path, least.senderAddress))
        assertEquals(0, least.body.size)
    }

    @Test
    fun `a forwarded response round-trips with and without headers`() {
        val full = assertRoundTrip("answer-full", ForwardedResponse.serializer())
        assertEquals(503, full.status)
        assertEquals("{}", full.body.decodeToString())
        assertEquals(mapOf("Retry-After" to "2"), full.headers)
        val least = assertRoundTrip("answer-least", ForwardedResponse.serializer())
        assertEquals(200, least.status)
        assertEquals(0, least.body.size)
        assertEquals(emptyMap(), least.headers)
    }

    @Test
    fun `a broadcast of terminal states round-trips with and without notices`() {
        val full = assertRoundTrip("news-full", TerminalStateBroadcast.serializer())
        assertEquals("n1", full.node)
        assertEquals(listOf("req-1", "req-2"), full.notices.map { it.job })
        assertEquals(
            listOf("{\"end\":\"withdrawn\",\"done\":3}", "{\"end\":\"done\",\"done\":1}"),
            full.notices.map { it.record.decodeToString() },
        )
        assertEquals(0, assertRoundTrip("news-least", TerminalStateBroadcast.serializer()).notices.size)
    }

    @Test
    fun `a terminal state notice round-trips, full and empty`() {
        val full = assertRoundTrip("told-ending", TerminalStateNotice.serializer())
        assertEquals("req-1", full.job)
        assertEquals("{\"end\":\"withdrawn\",\"done\":3}", full.record.decodeToString())
        val empty = assertRoundTrip("told-ending-empty", TerminalStateNotice.serializer())
        assertEquals("", empty.job)
        assertEquals(0, empty.record.size)
    }

    @Test
    fun `unknown fields are ignored`() {
        val read = read("hello-unknown", PeerHeartbeat.serializer())
        assertEquals(hex("hello-least"), ProtoBuf.encodeToByteArray(PeerHeartbeat.serializer(), read).toHexString())
    }

    @Test
    fun `the error for missing fields names them`() {
        val failure = assertIs<MissingFieldException>(decodeFailure("", PeerHeartbeat.serializer()))
        assertEquals(listOf("node", "run", "term", "leading", "reachesState"), failure.missingFields)
    }

    @Test
    fun `a message truncated within a string or a number fails in the same way as in earlier versions`() {
        val heartbeat = hex("hello-full")
        val truncated =
            assertIs<IndexOutOfBoundsException>(decodeFailure(heartbeat.take(6), PeerHeartbeat.serializer()))
        assertEquals("startIndex: 2, endIndex: 4, size: 3", truncated.message)
        assertIs<IndexOutOfBoundsException>(decodeFailure(heartbeat.take(4), PeerHeartbeat.serializer()))
        val failures = listOf(
            decodeFailure(heartbeat.take(24), PeerHeartbeat.serializer()),
            decodeFailure(hex("answer-full").take(2), ForwardedResponse.serializer()),
            decodeFailure("0a", ForwardedRequest.serializer()),
        )
        for (failure in failures) assertEquals("Unexpected EOF", assertIs<SerializationException>(failure).message)
    }

    @Test
    fun `a field of the wrong type and an overlong varint are rejected`() {
        assertIs<SerializationException>(decodeFailure("0801", PeerHeartbeat.serializer()))
        val overlong =
            assertIs<SerializationException>(decodeFailure("ffffffffffffffffffffff", PeerHeartbeat.serializer()))
        assertEquals("Input stream is malformed: Varint too long (exceeded 64 bits)", overlong.message)
    }
}
