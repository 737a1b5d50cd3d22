package org.elderhitch.golden

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.CatalogCodec
import org.elderhitch.fleet.CatalogRefresher
import org.elderhitch.fleet.CloudClient
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.ProvisioningIntent
import org.elderhitch.http.Address
import org.elderhitch.http.Delivery
import org.elderhitch.http.Message
import org.elderhitch.http.MessageParser
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobHold
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.StateLimits
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.standin.StateStandIn
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.LeaseId
import org.elderhitch.store.RequestRateLimiter
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.StoredKey
import org.elderhitch.tasks.ImageHints
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The keys and the bytes of each value that the core keeps in the state service. */
@OptIn(ExperimentalCoroutinesApi::class)
class GoldenStoreTest {
    private val id = JobId("req-000412")

    private fun text(name: String) = GoldenFiles.text("store/$name.json")

    private fun stored(name: String) = Json.parseObject(GoldenFiles.bytes("store/$name.json"))

    private fun of(text: String) = Json.parseObject(text.encodeToByteArray())

    private fun same(name: String, value: Map<String, Any?>) = assertEquals(text(name), Json.text(value), name)

    private fun JsonObject.text() = Json.text(names.associateWith(::raw))

    private fun malformed(message: String, read: () -> Any?) =
        assertEquals(message, assertFailsWith<MalformedJson> { read() }.message)

    @Test
    fun `keys keep their texts`() {
        assertEquals(listOf("v/", "v/a/"), listOf(Keys.ALL, Keys.OPEN))
        assertEquals(listOf("v/a/term", "v/a/leader"), listOf(Keys.TERM, Keys.LEADER))
        assertEquals(listOf("v/a/types", "v/a/images"), listOf(Keys.TYPES, Keys.IMAGES))
        assertEquals("v/a/job/req-000412", Keys.job(id))
        assertEquals("v/z/end/req-000412", Keys.terminalRecord(id))
        assertEquals("v/a/fin/req-000412/3", Keys.completedTasks(id, 3))
        assertEquals("v/a/fin/req-0", Keys.completedTasksPrefix("req-0"))
        assertEquals("v/a/hold/req-000412", Keys.hold(id))
        assertEquals("v/a/hire/r-42-0", Keys.provisioningIntent("r-42-0"))
    }

    @Test
    fun `each key says what it holds`() {
        assertEquals(StoredKey.TermCounter, Keys.parse("v/a/term"))
        assertEquals(StoredKey.Leader, Keys.parse("v/a/leader"))
        assertEquals(StoredKey.Job(id), Keys.parse("v/a/job/req-000412"))
        assertEquals(StoredKey.TerminalRecord(id), Keys.parse("v/z/end/req-000412"))
        assertEquals(StoredKey.CompletedTasks(id, 3), Keys.parse("v/a/fin/req-000412/3"))
        assertEquals(StoredKey.CompletedTasks(id, -1), Keys.parse("v/a/fin/req-000412/-1"))
        assertEquals(StoredKey.JobHold(id), Keys.parse("v/a/hold/req-000412"))
        assertEquals(StoredKey.ProvisioningIntent("r-42-0"), Keys.parse("v/a/hire/r-42-0"))
        assertEquals(StoredKey.ProvisioningIntent(""), Keys.parse("v/a/hire/"))
    }

    @Test
    fun `keys that are malformed or of others hold nothing`() {
        val keys = listOf(
            "", "v/a/", "v/a/types", "v/a/images", "v/a/terms", "v/a/job/", "v/a/job/412",
            "v/a/job/req-", "v/a/job/req-1/0",
            "v/a/end/req-1", "v/z/end/r", "v/a/hold/req-1/x", "v/a/fin/req-1", "v/a/fin/req-1/x", "v/a/fin/x/0",
            "v/a/fin/req-1/4294967296", "v/a/job/req-" + "0".repeat(61), "x/a/job/req-1",
        )
        for (key in keys) assertNull(Keys.parse(key), key)
    }

    @Test
    fun `a job record keeps its bytes with each optional field and without`() {
        val full = JobCodec.decode(stored("job-full"))
        same("job-full", JobCodec.encode(full))
        assertEquals(5000, full.tasks)
        assertEquals(listOf("g8", "g16"), full.types?.map { it.name })
        assertEquals(listOf("north", "req-000001"), listOf(full.zone?.name, full.repeatOf?.text))
        assertTrue(full.oneZone && full.spread && full.spotAllowed)
        val spans = listOf(full.estimate, full.checkpointInterval, full.checkpointDuration)
        assertEquals(listOf(90.5.seconds, 30.seconds, 2.5.seconds), spans)
        assertEquals(3600.seconds, full.deadline)
        same("job-least", JobCodec.encode(JobCodec.decode(stored("job-least"))))
    }

    @Test
    fun `a job record of an earlier version reads with the defaults`() {
        val earlier = JobCodec.decode(stored("job-earlier"))
        same("job-least", JobCodec.encode(earlier))
        assertFalse(earlier.oneZone || earlier.spread || earlier.spotAllowed)
        assertEquals(List(4) { null }, listOf(earlier.types, earlier.zone, earlier.deadline, earlier.repeatOf))
    }

    @Test
    fun `a job record keeps what a feature adds behind its own fields`() {
        val stored = stored("job-extra")
        same("job-extra", JobCodec.encode(JobCodec.decode(stored)) + mapOf("drmaa" to stored.raw("drmaa")))
        same("job-least", JobCodec.encode(JobCodec.decode(stored)))
    }

    @Test
    fun `each kind and urgency of jobs keeps its word`() {
        val least = text("job-least")
        for (kind in listOf("array", "gang", "daemon")) {
            val value = least.replace("\"lotKind\":\"daemon\"", "\"lotKind\":\"$kind\"")
            assertEquals(value, Json.text(JobCodec.encode(JobCodec.decode(of(value)))))
        }
        for (urgency in listOf("production", "urgent", "normal", "idle")) {
            val value = least.replace("\"urgency\":\"idle\"", "\"urgency\":\"$urgency\"")
            assertEquals(value, Json.text(JobCodec.encode(JobCodec.decode(of(value)))))
        }
    }

    @Test
    fun `job records that are wrong are refused with the same words`() {
        val full = text("job-full")
        fun refused(message: String, from: String, to: String) {
            assertTrue(from in full, from)
            malformed(message) { JobCodec.decode(of(full.replace(from, to))) }
        }
        refused("crates: not from 1 to 100000", "\"crates\":5000", "\"crates\":0")
        refused("crates: not from 1 to 100000", "\"crates\":5000", "\"crates\":100001")
        refused("crates: not an integer in range", "\"crates\":5000", "\"crates\":99999999999999999999")
        refused("crates: not an integer in range", "\"crates\":5000", "\"crates\":\"5000\"")
        refused("crates: missing", "\"crates\":5000", "\"crates\":null")
        refused("cores: out of range", "\"cores\":4.0", "\"cores\":-1")
        refused("cores: out of range", "\"cores\":4.0", "\"cores\":1e16")
        refused("memGb: not a number", "\"memGb\":16.0", "\"memGb\":true")
        refused("lotKind: unknown", "\"array\"", "\"ring\"")
        refused("urgency: unknown", "\"urgent\"", "\"HIGH\"")
        refused("id: not of the form req-000412", "req-000412", "412")
        refused("repeatOf: not of the form req-000412", "req-000001", "1")
        refused("rigs: not a list", "[\"g8\",\"g16\"]", "\"g8\"")
        refused("rigs: holds something that is no string", "[\"g8\",\"g16\"]", "[8]")
        refused("hall: empty or over 200 characters", "\"north\"", "\"\"")
        refused("samePlace: not true or false", "\"samePlace\":true", "\"samePlace\":1")
        assertFailsWith<MalformedJson> { of(full.dropLast(1)) }
        same("job-full", JobCodec.encode(JobCodec.decode(of(full.dropLast(1) + ",\"newer\":[1]}"))))
    }

    private fun finished(name: String, block: Int, tasks: Int = 5000): CompletedTasks {
        val finished = CompletedTasks(tasks)
        assertTrue(finished.unpack(block, stored(name).string("f")), name)
        same(name, mapOf("f" to finished.pack(block)))
        return finished
    }

    @Test
    fun `finished blocks keep their bytes as ranges and as a bitmap`() {
        assertEquals(10, finished("finished-ranges", 0).count)
        assertEquals(904, finished("finished-last-block", 1).count)
        assertTrue(4999 in finished("finished-last-block", 1))
        assertEquals(0, finished("finished-none", 0).count)
        val bitmap = finished("finished-bitmap", 0)
        assertEquals(2048, bitmap.count)
        assertTrue(0 in bitmap && 1 !in bitmap && 4094 in bitmap)
        assertEquals(685, stored("finished-bitmap").string("f").length)
        assertEquals(listOf(4096, 685), listOf(CompletedTasks.BLOCK, CompletedTasks.MAX_VALUE_CHARS))
    }

    @Test
    fun `finished blocks that are wrong add nothing`() {
        val wrong = listOf("x", "-1", "5-3", "0-4096", "0-", "0,", "0-1-2", "b*", "b=", "99999999999", " 1")
        for (value in wrong) {
            val finished = CompletedTasks(5000)
            assertFalse(finished.unpack(0, value), value)
            assertEquals(0, finished.count, value)
        }
        assertFalse(CompletedTasks(5000).unpack(1, "904"))
        assertFalse(CompletedTasks(5000).unpack(2, "0"))
        assertFalse(CompletedTasks(5000).unpack(-1, "0"))
    }

    @Test
    fun `an ending keeps its bytes with and without an account`() {
        for (name in listOf("end-account", "end-account-unseen", "end-no-account")) {
            same(name, assertNotNull(TerminalRecord.decode(stored(name))).encode())
        }
        val account = assertNotNull(TerminalRecord.decode(stored("end-account"))?.account)
        assertEquals(listOf(5003L, 3L), listOf(account.attempts, account.lost))
        assertEquals(listOf(1234.5, 6.7), listOf(account.usefulSeconds, account.lostSeconds))
        assertEquals(listOf(1_700_000_000_000, 1_700_000_100_000), listOf(account.firstStart?.ms, account.end.ms))
        assertFalse(account.lowerBound)
        assertNull(TerminalRecord.decode(stored("end-account-unseen"))?.account?.firstStart)
        assertNull(assertNotNull(TerminalRecord.decode(stored("end-no-account"))).account)
    }

    @Test
    fun `endings that are wrong read as none`() {
        val wrong = listOf(
            "{}", "{\"end\":\"eaten\",\"done\":0}", "{\"end\":\"DONE\",\"done\":0}", "{\"end\":1,\"done\":0}",
            "{\"end\":\"done\"}",
            "{\"end\":\"done\",\"done\":-1}", "{\"end\":\"done\",\"done\":\"1\"}", "{\"end\":\"done\",\"done\":1.5}",
            "{\"end\":\"done\",\"done\":99999999999999999999}", "{\"end\":\"done\",\"done\":1,\"acct\":[]}",
            "{\"end\":\"done\",\"done\":1,\"acct\":{}}", text("end-account").replace("\"least\":false", "\"least\":0"),
        )
        for (value in wrong) assertNull(TerminalRecord.decode(of(value)), value)
        assertEquals(1, TerminalRecord.decode(of("{\"end\":\"done\",\"done\":1,\"newer\":true}"))?.done)
        val large = of("{\"end\":\"done\",\"done\":4294967296}")
        assertEquals(0, TerminalRecord.decode(large)?.done, "only the low 32 bits are kept")
    }

    @Test
    fun `holds keep their bytes and words`() {
        val kinds = mapOf(
            "user" to HoldKind.USER,
            "suspended" to HoldKind.SUSPENDED,
            "attempts" to HoldKind.ATTEMPTS,
            "released" to HoldKind.RELEASED,
        )
        for ((word, kind) in kinds) {
            val hold = assertNotNull(JobHold.decode(stored("hold-$word"), Revision(7)))
            assertEquals(kind, hold.kind)
            assertEquals("told so", hold.reason)
            assertEquals(Revision(7), hold.version)
            same("hold-$word", hold.encode())
        }
        assertEquals(300, JobHold.of(HoldKind.USER, "x".repeat(301)).reason.length)
    }

    @Test
    fun `holds that are wrong read as none`() {
        val wrong = listOf(
            "{}",
            "{\"hold\":\"user\"}",
            "{\"hold\":\"USER\",\"why\":\"\"}",
            "{\"hold\":1,\"why\":\"\"}",
            "{\"hold\":\"user\",\"why\":1}",
            "{\"hold\":\"other\",\"why\":\"\"}",
        )
        for (value in wrong) assertNull(JobHold.decode(of(value), Revision(1)), value)
        assertNotNull(JobHold.decode(of("{\"hold\":\"user\",\"why\":\"\",\"newer\":1}"), Revision(1)))
    }

    private fun hire(name: String): ProvisioningIntent =
        ProvisioningIntent.decode("r-42-0", stored(name), Revision(9)).also { same(name, it.encode()) }

    @Test
    fun `a hire intent keeps its bytes in each state`() {
        val asked = hire("hire-asked")
        assertEquals("r-42-0", asked.name)
        assertEquals(listOf("g8", "north"), listOf(asked.market.type.name, asked.market.zone.name))
        assertTrue(asked.market.spot)
        assertEquals(3, asked.count)
        assertEquals(Revision(9), asked.version)
        assertNull(asked.machines)
        val machines = listOf(MachineId("m1"), MachineId("m2"), MachineId("m3"))
        assertEquals(machines, hire("hire-hired").machines)
        assertEquals(emptySet(), hire("hire-hired").recordedUp.toSet())
        assertEquals(machines.take(2).toSet(), hire("hire-up").recordedUp.toSet())
        assertEquals(emptyList(), hire("hire-none-left").machines)
    }

    @Test
    fun `a machine that came up is recorded as up before that is written`() {
        val intent = hire("hire-hired").apply { pendingUp.addAll(listOf(MachineId("m1"), MachineId("m2"))) }
        same("hire-up", intent.encode())
    }

    @Test
    fun `hire intents that are wrong are refused with the same words`() {
        val up = text("hire-up")
        fun refused(message: String, from: String, to: String) {
            assertTrue(from in up, from)
            malformed(message) { ProvisioningIntent.decode("x", of(up.replace(from, to)), Revision(1)) }
        }
        refused("rig: missing", "\"rig\"", "\"type\"")
        refused("hall: not a string", "\"north\"", "1")
        refused("borrowedRigs: not true or false", "true", "\"true\"")
        refused("count: negative", "\"count\":3", "\"count\":-3")
        refused("count: not an integer in range", "\"count\":3", "\"count\":3.5")
        refused("stalls: not a list", "[\"m1\",\"m2\",\"m3\"]", "\"m1\"")
        refused("up: holds something that is no string", "[\"m1\",\"m2\"]", "[1]")
        val newer = ProvisioningIntent.decode("x", of(up.replace("}", ",\"newer\":{}}")), Revision(1))
        same("hire-up", newer.encode())
        val large = of(text("hire-asked").replace("\"count\":3", "\"count\":4294967299"))
        assertEquals(3, ProvisioningIntent.decode("x", large, Revision(1)).count, "only the low 32 bits are kept")
    }

    @Test
    fun `image hints keep their bytes`() {
        val hints = ImageHints.decode(stored("images"))
        assertEquals(setOf(MachineId("m0007"), MachineId("m0009")), hints.keys)
        assertEquals(mapOf("a:1" to 2.5, "b:2" to 1.0), hints.getValue(MachineId("m0007")).mapKeys { it.key.name })
        assertEquals(mapOf("a:1" to 2.5), hints.getValue(MachineId("m0009")).mapKeys { it.key.name })
        same("images", ImageHints.encode(hints, 8192))
        same("images-none", ImageHints.encode(emptyMap(), 8192))
        assertEquals(emptyMap(), ImageHints.decode(stored("images-none")))
    }

    @Test
    fun `image hints that are wrong read as none`() {
        val images = text("images")
        val wrong = listOf(
            "\"width\":4" to "\"width\":-4",
            "\"first\":7" to "\"first\":\"7\"",
            "\"prefix\":\"m\"" to "\"prefix\":1",
            "\"BQ==\"" to "\"*\"",
            "2.5" to "\"2.5\"",
            "\"a:1\"," to "",
            "[\"b:2\",1.0,\"AQ==\"]" to "7",
        )
        for ((from, to) in wrong) {
            assertTrue(from in images, from)
            assertEquals(emptyMap(), ImageHints.decode(of(images.replace(from, to))), to)
        }
        assertEquals(2, ImageHints.decode(of(images.dropLast(1) + ",\"newer\":1}")).size)
    }

    private class Net(private val state: StateStandIn, private val flavors: String) : Transport {
        override suspend fun call(
            to: Address,
            method: String,
            target: String,
            body: ByteArray?,
            timeout: Duration,
        ): Response {
            if (target == "/flavors") return Response(200, flavors.encodeToByteArray())
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

    private inner class Node(test: TestScope) {
        val clock = SteadyClock { MonotonicInstant(test.currentTime * 1_000_000) }
        val state = StateStandIn(clock)
        val net = Net(state, text("types-full"))
        val client = StateClient(
            net,
            Address("state:1"),
            StateLimits(1000.0, 1000.0, 8192, 8),
            RequestRateLimiter(clock, 1000.0),
            RequestRateLimiter(clock, 1000.0),
        )
        val failures = ArrayList<Throwable>()
        val scope = CoroutineScope(
            test.backgroundScope.coroutineContext + SupervisorJob(test.backgroundScope.coroutineContext[Job]) +
                CoroutineExceptionHandler { _, e -> failures.add(e) },
        )
        val times = LeadershipTimeouts.of(WorkerTimeouts(1.seconds, 11.seconds, 45.seconds, 5.seconds, 41.seconds))
        private val ones = object : Random() {
            override fun nextBits(bitCount: Int) = 1
        }
        val leadership =
            Leadership(scope, NodeName("n1"), Incarnation("run-1"), client, times, clock, ones).apply { start() }
        val catalogs = ArrayList<Catalog>()
        private val cloud = CloudClient(net, Address("cloud:1"), RequestRateLimiter(clock, 10.0))
        val jobProvider = CatalogRefresher(scope, cloud, client, 8192, { true }) {
            catalogs.add(it)
        }

        fun counter(value: JsonObject) = state.overwrite(Keys.TERM, value.names.associateWith(value::raw))

        suspend fun claim() {
            leadership.tell(LeadershipMessage.LeaderObserved(null))
            delay(1.seconds)
        }
    }

    @Test
    fun `a claim writes the counter and the leader in the same bytes`() = runTest {
        val node = Node(this)
        node.counter(stored("term-before"))
        node.claim()
        val leadership = assertIs<LeadershipState.Leader>(node.leadership.leadershipState.value)
        assertEquals(Term(42), leadership.term)
        assertEquals(
            listOf("n2", "run-0"),
            listOf(leadership.previousLeader?.node?.text, leadership.previousLeader?.incarnation?.text),
        )
        assertEquals(text("term"), node.state.value(Keys.TERM)?.text())
        assertEquals(text("leader"), node.state.value(Keys.LEADER)?.text())
    }

    @Test
    fun `a counter of an earlier version names no former leader`() = runTest {
        val node = Node(this)
        node.counter(stored("term-earlier"))
        node.claim()
        val leadership = assertIs<LeadershipState.Leader>(node.leadership.leadershipState.value)
        assertEquals(Term(42), leadership.term)
        assertNull(leadership.previousLeader)
        assertEquals(text("term"), node.state.value(Keys.TERM)?.text())
    }

    @Test
    fun `an absent or empty counter counts from nothing`() = runTest {
        for (value in listOf(null, of("{\"newer\":1}"))) {
            val node = Node(this)
            value?.let(node::counter)
            node.claim()
            assertEquals(Term(1), assertIs<LeadershipState.Leader>(node.leadership.leadershipState.value).term)
        }
    }

    @Test
    fun `nobody claims over a counter that is wrong`() = runTest {
        for ((value, message) in mapOf(
            "{\"n\":\"41\"}" to "n: not an integer in range",
            "{\"n\":99999999999999999999}" to "n: not an integer in range",
            "{\"n\":41,\"node\":2}" to "node: not a string",
        )) {
            val node = Node(this)
            node.counter(of(value))
            node.claim()
            assertIs<LeadershipState.Follower>(node.leadership.leadershipState.value)
            val failure = assertIs<MalformedJson>(node.failures.first())
            assertEquals(message, failure.message)
        }
    }

    private suspend fun TestScope.followed(value: String): LeadershipState {
        val node = Node(this)
        node.state.down = true
        val seen = of(value)
        node.leadership.tell(LeadershipMessage.LeaderObserved(Entry(Keys.LEADER, seen, Revision(5))))
        delay(1.seconds)
        return node.leadership.leadershipState.value
    }

    @Test
    fun `the leader key is read as it was, and counts as absent if it is wrong`() = runTest {
        val leader = text("leader").replace("n1", "n2")
        assertEquals(LeadershipState.Follower(NodeName("n2"), Term(42)), followed(leader))
        assertEquals(LeadershipState.Follower(NodeName("n2"), Term(42)), followed(leader.replace("}", ",\"newer\":1}")))
        val changed = listOf("42" to "\"42\"", "\"run\"" to "\"go\"", "\"n2\"" to "2")
            .map { leader.replace(it.first, it.second) }
        for (wrong in changed + "{}") {
            assertEquals(LeadershipState.Follower(null, Term.NONE), followed(wrong), wrong)
        }
    }

    @Test
    fun `machine types keep their bytes`() = runTest {
        val types = stored("types-full").objects("rigs").map(CatalogCodec::decode)
        same("types-full", mapOf("rigs" to types.map(CatalogCodec::encode)))
        val g8 = types.first()
        assertEquals(listOf(8.0, 1.0, 64.0), listOf(g8.resources.cpus, g8.resources.gpus, g8.resources.memoryGb))
        assertEquals(listOf(200.0, 0.25, 2.5, 0.75), listOf(g8.cacheGb, g8.fetchGbPerS, g8.price, g8.spotPrice))
        assertEquals(41.5.seconds, g8.bootTime)
        assertEquals(listOf("north", "south"), g8.zones.map { it.name })
        val node = Node(this)
        node.counter(stored("term"))
        val leadership = LeadershipState.Leader(
            Term(42),
            Revision(1),
            LeaseId(1),
            MonotonicInstant.NEVER,
            MonotonicInstant.NEVER,
            null,
            MonotonicInstant.NEVER,
        )
        node.jobProvider.start(MutableStateFlow(leadership))
        delay(1.seconds)
        assertEquals(text("types-full"), node.state.value(Keys.TYPES)?.text())
    }

    @Test
    fun `machine types of an earlier version read with the defaults`() {
        val (g8, c2) = stored("types-earlier").objects("rigs").map(CatalogCodec::decode)
        assertEquals(listOf(0.0, 1.0, 2.5, 2.5), listOf(g8.cacheGb, g8.fetchGbPerS, g8.price, g8.spotPrice))
        assertEquals(Duration.ZERO, g8.bootTime)
        assertEquals(emptyList(), g8.zones)
        assertEquals(stored("types-full").objects("rigs").last().text(), Json.text(CatalogCodec.encode(c2)))
    }

    @Test
    fun `stored machine types are taken over unless they are wrong`() = runTest {
        val node = Node(this)
        fun stored(value: JsonObject) = node.jobProvider.stored(Entry(Keys.TYPES, value, Revision(3)))
        val full = text("types-full")
        for (wrong in listOf(
            "{}",
            "{\"rigs\":7}",
            "{\"rigs\":[7]}",
            "{\"rigs\":[{}]}",
            full.replace("\"cores\":2.0", "\"cores\":-2"),
            full.replace("\"halls\":[]", "\"halls\":\"north\""),
            full.replace("\"c2\"", "2"),
        )) {
            stored(of(wrong))
            assertEquals(0, node.catalogs.size, wrong)
        }
        stored(of(full.replace("\"name\"", "\"newer\":1,\"name\"")))
        val types = node.catalogs.single().types.values
        same("types-full", mapOf("rigs" to types.map(CatalogCodec::encode)))
        malformed("rigs: not a list") { of("{\"rigs\":7}").objects("rigs") }
        malformed("cores: missing") { CatalogCodec.decode(of("{\"name\":\"g8\"}")) }
    }
}
