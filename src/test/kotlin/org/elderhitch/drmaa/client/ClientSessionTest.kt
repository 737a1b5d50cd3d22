package org.elderhitch.drmaa.client

import org.elderhitch.json.Json
import org.ggf.drmaa.AlreadyActiveSessionException
import org.ggf.drmaa.DrmCommunicationException
import org.ggf.drmaa.DrmaaException
import org.ggf.drmaa.ExitTimeoutException
import org.ggf.drmaa.FileTransferMode
import org.ggf.drmaa.InvalidAttributeFormatException
import org.ggf.drmaa.InvalidAttributeValueException
import org.ggf.drmaa.InvalidContactStringException
import org.ggf.drmaa.InvalidJobTemplateException
import org.ggf.drmaa.JobTemplate
import org.ggf.drmaa.NoActiveSessionException
import org.ggf.drmaa.NoDefaultContactStringException
import org.ggf.drmaa.PartialTimestamp
import org.ggf.drmaa.PartialTimestampFormat
import org.ggf.drmaa.Session
import org.ggf.drmaa.SessionFactory
import org.ggf.drmaa.TryLaterException
import org.ggf.drmaa.UnsupportedAttributeException
import java.time.Instant
import java.time.ZoneId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ClientSessionTest {
    private class ManualClock : ClientClock {
        var now = 0L

        override fun nowMs() = now

        override fun sleep(ms: Long) {
            now += ms
        }
    }

    /** Gives the listed answers in turn and records the requests. */
    private class ScriptedTransport(private val clock: ManualClock, vararg answers: NodeAnswer?) : Line {
        val answers = ArrayDeque(answers.toList())
        val requests = ArrayList<Triple<String, String, Map<*, *>>>()

        override fun post(node: String, path: String, body: ByteArray, timeoutMs: Long): NodeAnswer? {
            clock.now += 10
            requests.add(Triple(node, path, Json.parse(body) as Map<*, *>))
            return if (answers.isEmpty()) null else answers.removeFirst()
        }
    }

    private val contact = "elderhitch://a:1,b:2,c:3?token=grant"

    private fun ok(vararg fields: Pair<String, Any?>) = NodeAnswer(200, Json.bytes(fields.toMap()), null)

    private fun refusal(status: Int, exception: String, retry: Long? = null) =
        NodeAnswer(status, Json.bytes(mapOf("exception" to exception, "error" to "a reason")), retry)

    private val opened = ok("token" to "mine", "session" to "s", "owner" to true)
    private val clock = ManualClock()

    private fun session(vararg answers: NodeAnswer?): Pair<Session, ScriptedTransport> {
        val transport = ScriptedTransport(clock, opened, *answers)
        val session = ClientSession(transport, clock, null) { "t".repeat(it) }
        session.init(contact)
        return session to transport
    }

    private fun Session.template() = createJobTemplate().apply { setRemoteCommand("img") }

    @Test
    fun `a request is retried at the next node under the same id until it is answered`() {
        val (session, transport) = session(null, refusal(503, "DrmCommunicationException"), ok("job" to "req-x"))
        assertEquals("req-x", session.runJob(session.template()))
        assertEquals(listOf("a:1", "b:2", "c:3"), transport.requests.drop(1).map { it.first })
        assertEquals(1, transport.requests.drop(1).map { it.third["request"] }.distinct().size)
        assertEquals("mine", transport.requests.last().third["token"])
        assertEquals("elderhitch://a:1,b:2,c:3?token=mine", session.getContact())
    }

    @Test
    fun `an unanswered request fails after the retry limit, and Retry-After is honoured`() {
        val (session, transport) = session()
        val from = clock.now
        assertFailsWith<DrmCommunicationException> { session.runJob(session.template()) }
        assertTrue(clock.now - from in 58_000..61_000, "${clock.now - from}")
        val (busy, busyTransport) = session(*Array(3) { refusal(503, "TryLaterException", 20) }, ok("job" to "req-y"))
        val since = clock.now
        assertEquals("req-y", busy.runJob(busy.template()))
        assertTrue(clock.now - since >= 20_000 && busyTransport.requests.size == 5)
        assertTrue(transport.requests.size > 100)
    }

    @Test
    fun `waits are repeated under one id, end at their timeout, and outlast full nodes`() {
        val (session, transport) = session(
            ok("waiting" to true, "upto" to emptyMap<String, Any>()),
            null,
            ok("job" to "req-x", "done" to true, "tasks" to 3, "account" to mapOf("tries" to 4, "least" to false)),
        )
        val info = session.wait(Session.JOB_IDS_SESSION_ANY, Session.TIMEOUT_WAIT_FOREVER)
        assertEquals(1, transport.requests.drop(1).map { it.third["request"] }.distinct().size)
        assertTrue(info.hasExited() && !info.wasAborted() && info.getExitStatus() == 0)
        assertEquals(mapOf("attempts" to "4", "lower_bound" to "false", "tasks_done" to "3"), info.getResourceUsage())
        val (short, _) = session(*Array(50) { ok("waiting" to true) })
        assertFailsWith<ExitTimeoutException> { short.wait("req-x", Session.TIMEOUT_NO_WAIT) }
        val (full, _) = session(
            *Array(90) { refusal(503, "TryLaterException", 3) },
            ok(
                "job" to "req-x",
                "done" to false,
            ),
        )
        assertTrue(full.wait("req-x", 600).wasAborted())
        assertFailsWith<IllegalArgumentException> { full.wait("req-x", -2) }
        assertFailsWith<IllegalArgumentException> { full.synchronize(listOf("req-x"), -7, false) }
    }

    @Test
    fun `refusals become their exceptions, and unreadable answers communication errors`() {
        for (name in listOf(
            "DeniedByDrmException",
            "InvalidJobException",
            "AuthorizationException",
            "HoldInconsistentStateException",
            "ConflictingAttributeValuesException",
        )) {
            val (session, _) = session(refusal(422, name))
            assertEquals(
                "org.ggf.drmaa.$name",
                assertFailsWith<DrmaaException> {
                    session.control("req-x", Session.HOLD)
                }.javaClass.name,
            )
        }
        val (odd, _) = session(NodeAnswer(200, "<html>".toByteArray(), null))
        assertFailsWith<DrmCommunicationException> { odd.runJob(odd.template()) }
        val (other, _) = session(NodeAnswer(404, "nothing".toByteArray(), null))
        assertFailsWith<DrmCommunicationException> { other.runJob(other.template()) }
        val (argument, _) = session(refusal(400, "InvalidArgumentException"))
        assertFailsWith<IllegalArgumentException> { argument.runBulkJobs(argument.template(), 1, 5, 0) }
    }

    @Test
    fun `all jobs are terminated over several requests, or the error gives the progress`() {
        val (session, transport) = session(
            ok("done" to 40, "left" to 60, "upto" to mapOf("tttttttt" to 99)),
            ok("done" to 60, "left" to 0),
        )
        session.control(Session.JOB_IDS_SESSION_ALL, Session.TERMINATE)
        assertEquals(mapOf("tttttttt" to 99L), transport.requests.last().third["upto"])
        val (stuck, _) = session(ok("done" to 5, "left" to 7), *Array(10_000) { ok("done" to 0, "left" to 7) })
        assertTrue(
            "5 are done, 7 are not yet" in
                assertFailsWith<TryLaterException> {
                    stuck.control(Session.JOB_IDS_SESSION_ALL, Session.TERMINATE)
                }.message.orEmpty(),
        )
    }

    @Test
    fun `a session is entered and left once, and accepts only its own templates`() {
        val none = ClientSession(ScriptedTransport(clock), clock, null)
        assertFailsWith<NoDefaultContactStringException> { none.init("") }
        for (bad in listOf(
            "http://a:1?token=x",
            "elderhitch://?token=x",
            "elderhitch://a:1",
            "elderhitch://a:1?token=",
            "elderhitch://a b:1?token=x",
        )) {
            assertFalse(
                "token=x" in assertFailsWith<InvalidContactStringException>(bad) {
                    none.init(bad)
                }.message.orEmpty(),
            )
        }
        assertFailsWith<NoActiveSessionException> { none.createJobTemplate() }
        assertFailsWith<NoActiveSessionException> { none.exit() }
        val (session, transport) = session(ok("closed" to true))
        assertFailsWith<AlreadyActiveSessionException> { session.init(contact) }
        val template = session.template()
        session.deleteJobTemplate(template)
        assertFailsWith<InvalidJobTemplateException> { session.runJob(template) }
        assertFailsWith<InvalidJobTemplateException> { session.deleteJobTemplate(template) }
        assertFailsWith<InvalidJobTemplateException> { session.runJob(session.createJobTemplate()) }
        session.exit()
        assertEquals("/drmaa/close", transport.requests.last().second)
        assertFailsWith<NoActiveSessionException> { session.getJobProgramStatus("req-x") }
        // A program that joined a session leaves it without closing it.
        val joined = ScriptedTransport(clock, ok("token" to "mine", "session" to "s", "owner" to false))
        ClientSession(joined, clock, contact).apply {
            init(null)
            exit()
        }
        assertEquals(1, joined.requests.size)
        assertEquals("elderhitch", SessionFactory.getFactory().getSession().getDrmSystem())
    }

    @Test
    fun `attributes are checked when they are set`() {
        val template: JobTemplate = Template()
        assertFailsWith<UnsupportedAttributeException> {
            template.setTransferFiles(FileTransferMode(true, false, false))
        }
        assertFailsWith<UnsupportedAttributeException> { template.getHardRunDurationLimit() }
        assertFailsWith<InvalidAttributeFormatException> { template.setInputPath("/no/host") }
        assertFailsWith<InvalidAttributeFormatException> { template.setWorkingDirectory("relative") }
        assertFailsWith<InvalidAttributeFormatException> { template.setOutputPath(":/x/${JobTemplate.HOME_DIRECTORY}") }
        assertFailsWith<InvalidAttributeFormatException> { template.setEmail(setOf("nobody")) }
        assertFailsWith<InvalidAttributeValueException> { template.setJobSubmissionState(5) }
        assertFailsWith<InvalidAttributeValueException> { template.setJobName("a b") }
        assertFailsWith<InvalidAttributeValueException> { template.setSoftRunDurationLimit(-1) }
        template.setOutputPath("host:${JobTemplate.HOME_DIRECTORY}/out.${JobTemplate.PARAMETRIC_INDEX}")
        assertEquals(17, template.getAttributeNames().size)
    }

    @Test
    fun `a partial time resolves to the next matching time in the user's zone`() {
        val perth = ZoneId.of("Australia/Perth")
        val berlin = ZoneId.of("Europe/Berlin")
        // 2026-12-01 10:00 in Perth.
        val now = Instant.parse("2026-12-01T02:00:00Z")
        val format = PartialTimestampFormat()
        val cases = mapOf(
            "11:30" to "2026-12-01T03:30:00Z", "09:00" to "2026-12-02T01:00:00Z", "10:00:00" to "2026-12-01T02:00:00Z",
            "31 06:15" to "2026-12-30T22:15:00Z",
            "02/29 12:00" to "2028-02-29T04:00:00Z", "27/01/05 00:00" to "2027-01-04T16:00:00Z",
            "2026/11/30 08:00" to "2026-11-30T00:00:00Z",
            "11:30 +00:00" to "2026-12-01T11:30:00Z", "01:00 -03:30" to "2026-12-01T04:30:00Z",
        )
        for ((text, instant) in cases) {
            val time = format.parse(text)
            val zone = if ('+' in text || " -" in text) ZoneId.of(if ('+' in text) "UTC" else "-03:30") else perth
            assertEquals(Instant.parse(instant), time.resolve(now, zone), text)
            assertEquals(time, format.parse(format.format(time)), text)
        }
        // A time within the hour skipped by daylight saving resolves to the hour after it.
        assertEquals(
            Instant.parse("2027-03-28T01:30:00Z"),
            PartialTimestamp(2027, 2, 28, 2, 30, 0).resolve(now, berlin),
        )
        assertEquals(
            Instant.parse("2026-12-03T03:30:00Z"),
            PartialTimestamp(11, 30).apply {
                add(PartialTimestamp.DAY_OF_MONTH, 2)
            }.resolve(now, perth),
        )
        assertFailsWith<IllegalArgumentException> { PartialTimestamp(26, 1, 31, 0, 0, 0).resolve(now, perth) }
        assertFailsWith<IllegalArgumentException> { PartialTimestamp(25, 0) }
        for (bad in listOf(
            "",
            "x",
            "1:2",
            "13/40 10:00",
            "10:61",
            "32 10:00",
        )) {
            assertFailsWith<java.text.ParseException>(bad) {
                format.parse(bad)
            }
        }
    }
}
