package org.elderhitch.golden

import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Spoils a sample, one way a line (text, replacement, answer; or `cut`, length, answer), and compares the answers. */
internal object BadSamples {
    fun check(good: String, cases: String, answer: (ByteArray) -> String) {
        val sample = GoldenFiles.text(good)
        val expected = GoldenFiles.text(cases)
        val actual = expected.lines().filter(String::isNotEmpty).joinToString("") { line ->
            val (text, replacement) = line.split('\t')
            val spoilt = if (text == "cut") {
                sample.take(replacement.toInt())
            } else {
                assertTrue(text in sample, "$text is not in $good")
                sample.replaceFirst(text, replacement)
            }
            "$text\t$replacement\t${answer(spoilt.encodeToByteArray())}\n"
        }
        assertEquals(expected, actual)
    }
}
