package org.elderhitch.sweeps

import kotlinx.coroutines.delay
import org.elderhitch.app.world
import org.elderhitch.features.FeatureFactory
import org.elderhitch.features.Features
import org.elderhitch.http.Address
import org.elderhitch.jobs.ClassRules
import org.elderhitch.jobs.JobId
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.WorldSettings
import org.elderhitch.standin.TaskScript
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Whole controllers with sweeps on, in virtual time, and the client that users have. */
internal abstract class SweepScenario {
    protected val id = SweepId("test")
    protected val on = Features(ClassRules.NONE, listOf(FeatureFactory { Sweeps(SweepsSettings(), it) }))

    protected fun swept(
        seed: Long = 1,
        runs: Double = 2.0,
        features: Features = on,
        body: suspend SimulatedCluster.() -> Unit,
    ) = world(WorldSettings(seed, machinesPerZone = 12, mostGpus = 300.0, features = features)) {
        platform.uploaded =
            { job -> SweepId.ofPoint(JobId(job))?.let { TaskScript("array", runs.seconds, 4.0, 0.5) } }
        delay(5.seconds)
        body()
        assertRulesKept()
    }

    protected fun SimulatedCluster.client(vararg nodes: String): SweepClient = SweepClient(
        (
            nodes.toList().ifEmpty {
                names
            }
            ).map { Address("$it:80") },
        network.transport("user"),
        clock,
    )

    protected suspend fun SimulatedCluster.submit(description: Description, vararg nodes: String): Told =
        client(*nodes).submit(id, description.pack(), 8192, dry = false, 60.seconds)

    protected fun accepted(told: Told): Told.Response = assertIs<Told.Response>(told).also {
        assertTrue(it.status in 200..201, "${it.status} ${it.body.names.associateWith { n -> it.body.raw(n) }}")
    }

    protected suspend fun SimulatedCluster.shown(): Map<String, Any?> = ask("GET", "/sweeps/$id").second

    protected suspend fun SimulatedCluster.ended(limit: Int = 600) = until("sweep ended", limit.seconds) {
        shown()["open"] ==
            0L
    }

    protected suspend fun SimulatedCluster.word(point: Int, node: String? = null): String =
        ask("GET", "/work/${id.point(point)}", node = node).second["standing"].toString()
}
