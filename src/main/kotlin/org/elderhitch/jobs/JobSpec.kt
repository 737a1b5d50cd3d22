package org.elderhitch.jobs

import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import kotlin.time.Duration

/** How the tasks of a job are executed in relation to each other. */
public enum class JobKind {
    /** Independent tasks, each of which runs to completion once. */
    ARRAY,

    /** Tasks that are gang-scheduled: they start and run together. */
    GANG,

    /** Tasks that run until the job is cancelled. */
    SERVICE,
}

/** Job priorities in ascending order, which comparisons rely on. */
public enum class Priority { LOW, NORMAL, HIGH, PRODUCTION }

/** The name of a machine type in the cloud's catalog. */
@JvmInline
public value class MachineType(public val name: String) {
    override fun toString(): String = name
}

/** The name of the image from which a job's tasks run. */
@JvmInline
public value class Image(public val name: String) {
    override fun toString(): String = name
}

/** The description of a job as submitted; immutable. */
public data class JobSpec(
    val id: JobId,
    val jobClass: String,
    val team: TeamName,
    val kind: JobKind,
    val priority: Priority,
    /** The number of tasks. */
    val tasks: Int,
    /** The resources that each task requests. */
    val resources: Resources,
    /** The machine types that tasks may run on; null means all. */
    val types: Set<MachineType>?,
    /** The only zone that tasks may run in; null means any. */
    val zone: Zone?,
    /** Whether all tasks must run in one zone. */
    val oneZone: Boolean,
    /** Whether the tasks must be spread over zones; see [maxTasksPerZone]. */
    val spread: Boolean,
    /** Whether tasks may run on spot machines. */
    val spotAllowed: Boolean,
    val image: Image,
    /** The size of the image in gigabytes. */
    val imageGb: Double,
    /** The user's estimate of the duration of a task. */
    val estimate: Duration,
    /** The interval between checkpoints of a running task; zero if the tasks cannot checkpoint. */
    val checkpointInterval: Duration,
    /** The duration of a checkpoint. */
    val checkpointDuration: Duration,
    /** How long after its submission the job should be complete; null means no deadline. */
    val deadline: Duration?,
    /** The earlier job that this one repeats. */
    val repeatOf: JobId? = null,
) {
    public val canCheckpoint: Boolean get() = checkpointInterval > Duration.ZERO

    /** The maximum number of the job's tasks that may run in the same zone. */
    public val maxTasksPerZone: Int get() = if (spread) (tasks + 1) / 2 else tasks

    /** Whether the job's constraints permit a machine with these properties. */
    public fun permitsMachine(type: MachineType, zone: Zone, spot: Boolean): Boolean =
        (types == null || type in types) && (this.zone == null || zone == this.zone) && (!spot || spotAllowed)

    /** Whether one more task may run in [zone], where [zones] contains the number of running tasks by zone. */
    public fun zoneAllows(zones: Map<Zone, Int>, zone: Zone): Boolean = tasksAllowedIn(zones, zone) > 0

    /** How many more tasks may run in [zone], where [zones] contains the number of running tasks by zone. */
    public fun tasksAllowedIn(zones: Map<Zone, Int>, zone: Zone): Int = when {
        !oneZone -> (maxTasksPerZone - (zones[zone] ?: 0)).coerceAtLeast(0)
        zones.isEmpty() || zone in zones -> tasks
        else -> 0
    }
}
