package org.elderhitch.golden

import kotlinx.coroutines.test.runTest
import org.elderhitch.fleet.CatalogCodec
import org.elderhitch.fleet.CloudClient
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.Market
import org.elderhitch.fleet.ProvisioningOutcome
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.MachineType
import org.elderhitch.json.Json
import org.elderhitch.settings.StateLimits
import org.elderhitch.settings.Zone
import org.elderhitch.store.Change
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.LeaseId
import org.elderhitch.store.LeaseOutcome
import org.elderhitch.store.ReadOutcome
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.RequestRateLimiter
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.WatchOutcome
import org.elderhitch.store.Write
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GoldenServicesWireTest {
    /** Answers the requests with the given answers in order, and records the requests. */
    private class Service(vararg answers: Response) : Transport {
        private val remaining = ArrayDeque(answers.toList())
        private val clock = SteadyClock { MonotonicInstant(0) }
        val sent = ArrayList<String>()
        val cloud = CloudClient(this, Address("10.9.0.4:1"), RequestRateLimiter(clock, 1000.0))
        val state = StateClient(
            this,
            Address("10.9.0.5:1"),
            StateLimits(1000.0, 1000.0, 4096, 8),
            RequestRateLimiter(clock, 1000.0),
            RequestRateLimiter(clock, 1000.0),
        )

        override suspend fun call(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            timeout: Duration,
        ): Response? {
            sent.add("$method $target ${body?.decodeToString().orEmpty()}")
            return remaining.removeFirstOrNull()
        }

        override suspend fun deliver(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            connect: Duration,
            timeout: Duration,
        ): Delivery = Delivery.NotSent
    }

    private val market = Market(MachineType("k4"), Zone("west"), true)

    private fun sample(name: String, status: Int = 200) = Response(status, GoldenFiles.bytes("wire/$name.json"))

    private fun answer(status: Int, text: String) = Response(status, text.encodeToByteArray())

    @Test
    fun `machine types are requested and read`() = runTest {
        for ((answered, decoded) in listOf("flavors" to "flavors", "flavors-least" to "flavors-least-kept")) {
            val service = Service(sample(answered))
            val catalog = assertNotNull(service.cloud.catalog())
            assertEquals(listOf("GET /flavors "), service.sent)
            val reencoded = Json.text(mapOf("rigs" to catalog.types.values.map(CatalogCodec::encode)))
            assertEquals(GoldenFiles.text("wire/$decoded.json"), reencoded)
        }
        val full = GoldenFiles.text("wire/flavors.json")
        val malformed = listOf(
            full.dropLast(9),
            full.replace("64.0", "\"64\""),
            full.replace("64.0", "-1"),
            full.replace("\"name\":\"k4\",", ""),
            "{\"rigs\":[]}",
        )
        for (text in malformed) assertNull(Service(answer(200, text)).cloud.catalog(), text)
        assertNull(Service(sample("flavors", 503)).cloud.catalog())
        assertNotNull(Service(answer(200, full.dropLast(1) + ",\"later\":1}")).cloud.catalog())
    }

    @Test
    fun `machines are provisioned`() = runTest {
        val service = Service(sample("machines-hired"))
        val provisioned =
            assertIs<ProvisioningOutcome.Provisioned>(service.cloud.provision("r-9-4", market, 7) { true })
        assertEquals(listOf("host-000301", "host-000302"), provisioned.machines.map { it.text })
        assertEquals(listOf("POST /machines " + GoldenFiles.text("wire/machines-hire.json")), service.sent)
        val outcomes = listOf(
            answer(503, "{\"error\":\"no capacity\"}") to ProvisioningOutcome.NoCapacity,
            answer(503, "{\"error\":\"trouble\"}") to ProvisioningOutcome.Unknown,
            answer(400, "{}") to ProvisioningOutcome.Rejected,
            answer(429, "{}") to ProvisioningOutcome.Unknown,
            answer(200, "{\"stalls\":[\"host-0") to ProvisioningOutcome.Unknown,
            answer(200, "{\"stalls\":[7]}") to ProvisioningOutcome.Unknown,
            answer(200, "{\"later\":1}") to ProvisioningOutcome.Provisioned(emptyList()),
        )
        for ((reply, outcome) in outcomes) {
            assertEquals(outcome, Service(reply).cloud.provision("r-9-4", market, 7) { true })
        }
    }

    @Test
    fun `machines are terminated`() = runTest {
        val service = Service(answer(200, "{}"), answer(503, "{}"))
        val machines = listOf(MachineId("host-000301"), MachineId("host-000302"))
        assertEquals(listOf(true, false), List(2) { service.cloud.terminate(machines) { true } })
        val request = "POST /machines/release " + GoldenFiles.text("wire/machines-release.json")
        assertEquals(listOf(request, request), service.sent)
    }

    @Test
    fun `machines are listed page by page`() = runTest {
        val service = Service(sample("machines-page-1"), sample("machines-page-2"))
        val all = assertNotNull(service.cloud.list())
        assertEquals(listOf("GET /machines?page=500 ", "GET /machines?page=500&after=host-000302 "), service.sent)
        assertEquals(listOf("host-000301", "host-000302", "host-000303"), all.map { it.machine.id.text })
        assertEquals(listOf("k4", "k2", "k2"), all.map { it.machine.type.name })
        assertEquals(listOf("west", "east", "east"), all.map { it.machine.zone.name })
        assertEquals(listOf(true, false, false), all.map { it.machine.spot })
        assertEquals(listOf("running", "booting", "failed"), all.map { it.state })
        assertEquals(listOf("10.4.1.45:9000", "10.4.1.46:9000", null), all.map { it.address?.text })
        val page = GoldenFiles.text("wire/machines-page-2.json")
        val malformed = listOf(
            page.dropLast(5),
            page.replace(",\"more\":false", ""),
            page.replace("\"failed\"", "4"),
            page.replace("\"borrowedRigs\":false,", ""),
        )
        for (text in malformed) assertNull(Service(answer(200, text)).cloud.list(), text)
    }

    @Test
    fun `a key is read`() = runTest {
        val service = Service(sample("store-entry"), sample("store-entry-least"), answer(404, "{\"ledgerMark\":95}"))
        val full = assertIs<ReadOutcome.Found>(service.state.read("q/w", RequestPriority.RECORD)).entry
        assertEquals("q/w", full.key)
        assertEquals(87, full.version.number)
        assertEquals(listOf<Any?>(3L, "x", listOf(1.5, true, null)), listOf("n", "t", "l").map(full.value::raw))
        val minimal = assertIs<ReadOutcome.Found>(service.state.read("q/e", RequestPriority.RECORD)).entry
        assertEquals(0, minimal.value.names.size)
        assertEquals(ReadOutcome.Absent, service.state.read("q/none", RequestPriority.RECORD))
        assertEquals(listOf("GET /store/q/w ", "GET /store/q/e ", "GET /store/q/none "), service.sent)
        val text = GoldenFiles.text("wire/store-entry.json")
        val malformed = listOf(
            text.dropLast(3),
            text.replace("\"entryMark\":87", "\"entryMark\":\"87\""),
            text.replace("\"k\"", "\"kk\""),
            "[]",
        )
        for (corrupted in malformed) {
            val outcome = Service(answer(200, corrupted)).state.read("q/w", RequestPriority.RECORD)
            assertEquals(ReadOutcome.Unavailable, outcome, corrupted)
        }
        assertEquals(
            ReadOutcome.Unavailable,
            Service(sample("store-entry", 503)).state.read("q/w", RequestPriority.RECORD),
        )
    }

    @Test
    fun `keys are listed`() = runTest {
        val service = Service(sample("store-page"), sample("store-page-empty"))
        val page = assertNotNull(service.state.list("q/", "q/a"))
        assertEquals(listOf("q/w" to 87L, "q/x" to 90L), page.entries.map { it.key to it.version.number })
        assertTrue(page.more)
        assertEquals(95, page.revision.number)
        assertEquals(0, assertNotNull(service.state.list("q/", null)).entries.size)
        assertEquals(listOf("GET /store?prefix=q/&page=500&after=q/a ", "GET /store?prefix=q/&page=500 "), service.sent)
        val malformed = GoldenFiles.text("wire/store-page.json").replace("true", "1")
        assertNull(Service(answer(200, malformed)).state.list("q/", null))
    }

    private suspend fun commit(service: Service): CommitOutcome = service.state.commit(
        listOf(Condition("q/w", Revision(87)), Condition("q/new", Revision.ABSENT)),
        listOf(
            Write.Put("q/w", linkedMapOf("n" to 4, "t" to "y", "b" to false), LeaseId(12)),
            Write.Put("q/new", emptyMap()),
            Write.Drop("q/old"),
        ),
        RequestPriority.RECORD,
    )

    @Test
    fun `commits have a fixed encoding, and each answer maps to an outcome`() = runTest {
        val service = Service(answer(200, "{\"ledgerMark\":96}"), answer(200, "{\"ledgerMark\":96,\"later\":1}"))
        assertEquals(CommitOutcome.Committed(Revision(96)), commit(service))
        val empty = service.state.commit(emptyList(), emptyList(), RequestPriority.RECORD)
        assertEquals(CommitOutcome.Committed(Revision(96)), empty)
        val sent = listOf("commit-full", "commit-empty").map { "POST /commit " + GoldenFiles.text("wire/$it.json") }
        assertEquals(sent, service.sent)
        val outcomes = listOf(
            answer(409, "{\"failed\":[\"q/w\"],\"ledgerMark\":95}") to CommitOutcome.Conflict(setOf("q/w")),
            answer(409, "{\"ledgerMark\":95}") to CommitOutcome.Conflict(emptySet()),
            answer(400, "{\"error\":\"no such lease\"}") to CommitOutcome.NoSuchLease,
            answer(400, "{\"error\":\"other\"}") to CommitOutcome.Refused,
            answer(429, "{}") to CommitOutcome.Refused,
            answer(503, "{}") to CommitOutcome.Refused,
            answer(500, "{}") to CommitOutcome.Unknown,
            answer(200, "{\"ledgerM") to CommitOutcome.Unknown,
            answer(200, "{\"ledgerMark\":1.5}") to CommitOutcome.Unknown,
            answer(200, "{\"ledgerMark\":18446744073709551615}") to CommitOutcome.Unknown,
        )
        for ((reply, outcome) in outcomes) assertEquals(outcome, commit(Service(reply)), reply.body.decodeToString())
        assertEquals(CommitOutcome.Unknown, commit(Service()))
    }

    @Test
    fun `leases are granted, renewed and revoked`() = runTest {
        val service = Service(
            sample("lease-answer"),
            answer(200, "{}"),
            answer(404, "{}"),
            answer(503, "{}"),
            answer(200, "{}"),
        )
        val lease = LeaseId(12)
        assertEquals(LeaseOutcome.Held(lease), service.state.grantLease(7250.milliseconds))
        val renewals = List(3) { service.state.renewLease(lease) }
        assertEquals(listOf(LeaseOutcome.Held(lease), LeaseOutcome.Gone, LeaseOutcome.Unavailable), renewals)
        service.state.revokeLease(lease)
        val sent = listOf("POST /leases " + GoldenFiles.text("wire/lease-request.json")) +
            List(3) { "POST /leases/12/extend " } + "DELETE /leases/12 "
        assertEquals(sent, service.sent)
        for (text in listOf("{\"permit\":", "{\"permit\":\"12\"}", "{}")) {
            assertEquals(LeaseOutcome.Unavailable, Service(answer(200, text)).state.grantLease(1.seconds), text)
        }
    }

    private suspend fun watchSample(service: Service): WatchOutcome =
        service.state.watch("q/", Revision(95), 2500.milliseconds, RequestPriority.RECORD)

    @Test
    fun `changes are watched`() = runTest {
        val service = Service(sample("watch-events"), sample("watch-nothing"))
        val watched = assertIs<WatchOutcome.Changes>(watchSample(service))
        assertEquals(listOf("q/w" to 98L, "q/x" to 99L), watched.changes.map { it.key to it.version.number })
        assertEquals(5L, assertIs<Change.Put>(watched.changes[0]).entry.value.long("n"))
        assertIs<Change.Drop>(watched.changes[1])
        assertEquals(99, watched.revision.number)
        assertEquals(0, assertIs<WatchOutcome.Changes>(watchSample(service)).changes.size)
        assertEquals(List(2) { "GET /watch?prefix=q/&after=95&blockMs=2500 " }, service.sent)
        assertEquals(WatchOutcome.TooOld, watchSample(Service(answer(410, "{}"))))
        val text = GoldenFiles.text("wire/watch-events.json")
        val malformed = listOf(
            text.dropLast(4),
            text.replace("\"entryMark\":99", "\"n\":1"),
            text.replace("\"drop\"", "\"dropped\""),
        )
        for (corrupted in malformed) {
            assertEquals(WatchOutcome.Unavailable, watchSample(Service(answer(200, corrupted))), corrupted)
        }
    }
}
