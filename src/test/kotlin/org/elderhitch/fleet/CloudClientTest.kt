package org.elderhitch.fleet

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.MachineType
import org.elderhitch.settings.Zone
import org.elderhitch.store.RequestRateLimiter
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

@OptIn(ExperimentalCoroutinesApi::class)
class CloudClientTest {
    /** Responds to every request with one machine. */
    private class OneMachineCloud : Transport {
        val sent = ArrayList<String>()

        override suspend fun call(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            timeout: Duration,
        ): Response {
            sent.add(target)
            return Response(200, """{"stalls":["m1"]}""".encodeToByteArray())
        }

        override suspend fun deliver(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            connect: Duration,
            timeout: Duration,
        ) = Delivery.NotSent
    }

    /**
     * Guards against a leader that loses its leadership while a request waits for the rate limiter: it must not
     * terminate machines that the next leader uses.
     */
    @Test
    fun `client sends no request when its term has ended before the rate limiter admits it`() = runTest {
        val clock = SteadyClock { MonotonicInstant(0) + currentTime.milliseconds }
        val transport = OneMachineCloud()
        val cloud = CloudClient(transport, Address("cloud:1"), RequestRateLimiter(clock, 1.0))
        val machines = listOf(MachineId("m1"))
        val maySend = { currentTime < 500 }
        val market = Market(MachineType("g8"), Zone("a"), false)
        assertTrue(cloud.terminate(machines, maySend))
        assertFalse(cloud.terminate(machines, maySend), "the term ends before the rate limiter admits it")
        assertEquals(ProvisioningOutcome.Unknown, cloud.provision("r-1-0", market, 1, maySend))
        assertEquals(listOf("/machines/release"), transport.sent)
        assertEquals(ProvisioningOutcome.Provisioned(machines), cloud.provision("r-1-0", market, 1) { true })
    }
}
