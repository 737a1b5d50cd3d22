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

internal class JobState(
    val spec: JobSpec,
    val version: Revision,
    val openedAt: MonotonicInstant = MonotonicInstant.NEVER,
    val providerOwned: Boolean = false,
) {
    /** Recorded as finished. */
    val recorded = CompletedTasks(spec.tasks)

    /** Reported as done, recorded or not. */
    val completed = CompletedTasks(spec.tasks)
    val placements = HashMap<Int, Placement>()

    /**
     * Copies of tasks beside the one in [placements], being stopped: they use room, their zone and their team's limit,
     * and while one is
     * there the task is started nowhere. Null: none, as the rules want it.
     */
    var surplus: HashMap<Int, MutableList<Placement>>? = null
    val copies: Int get() = placements.size + (surplus?.values?.sumOf { it.size } ?: 0)

    /** The versions of its recorded blocks of finished tasks. */
    var blockVersions: Map<Int, Revision> = emptyMap()
    var isTerminal = false

    /** Its ending was not recorded yet when this was proven: no user was told of it before. */
    var knownOpenAt: MonotonicInstant = MonotonicInstant.FOREVER
    val gang = GangState()
    val failedOn = HashSet<MachineId>()
    var notBefore: MonotonicInstant = MonotonicInstant.NEVER
    var usage = JobUsage()

    /** What stands under the key of its hold. */
    var storedHold: JobHold? = null

    /** Recorded: nothing of it is started. */
    val hold: JobHold? get() = storedHold?.effective

    /** A hold is being recorded, or may be: nothing of it is started either. */
    var holdPending = false
    val id: JobId get() = spec.id

    fun zones(): Map<Zone, Int> {
        val counts = HashMap<Zone, Int>()
        for (p in placements.values) counts.merge(p.zone, 1, Int::plus)
        surplus?.values?.forEach { copies -> copies.forEach { counts.merge(it.zone, 1, Int::plus) } }
        return counts
    }

    /** Its tasks on machines or on their way there, surplus copies included. */
    fun allPlacements(): Sequence<Placement> =
        placements.values.asSequence() + surplus?.values.orEmpty().asSequence().flatten()

    val running: Int get() = placements.values.count {
        it.state == PlacementState.CONFIRMED &&
            it.phase == TaskPhase.RUNNING
    }
}
