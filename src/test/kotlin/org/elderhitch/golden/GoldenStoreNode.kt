package org.elderhitch.golden

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.CatalogRefresher
import org.elderhitch.fleet.CloudClient
import org.elderhitch.golden.GoldenStoreValues.text
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Message
import org.elderhitch.http.MessageParser
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.json.JsonObject
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.standin.StateStandIn
import org.elderhitch.store.Keys
import org.elderhitch.store.RequestRateLimiter
import org.elderhitch.store.TestStateClient
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Connects a [GoldenStoreNode] to its state service and to a cloud that only answers with the [machineTypes]. */
private class ServicesTransport(private val state: StateStandIn, private val machineTypes: String) : Transport {
    override suspend fun call(
        to: Address,
        method: String,
        target: String,
        body: ByteArray?,
        timeout: Duration,
    ): Response {
        if (target == "/flavors") return Response(200, machineTypes.encodeToByteArray())
        val message = Message("$method $target HTTP/1.1", emptyMap(), body ?: ByteArray(0), true)
        return state.handle(MessageParser.request(message))
    }

    override suspend fun deliver(
        to: Address,
        method: String,
        target: String,
        body: ByteArray?,
        connect: Duration,
        timeout: Duration,
    ): Delivery = Delivery.Answered(call(to, method, target, body, timeout))
}

/** A node in virtual time, with its state service, that claims leadership and refreshes the machine type catalog. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class GoldenStoreNode(test: TestScope) {
    private val clock = SteadyClock { MonotonicInstant(test.currentTime * 1_000_000) }
    val state = StateStandIn(clock)
    private val transport = ServicesTransport(state, text("types-full"))
    private val client = TestStateClient.of(transport, clock)
    val failures = ArrayList<Throwable>()
    private val scope = CoroutineScope(
        test.backgroundScope.coroutineContext + SupervisorJob(test.backgroundScope.coroutineContext[Job]) +
            CoroutineExceptionHandler { _, failure -> failures.add(failure) },
    )
    private val timeouts = LeadershipTimeouts.of(
        WorkerTimeouts(1.seconds, 11.seconds, 45.seconds, 5.seconds, 41.seconds),
    )
    private val fixedRandom = object : Random() {
        override fun nextBits(bitCount: Int) = 1
    }
    val leadership =
        Leadership(scope, NodeName("n1"), Incarnation("run-1"), client, timeouts, clock, fixedRandom).apply { start() }
    val catalogs = ArrayList<Catalog>()
    private val cloud = CloudClient(transport, Address("cloud:1"), RequestRateLimiter(clock, 10.0))
    val catalogRefresher = CatalogRefresher(scope, cloud, client, 8192, { true }) {
        catalogs.add(it)
    }

    fun storeTermCounter(value: JsonObject) = state.overwrite(Keys.TERM, value.names.associateWith(value::raw))

    suspend fun claim() {
        leadership.tell(LeadershipMessage.LeaderObserved(null))
        delay(1.seconds)
    }
}
