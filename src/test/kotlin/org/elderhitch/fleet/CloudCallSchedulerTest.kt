package org.elderhitch.fleet

import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How the cloud's request rate is shared between terminations, lists and provisioning. */
class CloudCallSchedulerTest {
    private val begin = MonotonicInstant(0) + 100.seconds
    private val listInterval = 1500.milliseconds

    private fun id(n: Int) = MachineId("host-$n")

    /**
     * At 1.2 requests a second, 130 machines became suspected within 30 s, each was terminated by a request of its own,
     * and for 45 s no machine was provisioned. Here machines become suspected at random moments: terminations must
     * leave half of the rate alone, forget no machine, and let none wait for long.
     */
    @Test
    fun `scheduler leaves every other turn to provisioning when many machines are suspected`() {
        for (seed in 1L..200L) {
            val random = Random(seed)
            val rate = listOf(0.5, 1.2, 4.0, 9.6)[random.nextInt(4)]
            val calls = CloudCallScheduler(rate)
            val maxWait = (2 / rate).seconds + 1.seconds
            val waitingSince = HashMap<MachineId, MonotonicInstant>()
            var requests = 0
            var named = 0
            val inFlight = ArrayDeque<MonotonicInstant>()
            repeat(300) { step ->
                val now = begin + 200.milliseconds * step
                if (random.nextDouble() < 0.4) {
                    val suspected = List(random.nextInt(1, 6)) { id(named++) }
                    suspected.forEach { waitingSince[it] = now }
                    calls.enqueueTerminations(suspected, TerminationReason.SUSPECTED)
                }
                while (inFlight.isNotEmpty() && inFlight.first() <= now) {
                    inFlight.removeFirst()
                    calls.terminationCompleted()
                }
                while (true) {
                    val batch = calls.nextTerminations(now).ifEmpty { break }
                    requests++
                    inFlight.addLast(now + 400.milliseconds)
                    for (machine in batch.keys) {
                        val waited = now - waitingSince.getValue(machine)
                        waitingSince.remove(machine)
                        assertTrue(waited <= maxWait, "seed $seed: $machine waited $waited at $rate a second")
                    }
                }
            }
            assertTrue(requests <= 60 * rate / 2 + 1, "seed $seed: $requests requests in 60 s at $rate a second")
            assertTrue(waitingSince.values.all { begin + 60.seconds - it <= maxWait }, "seed $seed: forgotten")
        }
    }

    /** Heartbeats void the suspicion of a machine, but not that it is idle, as an idle one sends them all the time. */
    @Test
    fun `scheduler cancels a termination only while it waits and when its reason is cancellable`() {
        val calls = CloudCallScheduler(1.0)
        calls.enqueueTerminations(listOf(id(1)), TerminationReason.SUSPECTED)
        assertEquals(setOf(id(1)), calls.nextTerminations(begin).keys)
        assertFalse(calls.cancelTermination(id(1)), "it is in flight")
        calls.enqueueTerminations(listOf(id(2), id(3)), TerminationReason.NEVER_SEEN)
        calls.enqueueTerminations(listOf(id(4)), TerminationReason.IDLE)
        assertTrue(calls.cancelTermination(id(2)))
        assertFalse(calls.cancelTermination(id(4)))
        calls.removeGone(id(3))
        assertEquals(emptySet(), calls.nextTerminations(begin + 1.seconds).keys, "the turn is for provisioning")
        assertEquals(setOf(id(4)), calls.nextTerminations(begin + 2.seconds).keys)
    }

    @Test
    fun `scheduler puts a hundred machines into a request when more are queued`() {
        val calls = CloudCallScheduler(1.0)
        calls.enqueueTerminations((1..250).map(::id), TerminationReason.SUSPECTED)
        val sizes = listOf(0, 1, 1, 2, 4).map { calls.nextTerminations(begin + it.seconds).size }
        assertEquals(listOf(100, 0, 0, 100, 50), sizes)
    }

    /** The list of a large fleet took two requests every 1.5 s, which is more than the whole rate of a slow cloud. */
    @Test
    fun `scheduler gives lists a quarter of the rate when the fleet is large and the cloud slow`() {
        val calls = CloudCallScheduler(1.2)
        assertTrue(calls.neverListed && calls.startListing(begin, listInterval))
        assertFalse(calls.startListing(begin, listInterval), "it is in flight")
        calls.listingCompleted(603, begin)
        assertFalse(calls.startListing(begin + 6.seconds, listInterval))
        assertTrue(calls.startListing(begin + 7.seconds, listInterval))
        val quick = CloudCallScheduler(9.6)
        quick.startListing(begin, listInterval)
        quick.listingCompleted(603, begin)
        assertTrue(quick.startListing(begin + listInterval, listInterval))
    }
}
