package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import org.elderhitch.app.ClassArchiveTraining
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MEAN_ARRAY_TASKS = 40

/** A job as its user submits it. */
internal class SubmittedJob(val facts: JobFacts, val body: Map<String, Any?>)

/** A new job: the example job with other [fields]. Its service is measured under [jobClass]. */
private fun SimulatedUsers.newJob(
    kind: String,
    jobClass: String,
    tasks: Int,
    fields: Map<String, Any?>,
    runSeconds: Double,
): SubmittedJob {
    val body = ClassArchiveTraining.exampleJob(id(), kind) + mapOf("crates" to tasks, "haulS" to runSeconds) + fields
    return SubmittedJob(JobFacts.of(body, jobClass, cluster.clock.now()), body)
}

internal fun SimulatedUsers.submitMixedJob(
    scope: CoroutineScope,
    load: SimulatedUsers.JobClassLoad,
    arrivals: Random,
) {
    val tasks = 1 + arrivals.nextInt(load.tasks * 2 - 1)
    val fields = mapOf(
        "lotClass" to load.name,
        "desk" to SimulatedUsers.TEAMS.random(arrivals),
        "cores" to load.cores,
        "accelerators" to 0.0,
        "memGb" to load.memGb,
        "urgency" to load.urgency,
        "pullGb" to 1.0,
        "catchImage" to "img-${load.name}-${arrivals.nextInt(6)}",
        "closingS" to load.runSeconds * 3.0,
    )
    val job = newJob("array", load.name, tasks, fields, load.runSeconds * (0.5 + arrivals.nextDouble()))
    submitAndFollow(scope, job, arrivals.withdrawalDelay(16, 0 until 30))
}

/** For one in [of] jobs, the delay after which its user withdraws it; null: never. */
private fun Random.withdrawalDelay(of: Int, span: IntRange): Duration? =
    if (nextInt(of) == 0) span.random(this).seconds else null

internal fun SimulatedUsers.submitService(scope: CoroutineScope) {
    val tasks = 2 + arrivals.nextInt(3)
    val fields = mapOf(
        "cores" to 4.0,
        "urgency" to "production",
        "spread" to true,
        "borrowedRigs" to false,
        "pullGb" to 4.0,
        "catchImage" to "img-s${arrivals.nextInt(6)}",
    )
    val job = newJob("daemon", "service", tasks, fields, runSeconds = 0.0)
    submitAndFollow(scope, job, arrivals.withdrawalDelay(8, 20 until 220))
}

internal fun SimulatedUsers.submitArray(scope: CoroutineScope, arrivalsPerSecond: Double) {
    val meanTasks = (machines / SimulatedUsers.MACHINES_PER_ARRAY_PER_S / arrivalsPerSecond * MEAN_ARRAY_TASKS).toInt()
    val tasks = 1 + arrivals.nextInt(meanTasks * 2)
    val fields = mapOf(
        "cores" to 5.0,
        "urgency" to "idle",
        "tallyS" to 15.0,
        "stowS" to 1.0,
        "pullGb" to 2.0,
        "catchImage" to "img-a${arrivals.nextInt(10)}",
    )
    val job = newJob("array", "array", tasks, fields, 5.0 + arrivals.nextInt(35))
    submitAndFollow(scope, job, arrivals.withdrawalDelay(12, 0 until 30))
}

internal fun SimulatedUsers.submitGang(scope: CoroutineScope) {
    val tasks = 1 + arrivals.nextInt(3)
    val fields = mapOf(
        "cores" to 43.0,
        "accelerators" to 8.0,
        "urgency" to "urgent",
        "samePlace" to true,
        "borrowedRigs" to false,
        "desk" to "few",
        "pullGb" to 3.0,
    )
    val job = newJob("gang", "gang", tasks, fields, 10.0 + arrivals.nextInt(20))
    submitAndFollow(scope, job, arrivals.withdrawalDelay(12, 0 until 30))
}

/** Submits a short job of one task, and withdraws it in one of four cases. */
internal fun SimulatedUsers.submitOneTaskJob(scope: CoroutineScope) {
    val fields = mapOf(
        "cores" to 1.0,
        "accelerators" to 0.0,
        "urgency" to "idle",
        "pullGb" to 0.5,
        "catchImage" to "img-tally",
    )
    val job = newJob("array", "tally", tasks = 1, fields, 3.0 + random.nextInt(20))
    val isWithdrawn = random.nextInt(4) == 0
    submitAndFollow(scope, job, if (isWithdrawn) random.nextInt(0, 20_000).milliseconds else null)
}
