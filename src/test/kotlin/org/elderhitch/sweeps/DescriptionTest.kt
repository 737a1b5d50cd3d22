package org.elderhitch.sweeps

import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.SubmissionFields
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class DescriptionTest {
    private val id = SweepId("test")

    private fun expectRefused(points: String, extraFields: String = "", expectedText: String) {
        val error = assertFailsWith<BadTemplate>(expectedText) { ExampleSweeps.of(points, extraFields) }
        assertTrue(expectedText in error.message.orEmpty(), "${error.message} should contain $expectedText")
    }

    @Test
    fun `placeholders take the type and default of their parameter, and keep the text around them`() {
        val job = ExampleSweeps.of("""{"grid":{"threshold":["0.5"],"lake":["ziway"],"tasks":[7]}}""").job(id, 0)
        assertEquals(7, job.tasks)
        assertEquals("img-ziway", job.image.name)
        assertEquals("req-wtest-0", job.id.text)
        assertEquals(id to 0, SweepId.ofPoint(job.id))
    }

    @Test
    fun `the count of a grid matches its distinct points, and a stored grid gives the same points`() {
        for (seed in 1..100) {
            val random = Random(seed)
            val axes =
                List(random.nextInt(1, 4)) { a ->
                    if (random.nextBoolean()) {
                        "\"a$a\":${List(random.nextInt(1, 6)) {
                            it
                        }}"
                    } else {
                        "\"a$a\":\"${random.nextInt(5)} .. ${random.nextInt(5, 9)}\""
                    }
                } +
                    if (random.nextBoolean()) listOf("\"z1,z2\":[[1,2],[3,4],[5,6]]") else emptyList()
            val grid = Grid.parse(Json.parseObject("{${axes.joinToString(",")}}".encodeToByteArray()))
            val all = List(grid.count) { grid.values(it) }
            assertEquals(grid.count, all.toSet().size, "seed $seed: duplicate points")
            val decoded = Points.decode(Json.parseObject(Json.bytes(grid.encode())))
            assertEquals(all, List(decoded.count) { decoded.values(it) }, "seed $seed: after encoding and decoding")
            if (axes.any { "z1" in it }) {
                assertTrue(all.all { it["z2"] == (it["z1"] as Long) + 1 }, "zipped parameters must vary together")
            }
        }
    }

    @Test
    fun `ranges use decimal steps and include their last value`() {
        val grid = ExampleSweeps.of("""{"grid":{"threshold":"0.1 .. 0.9 step 0.1"}}""")
        assertEquals(9, grid.points.count)
        assertEquals(
            listOf(0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9),
            List(9) {
                grid.points.values(it)["threshold"]
            },
        )
        assertEquals(3, Grid.parse(Json.parseObject("""{"n":"10 .. 0 step -4"}""".encodeToByteArray())).count)
    }

    @Test
    fun `a table survives encoding and decoding, and rows of the wrong length are malformed`() {
        for (seed in 1..100) {
            val random = Random(seed)
            val columns = List(random.nextInt(1, 5)) { "c$it" }
            val rows =
                List(random.nextInt(1, 40)) {
                    List(random.nextInt(1, columns.size + 2)) {
                        if (random.nextInt(4) == 0) {
                            ""
                        } else {
                            "v é,\"${random.nextInt(100)}"
                        }
                    }
                }
            val table = Table.Companion.Builder(columns).apply { rows.forEach(::add) }.build()
            val read = Points.decode(Json.parseObject(Json.bytes(table.encode())))
            assertEquals(rows.size, read.count)
            for (n in rows.indices) {
                if (rows[n].size == columns.size) {
                    assertEquals(columns.zip(rows[n]).filter { it.second.isNotEmpty() }.toMap(), read.values(n))
                } else {
                    assertFailsWith<BadPoint>("row $n") { read.values(n) }
                }
            }
        }
    }

    @Test
    fun `a packed description survives a round trip, and a corrupt one is detected`() {
        val description = ExampleSweeps.range(5000)
        val packed = description.pack()
        val parts = Parts.split(packed, 1024)
        assertTrue(parts.all { it.length <= 1024 - 400 })
        val read = Description.unpack(assertPresent(Parts.join(parts)))
        for (n in listOf(0, 1, 4998, 4999)) assertEquals(description.job(id, n), read.job(id, n))
        for (seed in 1..200) {
            val random = Random(seed)
            val corrupted = packed.copyOf(if (random.nextBoolean()) packed.size else random.nextInt(packed.size)).also {
                if (it.isNotEmpty()) {
                    it[random.nextInt(it.size)] =
                        random.nextInt().toByte()
                }
            }
            if (corrupted.contentEquals(packed)) continue
            assertNotEquals(Description.sum(packed), Description.sum(corrupted))
            // Corrupt bytes must never raise any other exception, which would stop a controller.
            runCatching {
                Description.unpack(corrupted)
            }.exceptionOrNull()?.let { assertTrue(it is BadTemplate, "seed $seed: $it") }
        }
        assertContentEquals(packed, Parts.join(parts))
    }

    private fun assertPresent(bytes: ByteArray?): ByteArray = bytes ?: throw AssertionError("no bytes")

    @Test
    fun `invalid templates are refused with a message that names the fault`() {
        expectRefused("""{"grid":{"threshold":"0 .. 1 step 0"}}""", expectedText = "never leads")
        expectRefused("""{"grid":{"threshold":"0 .. 1 step 0.000001"}}""", expectedText = "more than 100000")
        expectRefused(
            """{"grid":{"threshold":"0 .. 1 step 0.001","tasks":"1 .. 200"}}""",
            expectedText = "more than 100000 points",
        )
        expectRefused("""{"grid":{}}""", expectedText = "no axis")
        expectRefused("""{"grid":{"a":[1],"a,b":[[1,2]]}}""", expectedText = "on two axes")
        expectRefused("""{"columns":["a","a"],"rows":"1\t2\n"}""", expectedText = "stands twice")
        expectRefused("""{"nothing":1}""", expectedText = "neither")
        expectRefused("""{"grid":{"threshold":[1]}}""", ""","at_once":0""", expectedText = "at_once")
        expectRefused("""{"grid":{"threshold":[1]}}""", ""","on_bad":"cry"""", expectedText = "on_bad")
        fun template(params: String, job: String) = assertFailsWith<BadTemplate> {
            Template.parse(Json.parseObject(params.encodeToByteArray()), Json.parseObject(job.encodeToByteArray()))
        }.message.orEmpty()
        assertTrue(
            "circular reference: a -> b -> a" in
                template("""{"a":{"default":"${'$'}{b}"},"b":{"default":"x${'$'}{a}"}}""", "{}"),
        )
        assertTrue("not a parameter" in template("{}", """{"lotClass":"${'$'}{nobody}"}"""))
        assertTrue("can't be set by a template" in template("{}", """{"id":"req-1"}"""))
        assertTrue("type" in template("""{"a":{"type":"colour"}}""", "{}"))
        assertTrue("unknown" in template("""{"a":{"kind":"text"}}""", "{}"))
    }

    @Test
    fun `a malformed point names the column at fault`() {
        fun expectMalformed(points: String, column: String) =
            assertEquals(column, assertFailsWith<BadPoint>(points) { ExampleSweeps.of(points).job(id, 0) }.column)
        expectMalformed("""{"grid":{"threshold":[1.5]}}""", "threshold")
        expectMalformed("""{"grid":{"threshold":["often"]}}""", "threshold")
        expectMalformed("""{"grid":{"lake":["tana"]}}""", "threshold")
        expectMalformed("""{"grid":{"threshold":[0.5],"lake":["baikal"]}}""", "lake")
        expectMalformed("""{"grid":{"threshold":[0.5],"colour":["red"]}}""", "colour")
        expectMalformed("""{"columns":["threshold","lake"],"rows":"0.5\n"}""", "lake")
        expectMalformed("""{"grid":{"threshold":[0.5],"tasks":[51]}}""", "tasks")
    }

    /** The example's template with these [fields], and without any other flags. */
    private fun templateOf(fields: Map<String, Any?>): Template {
        val example = ExampleSweeps.json("""{"grid":{"threshold":[0.5]}}""")
        val job = example.requireObject("job")
        val fieldsWithoutFlags = (job.names - SubmissionFields.FLAGS.toSet()).associateWith(job::raw)
        return Template.parse(example.objectOrNull("params"), JsonObject.of(fieldsWithoutFlags + fields))
    }

    @Test
    fun `a template may omit the flags, and a point's body is a complete submission`() {
        val given = mapOf("threshold" to 0.5)
        val flagValues = listOf(
            emptyMap(),
            SubmissionFields.FLAGS.associateWith { null },
            SubmissionFields.FLAGS.associateWith { true },
        )
        for (flags in flagValues) {
            val template = templateOf(flags)
            val job = template.job(id.point(0), given)
            val expectedFlags = SubmissionFields.FLAGS.map { flags[it] ?: false }
            assertEquals(expectedFlags, listOf(job.oneZone, job.spread, job.spotAllowed))
            assertEquals(job, JobCodec.decodeSubmission(JsonObject.of(template.body(id.point(0), given))))
        }
    }

    @Test
    fun `a template that lacks another field makes no jobs, and the reason names the field`() {
        for (field in SubmissionFields.REQUIRED - SubmissionFields.FLAGS.toSet() - "id") {
            val malformed = assertFailsWith<BadPoint>(field) {
                templateOf(mapOf(field to null)).job(id.point(0), mapOf("threshold" to 0.5))
            }
            assertEquals(field to "missing", malformed.column to malformed.reason)
        }
    }

    @Test
    fun `defaults may refer to other parameters in any order`() {
        val template = Template.parse(
            Json.parseObject(
                """{"c":{"default":"${'$'}{b}!"},"b":{"default":"${'$'}{a}-${'$'}{n}"},"a":{"default":"x"},
                "n":{"type":"whole","default":3}}""".encodeToByteArray(),
            ),
            JsonObject.of(mapOf("lotClass" to "${'$'}{c}")),
        )
        assertEquals("x-3!", template.body(id.point(0), emptyMap())["lotClass"])
        assertEquals("y-4!", template.body(id.point(0), mapOf("a" to "y", "n" to "4"))["lotClass"])
    }
}
