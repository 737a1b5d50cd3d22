package org.elderhitch.drmaa

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import org.elderhitch.app.runInSimulatedCluster
import org.elderhitch.features.FeatureFactory
import org.elderhitch.features.Features
import org.elderhitch.jobs.ClassRule
import org.elderhitch.jobs.ClassRules
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.SimulationSettings
import org.elderhitch.lab.WireClient
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Base of tests that run whole controllers with DRMAA in virtual time, and send requests as client programs do. */
internal abstract class DrmaaScenario {
    protected val tokens = Tokens.parse("keys", listOf("k1 AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"))
    protected val categories = mapOf(
        "short" to
            mapOf(
                "lotClass" to "short",
                "catchImage" to "img-1",
                "cores" to 4.0,
                "accelerators" to 1.0,
                "memGb" to 8.0,
                "haulS" to 2L,
                "borrowedRigs" to true,
            ),
        "long" to
            mapOf(
                "lotClass" to "long",
                "catchImage" to "img-1",
                "cores" to 4.0,
                "accelerators" to 1.0,
                "memGb" to 8.0,
                "haulS" to 300L,
                "borrowedRigs" to true,
            ),
        "saving" to
            mapOf(
                "lotClass" to "saving",
                "catchImage" to "img-1",
                "cores" to 4.0,
                "accelerators" to 1.0,
                "memGb" to 8.0,
                "haulS" to 300L,
                "tallyS" to 5L,
                "stowS" to 1L,
            ),
        "once" to
            mapOf(
                "lotClass" to "once",
                "catchImage" to "img-1",
                "cores" to 4.0,
                "accelerators" to 1.0,
                "memGb" to 8.0,
                "haulS" to 2L,
            ),
    )

    protected fun settings(
        change: (DrmaaSettings) -> DrmaaSettings = {
            it
        },
    ) = change(DrmaaSettings(tokens, Networks.of(listOf("127.0.0.1")), categories))

    protected fun withDrmaa(
        settings: DrmaaSettings = settings(),
        seed: Long = 1,
        body: suspend SimulatedCluster.(DrmaaSettings) -> Unit,
    ) {
        val features =
            Features(
                ClassRules(mapOf("once" to ClassRule(allowsRepeats = false))),
                listOf(
                    FeatureFactory {
                        Drmaa(settings, it)
                    },
                ),
            )
        runInSimulatedCluster(SimulationSettings(seed = seed, features = features)) {
            delay(3.seconds)
            body(settings)
            assertNoViolations()
        }
    }

    protected suspend fun SimulatedCluster.client(settings: DrmaaSettings, tag: String = "clientaa", shift: Int = 0) =
        WireClient(this, WireClient.grant(settings), tag, shift).open()

    /** Another client program that joins the session of [other] with its contact string. */
    protected fun SimulatedCluster.joinSession(other: WireClient, tag: String, shift: Int = 0) =
        WireClient(this, other.contact(), tag, shift)

    protected val short = mapOf("category" to "short")

    protected suspend fun WireClient.submit(template: Map<String, Any?>, members: Int? = null): String {
        val answer = run(template, members)
        assertEquals(200, answer.status, "${answer.body.raw("error")}")
        return answer.body.string("job")
    }

    protected suspend fun WireClient.control(job: String, action: String) = ask(
        "control",
        mapOf(
            "job" to job,
            "action" to action,
        ),
    )

    protected suspend fun WireClient.status(job: String) = ask("status", mapOf("job" to job)).body.string("name")

    protected fun <T> SimulatedCluster.inBackground(body: suspend () -> T) = simulationScope.async { body() }
}
