package org.elderhitch.jobs

import org.elderhitch.settings.TeamName
import kotlin.time.Duration

/** A job without placement constraints, deadline or checkpoints. */
internal fun sampleJob(
    id: String,
    kind: JobKind,
    priority: Priority,
    tasks: Int,
    resources: Resources,
    runsFor: Duration,
): JobSpec = JobSpec(
    id = JobId(id),
    jobClass = "class",
    team = TeamName("team"),
    kind = kind,
    priority = priority,
    tasks = tasks,
    resources = resources,
    types = null,
    zone = null,
    oneZone = false,
    spread = false,
    spotAllowed = true,
    image = Image("img"),
    imageGb = 1.0,
    estimate = runsFor,
    checkpointInterval = Duration.ZERO,
    checkpointDuration = Duration.ZERO,
    deadline = null,
)
