package org.elderhitch.features

import org.elderhitch.settings.ScriptException
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FeaturesFileTest {
    private val file = File("f.lua")

    @Test
    fun `class rules are read, and a class without a rule has no restrictions`() {
        val features = FeaturesFile.parse(
            file,
            "return { classes = { ['a-b'] = { repeats = false, attempts = 1 + 2 }, c = {} } }",
        )
        assertFalse(features.rules.of("a-b").allowsRepeats)
        assertEquals(3, features.rules.of("a-b").maxAttempts)
        assertTrue(features.rules.of("c").allowsRepeats)
        assertEquals(null, features.rules.of("other").maxAttempts)
        assertEquals(0, features.factories.size)
    }

    @Test
    fun `the error for an invalid file names file, line and key`() {
        val messageByScript = mapOf(
            "return {\n  clases = {}\n}" to "f.lua:2: clases: unknown",
            "return {\n  classes = {\n    a = {},\n    ['b-c'] = {\n      attempts = 0 } } }" to
                "f.lua:5: classes.b-c.attempts: must be a whole number",
            "return {\n  classes = {\n    a = { attempts = 2 },\n    b = { attempts = 2.5 } } }" to
                "f.lua:4: classes.b.attempts",
            "return { classes = { a = { repeats = 'no' } } }" to "f.lua:1: classes.a.repeats: must be true or false",
            "return {\n\n classes = { a = 7 } }" to "f.lua:3: classes.a: must be a table",
            "return 5" to "f.lua: must return a table",
            "return {" to "f.lua:1",
            "while true do end" to "the script takes too long",
            "return { drmaa = true }" to "f.lua:1: drmaa: must be a table",
        )
        for ((script, expectedMessage) in messageByScript) {
            val error = assertFailsWith<ScriptException>(script) { FeaturesFile.parse(file, script) }
            assertTrue(expectedMessage in error.message.orEmpty(), "$script: ${error.message}")
        }
        assertFailsWith<ScriptException> { FeaturesFile.load(File("no-such-file.lua")) }
    }
}
