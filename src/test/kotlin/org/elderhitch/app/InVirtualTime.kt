package org.elderhitch.app

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.elderhitch.lab.World
import org.elderhitch.lab.WorldSettings
import org.elderhitch.time.Moment
import kotlin.time.Duration.Companion.minutes

private const val NANOS_PER_MS = 1_000_000L

/** Runs a test against three controllers and the stand-ins, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun world(made: WorldSettings = WorldSettings(), body: suspend World.(TestScope) -> Unit) =
    runTest(timeout = 2.minutes) {
        World(backgroundScope, { Moment(currentTime * NANOS_PER_MS) }, made).body(this)
    }
