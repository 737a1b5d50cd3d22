package org.elderhitch.tasks

import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.JobHold
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant

/**
 * A job in the task table: an open job, or one in a terminal state that still has placements.
 *
 * [version] is the store revision at which the job was recorded. A [providerOwned] job is recorded as a whole by its
 * [org.elderhitch.jobs.JobProvider], not task by task.
 */
internal class JobState(
    val spec: JobSpec,
    val version: Revision,
    val openedAt: MonotonicInstant = MonotonicInstant.NEVER,
    val providerOwned: Boolean = false,
) {
    /** Tasks whose completion the state service has recorded. */
    val recorded = CompletedTasks(spec.tasks)

    /** Tasks that workers reported as completed, whether recorded or not. */
    val completed = CompletedTasks(spec.tasks)

    /** The primary placement of each task that is assigned or sent to a worker, or reported by one, by task index. */
    val placements = HashMap<Int, Placement>()

    /**
     * Surplus copies of tasks in [placements], by task index; null in the normal case that there are none. They are
     * being stopped. Until a copy is gone, it counts towards capacity, zones and quota, and its task is not started
     * again.
     */
    var surplus: HashMap<Int, MutableList<Placement>>? = null

    /** The number of placements, surplus copies included. */
    val copies: Int get() = placements.size + (surplus?.values?.sumOf { it.size } ?: 0)

    /** The revisions of the recorded blocks of completed tasks, by block number. */
    var blockVersions: Map<Int, Revision> = emptyMap()

    /** Whether the job has reached a terminal state. */
    var isTerminal = false

    /**
     * A time at which the job's terminal state was not recorded yet, and so no user can have been told of it.
     * [MonotonicInstant.FOREVER] while the job is open.
     */
    var knownOpenAt: MonotonicInstant = MonotonicInstant.FOREVER
    val gang = GangState()

    /** Machines on which a task of the job failed. */
    val failedOn = HashSet<MachineId>()

    /** No task of the job is started before this time. */
    var notBefore: MonotonicInstant = MonotonicInstant.NEVER
    var usage = JobUsage()

    /** The stored hold record of the job, also after its release; null if there is none. */
    var storedHold: JobHold? = null

    /** The hold in effect, during which no task of the job is started; null if the job is not held. */
    val hold: JobHold? get() = storedHold?.effective

    /** Whether a write of a hold is in progress or its outcome is unknown. No task of the job is started meanwhile. */
    var holdPending = false
    val id: JobId get() = spec.id

    /** The number of placements in each zone, surplus copies included. */
    fun zones(): Map<Zone, Int> {
        val counts = HashMap<Zone, Int>()
        for (placement in placements.values) counts.merge(placement.zone, 1, Int::plus)
        surplus?.values?.forEach { copies -> copies.forEach { counts.merge(it.zone, 1, Int::plus) } }
        return counts
    }

    /** All placements, surplus copies included. */
    fun allPlacements(): Sequence<Placement> =
        placements.values.asSequence() + surplus?.values.orEmpty().asSequence().flatten()

    /** The number of tasks that workers report as running. */
    val running: Int get() = placements.values.count {
        it.state == PlacementState.CONFIRMED && it.phase == TaskPhase.RUNNING
    }
}
