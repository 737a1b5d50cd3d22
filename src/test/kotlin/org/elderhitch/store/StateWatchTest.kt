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
import org.elderhitch.settings.StateLimits
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What follows from the order in which the state service's answers come in. */
@OptIn(ExperimentalCoroutinesApi::class)
class StateWatchTest {
    private class Asked(val target: String, val answer: CompletableDeferred<Response?> = CompletableDeferred())

    /** Answers nothing by itself: the test answers what was asked, in the order that it likes. */
    private class Held : Transport {
        val asked = ArrayList<Asked>()

        override suspend fun call(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            timeout: Duration,
        ): Response? = Asked(target).also(asked::add).answer.await()

        override suspend fun deliver(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            connect: Duration,
            timeout: Duration,
        ): Delivery = error("not used")

        fun take(part: String): Asked = asked.first { part in it.target && !it.answer.isCompleted }
    }

    private class Heard : StateWatchListener {
        val keys = sortedMapOf<String, Long>()
        val proofs = ArrayList<MonotonicInstant>()

        override fun snapshot(entries: List<Entry>, revision: Revision) {
            keys.clear()
            entries.forEach { keys[it.key] = it.version.number }
        }

        override fun changed(changes: List<Change>, revision: Revision) = changes.forEach {
            if (it is Change.Put) {
                keys[it.key] =
                    it.version.number
            } else {
                keys.remove(it.key)
            }
        }

        override fun freshAsOf(since: MonotonicInstant) {
            proofs.add(since)
        }
    }

    private fun TestScope.clock() = SteadyClock { MonotonicInstant(currentTime * 1_000_000) }

    private fun TestScope.stateWatch(net: Held, heard: Heard): StateWatch {
        val clock = clock()
        return StateWatch(
            backgroundScope,
            StateClient(
                net,
                Address("state:1"),
                StateLimits(1000.0, 1000.0, 8192, 8),
                RequestRateLimiter(clock, 1000.0),
                RequestRateLimiter(clock, 1000.0),
            ),
            clock,
            heard,
        )
    }

    private fun put(key: String, version: Long) = linkedMapOf(
        "put" to key,
        "value" to emptyMap<String, Any?>(),
        "entryMark" to version,
    )

    private fun Asked.changes(revision: Long, vararg events: Map<String, Any?>) =
        answer.complete(Response(200, Json.bytes(linkedMapOf("ledgerMark" to revision, "events" to events.toList()))))

    private fun Asked.page(revision: Long, vararg keys: Pair<String, Long>, more: Boolean = false) = answer.complete(
        Response(
            200,
            Json.bytes(
                linkedMapOf(
                    "entries" to
                        keys.map {
                            linkedMapOf("k" to it.first, "value" to emptyMap<String, Any?>(), "entryMark" to it.second)
                        },
                    "more" to more,
                    "ledgerMark" to revision,
                ),
            ),
        ),
    )

    private fun Asked.refuse(status: Int) = answer.complete(Response(status, ByteArray(0)))

    /**
     * Both a blocking watch and a proof are told that their revision is too old, and each read all anew: the slower of
     * the two, which had begun earlier, went back behind the other.
     */
    @Test
    fun `a thread that is lost is read anew once, whoever notices`() = runTest {
        val net = Held()
        val heard = Heard()
        val stateWatch = stateWatch(net, heard)
        stateWatch.start()
        delay(1.milliseconds)
        net.take("/store?").page(10, "v/a/job/req-1" to 5)
        delay(1.milliseconds)
        val proof = async { stateWatch.checkFreshness() }
        val other = async { stateWatch.checkFreshness() }
        delay(1.milliseconds)
        net.take("blockMs=10000").refuse(410)
        net.take("blockMs=0").refuse(410)
        delay(1.milliseconds)
        assertFalse(stateWatch.loaded, "the thread is lost until all has been read")
        // Asked for at 10, and answered while all is read anew.
        net.take("blockMs=0").changes(40, put("v/a/job/req-4", 35))
        assertFalse(other.await())
        net.take("/store?").page(30, "v/a/job/req-3" to 25)
        assertFalse(proof.await(), "another read it")
        delay(1.milliseconds)
        assertEquals(2, net.asked.count { "/store?" in it.target })
        assertEquals(setOf("v/a/job/req-3"), heard.keys.keys)
        net.take("blockMs=10000").also {
            assertTrue("after=30" in it.target, it.target)
        }.changes(40, put("v/a/job/req-4", 35), put("v/a/job/req-5", 31))
        delay(1.milliseconds)
        assertEquals(setOf("v/a/job/req-3", "v/a/job/req-4", "v/a/job/req-5"), heard.keys.keys)
    }

    /**
     * The answers to a request that was sent before all was read anew begin where that request did: what lies before is
     * not in them.
     */
    @Test
    fun `an answer to what was asked after a later revision joins nothing that was read as of an earlier one`() =
        runTest {
            val net = Held()
            val heard = Heard()
            val stateWatch = stateWatch(net, heard)
            stateWatch.start()
            delay(1.milliseconds)
            net.take("/store?").page(50)
            delay(1.milliseconds)
            val late = async { stateWatch.checkFreshness() }
            delay(1.milliseconds)
            net.take("blockMs=10000").refuse(410)
            delay(1.milliseconds)
            // A reload in two pages; the first is of an earlier state than the answer that is out was asked for (a
            // service restored from a copy, or a mend of ours gone wrong).
            net.take("/store?").page(40, "v/a/job/req-1" to 30, more = true)
            delay(1.milliseconds)
            net.take("after=v/a/job/req-1").page(45, "v/a/job/req-9" to 44)
            delay(1.milliseconds)
            net.take("blockMs=0").changes(60, put("v/a/job/req-6", 55))
            assertFalse(late.await())
            assertEquals(setOf("v/a/job/req-1", "v/a/job/req-9"), heard.keys.keys)
        }

    @Test
    fun `a proof counts from when its request was sent, and only if the answer is whole and not older than known`() =
        runTest {
            val net = Held()
            val heard = Heard()
            val stateWatch = stateWatch(net, heard)
            stateWatch.start()
            delay(1.milliseconds)
            net.take("/store?").page(10)
            delay(1.milliseconds)
            heard.proofs.clear()
            suspend fun proof(after: Duration, answer: Asked.() -> Unit): Boolean {
                val told = async { stateWatch.checkFreshness() }
                delay(after)
                net.take("blockMs=0").answer()
                return told.await()
            }
            val sent = clock().now()
            assertTrue(proof(700.milliseconds) { changes(12) })
            assertEquals(listOf(sent), heard.proofs)
            assertFalse(proof(1.milliseconds) { changes(11) }, "older than what was known when it was asked")
            assertFalse(
                proof(1.milliseconds) {
                    answer.complete(Response(200, "{\"ledgerMark\":13,\"events\":[{\"put\":".encodeToByteArray()))
                },
                "cut short",
            )
            assertFalse(proof(1.milliseconds) { refuse(503) })
            assertFalse(proof(1.milliseconds) { answer.complete(null) })
            assertEquals(1, heard.proofs.size)
            val again = clock().now()
            assertTrue(proof(3.seconds) { changes(12) })
            assertEquals(listOf(sent, again), heard.proofs)
        }
}
