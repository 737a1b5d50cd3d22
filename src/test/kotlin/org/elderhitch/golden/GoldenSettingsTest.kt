package org.elderhitch.golden

import org.elderhitch.drmaa.DrmaaSection
import org.elderhitch.features.FeaturesFile
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.LuaScript
import org.elderhitch.settings.PolicyScript
import org.elderhitch.settings.ScriptException
import org.elderhitch.settings.Settings
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds

class GoldenSettingsTest {
    private val features = File(assertNotNull(javaClass.getResource("/golden/settings/features-full.lua")).toURI())

    private fun durationsOf(policy: FleetPolicy) = listOf(
        policy.headroomTime,
        policy.terminateIdleAfter,
        policy.terminateSurplusAfter,
        policy.terminateIdleSpotAfter,
    )

    @Test
    fun `settings with every field are read`() {
        val read = Settings.parse(GoldenFiles.bytes("settings/settings-full.json"))
        assertEquals(listOf("porter-2", "west"), listOf(read.node.text, read.zone.name))
        assertEquals(listOf("10.8.0.2:7080", "10.8.0.2:7081"), listOf(read.clientListen.text, read.clusterListen.text))
        assertEquals(listOf("porter-0", "porter-1"), read.peers.map { it.name.text })
        assertEquals(listOf("10.8.0.10:7081", "10.8.0.11:7081"), read.peers.map { it.address.text })
        assertEquals(listOf("east", null), read.peers.map { it.zone?.name })
        assertEquals(listOf("10.9.0.4:8443", "10.9.0.5:2379"), listOf(read.cloud.text, read.state.text))
        assertEquals(listOf("east", "west"), read.zones.map { it.name })
        val teams = read.teams.values.toList()
        assertEquals(listOf("darkroom", "archive"), teams.map { it.name.text })
        assertEquals(listOf(12.5 to 3.0, 0.0 to 0.0), teams.map { it.guaranteedCpus to it.guaranteedGpus })
        assertEquals(listOf(80.0 to 24.0, null to null), teams.map { it.maxCpus to it.maxGpus })
        val objectives = listOf("wait" to "preview", "finished" to "retouch", "finished" to "sorting")
        assertEquals(objectives, read.objectives.map { it.kind to it.jobClass })
        assertEquals(listOf(7.5.seconds, 95.5.seconds, null), read.objectives.map { it.within })
        val timeouts = read.workers
        val durations =
            listOf(timeouts.heartbeatInterval, timeouts.lease, timeouts.gangWait, timeouts.gangPeer, timeouts.cancel)
        assertEquals(listOf(1.5, 14.0, 33.0, 4.5, 52.0).map { it.seconds }, durations)
        assertEquals(listOf(120.0, 35.5), listOf(read.stateLimits.requestsPerS, read.stateLimits.writesPerS))
        assertEquals(listOf(6656, 12), listOf(read.stateLimits.valueBytes, read.stateLimits.txnOps))
        assertEquals(7.5, read.cloudLimits.requestsPerS)
        assertEquals(2.25.seconds, read.cloudLimits.listLag)
        assertEquals(450, read.maxSockets)
        assertEquals(0.35, read.cpuShare)
    }

    @Test
    fun `settings without optional fields are read, and unknown fields are ignored`() {
        val minimal = Settings.parse(GoldenFiles.bytes("settings/settings-least.json"))
        assertEquals("", minimal.zone.name)
        assertTrue(minimal.peers.isEmpty() && minimal.zones.isEmpty())
        assertTrue(minimal.teams.isEmpty() && minimal.objectives.isEmpty())
        assertEquals(1024, minimal.maxSockets)
        assertEquals(1.0, minimal.cpuShare)
        assertEquals(2.seconds, minimal.workers.heartbeatInterval)
        assertEquals(minimal, Settings.parse(GoldenFiles.bytes("settings/settings-unknown-fields.json")))
    }

    @Test
    fun `malformed settings are rejected with the expected messages`() =
        BadSamples.check("settings/settings-full.json", "settings/settings-bad.tsv") {
            assertFailsWith<MalformedJson>(it.decodeToString()) { Settings.parse(it) }.message.orEmpty()
        }

    @Test
    fun `a policy with every key is read, and an empty one gives the defaults`() {
        val read = PolicyScript.parse("policy.lua", GoldenFiles.text("settings/policy-full.lua"))
        assertEquals(listOf(15, 90, 12, 120).map { it.seconds }, durationsOf(read))
        assertEquals(listOf(2.5, 0.4), listOf(read.spareMachines, read.suspectedTerminationShare))
        assertEquals(false, read.useSpot)
        val minimal = PolicyScript.parse("policy.lua", GoldenFiles.text("settings/policy-least.lua"))
        assertEquals(FleetPolicy(), minimal)
        assertEquals(listOf(30, 45, 10, 60).map { it.seconds }, durationsOf(minimal))
        assertEquals(listOf(1.0, 0.25), listOf(minimal.spareMachines, minimal.suspectedTerminationShare))
        assertEquals(true, minimal.useSpot)
    }

    @Test
    fun `a malformed policy is rejected with the expected messages`() =
        BadSamples.check("settings/policy-full.lua", "settings/policy-bad.tsv") {
            val script = it.decodeToString()
            assertFailsWith<ScriptException>(script) { PolicyScript.parse("policy.lua", script) }.message.orEmpty()
        }

    @Test
    fun `a features file with every section is read`() {
        val read = FeaturesFile.load(features)
        assertEquals(2, read.factories.size)
        val rules = listOf("retouch", "preview", "sorting", "unnamed").map { read.rules.of(it) }
        assertEquals(listOf(false, true, true, true), rules.map { it.allowsRepeats })
        assertEquals(listOf(6, 1000, null, null), rules.map { it.maxAttempts })
        val section = assertNotNull(LuaScript.table("features.lua", features.readText()).sectionOrNull("drmaa"))
        val drmaa = DrmaaSection().settings(section, features)
        assertEquals(mapOf("quick" to mapOf("lotClass" to "preview", "cores" to 2L)), drmaa.categories)
        assertEquals(listOf(5, 300, 7), listOf(drmaa.sessionsPerTeam, drmaa.resultsPerSession, drmaa.heldPerTeam))
        assertEquals(listOf(1.5.days, 9.days), listOf(drmaa.keepResults, drmaa.keepSessions))
    }

    @Test
    fun `a features file without sections enables nothing`() {
        val read = FeaturesFile.parse(File("features.lua"), GoldenFiles.text("settings/features-least.lua"))
        assertEquals(0, read.factories.size)
        assertEquals(false, read.rules.hasRules)
        assertNull(read.rules.of("retouch").maxAttempts)
    }

    @Test
    fun `a malformed features file is rejected with the expected messages`() =
        BadSamples.check("settings/features-full.lua", "settings/features-bad.tsv") {
            val script = it.decodeToString()
            assertFailsWith<ScriptException>(script) { FeaturesFile.parse(features, script) }.message.orEmpty()
        }

    @Test
    fun `the deployment file has a build and a run command`() {
        val lines = File("deploy/service.toml").readLines().filter(String::isNotBlank)
        assertEquals(listOf("build", "run"), lines.map { it.substringBefore(" = ") })
        val values = lines.map { it.substringAfter(" = ") }
        assertTrue(values.all { it.length > 2 && it.startsWith('"') && it.endsWith('"') })
        assertTrue(values[1].endsWith(" --config\""))
    }
}
