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
 * A job in the leader's table: an open one, or one with a terminal state whose tasks are not all gone yet.
 *
 * [version] is the revision at which the job was recorded. A [providerOwned] job is recorded by a
 * [org.elderhitch.jobs.JobProvider] as a whole, not task by task.
 */
internal class JobState(
    val spec: JobSpec,
    val version: Revision,
    val openedAt: MonotonicInstant = MonotonicInstant.NEVER,
    val providerOwned: Boolean = false,
) {
    /** Tasks whose completion is recorded in the state service. */
    val recorded = CompletedTasks(spec.tasks)

    /** Tasks that workers reported as completed, recorded or not. */
    val completed = CompletedTasks(spec.tasks)

    /** The placement of each task that is on a worker or on its way to one, by task index. */
    val placements = HashMap<Int, Placement>()

    /**
     * Further copies of tasks in [placements], by task index; null: there are none, as it should be. They are being
     * stopped. Until they are gone they count towards capacity, zones and quota, and the task is not started again.
     */
    var surplus: HashMap<Int, MutableList<Placement>>? = null

    /** The number of placements, surplus copies included. */
    val copies: Int get() = placements.size + (surplus?.values?.sumOf { it.size } ?: 0)

    /** The revisions of the recorded blocks of completed tasks, by block number. */
    var blockVersions: Map<Int, Revision> = emptyMap()

    /** Whether the job has reached a terminal state. */
    var isTerminal = false

    /**
     * A time at which the job's terminal state was not recorded yet. No user learnt of it earlier.
     * [MonotonicInstant.FOREVER] while the job is open.
     */
    var knownOpenAt: MonotonicInstant = MonotonicInstant.FOREVER
    val gang = GangState()

    /** Machines on which tasks of the job failed. */
    val failedOn = HashSet<MachineId>()

    /** Nothing of the job is started before this time. */
    var notBefore: MonotonicInstant = MonotonicInstant.NEVER
    var usage = JobUsage()

    /** The value stored under the key of the job's hold; null: there is none. */
    var storedHold: JobHold? = null

    /** The hold in effect, during which nothing of the job is started; null: the job is not held. */
    val hold: JobHold? get() = storedHold?.effective

    /** Whether a hold is being recorded, or may have been: nothing of the job is started then either. */
    var holdPending = false
    val id: JobId get() = spec.id

    /** The number of copies in each zone. */
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
