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

/** The watch of the state service when its requests are answered in any order. */
@OptIn(ExperimentalCoroutinesApi::class)
class StateWatchTest {
    private class PendingRequest(val target: String, val answer: CompletableDeferred<Response?> = CompletableDeferred())

    /** Collects the requests; the test answers them in the order that it chooses. */
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

        fun firstPending(targetPart: String): PendingRequest =
            requests.first { targetPart in it.target && !it.answer.isCompleted }
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

    private fun PendingRequest.respondWithChanges(revision: Long, vararg events: Map<String, Any?>) =
        answer.complete(Response(200, Json.bytes(linkedMapOf("ledgerMark" to revision, "events" to events.toList()))))

    private fun PendingRequest.respondWithPage(
        revision: Long,
        vararg keys: Pair<String, Long>,
        more: Boolean = false,
    ): Boolean {
        val entries = keys.map { (key, version) ->
            linkedMapOf("k" to key, "value" to emptyMap<String, Any?>(), "entryMark" to version)
        }
        val page = linkedMapOf("entries" to entries, "more" to more, "ledgerMark" to revision)
        return answer.complete(Response(200, Json.bytes(page)))
    }

    private fun PendingRequest.respondWithError(status: Int) = answer.complete(Response(status, ByteArray(0)))

    /**
     * Guards against two concurrent reloads. A blocking watch and a freshness check both learn that their revision is
     * compacted. Each listed everything again, and the slower one replaced the newer listing by an older one.
     */
    @Test
    fun `the watch lists everything only once when several requests find their revision compacted`() = runTest {
        val transport = ManualTransport()
        val listener = RecordingListener()
        val stateWatch = stateWatch(transport, listener)
        stateWatch.start()
        delay(1.milliseconds)
        transport.firstPending("/store?").respondWithPage(10, "v/a/job/req-1" to 5)
        delay(1.milliseconds)
        val check = async { stateWatch.checkFreshness() }
        val otherCheck = async { stateWatch.checkFreshness() }
        delay(1.milliseconds)
        transport.firstPending("blockMs=10000").respondWithError(410)
        transport.firstPending("blockMs=0").respondWithError(410)
        delay(1.milliseconds)
        assertFalse(stateWatch.loaded, "nothing may count as loaded during the listing")
        // Requested at revision 10 and answered during the new listing.
        transport.firstPending("blockMs=0").respondWithChanges(40, put("v/a/job/req-4", 35))
        assertFalse(otherCheck.await())
        transport.firstPending("/store?").respondWithPage(30, "v/a/job/req-3" to 25)
        assertFalse(check.await(), "the listing was done by another call")
        delay(1.milliseconds)
        assertEquals(2, transport.requests.count { "/store?" in it.target })
        assertEquals(setOf("v/a/job/req-3"), listener.keys.keys)
        transport.firstPending("blockMs=10000").also {
            assertTrue("after=30" in it.target, it.target)
        }.respondWithChanges(40, put("v/a/job/req-4", 35), put("v/a/job/req-5", 31))
        delay(1.milliseconds)
        assertEquals(setOf("v/a/job/req-3", "v/a/job/req-4", "v/a/job/req-5"), listener.keys.keys)
    }

    /**
     * Guards against losing changes after a reload. The response to a request from before the reload contains only the
     * changes after the revision of that request. Applied to an older listing, it would skip the changes in between.
     */
    @Test
    fun `the watch drops a response that continues a later revision than a listing made since the request`() = runTest {
        val transport = ManualTransport()
        val listener = RecordingListener()
        val stateWatch = stateWatch(transport, listener)
        stateWatch.start()
        delay(1.milliseconds)
        transport.firstPending("/store?").respondWithPage(50)
        delay(1.milliseconds)
        val lateCheck = async { stateWatch.checkFreshness() }
        delay(1.milliseconds)
        transport.firstPending("blockMs=10000").respondWithError(410)
        delay(1.milliseconds)
        // A listing in two pages. The first has an earlier revision than the one that the pending request continues, as
        // after the restore of a backup or a fault in the reload.
        transport.firstPending("/store?").respondWithPage(40, "v/a/job/req-1" to 30, more = true)
        delay(1.milliseconds)
        transport.firstPending("after=v/a/job/req-1").respondWithPage(45, "v/a/job/req-9" to 44)
        delay(1.milliseconds)
        transport.firstPending("blockMs=0").respondWithChanges(60, put("v/a/job/req-6", 55))
        assertFalse(lateCheck.await())
        assertEquals(setOf("v/a/job/req-1", "v/a/job/req-9"), listener.keys.keys)
    }

    @Test
    fun `a freshness check counts from when it was sent if its response is complete and not outdated`() = runTest {
        val transport = ManualTransport()
        val listener = RecordingListener()
        val stateWatch = stateWatch(transport, listener)
        stateWatch.start()
        delay(1.milliseconds)
        transport.firstPending("/store?").respondWithPage(10)
        delay(1.milliseconds)
        listener.freshTimes.clear()
        suspend fun check(after: Duration, answer: PendingRequest.() -> Unit): Boolean {
            val check = async { stateWatch.checkFreshness() }
            delay(after)
            transport.firstPending("blockMs=0").answer()
            return check.await()
        }
        val sent = clock().now()
        assertTrue(check(700.milliseconds) { respondWithChanges(12) })
        assertEquals(listOf(sent), listener.freshTimes)
        assertFalse(check(1.milliseconds) { respondWithChanges(11) }, "the response is older than the known revision")
        assertFalse(
            check(1.milliseconds) {
                answer.complete(Response(200, "{\"ledgerMark\":13,\"events\":[{\"put\":".encodeToByteArray()))
            },
            "the response is truncated",
        )
        assertFalse(check(1.milliseconds) { respondWithError(503) })
        assertFalse(check(1.milliseconds) { answer.complete(null) })
        assertEquals(1, listener.freshTimes.size)
        val again = clock().now()
        assertTrue(check(3.seconds) { respondWithChanges(12) })
        assertEquals(listOf(sent, again), listener.freshTimes)
    }
}
