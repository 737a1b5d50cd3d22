package org.elderhitch.sweeps

import kotlinx.coroutines.delay
import org.elderhitch.app.runInSimulatedCluster
import org.elderhitch.features.FeatureFactory
import org.elderhitch.features.Features
import org.elderhitch.http.Address
import org.elderhitch.jobs.ClassRules
import org.elderhitch.jobs.JobId
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.SimulationSettings
import org.elderhitch.standin.TaskScript
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** The base of tests that run whole controllers with sweeps enabled in virtual time, through the client of users. */
internal abstract class SweepScenario {
    protected val id = SweepId("test")
    protected val sweepsEnabled = Features(ClassRules.NONE, listOf(FeatureFactory { Sweeps(SweepsSettings(), it) }))

    protected fun runScenario(
        seed: Long = 1,
        taskSeconds: Double = 2.0,
        features: Features = sweepsEnabled,
        body: suspend SimulatedCluster.() -> Unit,
    ) = runInSimulatedCluster(SimulationSettings(seed, machinesPerZone = 12, maxGpus = 300.0, features = features)) {
        platform.uploaded =
            { job -> SweepId.ofPoint(JobId(job))?.let { TaskScript("array", taskSeconds.seconds, 4.0, 0.5) } }
        delay(5.seconds)
        body()
        assertNoViolations()
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

    protected fun expectAccepted(result: Told): Told.Response = assertIs<Told.Response>(result).also {
        assertTrue(it.status in 200..201, "${it.status} ${it.body.names.associateWith { n -> it.body.raw(n) }}")
    }

    protected suspend fun SimulatedCluster.details(): Map<String, Any?> = ask("GET", "/sweeps/$id").second

    protected suspend fun SimulatedCluster.awaitEnd(limitSeconds: Int = 600) =
        until("sweep ended", limitSeconds.seconds) {
            details()["open"] ==
                0L
        }

    protected suspend fun SimulatedCluster.jobStatus(point: Int, node: String? = null): String =
        ask("GET", "/work/${id.point(point)}", node = node).second["standing"].toString()
}
