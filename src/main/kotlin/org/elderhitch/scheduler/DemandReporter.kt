package org.elderhitch.scheduler

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.MachineUse
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.Placement
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.tasks.isGang
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/**
 * Reports how machines are used according to the task table, as input for provisioning and terminating machines.
 * [suspectAfter]: how long a worker can be silent before it is suspected to have failed.
 */
internal class DemandReporter(private val table: TaskTable, private val suspectAfter: Duration) {
    /**
     * The use of machines that have reported and are [confirmedUp]. A machine that has just come up is not confirmed up
     * until that is recorded, and counts as booting: if it counted as an unused machine, others would be provisioned in
     * its place.
     */
    fun uses(
        catalog: Catalog,
        now: MonotonicInstant,
        confirmedUp: Set<MachineId>,
        isUsable: (WorkerState) -> Boolean,
    ): List<MachineUse> {
        val workers = table.workers.values.filter { it.reconciled && it.id in confirmedUp }
        return workers.map { use(it, catalog, now, isUsable(it)) }
    }

    /** The specifications of open services that are not held. */
    fun services(): List<JobSpec> {
        val services = table.jobs.values.filter { it.spec.kind == JobKind.SERVICE && !it.isTerminal && it.hold == null }
        return services.map { it.spec }
    }

    private fun use(worker: WorkerState, catalog: Catalog, now: MonotonicInstant, isUsable: Boolean): MachineUse {
        var busy = Resources.NONE
        var preemptible = Resources.NONE
        var releasedSoon = Resources.NONE
        var serviceResources = Resources.NONE
        val bootTime = catalog.types[worker.type]?.bootTime ?: Duration.ZERO
        for (placement in worker.placements.values) {
            val job = table.jobs[placement.task.job] ?: continue
            busy += job.spec.resources
            if (job.spec.kind == JobKind.SERVICE) serviceResources += job.spec.resources
            if (job.spec.priority < Priority.PRODUCTION && !job.isGang) preemptible += job.spec.resources
            if (endsWithin(job, placement, bootTime * ENDING_SOON_SHARE, now)) releasedSoon += job.spec.resources
        }
        // A silent machine isn't idle: it may be partitioned, and its tasks count as lost only because its lease has
        // expired.
        val isIdle = now - worker.lastHeartbeatAt <= suspectAfter && worker.isEmpty
        return MachineUse(
            worker.id,
            busy,
            preemptible,
            releasedSoon,
            serviceResources,
            isUsable,
            idleFor = if (isIdle) now - worker.idleSince else null,
            isFaulty = worker.faulty,
        )
    }

    /** Uses the owner's estimate, which is often wrong: a task is expected to run on for at least a share of it. */
    private fun endsWithin(job: JobState, placement: Placement, window: Duration, now: MonotonicInstant): Boolean {
        if (job.spec.kind == JobKind.SERVICE) return false
        val since = placement.runningSince ?: return false
        val left = job.spec.estimate - (now - since)
        return maxOf(left, job.spec.estimate * OVERRUN_SHARE) < window
    }

    private companion object {
        /** The share of a machine's boot time within which capacity must become free to count as ending soon. */
        const val ENDING_SOON_SHARE = 0.5

        /** The least remaining run time that is expected of a task, as a share of its estimate. */
        const val OVERRUN_SHARE = 0.3
    }
}
