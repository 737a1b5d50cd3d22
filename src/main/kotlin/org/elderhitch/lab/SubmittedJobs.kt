package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MEAN_ARRAY_TASKS = 40

internal fun SimulatedUsers.submitMixedJob(scope: CoroutineScope, kind: SimulatedUsers.JobClassLoad, arrivals: Random) {
    val tasks = 1 + arrivals.nextInt(kind.tasks * 2 - 1)
    val team = SimulatedUsers.TEAMS.random(arrivals)
    val facts =
        JobFacts(
            id(),
            team,
            tasks,
            0.0,
            spotAllowed = true,
            jobClass = kind.name,
            submittedAt = cluster.clock.now(),
            cores = kind.cores,
        )
    val body = mapOf(
        "lotClass" to kind.name,
        "desk" to team,
        "cores" to kind.cores,
        "accelerators" to 0.0,
        "memGb" to kind.memGb,
        "urgency" to kind.urgency,
        "pullGb" to 1.0, "catchImage" to "img-${kind.name}-${arrivals.nextInt(6)}", "closingS" to kind.runSeconds * 3.0,
    )
    submitAndFollow(
        scope,
        facts,
        "array",
        kind.runSeconds * (0.5 + arrivals.nextDouble()),
        body,
        arrivals.withdrawalDelay(
            16,
            0 until 30,
        ),
    )
}

/** For one in [of] jobs, the delay after which its user withdraws it; null: never. */
private fun Random.withdrawalDelay(of: Int, span: IntRange): Duration? = if (nextInt(of) == 0) {
    span.random(this).seconds
} else {
    null
}

internal fun SimulatedUsers.submitService(scope: CoroutineScope) {
    val facts =
        JobFacts(
            id(), "team",
            2 + arrivals.nextInt(
                3,
            ),
            1.0,
            spotAllowed = false,
            jobClass = "service",
            endless = true,
            submittedAt = cluster.clock.now(),
            spread = true,
            cores = 4.0,
        )
    val body = mapOf(
        "cores" to 4.0,
        "urgency" to "production",
        "spread" to true,
        "borrowedRigs" to false,
        "pullGb" to 4.0,
        "catchImage" to "img-s${arrivals.nextInt(6)}",
    )
    submitAndFollow(scope, facts, "daemon", 0.0, body, arrivals.withdrawalDelay(8, 20 until 220))
}

internal fun SimulatedUsers.submitArray(scope: CoroutineScope, arrivalsPerSecond: Double) {
    val meanTasks = (machines / SimulatedUsers.MACHINES_PER_ARRAY_PER_S / arrivalsPerSecond * MEAN_ARRAY_TASKS).toInt()
    val facts =
        JobFacts(
            id(),
            "team",
            1 + arrivals.nextInt(meanTasks * 2),
            1.0,
            spotAllowed = true,
            jobClass = "array",
            submittedAt = cluster.clock.now(),
            cores = 5.0,
        )
    val body = mapOf(
        "cores" to 5.0,
        "urgency" to "idle",
        "tallyS" to 15.0,
        "stowS" to 1.0,
        "pullGb" to 2.0,
        "catchImage" to "img-a${arrivals.nextInt(10)}",
    )
    submitAndFollow(scope, facts, "array", 5.0 + arrivals.nextInt(35), body, arrivals.withdrawalDelay(12, 0 until 30))
}

internal fun SimulatedUsers.submitGang(scope: CoroutineScope) {
    val facts =
        JobFacts(
            id(), "few",
            1 + arrivals.nextInt(
                3,
            ),
            8.0,
            spotAllowed = false,
            oneZone = true,
            gang = true,
            jobClass = "gang",
            submittedAt = cluster.clock.now(),
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
    submitAndFollow(scope, facts, "gang", 10.0 + arrivals.nextInt(20), body, arrivals.withdrawalDelay(12, 0 until 30))
}

/** Submits a short job of one task, and withdraws it in one of four cases. */
internal fun SimulatedUsers.submitOneTaskJob(scope: CoroutineScope) {
    val facts =
        JobFacts(
            id(),
            "team",
            1,
            0.0,
            spotAllowed = true,
            jobClass = "tally",
            submittedAt = cluster.clock.now(),
            cores = 1.0,
        )
    val body = mapOf(
        "cores" to 1.0,
        "accelerators" to 0.0,
        "urgency" to "idle",
        "pullGb" to 0.5,
        "catchImage" to "img-tally",
    )
    submitAndFollow(
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
