package org.elderhitch.golden

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.runTest
import org.elderhitch.fleet.CatalogCodec
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.ProvisioningIntent
import org.elderhitch.golden.GoldenStoreValues.assertMalformed
import org.elderhitch.golden.GoldenStoreValues.assertMatchesSample
import org.elderhitch.golden.GoldenStoreValues.parse
import org.elderhitch.golden.GoldenStoreValues.stored
import org.elderhitch.golden.GoldenStoreValues.text
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.LeaseId
import org.elderhitch.store.Revision
import org.elderhitch.tasks.ImageHints
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The encodings of provisioning intents, image hints and machine types in the state service. */
class GoldenStoreFleetTest {
    private fun assertIntentRoundTrip(name: String): ProvisioningIntent =
        ProvisioningIntent.decode("r-42-0", stored(name), Revision(9)).also { assertMatchesSample(name, it.encode()) }

    @Test
    fun `a provisioning intent round-trips in each state`() {
        val requested = assertIntentRoundTrip("hire-asked")
        assertEquals("r-42-0", requested.name)
        assertEquals(listOf("g8", "north"), listOf(requested.market.type.name, requested.market.zone.name))
        assertTrue(requested.market.spot)
        assertEquals(3, requested.count)
        assertEquals(Revision(9), requested.version)
        assertNull(requested.machines)
        val machines = listOf(MachineId("m1"), MachineId("m2"), MachineId("m3"))
        assertEquals(machines, assertIntentRoundTrip("hire-hired").machines)
        assertEquals(emptySet(), assertIntentRoundTrip("hire-hired").recordedUp.toSet())
        assertEquals(machines.take(2).toSet(), assertIntentRoundTrip("hire-up").recordedUp.toSet())
        assertEquals(emptyList(), assertIntentRoundTrip("hire-none-left").machines)
    }

    @Test
    fun `machines that are up but not recorded yet are encoded as up`() {
        val intent = assertIntentRoundTrip("hire-hired").apply {
            pendingUp.addAll(listOf(MachineId("m1"), MachineId("m2")))
        }
        assertMatchesSample("hire-up", intent.encode())
    }

    @Test
    fun `malformed provisioning intents are rejected with the expected messages`() {
        val up = text("hire-up")
        fun assertRejected(message: String, from: String, to: String) {
            assertTrue(from in up, from)
            assertMalformed(message) { ProvisioningIntent.decode("x", parse(up.replace(from, to)), Revision(1)) }
        }
        assertRejected("rig: missing", "\"rig\"", "\"type\"")
        assertRejected("hall: not a string", "\"north\"", "1")
        assertRejected("borrowedRigs: not true or false", "true", "\"true\"")
        assertRejected("count: negative", "\"count\":3", "\"count\":-3")
        assertRejected("count: not an integer in range", "\"count\":3", "\"count\":3.5")
        assertRejected("stalls: not a list", "[\"m1\",\"m2\",\"m3\"]", "\"m1\"")
        assertRejected("up: holds something that is no string", "[\"m1\",\"m2\"]", "[1]")
        val newer = ProvisioningIntent.decode("x", parse(up.replace("}", ",\"newer\":{}}")), Revision(1))
        assertMatchesSample("hire-up", newer.encode())
        val large = parse(text("hire-asked").replace("\"count\":3", "\"count\":4294967299"))
        assertEquals(3, ProvisioningIntent.decode("x", large, Revision(1)).count, "only the low 32 bits are kept")
    }

    @Test
    fun `image hints round-trip`() {
        val hints = ImageHints.decode(stored("images"))
        assertEquals(setOf(MachineId("m0007"), MachineId("m0009")), hints.keys)
        assertEquals(mapOf("a:1" to 2.5, "b:2" to 1.0), hints.getValue(MachineId("m0007")).mapKeys { it.key.name })
        assertEquals(mapOf("a:1" to 2.5), hints.getValue(MachineId("m0009")).mapKeys { it.key.name })
        assertMatchesSample("images", ImageHints.encode(hints, 8192))
        assertMatchesSample("images-none", ImageHints.encode(emptyMap(), 8192))
        assertEquals(emptyMap(), ImageHints.decode(stored("images-none")))
    }

    @Test
    fun `malformed image hints are read as none`() {
        val images = text("images")
        val corruptions = listOf(
            "\"width\":4" to "\"width\":-4",
            "\"first\":7" to "\"first\":\"7\"",
            "\"prefix\":\"m\"" to "\"prefix\":1",
            "\"BQ==\"" to "\"*\"",
            "2.5" to "\"2.5\"",
            "\"a:1\"," to "",
            "[\"b:2\",1.0,\"AQ==\"]" to "7",
        )
        for ((from, to) in corruptions) {
            assertTrue(from in images, from)
            assertEquals(emptyMap(), ImageHints.decode(parse(images.replace(from, to))), to)
        }
        assertEquals(2, ImageHints.decode(parse(images.dropLast(1) + ",\"newer\":1}")).size)
    }

    @Test
    fun `machine types round-trip and are stored in the same encoding`() = runTest {
        val types = stored("types-full").objects("rigs").map(CatalogCodec::decode)
        assertMatchesSample("types-full", mapOf("rigs" to types.map(CatalogCodec::encode)))
        val g8 = types.first()
        assertEquals(listOf(8.0, 1.0, 64.0), listOf(g8.resources.cpus, g8.resources.gpus, g8.resources.memoryGb))
        assertEquals(listOf(200.0, 0.25, 2.5, 0.75), listOf(g8.cacheGb, g8.fetchGbPerS, g8.price, g8.spotPrice))
        assertEquals(41.5.seconds, g8.bootTime)
        assertEquals(listOf("north", "south"), g8.zones.map { it.name })
        val node = GoldenStoreNode(this)
        node.storeTermCounter(stored("term"))
        val leadership = LeadershipState.Leader(
            Term(42),
            Revision(1),
            LeaseId(1),
            MonotonicInstant.NEVER,
            MonotonicInstant.NEVER,
            null,
            MonotonicInstant.NEVER,
        )
        node.catalogRefresher.start(MutableStateFlow(leadership))
        delay(1.seconds)
        assertEquals(text("types-full"), node.state.value(Keys.TYPES)?.text())
    }

    @Test
    fun `machine types of an earlier version are read with defaults`() {
        val (g8, c2) = stored("types-earlier").objects("rigs").map(CatalogCodec::decode)
        assertEquals(listOf(0.0, 1.0, 2.5, 2.5), listOf(g8.cacheGb, g8.fetchGbPerS, g8.price, g8.spotPrice))
        assertEquals(Duration.ZERO, g8.bootTime)
        assertEquals(emptyList(), g8.zones)
        assertEquals(stored("types-full").objects("rigs").last().text(), Json.text(CatalogCodec.encode(c2)))
    }

    @Test
    fun `stored machine types are adopted unless they are malformed`() = runTest {
        val node = GoldenStoreNode(this)
        fun receive(value: JsonObject) = node.catalogRefresher.stored(Entry(Keys.TYPES, value, Revision(3)))
        val full = text("types-full")
        for (malformed in listOf(
            "{}",
            "{\"rigs\":7}",
            "{\"rigs\":[7]}",
            "{\"rigs\":[{}]}",
            full.replace("\"cores\":2.0", "\"cores\":-2"),
            full.replace("\"halls\":[]", "\"halls\":\"north\""),
            full.replace("\"c2\"", "2"),
        )) {
            receive(parse(malformed))
            assertEquals(0, node.catalogs.size, malformed)
        }
        receive(parse(full.replace("\"name\"", "\"newer\":1,\"name\"")))
        val types = node.catalogs.single().types.values
        assertMatchesSample("types-full", mapOf("rigs" to types.map(CatalogCodec::encode)))
        assertMalformed("rigs: not a list") { parse("{\"rigs\":7}").objects("rigs") }
        assertMalformed("cores: missing") { CatalogCodec.decode(parse("{\"name\":\"g8\"}")) }
    }
}
