package org.elderhitch.fleet

import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests how the cloud's request rate is shared between terminations, lists and provisioning. */
class CloudCallSchedulerTest {
    private val start = MonotonicInstant(0) + 100.seconds
    private val listInterval = 1500.milliseconds

    private fun id(n: Int) = MachineId("host-$n")

    /**
     * Guards against terminations starving provisioning: at 1.2 requests a second, 130 machines became suspected within
     * 30 s, each was terminated by its own request, and no machine was provisioned for 45 s. Machines become suspected
     * at random times here. Terminations must use at most half of the rate, lose no machine, and delay none for long.
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
            var machineCount = 0
            val inFlight = ArrayDeque<MonotonicInstant>()
            repeat(300) { step ->
                val now = start + 200.milliseconds * step
                if (random.nextDouble() < 0.4) {
                    val suspected = List(random.nextInt(1, 6)) { id(machineCount++) }
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
            assertTrue(waitingSince.values.all { start + 60.seconds - it <= maxWait }, "seed $seed: not terminated")
        }
    }

    /** A heartbeat refutes a suspicion, but not that a machine is idle: idle machines send heartbeats too. */
    @Test
    fun `scheduler cancels a termination only while it is queued and its reason is cancellable`() {
        val calls = CloudCallScheduler(1.0)
        calls.enqueueTerminations(listOf(id(1)), TerminationReason.SUSPECTED)
        assertEquals(setOf(id(1)), calls.nextTerminations(start).keys)
        assertFalse(calls.cancelTermination(id(1)), "the request is in flight")
        calls.enqueueTerminations(listOf(id(2), id(3)), TerminationReason.NEVER_SEEN)
        calls.enqueueTerminations(listOf(id(4)), TerminationReason.IDLE)
        assertTrue(calls.cancelTermination(id(2)))
        assertFalse(calls.cancelTermination(id(4)))
        calls.removeGone(id(3))
        assertEquals(emptySet(), calls.nextTerminations(start + 1.seconds).keys, "the turn is left to provisioning")
        assertEquals(setOf(id(4)), calls.nextTerminations(start + 2.seconds).keys)
    }

    @Test
    fun `scheduler limits a termination request to a hundred machines when more are queued`() {
        val calls = CloudCallScheduler(1.0)
        calls.enqueueTerminations((1..250).map(::id), TerminationReason.SUSPECTED)
        val sizes = listOf(0, 1, 1, 2, 4).map { calls.nextTerminations(start + it.seconds).size }
        assertEquals(listOf(100, 0, 0, 100, 50), sizes)
    }

    /** Listing a large fleet took two requests every 1.5 s, which exceeds the whole rate of a slow cloud. */
    @Test
    fun `scheduler limits lists to a quarter of the rate when the fleet is large and the cloud is slow`() {
        val calls = CloudCallScheduler(1.2)
        assertTrue(calls.isFirstListPending && calls.tryStartListing(start, listInterval))
        assertFalse(calls.tryStartListing(start, listInterval), "the request is in flight")
        calls.listingCompleted(603, start)
        assertFalse(calls.tryStartListing(start + 6.seconds, listInterval))
        assertTrue(calls.tryStartListing(start + 7.seconds, listInterval))
        val fastCloud = CloudCallScheduler(9.6)
        fastCloud.tryStartListing(start, listInterval)
        fastCloud.listingCompleted(603, start)
        assertTrue(fastCloud.tryStartListing(start + listInterval, listInterval))
    }
}
