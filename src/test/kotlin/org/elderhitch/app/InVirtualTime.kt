package org.elderhitch.app

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.SimulationSettings
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

private const val NANOS_PER_MS = 1_000_000L

/** Runs a test in virtual time, against three controllers and simulated external services, machines and workers. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun runInSimulatedCluster(
    settings: SimulationSettings = SimulationSettings(),
    body: suspend SimulatedCluster.(TestScope) -> Unit,
) = runTest(timeout = 2.minutes) {
    SimulatedCluster(backgroundScope, { MonotonicInstant(currentTime * NANOS_PER_MS) }, settings).body(this)
}

/** Waits until another controller than [leader] leads; fails after [limit]. */
internal suspend fun SimulatedCluster.untilReplaced(leader: String, limit: Duration) =
    until("another controller leads", limit) { leader().let { it != null && it != leader } }
