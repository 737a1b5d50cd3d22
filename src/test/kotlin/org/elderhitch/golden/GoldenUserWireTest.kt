package org.elderhitch.golden

import org.elderhitch.app.runInSimulatedCluster
import org.elderhitch.http.Response
import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobStatus
import org.elderhitch.jobs.TerminalState
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.SimulationSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds

class GoldenUserWireTest {
    private val submitted = GoldenFiles.text("wire/work-submitted.json")

    private fun reencode(text: String): String =
        Json.text(JobCodec.encode(JobCodec.decodeSubmission(Json.parseObject(text.encodeToByteArray()))))

    private fun statusAndBody(response: Response): String = "${response.status} ${response.body.decodeToString()}"

    private suspend fun SimulatedCluster.answer(method: String, path: String, body: String? = null): String =
        statusAndBody(assertNotNull(call("n0", method, path, body?.encodeToByteArray())))

    private suspend fun SimulatedCluster.awaitReady() = until("a leader is elected", 60.seconds) {
        leader() != null && call("n0", "GET", "/ready", null)?.status == 200
    }

    @Test
    fun `a job with every field round-trips`() {
        val full = GoldenFiles.text("wire/work-full.json")
        assertEquals(full, reencode(full))
        assertEquals(full, reencode(full.dropLast(1) + ",\"later\":{\"a\":[1,null]}}"))
    }

    @Test
    fun `absent optional fields and null ones are equivalent`() {
        val normalized = GoldenFiles.text("wire/work-least-kept.json")
        for (name in listOf("work-least", "work-nulls", "work-least-kept")) {
            assertEquals(normalized, reencode(GoldenFiles.text("wire/$name.json")), name)
        }
    }

    @Test
    fun `each kind and each urgency keeps its name`() {
        val full = GoldenFiles.text("wire/work-full.json")
        for (kind in listOf("array", "gang", "daemon")) {
            for (urgency in listOf("production", "urgent", "normal", "idle")) {
                val text = full.replace("\"gang\"", "\"$kind\"").replace("\"urgent\"", "\"$urgency\"")
                assertEquals(text, reencode(text))
            }
        }
    }

    @Test
    fun `malformed jobs are rejected with the expected messages`() =
        BadSamples.check("wire/work-full.json", "wire/work-bad.tsv") {
            assertFailsWith<MalformedJson>(it.decodeToString()) {
                JobCodec.decodeSubmission(Json.parseObject(it))
            }.message.orEmpty()
        }

    @Test
    fun `each status has a fixed encoding`() {
        val statuses = mapOf(
            "queued" to JobStatus.open(0, 0),
            "running" to JobStatus.open(2, 7),
            "done" to JobStatus.ended(TerminalState.DONE, 9),
            "withdrawn" to JobStatus.ended(TerminalState.CANCELLED, 0),
        )
        for ((name, status) in statuses) {
            val bytes = JobCodec.encodeStatus(JobId("req-3301"), status)
            assertEquals(GoldenFiles.text("wire/standing-$name.json"), bytes.decodeToString())
        }
    }

    @Test
    fun `a job is submitted, resubmitted, polled and cancelled`() = runInSimulatedCluster {
        awaitReady()
        until("machine types are known", 30.seconds) {
            answer("POST", "/work", submitted) == "201 " + GoldenFiles.text("wire/standing-queued.json")
        }
        val queued = "200 " + GoldenFiles.text("wire/standing-queued.json")
        assertEquals(queued, answer("POST", "/work", submitted))
        assertEquals(queued, answer("POST", "/work", "{\"id\":\"req-3301\"}"))
        assertEquals(queued, answer("GET", "/work/req-3301"))
        val cancelled = "200 " + GoldenFiles.text("wire/standing-withdrawn.json")
        assertEquals(cancelled, answer("POST", "/work/req-3301/withdraw", ""))
        assertEquals(cancelled, answer("GET", "/work/req-3301"))
        assertEquals(cancelled, answer("POST", "/work", submitted))
    }

    @Test
    fun `rejections have fixed statuses and bodies`() = runInSimulatedCluster(SimulationSettings(maxGpus = 6.0)) {
        awaitReady()
        fun submittedWith(from: String, to: String) =
            submitted.replace(from, to).also { check(it != submitted) { from } }
        val unknownZone = submittedWith("\"a\"", "\"z\"")
        until("machine types are known", 30.seconds) { answer("POST", "/work", unknownZone).startsWith("422") }
        val cases = listOf(
            answer("POST", "/work", unknownZone),
            answer("POST", "/work", submittedWith("\"team\"", "\"nobody\"")),
            answer("POST", "/work", submittedWith("\"accelerators\":1.0", "\"accelerators\":7.0")),
            answer("POST", "/work", submittedWith("\"array\"", "\"gang\"").replace("rators\":1.0", "rators\":3.0")),
            answer("POST", "/work", submitted.dropLast(1) + ",\"repeatOf\":\"req-none\"}"),
            answer("POST", "/work", submittedWith("\"crates\":3", "\"crates\":0")),
            answer("POST", "/work", "[]"),
            answer("POST", "/work", "{}"),
            answer("POST", "/work", submittedWith("req-3301", "3301")),
            answer("GET", "/work/req-none"),
            answer("GET", "/work/none"),
            answer("POST", "/work/req-none/withdraw", ""),
            answer("GET", "/work/a/b"),
            answer("GET", "/work"),
            answer("GET", "/work/req-none/withdraw"),
            answer("GET", "/elsewhere"),
            answer("GET", "/ready"),
        )
        assertEquals(GoldenFiles.text("wire/work-refusals.txt"), cases.joinToString("") { it + "\n" })
    }

    private suspend fun SimulatedCluster.assertUnavailable(
        reason: String,
        method: String,
        path: String,
        body: ByteArray?,
    ) {
        val response = assertNotNull(call("n0", method, path, body))
        assertEquals("503 {\"error\":\"$reason\"}", statusAndBody(response))
        assertEquals(mapOf("Retry-After" to "1"), response.headers)
    }

    @Test
    fun `a node that has just started isn't ready`() = runInSimulatedCluster {
        assertUnavailable("starting", "GET", "/ready", null)
    }

    @Test
    fun `a node that has just started accepts no job yet`() = runInSimulatedCluster {
        assertUnavailable("starting", "POST", "/work", submitted.encodeToByteArray())
    }

    @Test
    fun `a node that knows no machine types accepts no job yet`() = runInSimulatedCluster {
        platform.cloud.down = true
        awaitReady()
        assertUnavailable("machine types not known yet", "POST", "/work", submitted.encodeToByteArray())
    }

    @Test
    fun `the node status has a fixed set of fields`() = runInSimulatedCluster {
        awaitReady()
        val status = Json.parseObject(assertNotNull(call("n0", "GET", "/status", null)).body)
        val fields = listOf("node", "run", "leading", "leader", "term", "reaches_state", "features", "orders", "meters")
        assertEquals(fields, status.names.toList())
        assertEquals("n0", status.string("node"))
        assertEquals(leader(), status.string("leader"))
    }
}
