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
    /** A leader whose window closes while a request waits for its turn must not return what its successor uses. */
    @Test
    fun `what waited for its turn is not sent once the term is over`() = runTest {
        val clock = SteadyClock { MonotonicInstant(0) + currentTime.milliseconds }
        val sent = ArrayList<String>()
        val transport = object : Transport {
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
        val cloud = CloudClient(transport, Address("cloud:1"), RequestRateLimiter(clock, 1.0))
        val entitled = { currentTime < 500 }
        val market = Market(MachineType("g8"), Zone("a"), false)
        assertTrue(cloud.terminate(listOf(MachineId("m1")), entitled))
        assertFalse(cloud.terminate(listOf(MachineId("m1")), entitled), "its turn comes after a second")
        assertEquals(ProvisioningOutcome.Unknown, cloud.provision("r-1-0", market, 1, entitled))
        assertEquals(listOf("/machines/release"), sent)
        assertEquals(ProvisioningOutcome.Provisioned(listOf(MachineId("m1"))), cloud.provision("r-1-0", market, 1) { true })
    }
}
