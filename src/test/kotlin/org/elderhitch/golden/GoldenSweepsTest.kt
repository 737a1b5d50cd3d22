package org.elderhitch.golden

import org.elderhitch.jobs.JobAccount
import org.elderhitch.jobs.JobId
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.TeamName
import org.elderhitch.store.Revision
import org.elderhitch.sweeps.BadPoint
import org.elderhitch.sweeps.BadTemplate
import org.elderhitch.sweeps.Block
import org.elderhitch.sweeps.Description
import org.elderhitch.sweeps.Manifest
import org.elderhitch.sweeps.Parts
import org.elderhitch.sweeps.PointEnd
import org.elderhitch.sweeps.Points
import org.elderhitch.sweeps.SweepId
import org.elderhitch.sweeps.SweepKeys
import org.elderhitch.sweeps.SweepState
import org.elderhitch.sweeps.Work
import org.elderhitch.time.WallTime
import java.util.HexFormat
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull
import kotlin.test.assertTrue

class GoldenSweepsTest {
    private val id = SweepId("lakes2024")

    private fun json(text: String) = Json.parseObject(text.encodeToByteArray())

    private fun file(name: String): JsonObject = Json.parseObject(GoldenFiles.bytes("sweeps/$name"))

    private fun hex(name: String): ByteArray = HexFormat.of().parseHex(GoldenFiles.text("sweeps/$name"))

    private fun assertBytes(name: String, value: Any?) =
        assertEquals(GoldenFiles.text("sweeps/$name"), Json.bytes(value).decodeToString(), name)

    private fun assertMalformed(message: String, read: () -> Unit) =
        assertEquals(message, assertFailsWith<MalformedJson>(message) { read() }.message)

    private fun assertRejected(message: String, read: () -> Unit) =
        assertEquals(message, assertFailsWith<BadTemplate>(message) { read() }.message)

    @Test
    fun `keys and the ids of points have a fixed format and are parsed back`() {
        assertEquals("v/a/sweeps/lakes2024/m", SweepKeys.manifest(id))
        assertEquals("v/a/sweeps/lakes2024/b/24", SweepKeys.block(id, 24))
        assertEquals("v/sweeps/p/lakes2024/511", SweepKeys.part(id, 511))
        assertEquals("v/sweeps/p/", SweepKeys.PARTS)
        assertEquals(id to null, SweepKeys.parse("v/a/sweeps/lakes2024/m"))
        assertEquals(id to 24, SweepKeys.parse("v/a/sweeps/lakes2024/b/24"))
        assertEquals(id, SweepKeys.sweepOfPart("v/sweeps/p/lakes2024/511"))
        assertEquals("req-wlakes2024-99999", id.point(99_999).text)
        assertEquals(id to 0, SweepId.ofPoint(JobId("req-wlakes2024-0")))
        for (key in listOf(
            "v/a/sweeps/abc/m",
            "v/a/sweeps/lakes2024",
            "v/a/sweeps/lakes2024/b/-1",
            "v/a/sweeps/lakes2024/b/x",
            "v/a/sweeps/lakes2024/m/0",
            "v/sweeps/p/lakes2024/0",
        )) {
            assertNull(SweepKeys.parse(key), key)
        }
        for (bad in listOf("req-wlakes2024-00", "req-wlakes2024-1000000", "req-wabc-0", "req-lakes2024-0")) {
            assertNull(SweepId.ofPoint(JobId(bad)), bad)
        }
    }

    @Test
    fun `a manifest round-trips with and without skipped points`() {
        val full = Manifest.decode(file("manifest-full.json"))
        assertEquals(listOf(5000, 2), listOf(full.points, full.parts))
        assertEquals(listOf("1f2e3d", "team one", "score"), listOf(full.sum, full.team, full.jobClass))
        assertEquals(1_700_000_000_000, full.at.ms)
        assertEquals(mapOf(0 to "1-3,9", 1 to "7"), full.skipped)
        val state = SweepState(id, full, Revision(1))
        assertEquals(listOf(1, 2, 3, 9, 4103), (0 until 5000).filter { state.endOf(it) == PointEnd.SKIPPED })
        assertBytes("manifest-full.json", full.encode())
        val minimal = Manifest.decode(file("manifest-least.json"))
        assertEquals(emptyMap(), minimal.skipped)
        assertBytes("manifest-least.json", minimal.encode())
    }

    @Test
    fun `malformed manifests are rejected with the expected messages`() {
        fun manifest(extraFields: String, points: Any = 1, parts: Any = 1) =
            json("""{"points":$points,"parts":$parts,"sum":"0","team":"t","class":"c","at":0$extraFields}""")
        val extended = Manifest.decode(manifest(""","colour":"red""""))
        assertEquals(1, extended.points, "a missing `needs` and unknown fields are accepted")
        assertMalformed("points: missing") { Manifest.decode(json("{}")) }
        assertMalformed("points: negative") { Manifest.decode(manifest("", points = -1)) }
        assertMalformed("points: not an integer in range") { Manifest.decode(manifest("", points = "\"5\"")) }
        assertMalformed("points, parts: out of range") { Manifest.decode(manifest("", points = 100_001)) }
        assertMalformed("points, parts: out of range") { Manifest.decode(manifest("", parts = 513)) }
        assertMalformed("skip: not an object") { Manifest.decode(manifest(""","skip":"0"""")) }
        assertMalformed("skip: no block") { Manifest.decode(manifest(""","skip":{"x":"0"}""")) }
        assertMalformed("0: not a string") { Manifest.decode(manifest(""","skip":{"0":5}""")) }
        assertMalformed("sum: missing") { Manifest.decode(json("""{"points":1,"parts":1}""")) }
        assertMalformed("skip: block 1 is none of ours") {
            SweepState(id, Manifest.decode(manifest(""","skip":{"1":"0"}""")), Revision(1))
        }
    }

    @Test
    fun `blocks round-trip as ranges and as a bitmap`() {
        for (name in listOf("block-full.json", "block-empty.json", "block-bitmap.json")) {
            assertBytes(name, Block.decode(0, 5000, file(name), Revision(3)).encode())
        }
        val full = Block.decode(0, 5000, file("block-full.json"), Revision(3))
        assertEquals(listOf(0, 1, 2), (0..20).filter { full.endOf(it) == PointEnd.DONE })
        assertEquals(listOf(5, 7, 8, 9), (0..20).filter { full.endOf(it) == PointEnd.WITHDRAWN })
        assertEquals(Revision(3), full.version)
        assertBytes("block-empty.json", Block.empty(0, 5000).encode())
    }

    @Test
    fun `malformed blocks are rejected with the expected messages`() {
        fun block(text: String) = Block.decode(1, 5000, json(text), Revision(3))
        val work = GoldenFiles.text("sweeps/work-none.json")
        assertEquals(1, block("""{"d":"903","w":"","work":$work,"colour":1}""").doneCount)
        assertMalformed("a block's points are none of its") { block("""{"d":"904","w":"","work":$work}""") }
        assertMalformed("a block's points are none of its") { block("""{"d":"","w":"b!","work":$work}""") }
        assertMalformed("a block's points are none of its") { block("""{"d":"3-","w":"","work":$work}""") }
        assertMalformed("d: missing") { block("""{"w":"","work":$work}""") }
        assertMalformed("w: not a string") { block("""{"d":"","w":1,"work":$work}""") }
        assertMalformed("work: missing") { block("""{"d":"","w":""}""") }
    }

    @Test
    fun `work statistics round-trip and are built from job accounts`() {
        assertBytes("work-none.json", Work.decode(file("work-none.json")).encode())
        assertBytes("work-none.json", Work.NONE.encode())
        val full = Work.decode(file("work-full.json"))
        assertEquals(listOf(3L, 6L, 2L, 2L), listOf(full.completed, full.attempts, full.lost, full.least))
        assertEquals(listOf(42.5, 3.5), listOf(full.usefulS, full.lostS))
        assertEquals(2.5, full.percentile(0.5))
        assertBytes("work-full.json", full.encode())
        fun account(tries: Long, useful: Double, lower: Boolean) =
            JobAccount(TeamName("t"), "c", tries, 1, useful, 1.75, null, WallTime(0), lower)
        val built = Work.NONE.with(listOf(null, account(2, 2.5, false), account(4, 40.0, true)))
        assertBytes("work-full.json", built.encode())
    }

    @Test
    fun `malformed work statistics are rejected with the expected messages`() {
        val otherFields = """"tries":0,"lost":0,"useful":0.0,"wasted":0,"least":0"""
        val hist = file("work-full.json").string("hist")
        assertEquals(2, Work.decode(json("""{"n":2,$otherFields,"colour":1}""")).completed)
        assertMalformed("n: missing") { Work.decode(json("{$otherFields}")) }
        assertMalformed("n: negative") { Work.decode(json("""{"n":-1,$otherFields}""")) }
        assertMalformed("n: not an integer in range") { Work.decode(json("""{"n":1.5,$otherFields}""")) }
        assertMalformed("hist: not a string") { Work.decode(json("""{"n":1,$otherFields,"hist":5}""")) }
        assertMalformed("hist: none of ours") { Work.decode(json("""{"n":1,$otherFields,"hist":"!"}""")) }
        assertMalformed("hist: cut short") { Work.decode(json("""{"n":1,$otherFields,"hist":""}""")) }
        assertMalformed("hist: cut short") { Work.decode(json("""{"n":1,$otherFields,"hist":"${hist.take(8)}"}""")) }
        assertMalformed("useful: out of range") {
            Work.decode(json("""{"n":1,"tries":0,"lost":0,"useful":-1,"wasted":0,"least":0}"""))
        }
    }

    @Test
    fun `points round-trip as a grid and as a table`() {
        for (name in listOf("points-grid.json", "points-table.json")) {
            assertBytes(name, Points.decode(file(name)).encode())
        }
        val grid = Points.decode(file("points-grid.json"))
        assertEquals(36, grid.count)
        val last = mapOf("threshold" to 0.9, "lake" to "ziway", "tasks" to 2L, "hot" to false)
        assertEquals<Map<String, Any?>>(last, grid.values(35))
        val table = Points.decode(file("points-table.json"))
        assertEquals(3, table.count)
        assertEquals<Map<String, Any?>>(mapOf("a" to "1", "b" to "x é"), table.values(0))
        assertEquals<Map<String, Any?>>(mapOf("b" to "2"), table.values(1))
        assertEquals("b: the row is cut short", assertFailsWith<BadPoint> { table.values(2) }.message)
    }

    @Test
    fun `malformed points are rejected with the expected messages`() {
        assertRejected("points: neither a grid nor a table") { Points.decode(json("{}")) }
        assertRejected("points.grid: has no axis") { Points.decode(json("""{"grid":{}}""")) }
        assertRejected("points.grid.a: empty") { Points.decode(json("""{"grid":{"a":[]}}""")) }
        assertRejected("points.grid.a: must be a list, or a range like \"0.1 .. 0.9 step 0.1\"") {
            Points.decode(json("""{"grid":{"a":5}}"""))
        }
        assertRejected("points.grid: more than 100000 points") {
            Points.decode(json("""{"grid":{"a":"1 .. 1000","b":"1 .. 101"}}"""))
        }
        assertRejected("rows: missing") { Points.decode(json("""{"columns":["a"]}""")) }
        assertRejected("columns: a stands twice") { Points.decode(json("""{"columns":["a","a"],"rows":"1\t2\n"}""")) }
        assertMalformed("grid: not an object") { Points.decode(json("""{"grid":[]}""")) }
    }

    @Test
    fun `a packed description has a fixed encoding and checksum`() {
        val sums = mapOf("description-grid" to "a3309d3e60dff70c", "description-table" to "350c051c28650adb")
        for ((name, sum) in sums) {
            val packed = hex("$name.hex")
            val read = Description.unpack(packed)
            assertContentEquals(packed, read.pack(), name)
            assertContentEquals(packed, Description.parse(file("$name.json")).pack(), name)
            assertEquals(sum, Description.sum(packed))
        }
        val grid = Description.unpack(hex("description-grid.hex"))
        assertEquals(listOf("skip", 17), listOf(grid.onBad.name.lowercase(), grid.atOnce))
        val body = """{"id":"req-wlakes2024-35","lotClass":"score","desk":"team one","lotKind":"array",""" +
            """"urgency":"normal","crates":2,"cores":4.0,"accelerators":0.5,"memGb":8.0,"catchImage":"img-ziway",""" +
            """"pullGb":1.0,"borrowedRigs":true,"haulS":3.0,"tallyS":0.0,"stowS":0.0,"samePlace":false,""" +
            """"spread":false}"""
        assertEquals(body, Json.text(grid.body(id, 35)))
        // The sample was written by a version whose submissions could omit flags.
        val job = grid.job(id, 35)
        assertEquals(listOf(false, false, true), listOf(job.oneZone, job.spread, job.spotAllowed))
    }

    @Test
    fun `the value of a part holds the description in base64`() {
        val part = file("part.json")
        assertEquals(listOf("data", "at"), part.names.toList())
        assertEquals(1_700_000_000_000, part.long("at"))
        val packed = hex("description-grid.hex")
        assertContentEquals(packed, Parts.join(listOf(part.string("data"))))
        assertEquals(listOf(part.string("data")), Parts.split(packed, 8192))
        val small = Parts.split(packed, 612)
        assertEquals(listOf(100, 100, 100, 100, 100, 44), small.map { it.length })
        assertContentEquals(packed, Parts.join(small))
        assertNull(Parts.join(listOf("!")))
    }

    @Test
    fun `only description fields with a default are optional`() {
        val minimal = Description.parse(json("""{"job":{"lotClass":"c"},"points":{"grid":{"a":[1]}}}"""))
        assertEquals(listOf("refuse", 200), listOf(minimal.onBad.name.lowercase(), minimal.atOnce))
        fun withField(extra: String) = Description.parse(json("""{"job":{},"points":{"grid":{"a":[1]}},$extra}"""))
        assertRejected("at_once: not from 1 to 5000") { withField(""""at_once":0""") }
        assertRejected("at_once: not from 1 to 5000") { withField(""""at_once":5001""") }
        assertRejected("at_once: not an integer in range") { withField(""""at_once":"5"""") }
        assertRejected("on_bad: cry is neither refuse nor skip") { withField(""""on_bad":"cry"""") }
        assertRejected("colour: unknown; known are [at_once, job, name, on_bad, params, points, seed, v]") {
            withField(""""colour":1""")
        }
        assertRejected("job: missing") { Description.parse(json("""{"points":{"grid":{"a":[1]}}}""")) }
        assertRejected("points: missing") { Description.parse(json("""{"job":{}}""")) }
        val packed = hex("description-grid.hex")
        val message = assertFailsWith<BadTemplate> {
            Description.unpack(packed.copyOf(packed.size / 2))
        }.message.orEmpty()
        assertTrue(message.startsWith("the description "), message)
    }
}
