package org.elderhitch.settings

import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class SettingsTest {
    private val example = File("example/settings.json").readBytes()

    @Test
    fun `the example file parses, and unknown fields are ignored`() {
        val settings = Settings.parse(example)
        assertEquals("example-0", settings.node.text)
        @Suppress("UNCHECKED_CAST")
        val withUnknownField = (Json.parse(example) as Map<String, Any?>) + ("surprise" to listOf(1))
        assertEquals(settings, Settings.parse(Json.bytes(withUnknownField)))
        // A limit of 0 means no limit.
        assertEquals(null, settings.teams.getValue(TeamName("team")).maxCpus)
        assertEquals(64.0, settings.teams.getValue(TeamName("team")).maxGpus)
    }

    @Test
    fun `the error for an invalid field names the field`() {
        @Suppress("UNCHECKED_CAST")
        val validSettings = Json.parse(example) as Map<String, Any?>
        for ((field, badValue) in listOf(
            "node_name" to null,
            "client_listen" to "nowhere",
            "external" to 7,
            "known" to "none",
            "settings" to null,
        )) {
            val error =
                assertFailsWith<MalformedJson>(field) {
                    Settings.parse(Json.bytes(validSettings + (field to badValue)))
                }
            assertTrue(field in error.message.orEmpty(), "$field: ${error.message}")
        }
    }

    @Test
    fun `a policy script sets its keys, and an invalid script fails with the reason`() {
        assertEquals(FleetPolicy(), PolicyScript.parse("p.lua", "return {}"))
        val policy = PolicyScript.parse("p.lua", "local x = 10\nreturn { headroom_s = x * 2, use_spot = false }")
        assertEquals(20.seconds to false, policy.headroomTime to policy.useSpot)
        val reasonByInvalidScript = mapOf(
            "return {" to "p.lua", "return 7" to "table", "return { typo_s = 1 }" to "typo_s",
            "return { headroom_s = -1 }" to "headroom_s",
            "return { use_spot = 1 }" to "use_spot", "return { headroom_s = 'x' }" to "headroom_s",
            "while true do end" to "too long",
            "error('no')" to "no", "return { spare_machines = io.open('x') }" to "p.lua", "os.exit(3)" to "p.lua",
        )
        for ((script, reason) in reasonByInvalidScript) {
            val error = assertFailsWith<ScriptException>(script) { PolicyScript.parse("p.lua", script) }
            assertTrue(reason in error.message.orEmpty(), "$script: ${error.message}")
        }
        assertEquals(FleetPolicy(), PolicyScript.load(File("no such file.lua")))
    }
}
