package org.elderhitch.app

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.WorldSettings
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

private const val NANOS_PER_MS = 1_000_000L

/** Runs a test against three controllers and the stand-ins, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun world(made: WorldSettings = WorldSettings(), body: suspend SimulatedCluster.(TestScope) -> Unit) =
    runTest(timeout = 2.minutes) {
        SimulatedCluster(backgroundScope, { MonotonicInstant(currentTime * NANOS_PER_MS) }, made).body(this)
    }

/** Waits until another controller than [leader] leads; fails after [limit]. */
internal suspend fun SimulatedCluster.untilReplaced(leader: String, limit: Duration) =
    until("another leads", limit) { leader().let { it != null && it != leader } }
