package org.elderhitch.store

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.json.Json
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The watch of the state service, with responses that arrive in any order. */
@OptIn(ExperimentalCoroutinesApi::class)
class StateWatchTest {
    private class PendingRequest(val target: String, val answer: CompletableDeferred<Response?> = CompletableDeferred())

    /** Leaves all requests unanswered: the test answers them, in the order that it chooses. */
    private class ManualTransport : Transport {
        val requests = ArrayList<PendingRequest>()

        override suspend fun call(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            timeout: Duration,
        ): Response? = PendingRequest(target).also(requests::add).answer.await()

        override suspend fun deliver(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            connect: Duration,
            timeout: Duration,
        ): Delivery = error("not used")

        fun take(part: String): PendingRequest = requests.first { part in it.target && !it.answer.isCompleted }
    }

    private class RecordingListener : StateWatchListener {
        val keys = sortedMapOf<String, Long>()
        val freshTimes = ArrayList<MonotonicInstant>()

        override fun snapshot(entries: List<Entry>, revision: Revision) {
            keys.clear()
            entries.forEach { keys[it.key] = it.version.number }
        }

        override fun changed(changes: List<Change>, revision: Revision) = changes.forEach {
            when (it) {
                is Change.Put -> keys[it.key] = it.version.number
                is Change.Drop -> keys.remove(it.key)
            }
        }

        override fun freshAsOf(since: MonotonicInstant) {
            freshTimes.add(since)
        }
    }

    private fun TestScope.clock() = SteadyClock { MonotonicInstant(currentTime * 1_000_000) }

    private fun TestScope.stateWatch(transport: ManualTransport, listener: RecordingListener): StateWatch {
        val clock = clock()
        return StateWatch(backgroundScope, TestStateClient.of(transport, clock), clock, listener)
    }

    private fun put(key: String, version: Long) = linkedMapOf(
        "put" to key,
        "value" to emptyMap<String, Any?>(),
        "entryMark" to version,
    )

    private fun PendingRequest.changes(revision: Long, vararg events: Map<String, Any?>) =
        answer.complete(Response(200, Json.bytes(linkedMapOf("ledgerMark" to revision, "events" to events.toList()))))

    private fun PendingRequest.page(revision: Long, vararg keys: Pair<String, Long>, more: Boolean = false): Boolean {
        val entries = keys.map { (key, version) ->
            linkedMapOf("k" to key, "value" to emptyMap<String, Any?>(), "entryMark" to version)
        }
        val page = linkedMapOf("entries" to entries, "more" to more, "ledgerMark" to revision)
        return answer.complete(Response(200, Json.bytes(page)))
    }

    private fun PendingRequest.refuse(status: Int) = answer.complete(Response(status, ByteArray(0)))

    /**
     * Both a blocking watch and a freshness check learn that their revision is compacted, and each listed everything
     * again: the slower of the two, which had begun earlier, went back behind the other.
     */
    @Test
    fun `the watch lists everything again once when several requests find their revision compacted`() = runTest {
        val transport = ManualTransport()
        val listener = RecordingListener()
        val stateWatch = stateWatch(transport, listener)
        stateWatch.start()
        delay(1.milliseconds)
        transport.take("/store?").page(10, "v/a/job/req-1" to 5)
        delay(1.milliseconds)
        val check = async { stateWatch.checkFreshness() }
        val other = async { stateWatch.checkFreshness() }
        delay(1.milliseconds)
        transport.take("blockMs=10000").refuse(410)
        transport.take("blockMs=0").refuse(410)
        delay(1.milliseconds)
        assertFalse(stateWatch.loaded, "nothing is loaded until all has been listed")
        // PendingRequest for at 10, and answered while all is read anew.
        transport.take("blockMs=0").changes(40, put("v/a/job/req-4", 35))
        assertFalse(other.await())
        transport.take("/store?").page(30, "v/a/job/req-3" to 25)
        assertFalse(check.await(), "another call listed it")
        delay(1.milliseconds)
        assertEquals(2, transport.requests.count { "/store?" in it.target })
        assertEquals(setOf("v/a/job/req-3"), listener.keys.keys)
        transport.take("blockMs=10000").also {
            assertTrue("after=30" in it.target, it.target)
        }.changes(40, put("v/a/job/req-4", 35), put("v/a/job/req-5", 31))
        delay(1.milliseconds)
        assertEquals(setOf("v/a/job/req-3", "v/a/job/req-4", "v/a/job/req-5"), listener.keys.keys)
    }

    /**
     * The response to a request that was sent before everything was listed again begins where that request did: what
     * lies before is not in it.
     */
    @Test
    fun `the watch drops a response when it continues a later revision than the one that was listed since`() = runTest {
        val transport = ManualTransport()
        val listener = RecordingListener()
        val stateWatch = stateWatch(transport, listener)
        stateWatch.start()
        delay(1.milliseconds)
        transport.take("/store?").page(50)
        delay(1.milliseconds)
        val late = async { stateWatch.checkFreshness() }
        delay(1.milliseconds)
        transport.take("blockMs=10000").refuse(410)
        delay(1.milliseconds)
        // A listing in two pages; the first is of an earlier state than the pending request continues (a service
        // restored from a backup, or a fault of the reload).
        transport.take("/store?").page(40, "v/a/job/req-1" to 30, more = true)
        delay(1.milliseconds)
        transport.take("after=v/a/job/req-1").page(45, "v/a/job/req-9" to 44)
        delay(1.milliseconds)
        transport.take("blockMs=0").changes(60, put("v/a/job/req-6", 55))
        assertFalse(late.await())
        assertEquals(setOf("v/a/job/req-1", "v/a/job/req-9"), listener.keys.keys)
    }

    @Test
    fun `a freshness check counts from its sending when the response is whole and not older than known`() = runTest {
        val transport = ManualTransport()
        val listener = RecordingListener()
        val stateWatch = stateWatch(transport, listener)
        stateWatch.start()
        delay(1.milliseconds)
        transport.take("/store?").page(10)
        delay(1.milliseconds)
        listener.freshTimes.clear()
        suspend fun check(after: Duration, answer: PendingRequest.() -> Unit): Boolean {
            val check = async { stateWatch.checkFreshness() }
            delay(after)
            transport.take("blockMs=0").answer()
            return check.await()
        }
        val sent = clock().now()
        assertTrue(check(700.milliseconds) { changes(12) })
        assertEquals(listOf(sent), listener.freshTimes)
        assertFalse(check(1.milliseconds) { changes(11) }, "older than what was known when it was asked")
        assertFalse(
            check(1.milliseconds) {
                answer.complete(Response(200, "{\"ledgerMark\":13,\"events\":[{\"put\":".encodeToByteArray()))
            },
            "cut short",
        )
        assertFalse(check(1.milliseconds) { refuse(503) })
        assertFalse(check(1.milliseconds) { answer.complete(null) })
        assertEquals(1, listener.freshTimes.size)
        val again = clock().now()
        assertTrue(check(3.seconds) { changes(12) })
        assertEquals(listOf(sent, again), listener.freshTimes)
    }
}
