package org.elderhitch

import org.opentest4j.TestAbortedException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class KnownRedTest {
    private val reported = ArrayList<String>()
    private val knownFailures =
        KnownFailures.parse("a.B#fails so | mvn test -Dtest=B, seed 7 | a fault | #30\n", reported::add)

    @Test
    fun `only a listed test that fails is passed over`() {
        assertFailsWith<TestAbortedException> { knownFailures.run("a.B#fails so") { error("fault") } }
        assertFailsWith<IllegalStateException> { knownFailures.run("a.B#another") { error("fault") } }
        assertTrue(
            "remove its entry" in assertFailsWith<AssertionError> {
                knownFailures.run("a.B#fails so") {}
            }.message.orEmpty(),
        )
        knownFailures.run("a.B#another") {}
        assertEquals(listOf("KNOWN RED a.B#fails so | mvn test -Dtest=B, seed 7 | a fault | #30"), reported)
    }

    @Test
    fun `a malformed file is refused`() {
        assertEquals(emptyList(), KnownFailures.parse("\n  \n").entries)
        for (malformed in listOf(
            "a.B#c | seen | #1",
            "a.B#c | command | seen",
            "a.B#c | command | seen | #1 | more",
            "a.B | command | seen | #1",
            " | command | seen | #1",
            "a.B#c | | seen | #1",
            "a.B#c | command | | #1",
            "a.B#c | command | seen |",
            "a.B#c | command | x | #1\na.B#c | other | y | #2",
        )) {
            assertFailsWith<IllegalArgumentException>(malformed) { KnownFailures.parse(malformed) }
        }
    }

    @Test
    fun `a file of four entries is read in full`() {
        val entries = KnownFailures.parse(
            (1..4).joinToString("\n") {
                "a.B#c$it | command $it | seen $it | #$it"
            },
        ).entries
        assertEquals((1..4).map { KnownFailure("a.B#c$it", "command $it", "seen $it", "#$it") }, entries)
    }

    /** An entry for a test that doesn't exist would never be noticed, since no test would pass or fail under it. */
    @Test
    fun `every listed test exists`() {
        for (entry in KnownFailures.read().entries) {
            val methods = Class.forName(entry.test.substringBefore('#')).declaredMethods.filter {
                it.isAnnotationPresent(Test::class.java)
            }
            assertTrue(
                methods.any {
                    it.name == entry.test.substringAfter('#')
                },
                "${KnownFailures.FILE}: no such test: ${entry.test}",
            )
        }
    }
}
