package org.elderhitch.jobs

import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import kotlin.time.Duration

@JvmInline
public value class JobId(public val text: String) {
    override fun toString(): String = text

    public companion object {
        private const val LONGEST = 64
        private val FORM = Regex("req-[A-Za-z0-9][A-Za-z0-9._-]*")

        /** Null unless the text has the form that users' job ids always have. */
        public fun parse(text: String): JobId? = if (text.length <= LONGEST && FORM.matches(text)) JobId(text) else null
    }
}

public data class TaskId(val job: JobId, val index: Int) {
    override fun toString(): String = "${job.text}/$index"

    public companion object {
        public fun parse(text: String): TaskId? {
            val job = JobId.parse(text.substringBeforeLast('/', "")) ?: return null
            val index = text.substringAfterLast('/').toIntOrNull()?.takeIf { it >= 0 } ?: return null
            return TaskId(job, index)
        }
    }
}

public enum class JobKind { ARRAY, GANG, SERVICE }

/** From the least urgent to the most. */
public enum class Priority { LOW, NORMAL, HIGH, PRODUCTION }

@JvmInline
public value class MachineType(public val name: String) {
    override fun toString(): String = name
}

@JvmInline
public value class Image(public val name: String) {
    override fun toString(): String = name
}

/** What a task takes of a machine, or a machine has. */
public data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    public operator fun plus(other: Resources): Resources =
        Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    public operator fun minus(other: Resources): Resources =
        Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    public operator fun times(count: Int): Resources = Resources(cpus * count, gpus * count, memoryGb * count)

    /** Negative amounts raised to zero. */
    public fun coerceAtLeastZero(): Resources = Resources(maxOf(cpus, 0.0), maxOf(gpus, 0.0), maxOf(memoryGb, 0.0))

    /** What machines' loads are compared by, whatever they have. */
    public val weight: Double get() = gpus + cpus

    public fun fitsIn(room: Resources): Boolean =
        cpus <= room.cpus + SLACK && gpus <= room.gpus + SLACK && memoryGb <= room.memoryGb + SLACK

    public companion object {
        // Sums of decimal amounts differ in the last bits; a task must not lose its place for that.
        private const val SLACK = 1e-6
        public val NONE: Resources = Resources(0.0, 0.0, 0.0)
    }
}

/** A job as its user described it. */
public data class JobSpec(
    val id: JobId,
    val jobClass: String,
    val team: TeamName,
    val kind: JobKind,
    val priority: Priority,
    val tasks: Int,
    val resources: Resources,
    val types: Set<MachineType>?,
    val zone: Zone?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spotAllowed: Boolean,
    val image: Image,
    val imageGb: Double,
    val estimate: Duration,
    val checkpointInterval: Duration,
    val checkpointDuration: Duration,
    val deadline: Duration?,
    /** The earlier job that this one repeats. */
    val repeatOf: JobId? = null,
) {
    public val takesCheckpoints: Boolean get() = checkpointInterval > Duration.ZERO

    /** How many of the job's tasks may be in one zone. */
    public val maxTasksPerZone: Int get() = if (spread) (tasks + 1) / 2 else tasks

    /** Whether a task may run on such a machine at all. */
    public fun permitsMachine(type: MachineType, zone: Zone, spot: Boolean): Boolean =
        (types == null || type in types) && (this.zone == null || zone == this.zone) && (!spot || spotAllowed)

    /** Whether one more task may be in the zone, given where the others are. */
    public fun zoneAllows(zones: Map<Zone, Int>, zone: Zone): Boolean =
        if (oneZone) zones.isEmpty() || zone in zones else (zones[zone] ?: 0) < maxTasksPerZone
}

/** How a job ended, for ever. */
public enum class TerminalState(
    /** The word of the protocol and of stored records. */
    public val word: String,
) {
    DONE("done"),
    CANCELLED("withdrawn"),
}

/** What a user is told about a job. */
public data class JobStatus(val word: String, val done: Int, val running: Int) {
    public companion object {
        public fun ended(how: TerminalState, done: Int): JobStatus =
            JobStatus(if (how == TerminalState.DONE) "done" else "withdrawn", done, 0)

        public fun open(done: Int, running: Int): JobStatus = JobStatus(
            if (running >
                0
            ) {
                "running"
            } else {
                "queued"
            },
            done,
            running,
        )
    }
}
