package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val USUAL_TASKS = 40

internal fun SimulatedUsers.mixed(scope: CoroutineScope, kind: SimulatedUsers.Mixed, coming: Random) {
    val tasks = 1 + coming.nextInt(kind.tasks * 2 - 1)
    val team = SimulatedUsers.TEAMS.random(coming)
    val facts =
        JobFacts(
            id(),
            team,
            tasks,
            0.0,
            spotAllowed = true,
            jobClass = kind.name,
            submittedAt = world.clock.now(),
            cores = kind.cores,
        )
    val body = mapOf(
        "lotClass" to kind.name,
        "desk" to team,
        "cores" to kind.cores,
        "accelerators" to 0.0,
        "memGb" to kind.memGb,
        "urgency" to kind.urgency,
        "pullGb" to 1.0, "catchImage" to "img-${kind.name}-${coming.nextInt(6)}", "closingS" to kind.runsS * 3.0,
    )
    comes(scope, facts, "array", kind.runsS * (0.5 + coming.nextDouble()), body, coming.withdrawal(16, 0 until 30))
}

/** After how long its user withdraws one in [of] jobs; null: not this one. */
private fun Random.withdrawal(of: Int, span: IntRange): Duration? = if (nextInt(of) == 0) {
    span.random(this).seconds
} else {
    null
}

internal fun SimulatedUsers.service(scope: CoroutineScope) {
    val facts =
        JobFacts(
            id(), "team",
            2 + coming.nextInt(
                3,
            ),
            1.0,
            spotAllowed = false,
            jobClass = "service",
            endless = true,
            submittedAt = world.clock.now(),
            spread = true,
            cores = 4.0,
        )
    val body = mapOf(
        "cores" to 4.0,
        "urgency" to "production",
        "spread" to true,
        "borrowedRigs" to false,
        "pullGb" to 4.0,
        "catchImage" to "img-s${coming.nextInt(6)}",
    )
    comes(scope, facts, "daemon", 0.0, body, coming.withdrawal(8, 20 until 220))
}

internal fun SimulatedUsers.array(scope: CoroutineScope, perSecond: Double) {
    val usual = (machines / SimulatedUsers.ARRAYS_PER / perSecond * USUAL_TASKS).toInt()
    val facts =
        JobFacts(
            id(),
            "team",
            1 + coming.nextInt(usual * 2),
            1.0,
            spotAllowed = true,
            jobClass = "array",
            submittedAt = world.clock.now(),
            cores = 5.0,
        )
    val body = mapOf(
        "cores" to 5.0,
        "urgency" to "idle",
        "tallyS" to 15.0,
        "stowS" to 1.0,
        "pullGb" to 2.0,
        "catchImage" to "img-a${coming.nextInt(10)}",
    )
    comes(scope, facts, "array", 5.0 + coming.nextInt(35), body, coming.withdrawal(12, 0 until 30))
}

internal fun SimulatedUsers.gang(scope: CoroutineScope) {
    val facts =
        JobFacts(
            id(), "few",
            1 + coming.nextInt(
                3,
            ),
            8.0,
            spotAllowed = false,
            oneZone = true,
            gang = true,
            jobClass = "gang",
            submittedAt = world.clock.now(),
            cores = 43.0,
        )
    val body = mapOf(
        "cores" to 43.0,
        "accelerators" to 8.0,
        "urgency" to "urgent",
        "samePlace" to true,
        "borrowedRigs" to false,
        "desk" to "few",
        "pullGb" to 3.0,
    )
    comes(scope, facts, "gang", 10.0 + coming.nextInt(20), body, coming.withdrawal(12, 0 until 30))
}

/** A job of one task, which its user may call off at any time of its short life. */
internal fun SimulatedUsers.oneTask(scope: CoroutineScope) {
    val facts =
        JobFacts(
            id(),
            "team",
            1,
            0.0,
            spotAllowed = true,
            jobClass = "tally",
            submittedAt = world.clock.now(),
            cores = 1.0,
        )
    val body = mapOf(
        "cores" to 1.0,
        "accelerators" to 0.0,
        "urgency" to "idle",
        "pullGb" to 0.5,
        "catchImage" to "img-tally",
    )
    comes(
        scope,
        facts,
        "array",
        3.0 + random.nextInt(20),
        body,
        if (random.nextInt(4) == 0) {
            random.nextInt(0, 20_000).milliseconds
        } else {
            null
        },
    )
}
