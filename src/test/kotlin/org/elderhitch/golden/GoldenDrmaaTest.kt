package org.elderhitch.golden

import org.elderhitch.drmaa.BadToken
import org.elderhitch.drmaa.Claim
import org.elderhitch.drmaa.ClientTag
import org.elderhitch.drmaa.DrmaaKeys
import org.elderhitch.drmaa.HeldJob
import org.elderhitch.drmaa.JobName
import org.elderhitch.drmaa.ReapBlock
import org.elderhitch.drmaa.ReapKey
import org.elderhitch.drmaa.RequestId
import org.elderhitch.drmaa.ResultName
import org.elderhitch.drmaa.SessionName
import org.elderhitch.drmaa.SessionRecord
import org.elderhitch.drmaa.TemplateCheck
import org.elderhitch.drmaa.Tokens
import org.elderhitch.drmaa.client.ClientClock
import org.elderhitch.drmaa.client.ContactString
import org.elderhitch.drmaa.client.Line
import org.elderhitch.drmaa.client.NodeAnswer
import org.elderhitch.drmaa.client.Template
import org.elderhitch.drmaa.client.Wire
import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobId
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.TeamName
import org.elderhitch.store.Revision
import org.elderhitch.time.WallTime
import org.ggf.drmaa.DeniedByDrmException
import org.ggf.drmaa.DrmCommunicationException
import org.ggf.drmaa.InvalidJobException
import org.ggf.drmaa.JobTemplate
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull
import kotlin.test.assertTrue

class GoldenDrmaaTest {
    private val version = Revision(7)
    private val session = SessionName("abcdefghijkl")
    private val tag = ClientTag("aaaaaaaa")

    private fun json(text: String) = Json.parseObject(text.encodeToByteArray())

    private fun file(name: String) = Json.parseObject(GoldenFiles.bytes("drmaa/$name"))

    private fun assertBytes(name: String, value: Any?) =
        assertEquals(GoldenFiles.text("drmaa/$name"), Json.bytes(value).decodeToString(), name)

    private fun fields(record: JsonObject) = record.names.associateWith { record.raw(it) }

    @Test
    fun `keys have a fixed format and are parsed back`() {
        val single = JobName(session, tag, 3, null)
        val bulk = JobName(session, tag, 12_345_678, 100_000)
        assertEquals("req-dabcdefghijkl-aaaaaaaa-00000003", single.toString())
        assertEquals("req-dabcdefghijkl-aaaaaaaa-12345678x100000", bulk.toString())
        assertEquals("v/a/drmaa/s/abcdefghijkl", DrmaaKeys.session(session))
        assertEquals("v/a/drmaa/h/req-dabcdefghijkl-aaaaaaaa-00000003", DrmaaKeys.held(single))
        assertEquals("v/drmaa/x/abcdefghijkl", DrmaaKeys.closed(session))
        assertEquals("v/drmaa/x/", DrmaaKeys.ALL_CLOSED)
        assertEquals("v/z/end/req-dabcdefghijkl-", DrmaaKeys.endings(session))
        assertEquals("v/drmaa/r/abcdefghijkl/", ReapKey.prefix(session))
        for ((key, text) in listOf(
            ReapKey(session, tag, null, 0) to "v/drmaa/r/abcdefghijkl/aaaaaaaa/0",
            ReapKey(session, tag, 5, 24) to "v/drmaa/r/abcdefghijkl/aaaaaaaa.5/24",
        )) {
            assertEquals(text, key.toString())
            assertEquals(key, ReapKey.parse(text))
        }
        assertEquals(session, DrmaaKeys.sessionOf("v/a/drmaa/s/abcdefghijkl"))
        assertEquals(single, DrmaaKeys.heldOf("v/a/drmaa/h/req-dabcdefghijkl-aaaaaaaa-00000003"))
        assertEquals(session, DrmaaKeys.closedOf("v/drmaa/x/abcdefghijkl"))
        assertEquals(bulk, JobName.parse(bulk.id))
        assertEquals(RequestId(tag, 99_999_999), RequestId.parse("aaaaaaaa-99999999"))
        assertEquals("aaaaaaaa-12", RequestId(tag, 12).toString())
    }

    @Test
    fun `keys of any other format are not parsed`() {
        for (key in listOf(
            "v/drmaa/r/abcdefghijkl/aaaaaaaa",
            "v/drmaa/r/abcdefghijkl/aaaaaaaa/-1",
            "v/drmaa/r/abcdefghijk/aaaaaaaa/0",
            "v/drmaa/r/abcdefghijkl/aaaaaaaa.x/0",
            "v/drmaa/r/abcdefghijkl/aaaaaaaa/0/1",
        )) {
            assertNull(ReapKey.parse(key), key)
        }
        assertNull(DrmaaKeys.sessionOf("v/a/drmaa/s/abcdefghijk"))
        assertNull(DrmaaKeys.sessionOf("v/a/drmaa/h/abcdefghijkl"))
        assertNull(DrmaaKeys.heldOf("v/a/drmaa/h/req-1"))
        assertNull(DrmaaKeys.closedOf("v/drmaa/x/ABCDEFGHIJKL"))
        assertNull(RequestId.parse("aaaaaaaa"))
        assertNull(RequestId.parse("aaaaaaaa-100000000"))
        for (id in listOf("0000003", "00000003x0", "00000003x100001", "00000003x1000000")) {
            assertNull(JobName.parse(JobId("req-dabcdefghijkl-aaaaaaaa-$id")), id)
        }
    }

    @Test
    fun `results are named by job and member and stored in blocks of 4096`() {
        val member = ResultName.parse("req-dabcdefghijkl-aaaaaaaa-00000003x5000/4097") ?: error("not a result name")
        assertEquals("req-dabcdefghijkl-aaaaaaaa-00000003x5000/4097", member.toString())
        assertEquals("v/drmaa/r/abcdefghijkl/aaaaaaaa.3/1", member.block.toString())
        assertEquals(1, member.place)
        val single = ResultName.parse("req-dabcdefghijkl-aaaaaaaa-00008195") ?: error("not a result name")
        assertEquals("v/drmaa/r/abcdefghijkl/aaaaaaaa/2", single.block.toString())
        assertEquals(3, single.place)
        assertNull(ResultName.parse("req-dabcdefghijkl-aaaaaaaa-00000003x5"))
        assertNull(ResultName.parse("req-dabcdefghijkl-aaaaaaaa-00000003x5/5"))
        assertNull(ResultName.parse("req-dabcdefghijkl-aaaaaaaa-00000003/0"))
    }

    @Test
    fun `a session record round-trips`() {
        val record = SessionRecord.decode(file("session.json"), version) ?: error("not decoded")
        assertEquals("team one", record.team.text)
        assertEquals(1_700_000_000_000, record.opened.ms)
        assertEquals(1_700_003_600_000, record.used.ms)
        assertEquals(version, record.version)
        assertBytes("session.json", record.encode())
    }

    @Test
    fun `a session record with a missing field or a wrong type is not decoded`() {
        assertNull(SessionRecord.decode(json("{}"), version))
        assertNull(SessionRecord.decode(json("""{"team":"t","opened":1}"""), version))
        assertNull(SessionRecord.decode(json("""{"team":5,"opened":1,"used":2}"""), version))
        assertNull(SessionRecord.decode(json("""{"team":"t","opened":1.5,"used":2}"""), version))
        assertNull(SessionRecord.decode(json("""{"team":"t","opened":1,"used":92233720368547758070}"""), version))
        val extended = SessionRecord.decode(json("""{"team":"t","opened":-1,"used":2,"colour":"red"}"""), version)
        assertEquals(-1, extended?.opened?.ms)
        val truncated = GoldenFiles.bytes("drmaa/session.json").copyOf(30)
        assertTrue(
            assertFailsWith<MalformedJson> {
                Json.parseObject(truncated)
            }.message.orEmpty().startsWith("not JSON: "),
        )
    }

    @Test
    fun `held jobs are read with and without a start time`() {
        val full = HeldJob.decode(file("held-full.json"), version) ?: error("not decoded")
        assertTrue(full.byUser)
        assertEquals(1_700_000_000_000, full.since.ms)
        assertEquals(1_700_000_600_000, full.startAt?.ms)
        val written = linkedMapOf(
            "job" to fields(full.body),
            "user" to full.byUser,
            "since" to full.since.ms,
            "start" to full.startAt?.ms,
        )
        assertBytes("held-full.json", written)
        // The sample was written by a version that stored no flags.
        val job = JobCodec.decodeStored(full.body)
        assertEquals(listOf(false, false, false), listOf(job.oneZone, job.spread, job.spotAllowed))
        val least = HeldJob.decode(file("held-least.json"), version) ?: error("not decoded")
        assertEquals("req-dabcdefghijkl-aaaaaaaa-00000004", least.body.string("id"))
        assertEquals(false, least.byUser)
        assertNull(least.startAt)
        assertEquals(version, least.version)
    }

    @Test
    fun `held jobs with a missing field or a wrong type are not decoded`() {
        for (text in listOf(
            "{}",
            """{"user":true,"since":1}""",
            """{"job":{},"since":1}""",
            """{"job":{},"user":true}""",
            """{"job":[],"user":true,"since":1}""",
            """{"job":{},"user":1,"since":1}""",
            """{"job":{},"user":true,"since":1,"start":"soon"}""",
        )) {
            assertNull(HeldJob.decode(json(text), version), text)
        }
        val extended = json("""{"job":{},"user":true,"since":1,"x":2,"start":null}""")
        assertEquals(1, HeldJob.decode(extended, version)?.since?.ms)
    }

    @Test
    fun `the record of a closed session has a fixed set of fields`() {
        val closed = file("closed.json")
        assertEquals(listOf("team", "why", "at", "left"), closed.names.toList())
        assertEquals(1_700_000_000_000, closed.long("at"))
        assertBytes("closed.json", fields(closed))
    }

    @Test
    fun `taken results round-trip as ranges and as a bitmap`() {
        for (name in listOf("taken-full.json", "taken-least.json", "taken-bitmap.json")) {
            assertBytes(name, (ReapBlock.decode(file(name), version) ?: error(name)).encode())
        }
        val full = ReapBlock.decode(file("taken-full.json"), version) ?: error("not decoded")
        assertEquals(listOf(0, 1, 2, 7, 4095), (0..4095).filter { it in full })
        assertEquals(7, full.takenBy(RequestId(tag, 12)))
        assertNull(full.takenBy(RequestId(tag, 13)))
        assertTrue(full.wentTo(0, RequestId(tag, 13)))
        assertEquals(version, full.version)
        assertEquals(2048, ReapBlock.decode(file("taken-bitmap.json"), version)?.count)
        val withoutRequests = json("""{"f":"0-4","colour":1}""")
        assertEquals(5, ReapBlock.decode(withoutRequests, version)?.count, "a block without requests")
        val taken = ReapBlock.EMPTY.plus(listOf(0, 1, 2, 7), RequestId(tag, 13)).plus(listOf(4095), RequestId(tag, 14))
        val text = """{"f":"0-2,7,4095","by":["aaaaaaaa-13","aaaaaaaa-14:4095"]}"""
        assertEquals(text, Json.text(taken.encode()))
    }

    @Test
    fun `malformed taken results are not decoded`() {
        for (text in listOf(
            "{}", """{"f":7}""", """{"f":"0-"}""", """{"f":"4096"}""", """{"f":"b!"}""", """{"f":"","by":"a"}""",
            """{"f":"","by":[5]}""", """{"f":"","by":["aaaaaaaa"]}""", """{"f":"","by":["aaaaaaaa-1:4096"]}""",
            """{"f":"","by":["aaaaaaaa-1:x"]}""",
        )) {
            assertNull(ReapBlock.decode(json(text), version), text)
        }
    }

    @Test
    fun `tokens stay valid, and a nonce always gives the same session name`() {
        val tokens = Tokens.parse("keys", listOf("old ${"A".repeat(32)}"))
        val team = TeamName("team one")
        val now = WallTime(1_600_000_000_000)
        for ((name, claim) in listOf(
            "token-grant.txt" to Claim.Grant(team, WallTime(1_700_000_000_000)),
            "token-grant-endless.txt" to Claim.Grant(team, null),
            "token-session.txt" to Claim.InSession(team, session),
        )) {
            val text = GoldenFiles.text("drmaa/$name")
            assertEquals(text, tokens.issue(claim))
            assertEquals(claim, tokens.verify(text, now))
            val badToken = assertFailsWith<BadToken> { tokens.verify(text.dropLast(1), now) }
            assertEquals("not a token of ours", badToken.message)
        }
        assertEquals("3uqzaawvjty0", tokens.sessionFor(team, "nonce-123456").text)
    }

    @Test
    fun `a client's template is sent with a fixed set of fields`() {
        val template = Template().apply {
            setRemoteCommand("img-9")
            setArgs(listOf("a", "b c"))
            setJobEnvironment(mapOf("LAKE" to "tana"))
            setWorkingDirectory(JobTemplate.HOME_DIRECTORY + "/x")
            setJobName("run.1")
            setInputPath(":/in")
            setOutputPath("host:/out")
            setErrorPath(":/err")
            setJoinFiles(true)
            setEmail(setOf("a@example.org"))
            setBlockEmail(true)
            setJobCategory("label")
            setNativeSpecification("cores=5 rigs=a,b")
            setJobSubmissionState(JobTemplate.HOLD_STATE)
            setSoftRunDurationLimit(40)
        }
        assertBytes("template-full.json", template.fields())
        assertBytes("template-least.json", Template().apply { setRemoteCommand("img-9") }.fields())
    }

    @Test
    fun `the daemon accepts a template and keeps its descriptive fields`() {
        val check = TemplateCheck(mapOf("label" to mapOf("lotClass" to "label", "catchImage" to "img-7")))
        val name = JobName(session, tag, 3, null)
        val now = WallTime(1_700_000_000_000)
        val full = check.check(name, TeamName("team one"), file("template-full.json"), null, now)
        assertTrue(full.onHold)
        assertEquals("label", full.spec.jobClass)
        assertEquals("img-7", full.spec.image.name)
        val kept = full.extra.getValue("drmaa") as Map<*, *>
        val described = listOf(
            "command", "args", "env", "directory", "name", "input", "output", "joinFiles", "email", "blockEmail",
        )
        assertEquals(described, kept.keys.toList())
        val least = check.check(name, TeamName("team one"), file("template-least.json"), null, now)
        assertEquals("drmaa", least.spec.jobClass)
        assertEquals("""{"drmaa":{"command":"img-9"}}""", Json.text(least.extra))
    }

    private fun askControl(status: Int, body: String, onRequest: (String, String) -> Unit = { _, _ -> }): JsonObject {
        val clock = object : ClientClock {
            override fun nowMs(): Long = 0

            override fun sleep(ms: Long) = Unit
        }
        val transport = Line { _, path, sent, _ ->
            onRequest(path, sent.decodeToString())
            NodeAnswer(status, body.encodeToByteArray(), null)
        }
        val contact = ContactString.parse("elderhitch://one:80,two:80?token=k.s.dA.abcdefghijkl.x")
        assertEquals("elderhitch://one:80,two:80?token=k.s.dA.abcdefghijkl.x", contact.toString())
        val fields = linkedMapOf<String, Any?>("action" to "HOLD", "job" to "req-dabcdefghijkl-aaaaaaaa-00000003")
        return Wire(contact, transport, clock).ask("control", fields, 0)
    }

    @Test
    fun `a request carries the token and its fields, and refusals name their exception`() {
        val answer = askControl(200, """{"done":1}""") { path, sent ->
            assertEquals("/drmaa/control", path)
            assertEquals(GoldenFiles.text("drmaa/request-control.json"), sent)
        }
        assertEquals(1, answer.long("done"))
        fun refusal(name: String) = """{"exception":"$name","error":"why"}"""
        assertEquals(
            "why",
            assertFailsWith<InvalidJobException> {
                askControl(404, refusal("InvalidJobException"))
            }.message,
        )
        assertEquals(
            "why",
            assertFailsWith<DeniedByDrmException> {
                askControl(422, refusal("DeniedByDrmException"))
            }.message,
        )
        assertFailsWith<IllegalArgumentException> { askControl(400, refusal("InvalidArgumentException")) }
        assertFailsWith<DrmCommunicationException> { askControl(200, """{"done":""") }
        assertFailsWith<DrmCommunicationException> { askControl(404, """{"error":"no such path"}""") }
    }
}
