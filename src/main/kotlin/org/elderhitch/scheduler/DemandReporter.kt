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
 * Reports how machines are used, by the task table, for the decisions to provision and terminate machines.
 * [suspectAfter]: a worker silent for so long is suspected.
 */
internal class DemandReporter(private val table: TaskTable, private val suspectAfter: Duration) {
    /**
     * Use of the machines that have reported and that may be given tasks ([cleared]). A machine that has just come up
     * may not until that is recorded, and counts as booting: if it counted as an unused machine, others would be
     * provisioned in its place.
     */
    fun uses(
        catalog: Catalog,
        now: MonotonicInstant,
        cleared: Set<MachineId>,
        isUsable: (WorkerState) -> Boolean,
    ): List<MachineUse> {
        val workers = table.workers.values.filter { it.reconciled && it.id in cleared }
        return workers.map { use(it, catalog, now, isUsable(it)) }
    }

    /** Services that are open and not held. */
    fun services(): List<JobSpec> {
        val services = table.jobs.values.filter { it.spec.kind == JobKind.SERVICE && !it.isTerminal && it.hold == null }
        return services.map { it.spec }
    }

    private fun use(worker: WorkerState, catalog: Catalog, now: MonotonicInstant, isUsable: Boolean): MachineUse {
        var busy = Resources.NONE
        var yielding = Resources.NONE
        var ending = Resources.NONE
        var serving = Resources.NONE
        val bootTime = catalog.types[worker.type]?.bootTime ?: Duration.ZERO
        for (placement in worker.placements.values) {
            val job = table.jobs[placement.task.job] ?: continue
            busy += job.spec.resources
            if (job.spec.kind == JobKind.SERVICE) serving += job.spec.resources
            if (job.spec.priority < Priority.PRODUCTION && !job.isGang) yielding += job.spec.resources
            if (endsWithin(job, placement, bootTime * ENDING_SHARE, now)) ending += job.spec.resources
        }
        // A silent machine isn't idle: it may be cut off, and its tasks count as lost only because its lease is over.
        val isIdle = now - worker.lastHeartbeatAt <= suspectAfter && worker.isEmpty
        return MachineUse(
            worker.id,
            busy,
            yielding,
            ending,
            serving,
            isUsable,
            idle = if (isIdle) now - worker.idleSince else null,
            faulty = worker.faulty,
        )
    }

    /** By the owner's estimate, which is often wrong: a task is expected to run on for at least a share of it. */
    private fun endsWithin(job: JobState, placement: Placement, span: Duration, now: MonotonicInstant): Boolean {
        if (job.spec.kind == JobKind.SERVICE) return false
        val since = placement.runningSince ?: return false
        val left = job.spec.estimate - (now - since)
        return maxOf(left, job.spec.estimate * OVERRUN_SHARE) < span
    }

    private companion object {
        /** Of the time that a machine takes to boot: what ends within that is free sooner than a new machine. */
        const val ENDING_SHARE = 0.5

        /** Of its estimate: for how much longer a task is expected to run that has exceeded it. */
        const val OVERRUN_SHARE = 0.3
    }
}
