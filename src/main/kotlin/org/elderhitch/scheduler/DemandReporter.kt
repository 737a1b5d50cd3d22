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

/** What the table says of machines' use, for those who rent and return them. */
internal class DemandReporter(private val table: TaskTable, private val suspectAfter: Duration) {
    /**
     * Machines that report and may be given tasks. One that has just come up may not, until that is recorded: it counts
     * as
     * booting. As a machine of no use it counted for nothing, and others were rented in its place.
     */
    fun uses(
        catalog: Catalog,
        now: MonotonicInstant,
        cleared: Set<MachineId>,
        usable: (WorkerState) -> Boolean,
    ): List<MachineUse> =
        table.workers.values.filter { it.reconciled && it.id in cleared }.map { use(it, catalog, now, usable(it)) }

    fun services(): List<JobSpec> = table.jobs.values.filter {
        it.spec.kind == JobKind.SERVICE &&
            !it.isTerminal &&
            it.hold == null
    }.map { it.spec }

    private fun use(worker: WorkerState, catalog: Catalog, now: MonotonicInstant, usable: Boolean): MachineUse {
        var busy = Resources.NONE
        var yielding = Resources.NONE
        var ending = Resources.NONE
        var serving = Resources.NONE
        val boot = catalog.types[worker.type]?.bootTime ?: Duration.ZERO
        for (p in worker.placements.values) {
            val job = table.jobs[p.task.job] ?: continue
            busy += job.spec.resources
            if (job.spec.kind == JobKind.SERVICE) serving += job.spec.resources
            if (job.spec.priority < Priority.PRODUCTION && !job.isGang) yielding += job.spec.resources
            if (endsWithin(job, p, boot * ENDING_SHARE, now)) ending += job.spec.resources
        }
        return MachineUse(
            worker.id,
            busy,
            yielding,
            ending,
            serving,
            usable,
            // A silent machine isn't idle: it may be cut off, and what it runs is counted as lost only for its lease's
            // sake.
            idle = if (now - worker.lastHeartbeatAt <= suspectAfter && worker.isEmpty) now - worker.idleSince else null,
            faulty = worker.faulty,
        )
    }

    /** By the owner's estimate, which is often wrong: a task over it is given as long again as a part of it. */
    private fun endsWithin(job: JobState, placement: Placement, span: Duration, now: MonotonicInstant): Boolean {
        if (job.spec.kind == JobKind.SERVICE) return false
        val since = placement.runningSince ?: return false
        val left = job.spec.estimate - (now - since)
        return maxOf(left, job.spec.estimate * OVERRUN_SHARE) < span
    }

    private companion object {
        const val ENDING_SHARE = 0.5
        const val OVERRUN_SHARE = 0.3
    }
}
