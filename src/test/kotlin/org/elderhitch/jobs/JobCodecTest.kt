package org.elderhitch.jobs

import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import java.io.File
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class JobCodecTest {
    private fun body(random: Random): LinkedHashMap<String, Any?> = linkedMapOf(
        "id" to "req-${random.nextInt(1_000_000).toString().padStart(6, '0')}",
        "lotClass" to "class-${random.nextInt(5)}",
        "desk" to "desk-${random.nextInt(3)}",
        "lotKind" to listOf("array", "gang", "daemon").random(random),
        "urgency" to listOf("production", "urgent", "normal", "idle").random(random),
        "crates" to random.nextInt(1, JobCodec.MAX_TASKS + 1),
        "cores" to random.nextInt(100) / 4.0,
        "accelerators" to random.nextInt(9).toDouble(),
        "memGb" to random.nextInt(1000) / 8.0,
        "catchImage" to "img-${random.nextInt(9)}",
        "pullGb" to random.nextInt(80) / 4.0,
        "rigs" to if (random.nextBoolean()) null else listOf("g8", "g4").take(random.nextInt(1, 3)),
        "hall" to if (random.nextBoolean()) null else "a",
        "samePlace" to random.nextBoolean(),
        "spread" to random.nextBoolean(),
        "borrowedRigs" to random.nextBoolean(),
        "haulS" to random.nextInt(4000) / 4.0,
        "tallyS" to random.nextInt(100) / 4.0,
        "stowS" to random.nextInt(40) / 4.0,
        "closingS" to if (random.nextBoolean()) null else random.nextInt(4000) / 4.0,
    )

    private fun submission(body: Map<String, Any?>): JobSpec =
        JobCodec.decodeSubmission(Json.parseObject(Json.bytes(body)))

    @Test
    fun `a job survives encoding and decoding, and unknown fields are ignored`() {
        val random = Random(4)
        repeat(300) {
            val body = body(random)
            body["surprise"] = mapOf("deep" to listOf(1, null, "x"))
            val spec = JobCodec.decodeSubmission(Json.parseObject(Json.bytes(body)))
            val encoded = Json.parseObject(Json.bytes(JobCodec.encode(spec)))
            assertEquals(spec, JobCodec.decodeStored(encoded))
            assertEquals(spec, JobCodec.decodeSubmission(encoded))
            // A null field is equivalent to an absent one.
            body.values.removeAll { it == null }
            assertEquals(spec, JobCodec.decodeSubmission(Json.parseObject(Json.bytes(body))))
        }
    }

    @Test
    fun `the error for a missing or mistyped field names the field, and invalid values are refused`() {
        val validBody = body(Random(5))
        for (field in SubmissionFields.REQUIRED) {
            for (missing in listOf(validBody - field, validBody + (field to null))) {
                val error = assertFailsWith<MalformedJson>(field) { submission(missing) }
                assertEquals("$field: missing", error.message)
            }
            for (badValue in listOf(listOf(1), mapOf("a" to 1), if (field in SubmissionFields.FLAGS) 1 else true)) {
                val error = assertFailsWith<MalformedJson>(field) { submission(validBody + (field to badValue)) }
                assertTrue(field in error.message.orEmpty(), "$field: ${error.message}")
            }
        }
        val invalidFields = listOf(
            "crates" to 0, "crates" to 100_001, "crates" to 1.5, "cores" to -1.0, "id" to "job-1", "id" to "req-",
            "id" to "req-a b",
            "lotKind" to "swarm", "urgency" to "asap", "rigs" to "g8", "rigs" to listOf(1), "memGb" to "4", "hall" to 7,
            "spread" to "yes",
        )
        for ((field, badValue) in invalidFields) {
            assertFailsWith<MalformedJson>("$field=$badValue") { submission(validBody + (field to badValue)) }
        }
    }

    @Test
    fun `only flags may be absent from a stored job, and absent flags are false`() {
        val validBody = body(Random(6)) + SubmissionFields.FLAGS.associateWith { true }
        for (field in SubmissionFields.REQUIRED) {
            val withoutField = Json.parseObject(Json.bytes(validBody - field))
            if (field in SubmissionFields.FLAGS) {
                assertEquals(submission(validBody + (field to false)), JobCodec.decodeStored(withoutField))
            } else {
                val error = assertFailsWith<MalformedJson>(field) { JobCodec.decodeStored(withoutField) }
                assertEquals("$field: missing", error.message)
            }
        }
        assertEquals(SubmissionFields.FLAGS.associateWith { false }, JobCodec.FLAG_DEFAULTS)
    }

    @Test
    fun `the example jobs are complete submissions`() {
        for (name in listOf("job", "service")) {
            val example = Json.parseObject(File("example/$name.json").readBytes())
            assertEquals(JobCodec.decodeStored(example), JobCodec.decodeSubmission(example))
        }
    }

    @Test
    fun `the error for a text that is not a JSON object is a single line`() {
        for (text in listOf("", "nonsense", "[1]", "{\"a\":", "{} {}", "\"x\"", "{\"a\":1,}", "[".repeat(100))) {
            val error = assertFailsWith<MalformedJson>(text) { Json.parseObject(text.toByteArray()) }
            assertTrue('\n' !in error.message.orEmpty())
        }
    }
}
