package org.elderhitch.jobs

import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import kotlin.time.Duration

/** How the tasks of a job belong together. */
public enum class JobKind {
    /** Independent tasks, each of which runs once to completion. */
    ARRAY,

    /** Tasks that start together and run together. */
    GANG,

    /** Tasks that run until the job is cancelled. */
    SERVICE,
}

/** From the least urgent to the most: comparisons follow this order. */
public enum class Priority { LOW, NORMAL, HIGH, PRODUCTION }

/** The name of a machine type of the cloud. */
@JvmInline
public value class MachineType(public val name: String) {
    override fun toString(): String = name
}

/** The name of the image that a job's tasks run. */
@JvmInline
public value class Image(public val name: String) {
    override fun toString(): String = name
}

/** A job as its user described it; it never changes after submission. */
public data class JobSpec(
    val id: JobId,
    val jobClass: String,
    val team: TeamName,
    val kind: JobKind,
    val priority: Priority,
    /** The number of tasks. */
    val tasks: Int,
    /** What each task requests. */
    val resources: Resources,
    /** The machine types that tasks may run on; null: all. */
    val types: Set<MachineType>?,
    /** The only zone that tasks may run in; null: any. */
    val zone: Zone?,
    /** Whether all tasks must run in one zone. */
    val oneZone: Boolean,
    /** Whether the tasks must be spread over zones, as [maxTasksPerZone] says. */
    val spread: Boolean,
    /** Whether tasks may run on spot machines. */
    val spotAllowed: Boolean,
    val image: Image,
    /** The size of the image. */
    val imageGb: Double,
    /** The user's estimate of how long a task runs. */
    val estimate: Duration,
    /** How often a running task checkpoints; zero: it can't. */
    val checkpointInterval: Duration,
    /** How long taking a checkpoint takes. */
    val checkpointDuration: Duration,
    /** When the job should be complete, counted from its submission; null: no deadline. */
    val deadline: Duration?,
    /** The earlier job that this one repeats. */
    val repeatOf: JobId? = null,
) {
    public val takesCheckpoints: Boolean get() = checkpointInterval > Duration.ZERO

    /** How many of the job's tasks may run in the same zone. */
    public val maxTasksPerZone: Int get() = if (spread) (tasks + 1) / 2 else tasks

    /** Whether a task may run on such a machine at all. */
    public fun permitsMachine(type: MachineType, zone: Zone, spot: Boolean): Boolean =
        (types == null || type in types) && (this.zone == null || zone == this.zone) && (!spot || spotAllowed)

    /** Whether one more task may run in [zone], given how many run in each of [zones]. */
    public fun zoneAllows(zones: Map<Zone, Int>, zone: Zone): Boolean =
        if (oneZone) zones.isEmpty() || zone in zones else (zones[zone] ?: 0) < maxTasksPerZone
}
