package org.elderhitch.scheduler

import org.elderhitch.failuredetection.FailureAttribution
import org.elderhitch.fleet.ArrivalRates
import org.elderhitch.fleet.Catalog
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.placement.CapacityReservation
import org.elderhitch.placement.CycleInput
import org.elderhitch.placement.MachineView
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.settings.Objective
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.Placement
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.isGang
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration.Companion.seconds

/**
 * Builds the input of a scheduling cycle from the task table. The view of a machine is cached between cycles until
 * something changes on the machine.
 */
internal class CycleInputBuilder(
    private val table: TaskTable,
    failureAttribution: FailureAttribution,
    private val teams: Map<TeamName, Team>,
    objectives: List<Objective>,
) {
    private val runTimes = RunTimeEstimator()
    private val jobViews = JobViewBuilder(table, failureAttribution, StartDeadlines(objectives, runTimes))
    private val machineViews = MachineViewBuilder(table, runTimes)
    private val arrivals = ArrivalRates()

    /** The catalog that the cached machine views were built with. */
    private var cachedViewsCatalog: Catalog = Catalog.EMPTY

    fun build(context: CycleContext): CycleInput {
        discardViewsOnCatalogChange(context.cloud.catalog)
        val quota = quotaInUse(context)
        val jobs = jobViews.build(context, quota)
        val machines = usableMachines(context)
        return CycleInput(
            machines,
            jobs,
            quota,
            context.reservations + reservationsForUnreported(context),
            wholeMachinesNeeded = table.jobs.values.any { it.isGang },
            mostlyBooting = context.cloud.mostlyBooting,
            now = context.now,
            hostResourcesPerGpu = hostResourcesPerGpu(),
            expectedArrivals = arrivals.expectedByClass(context.now),
            bootingMachines = context.cloud.bootingMachines,
        )
    }

    /** Counts an opened job towards the expected arrivals of its class. */
    fun recordArrival(spec: JobSpec, now: MonotonicInstant) = arrivals.jobOpened(spec, now)

    /** Records the run time of a completed task that was started in this term. */
    fun recordRunTime(job: JobState, placement: Placement, now: MonotonicInstant) {
        placement.runningSince?.let { runTimes.record(job.spec, now - it) }
    }

    private fun discardViewsOnCatalogChange(catalog: Catalog) {
        if (catalog === cachedViewsCatalog) return
        cachedViewsCatalog = catalog
        table.workers.values.forEach { it.invalidateView() }
    }

    /** The quota that each team uses, including unreported tasks and tasks of jobs that have ended. */
    private fun quotaInUse(context: CycleContext): QuotaLedger {
        val quota = QuotaLedger(teams, context.unreportedResources + unattributedResources(context.cloud.catalog))
        for (job in table.jobs.values) {
            if (job.placements.isEmpty()) continue
            quota.addUsage(job.spec.team, job.spec.resources * job.copies, service = job.spec.kind == JobKind.SERVICE)
        }
        for (worker in table.workers.values) {
            for (job in worker.unknownTaskJobs) table.recentlyEnded(job)?.let { quota.addUsage(it.team, it.resources) }
        }
        return quota
    }

    /** Resources of tasks whose job is unknown: they may be any team's, and may use all resources of their machine. */
    private fun unattributedResources(catalog: Catalog): Resources {
        var sum = Resources.NONE
        for (worker in table.workers.values) {
            val hasUnattributed = worker.unknownTaskJobs.any { table.recentlyEnded(it) == null }
            if (hasUnattributed) sum += catalog.resources(worker.type) ?: Resources.NONE
        }
        return sum
    }

    private fun usableMachines(context: CycleContext): List<MachineView> {
        val machines = ArrayList<MachineView>()
        for (worker in table.workers.values) {
            if (!context.isUsable(worker)) continue
            worker.expireAvoidance(context.now)
            val isFetching = worker.view?.images?.remainingFetchGb?.isNotEmpty() == true
            if (isFetching && context.now - worker.viewedAt > FETCH_REFRESH_INTERVAL) worker.invalidateView()
            val view = worker.view
                ?: machineViews.build(worker, context.cloud.catalog, context.now)?.also { worker.view = it }
            view?.let(machines::add)
        }
        return machines
    }

    /**
     * During a takeover, reserves capacity for tasks of earlier terms that no heartbeat has reported yet. They may be
     * running on a machine that has not reported; if they are not, they are started next. Without the reservation,
     * lower-priority work submitted since this term was claimed would take that capacity, and would be preempted by
     * these tasks seconds later.
     */
    private fun reservationsForUnreported(context: CycleContext): List<CapacityReservation> {
        val sums = HashMap<Pair<String, Priority>, CapacityReservation>()
        for (job in table.jobs.values) {
            val spec = job.spec
            if (!isEligibleForReservation(job) || job.version > context.leader.termRevision) continue
            // After the takeover is settled no task can be running unreported, so none is counted.
            if (!context.mayRunUnreported(spec)) continue
            val missingTasks = spec.tasks - job.completed.count - job.placements.size
            if (missingTasks <= 0) continue
            sums.merge(spec.jobClass to spec.priority, CapacityReservation(spec, missingTasks)) { earlier, latest ->
                CapacityReservation(latest.spec, sumOfTasks(earlier, latest))
            }
        }
        return sums.values.toList()
    }

    private fun sumOfTasks(a: CapacityReservation, b: CapacityReservation): Int =
        (a.tasks.toLong() + b.tasks).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()

    private fun isEligibleForReservation(job: JobState): Boolean =
        !job.isTerminal && !job.isGang && job.spec.priority != Priority.LOW

    /** The highest CPU and memory requests per GPU among open jobs whose tasks use a noticeable share of a GPU. */
    private fun hostResourcesPerGpu(): Resources {
        var cpus = 0.0
        var memoryGb = 0.0
        for (job in table.jobs.values) {
            val need = job.spec.resources
            if (need.gpus < MIN_GPU_SHARE || job.isTerminal) continue
            cpus = maxOf(cpus, need.cpus / need.gpus)
            memoryGb = maxOf(memoryGb, need.memoryGb / need.gpus)
        }
        return Resources(cpus, 0.0, memoryGb)
    }

    private companion object {
        /** How often the view of a machine that is fetching an image is rebuilt. */
        val FETCH_REFRESH_INTERVAL = 2.seconds

        /** Tasks that use less of a GPU run out of CPUs long before they run out of GPUs. */
        const val MIN_GPU_SHARE = 0.01
    }
}
