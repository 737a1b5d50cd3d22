package org.elderhitch

import org.opentest4j.TestAbortedException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class KnownRedTest {
    private val said = ArrayList<String>()
    private val red = KnownRed.parse("a.B#fails so | a fault | #30\n", said::add)

    @Test
    fun `only what is listed and fails is passed over`() {
        assertFailsWith<TestAbortedException> { red.run("a.B#fails so") { error("fault") } }
        assertFailsWith<IllegalStateException> { red.run("a.B#another") { error("fault") } }
        assertTrue(
            "take its line out" in assertFailsWith<AssertionError> {
                red.run("a.B#fails so") {}
            }.message.orEmpty(),
        )
        red.run("a.B#another") {}
        assertEquals(listOf("KNOWN RED a.B#fails so | a fault | #30"), said)
    }

    @Test
    fun `a file that can't be read so is refused`() {
        assertEquals(emptyList(), KnownRed.parse("\n  \n").lines)
        for (bad in listOf(
            "a.B#c | cause",
            "a.B | cause | #1",
            "a.B#c | | #1",
            "a.B#c | x | #1\na.B#c | y | #2",
            (1..4).joinToString("\n") {
                "a.B#c$it | x | #1"
            },
        )) {
            assertFailsWith<IllegalArgumentException>(bad) { KnownRed.parse(bad) }
        }
    }

    /** A name that doesn't exist would be passed over for ever. */
    @Test
    fun `every listed test exists`() {
        for (line in KnownRed.read().lines) {
            val methods = Class.forName(line.test.substringBefore('#')).declaredMethods.filter {
                it.isAnnotationPresent(Test::class.java)
            }
            assertTrue(
                methods.any {
                    it.name == line.test.substringAfter('#')
                },
                "${KnownRed.FILE}: no such test: ${line.test}",
            )
        }
    }
}
