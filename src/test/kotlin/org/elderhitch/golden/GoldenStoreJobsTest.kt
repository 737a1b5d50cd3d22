package org.elderhitch.golden

import org.elderhitch.golden.GoldenStoreValues.assertMalformed
import org.elderhitch.golden.GoldenStoreValues.assertMatchesSample
import org.elderhitch.golden.GoldenStoreValues.parse
import org.elderhitch.golden.GoldenStoreValues.stored
import org.elderhitch.golden.GoldenStoreValues.text
import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobHold
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Revision
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** The encodings of job records, completed tasks, terminal records and holds in the state service. */
class GoldenStoreJobsTest {
    @Test
    fun `a job record round-trips with every optional field and without any`() {
        val full = JobCodec.decodeStored(stored("job-full"))
        assertMatchesSample("job-full", JobCodec.encode(full))
        assertEquals(5000, full.tasks)
        assertEquals(listOf("g8", "g16"), full.types?.map { it.name })
        assertEquals(listOf("north", "req-000001"), listOf(full.zone?.name, full.repeatOf?.text))
        assertTrue(full.oneZone && full.spread && full.spotAllowed)
        val durations = listOf(full.estimate, full.checkpointInterval, full.checkpointDuration)
        assertEquals(listOf(90.5.seconds, 30.seconds, 2.5.seconds), durations)
        assertEquals(3600.seconds, full.deadline)
        assertMatchesSample("job-least", JobCodec.encode(JobCodec.decodeStored(stored("job-least"))))
    }

    @Test
    fun `a job record of an earlier version is read with defaults`() {
        val earlier = JobCodec.decodeStored(stored("job-earlier"))
        assertMatchesSample("job-least", JobCodec.encode(earlier))
        assertFalse(earlier.oneZone || earlier.spread || earlier.spotAllowed)
        assertEquals(List(4) { null }, listOf(earlier.types, earlier.zone, earlier.deadline, earlier.repeatOf))
    }

    @Test
    fun `the fields that a feature adds follow a job record's own fields`() {
        val stored = stored("job-extra")
        assertMatchesSample(
            "job-extra",
            JobCodec.encode(JobCodec.decodeStored(stored)) + mapOf("drmaa" to stored.raw("drmaa")),
        )
        assertMatchesSample("job-least", JobCodec.encode(JobCodec.decodeStored(stored)))
    }

    @Test
    fun `each kind and urgency of jobs keeps its stored name`() {
        val least = text("job-least")
        for (kind in listOf("array", "gang", "daemon")) {
            val value = least.replace("\"lotKind\":\"daemon\"", "\"lotKind\":\"$kind\"")
            assertEquals(value, Json.text(JobCodec.encode(JobCodec.decodeStored(parse(value)))))
        }
        for (urgency in listOf("production", "urgent", "normal", "idle")) {
            val value = least.replace("\"urgency\":\"idle\"", "\"urgency\":\"$urgency\"")
            assertEquals(value, Json.text(JobCodec.encode(JobCodec.decodeStored(parse(value)))))
        }
    }

    @Test
    fun `malformed job records are rejected with the expected messages`() {
        val full = text("job-full")
        fun assertRejected(message: String, from: String, to: String) {
            assertTrue(from in full, from)
            assertMalformed(message) { JobCodec.decodeStored(parse(full.replace(from, to))) }
        }
        assertRejected("crates: not from 1 to 100000", "\"crates\":5000", "\"crates\":0")
        assertRejected("crates: not from 1 to 100000", "\"crates\":5000", "\"crates\":100001")
        assertRejected("crates: not an integer in range", "\"crates\":5000", "\"crates\":99999999999999999999")
        assertRejected("crates: not an integer in range", "\"crates\":5000", "\"crates\":\"5000\"")
        assertRejected("crates: missing", "\"crates\":5000", "\"crates\":null")
        assertRejected("cores: out of range", "\"cores\":4.0", "\"cores\":-1")
        assertRejected("cores: out of range", "\"cores\":4.0", "\"cores\":1e16")
        assertRejected("memGb: not a number", "\"memGb\":16.0", "\"memGb\":true")
        assertRejected("lotKind: unknown", "\"array\"", "\"ring\"")
        assertRejected("urgency: unknown", "\"urgent\"", "\"HIGH\"")
        assertRejected("id: not of the form req-000412", "req-000412", "412")
        assertRejected("repeatOf: not of the form req-000412", "req-000001", "1")
        assertRejected("rigs: not a list", "[\"g8\",\"g16\"]", "\"g8\"")
        assertRejected("rigs: holds something that is no string", "[\"g8\",\"g16\"]", "[8]")
        assertRejected("hall: empty or over 200 characters", "\"north\"", "\"\"")
        assertRejected("samePlace: not true or false", "\"samePlace\":true", "\"samePlace\":1")
        assertFailsWith<MalformedJson> { parse(full.dropLast(1)) }
        assertMatchesSample(
            "job-full",
            JobCodec.encode(JobCodec.decodeStored(parse(full.dropLast(1) + ",\"newer\":[1]}"))),
        )
    }

    private fun assertBlockRoundTrip(name: String, block: Int, tasks: Int = 5000): CompletedTasks {
        val completed = CompletedTasks(tasks)
        assertTrue(completed.unpack(block, stored(name).string("f")), name)
        assertMatchesSample(name, mapOf("f" to completed.pack(block)))
        return completed
    }

    @Test
    fun `blocks of completed tasks round-trip as ranges and as a bitmap`() {
        assertEquals(10, assertBlockRoundTrip("finished-ranges", 0).count)
        assertEquals(904, assertBlockRoundTrip("finished-last-block", 1).count)
        assertTrue(4999 in assertBlockRoundTrip("finished-last-block", 1))
        assertEquals(0, assertBlockRoundTrip("finished-none", 0).count)
        val bitmap = assertBlockRoundTrip("finished-bitmap", 0)
        assertEquals(2048, bitmap.count)
        assertTrue(0 in bitmap && 1 !in bitmap && 4094 in bitmap)
        assertEquals(685, stored("finished-bitmap").string("f").length)
        assertEquals(listOf(4096, 685), listOf(CompletedTasks.BLOCK_SIZE, CompletedTasks.MAX_VALUE_CHARS))
    }

    @Test
    fun `malformed blocks of completed tasks add nothing`() {
        val malformed = listOf("x", "-1", "5-3", "0-4096", "0-", "0,", "0-1-2", "b*", "b=", "99999999999", " 1")
        for (value in malformed) {
            val completed = CompletedTasks(5000)
            assertFalse(completed.unpack(0, value), value)
            assertEquals(0, completed.count, value)
        }
        assertFalse(CompletedTasks(5000).unpack(1, "904"))
        assertFalse(CompletedTasks(5000).unpack(2, "0"))
        assertFalse(CompletedTasks(5000).unpack(-1, "0"))
    }

    @Test
    fun `a terminal record round-trips with and without an account`() {
        for (name in listOf("end-account", "end-account-unseen", "end-no-account")) {
            assertMatchesSample(name, assertNotNull(TerminalRecord.decode(stored(name))).encode())
        }
        val account = assertNotNull(TerminalRecord.decode(stored("end-account"))?.account)
        assertEquals(listOf(5003L, 3L), listOf(account.attempts, account.lost))
        assertEquals(listOf(1234.5, 6.7), listOf(account.usefulSeconds, account.lostSeconds))
        assertEquals(listOf(1_700_000_000_000, 1_700_000_100_000), listOf(account.firstStart?.ms, account.end.ms))
        assertFalse(account.isLowerBound)
        assertNull(TerminalRecord.decode(stored("end-account-unseen"))?.account?.firstStart)
        assertNull(assertNotNull(TerminalRecord.decode(stored("end-no-account"))).account)
    }

    @Test
    fun `malformed terminal records are not decoded`() {
        val malformed = listOf(
            "{}", "{\"end\":\"eaten\",\"done\":0}", "{\"end\":\"DONE\",\"done\":0}", "{\"end\":1,\"done\":0}",
            "{\"end\":\"done\"}",
            "{\"end\":\"done\",\"done\":-1}", "{\"end\":\"done\",\"done\":\"1\"}", "{\"end\":\"done\",\"done\":1.5}",
            "{\"end\":\"done\",\"done\":99999999999999999999}", "{\"end\":\"done\",\"done\":1,\"acct\":[]}",
            "{\"end\":\"done\",\"done\":1,\"acct\":{}}", text("end-account").replace("\"least\":false", "\"least\":0"),
        )
        for (value in malformed) assertNull(TerminalRecord.decode(parse(value)), value)
        assertEquals(1, TerminalRecord.decode(parse("{\"end\":\"done\",\"done\":1,\"newer\":true}"))?.done)
        val large = parse("{\"end\":\"done\",\"done\":4294967296}")
        assertEquals(0, TerminalRecord.decode(large)?.done, "only the low 32 bits are kept")
    }

    @Test
    fun `holds round-trip and keep their stored names`() {
        val kinds = mapOf(
            "user" to HoldKind.USER,
            "suspended" to HoldKind.SUSPENDED,
            "attempts" to HoldKind.ATTEMPTS,
            "released" to HoldKind.RELEASED,
        )
        for ((name, kind) in kinds) {
            val hold = assertNotNull(JobHold.decode(stored("hold-$name"), Revision(7)))
            assertEquals(kind, hold.kind)
            assertEquals("told so", hold.reason)
            assertEquals(Revision(7), hold.version)
            assertMatchesSample("hold-$name", hold.encode())
        }
        assertEquals(300, JobHold.of(HoldKind.USER, "x".repeat(301)).reason.length)
    }

    @Test
    fun `malformed holds are not decoded`() {
        val malformed = listOf(
            "{}",
            "{\"hold\":\"user\"}",
            "{\"hold\":\"USER\",\"why\":\"\"}",
            "{\"hold\":1,\"why\":\"\"}",
            "{\"hold\":\"user\",\"why\":1}",
            "{\"hold\":\"other\",\"why\":\"\"}",
        )
        for (value in malformed) assertNull(JobHold.decode(parse(value), Revision(1)), value)
        assertNotNull(JobHold.decode(parse("{\"hold\":\"user\",\"why\":\"\",\"newer\":1}"), Revision(1)))
    }
}
