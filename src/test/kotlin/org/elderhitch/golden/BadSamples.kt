package org.elderhitch.golden

import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal object BadSamples {
    /**
     * Corrupts the sample [sampleName] in each way that the file [cases] lists, and compares the [answer] with the
     * expected one. A line has three fields separated by tabs: a text of the sample, its replacement and the expected
     * answer; or `cut`, the length to truncate the sample to and the expected answer.
     */
    fun check(sampleName: String, cases: String, answer: (ByteArray) -> String) {
        val sample = GoldenFiles.text(sampleName)
        val expected = GoldenFiles.text(cases)
        val actual = expected.lines().filter(String::isNotEmpty).joinToString("") { line ->
            val (text, replacement) = line.split('\t')
            val corrupted = if (text == "cut") {
                sample.take(replacement.toInt())
            } else {
                assertTrue(text in sample, "$text is not in $sampleName")
                sample.replaceFirst(text, replacement)
            }
            "$text\t$replacement\t${answer(corrupted.encodeToByteArray())}\n"
        }
        assertEquals(expected, actual)
    }
}
