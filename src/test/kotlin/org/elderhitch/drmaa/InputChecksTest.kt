package org.elderhitch.drmaa

import org.elderhitch.features.FeaturesFile
import org.elderhitch.json.JsonObject
import org.elderhitch.settings.ScriptException
import org.elderhitch.settings.TeamName
import org.elderhitch.time.WallTime
import java.io.File
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class InputChecksTest {
    private val team = TeamName("team one")
    private val now = WallTime(1_000_000)
    private val name = JobName(SessionName("abcdefghijkl"), ClientTag("aaaaaaaa"), 3, null)
    private val check = TemplateCheck(
        mapOf(
            "label" to
                mapOf(
                    "lotClass" to "label-recheck",
                    "catchImage" to "img-7",
                    "accelerators" to 1.0,
                    "borrowedRigs" to true,
                ),
        ),
    )

    private fun checked(template: Map<String, Any?>, bulk: Bulk? = null) =
        check.check(name, team, JsonObject.of(template), bulk, now)

    private fun fault(template: Map<String, Any?>, bulk: Bulk? = null): Pair<Fault, String> =
        assertFailsWith<Refused>("$template") { checked(template, bulk) }.let { it.fault to it.reason }

    @Test
    fun `a category gives the defaults, and the native specification overrides single fields`() {
        val spec = checked(
            mapOf(
                "category" to "label",
                "native" to "cores=5 haulS=40 rigs=a,b spread=true",
                "args" to listOf("x"),
            ),
        ).spec
        assertEquals(
            listOf<Any?>("label-recheck", "img-7", 1.0, 5.0, 40.seconds, true, setOf("a", "b")),
            listOf(
                spec.jobClass,
                spec.image.name,
                spec.resources.gpus,
                spec.resources.cpus,
                spec.estimate,
                spec.spread,
                spec.types?.map {
                    it.name
                }?.toSet(),
            ),
        )
        val bare = checked(
            mapOf(
                "command" to "img-9",
                "softRunS" to 12L,
                "deadlineAt" to now.ms + 60_000,
                "hold" to true,
            ),
            Bulk.of(10, 2, -4),
        )
        assertEquals(
            listOf<Any?>("drmaa", "img-9", 3, 12.seconds, 60.seconds),
            listOf(bare.spec.jobClass, bare.spec.image.name, bare.spec.tasks, bare.spec.estimate, bare.spec.deadline),
        )
        assertTrue(bare.onHold && bare.extra.toString().contains("bulk"))
        assertEquals(listOf(true, false), listOf(spec.spotAllowed, spec.oneZone))
        assertEquals(listOf(false, false, false), bare.spec.run { listOf(oneZone, spread, spotAllowed) })
        assertEquals(null, checked(mapOf("command" to "i", "startAt" to now.ms - 5)).startAt)
        assertEquals(
            30.seconds,
            checked(
                mapOf(
                    "command" to "i",
                    "startAt" to now.ms + 30_000,
                    "deadlineAt" to now.ms + 60_000,
                ),
            ).spec.deadline,
        )
    }

    @Test
    fun `refusals of conflicting, unknown and invalid attributes name the attribute`() {
        val cases = listOf(
            Triple(mapOf("category" to "nothing"), Fault.InvalidAttributeValueException, "jobCategory"),
            Triple(mapOf("command" to "i", "native" to "cores"), Fault.InvalidAttributeFormatException, "no key=value"),
            Triple(
                mapOf("command" to "i", "native" to "cores=x"),
                Fault.InvalidAttributeFormatException,
                "not a number",
            ),
            Triple(
                mapOf("command" to "i", "native" to "cores=1 cores=2"),
                Fault.InvalidAttributeFormatException,
                "twice",
            ),
            Triple(
                mapOf("command" to "i", "native" to "desk=other"),
                Fault.InvalidAttributeValueException,
                "desk: unknown",
            ),
            Triple(
                mapOf("command" to "i", "native" to "cores=-4"),
                Fault.InvalidAttributeValueException,
                "nativeSpecification",
            ),
            Triple(mapOf("command" to "i", "native" to "lotKind=zoo"), Fault.InvalidAttributeValueException, "lotKind"),
            Triple(
                mapOf("command" to "i", "native" to "closingS=5", "deadlineAt" to now.ms + 9),
                Fault.ConflictingAttributeValuesException,
                "deadlineTime",
            ),
            Triple(
                mapOf("command" to "i", "native" to "haulS=5", "softRunS" to 9L),
                Fault.ConflictingAttributeValuesException,
                "softRunDurationLimit",
            ),
            Triple(
                mapOf("command" to "i", "startAt" to now.ms + 9, "deadlineAt" to now.ms + 8),
                Fault.ConflictingAttributeValuesException,
                "startTime",
            ),
            Triple(
                mapOf("command" to "i", "deadlineAt" to now.ms - 1),
                Fault.ConflictingAttributeValuesException,
                "has passed",
            ),
            Triple(
                mapOf("command" to "i", "startAt" to Long.MAX_VALUE),
                Fault.InvalidAttributeValueException,
                "out of range",
            ),
            Triple(mapOf("command" to 5L), Fault.InvalidAttributeFormatException, "command"),
            Triple(mapOf("nothing" to "x"), Fault.InvalidAttributeValueException, "nothing"),
            Triple(mapOf("native" to "cores=1"), Fault.InvalidAttributeValueException, "catchImage"),
        )
        for ((template, fault, expected) in cases) {
            val (got, reason) = fault(template)
            assertEquals(fault, got, "$template: $reason")
            assertTrue(expected in reason && '\n' !in reason, "$template: $reason")
        }
        assertEquals(
            Fault.ConflictingAttributeValuesException,
            fault(mapOf("command" to "i", "native" to "crates=3"), Bulk.of(1, 2, 1)).first,
        )
        assertEquals(
            Fault.ConflictingAttributeValuesException,
            fault(mapOf("command" to "i", "native" to "lotKind=gang"), Bulk.of(1, 2, 1)).first,
        )
    }

    @Test
    fun `every random template is either accepted or refused`() {
        val random = Random(11)
        val keys =
            listOf("command", "args", "env", "category", "native", "hold", "startAt", "deadlineAt", "softRunS", "x")
        val values =
            listOf<Any?>(
                null, "", "label", "img", 5L, -5L, 1e300, true,
                listOf(
                    "a",
                ),
                listOf(5L), mapOf("a" to "b"), "cores=4", "a=b=c", "=", "crates=0", "crates=99999999999",
            )
        var taken = 0
        repeat(5000) {
            val template = List(1 + random.nextInt(4)) {
                keys[random.nextInt(keys.size)] to
                    values[random.nextInt(values.size)]
            }.toMap()
            try {
                checked(template)
                taken++
            } catch (e: Refused) {
                assertFalse('\n' in e.reason)
            }
        }
        assertTrue(taken in 100..4900, "$taken")
    }

    @Test
    fun `bulk ranges have the members that the specification defines`() {
        val random = Random(3)
        repeat(2000) {
            val (start, end, step) = Triple(random.nextLong(-3, 40), random.nextLong(-3, 40), random.nextLong(-4, 5))
            val members = if (step == 0L) {
                0
            } else {
                (if (step > 0) start..end step step else start downTo end step -step).count()
            }
            val invalid = step == 0L || start < 1 || end < 1 || members == 0
            if (invalid) {
                assertEquals(
                    Fault.InvalidArgumentException,
                    assertFailsWith<Refused> {
                        Bulk.of(start, end, step)
                    }.fault,
                )
            } else {
                assertEquals(members, Bulk.of(start, end, step).members, "$start..$end step $step")
            }
        }
        for ((start, end, step) in listOf(
            Triple(1L, 100_001L, 1L),
            Triple(1L, Long.MAX_VALUE, 1L),
            Triple(5L, 9L, Long.MIN_VALUE),
            Triple(1L, Int.MAX_VALUE.toLong(), 1L),
        )) {
            assertFailsWith<Refused> { Bulk.of(start, end, step) }
        }
    }

    @Test
    fun `a token is valid under both keys, only unchanged and until it expires`() {
        val old = "old AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
        val new = "new BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB"
        val grant = Claim.Grant(team, now + 60.seconds)
        val session = Claim.InSession(team, name.session)
        val before = Tokens.parse("keys", listOf("# first", old))
        val rotated = Tokens.parse("keys", listOf(new, "", old))
        for (claim in listOf(grant, session)) {
            assertEquals(claim, rotated.verify(before.issue(claim), now))
            assertTrue(rotated.issue(claim).startsWith("new."))
            assertFailsWith<BadToken> { Tokens.parse("keys", listOf(new)).verify(before.issue(claim), now) }
            val token = before.issue(claim)
            for (n in token.indices) {
                val changed = token.toCharArray().also { it[n] = if (it[n] == 'A') 'B' else 'A' }.concatToString()
                // The last base64 character may have unused bits; the text is compared, so they count as well.
                assertFailsWith<BadToken>(changed) { before.verify(changed, now) }
            }
        }
        assertFailsWith<BadToken> { before.verify(before.issue(grant), now + 61.seconds) }
        for (text in listOf("", ".", "....", "old.g.x.0", "a".repeat(2000))) {
            assertFailsWith<BadToken>(text) {
                before.verify(text, now)
            }
        }
        assertEquals(before.sessionFor(team, "nonce"), rotated.sessionFor(team, "nonce"))
        assertNotEquals(before.sessionFor(team, "nonce"), before.sessionFor(team, "nonce2"))
    }

    @Test
    fun `errors in key files and the settings section name file, line and key`() {
        val bad = mapOf(
            listOf("one") to "keys:1",
            listOf("a AAAA") to "keys:1",
            listOf("# x", "a!b AAAAAAAAAAAAAAAAAAAAAAAA") to "keys:2",
            emptyList<String>() to "no key",
            List(3) { "k$it AAAAAAAAAAAAAAAAAAAAAAAA" } to "more than 2",
            List(2) { "k AAAAAAAAAAAAAAAAAAAAAAAA" } to "keys:2",
        )
        for ((lines, expected) in bad) {
            assertTrue(
                expected in assertFailsWith<InvalidKeyFile>("$lines") {
                    Tokens.parse("keys", lines)
                }.message.orEmpty(),
                "$lines",
            )
        }
        val dir = java.nio.file.Files.createTempDirectory("drmaa").toFile()
        try {
            File(dir, "keys").writeText("k AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA\n")
            val file = File(dir, "f.lua")
            assertEquals(
                1,
                FeaturesFile.parse(
                    file,
                    "return { drmaa = { keys = 'keys', networks = {'10.0.0.0/8', 'fd00::/8'}, " +
                        "categories = { a = { cores = 2, rigs = {'x'} } } } }",
                ).factories.size,
            )
            val scripts = mapOf(
                "return { drmaa = {} }" to "f.lua:1: drmaa.keys: missing",
                "return {\n drmaa = { keys = 'nowhere' } }" to "f.lua:2: drmaa.keys",
                "return { drmaa = { keys = 'keys',\n networks = {'10.0.0.0/33'} } }" to "f.lua:2: drmaa.networks",
                "return { drmaa = { keys = 'keys', networks = {'10.0.0.1/8'} } }" to "beyond its prefix",
                "return { drmaa = { keys = 'keys', networks = {''} } }" to "no IP network",
                "return { drmaa = { keys = 'keys', categories = { a = { id = 'x' } } } }" to
                    "drmaa.categories.a.id: unknown",
                "return { drmaa = { keys = 'keys', held_per_team = -1 } }" to "drmaa.held_per_team",
            )
            for ((script, expected) in scripts) {
                assertTrue(
                    expected in assertFailsWith<ScriptException>(script) {
                        FeaturesFile.parse(file, script)
                    }.message.orEmpty(),
                    script,
                )
            }
        } finally {
            dir.deleteRecursively()
        }
    }

    @Test
    fun `IPv4, IPv6 and IPv4-mapped addresses are matched`() {
        val networks = Networks.of(listOf("10.1.0.0/16", "192.168.7.9", "fd00:1::/32", "::1"))
        for (inside in listOf(
            "10.1.255.3",
            "192.168.7.9",
            "fd00:1:2::5",
            "::1",
            "::ffff:10.1.2.3",
            "0:0:0:0:0:0:0:1%0",
        )) {
            assertTrue(networks.allow(inside), inside)
        }
        for (
        outside in listOf(
            "10.2.0.1", "192.168.7.10", "fd00:2::1", "::2", "::ffff:10.2.0.1", "127.0.0.1", "nonsense", "", null,
        )
        ) {
            assertFalse(
                networks.allow(outside),
                "$outside",
            )
        }
    }
}
