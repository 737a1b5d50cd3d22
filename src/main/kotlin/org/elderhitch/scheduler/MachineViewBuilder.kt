package org.elderhitch.scheduler

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.TypeInfo
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.placement.MachineImages
import org.elderhitch.placement.MachineLoad
import org.elderhitch.placement.MachineView
import org.elderhitch.placement.Occupant
import org.elderhitch.placement.PreemptionCandidate
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.Placement
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.tasks.isGang
import org.elderhitch.time.MonotonicInstant
import kotlin.time.DurationUnit

/** Builds the views of machines on which scheduling cycles base their decisions. */
internal class MachineViewBuilder(private val table: TaskTable, private val runTimes: RunTimeEstimator) {
    /** Returns null if no task can be placed on the machine, because its type or what it runs is unknown. */
    fun build(worker: WorkerState, catalog: Catalog, now: MonotonicInstant): MachineView? {
        worker.viewedAt = now
        val type = catalog.types[worker.type] ?: return null
        // The resource request of a task whose job is unknown is unknown too, so nothing is placed next to it.
        if (worker.tasks.any { it.phase != TaskPhase.EXITED && it.task.job !in table.jobs }) return null
        val summary = LoadSummary(worker, type, now)
        for (placement in worker.placements.values) {
            table.jobs[placement.task.job]?.let { summary.add(it, placement) }
        }
        return summary.toView()
    }

    /** Sums up the placements on one machine. */
    private inner class LoadSummary(
        private val worker: WorkerState,
        private val type: TypeInfo,
        private val now: MonotonicInstant,
    ) {
        private var free = type.resources - slotsOfExitedTasks()
        private var releasing = Resources.NONE
        private val preemptible = ArrayList<PreemptionCandidate>()
        private val occupants = ArrayList<Occupant>()
        private val fetching = HashMap<Image, Double>()
        private val previouslyCachedImages = worker.cachedImages(type.cacheGb)

        fun add(job: JobState, placement: Placement) {
            val spec = job.spec
            free -= spec.resources
            occupants.add(Occupant(spec, (placement.runningSince ?: now) + runTimes.expected(spec)))
            addImage(spec, placement)
            if (placement.stopGrace != null) {
                releasing += spec.resources
            } else if (mayBePreempted(job, placement)) {
                val unsavedSince = placement.runningSince.takeUnless { spec.canCheckpoint }
                preemptible.add(PreemptionCandidate(placement.task, spec.priority, spec.resources, unsavedSince))
            }
        }

        /** A worker lists tasks that have exited until they are recorded and reaped, so they take slots until then. */
        private fun slotsOfExitedTasks(): Resources =
            Resources(0.0, 0.0, 0.0, taskSlots = worker.tasks.count { it.phase == TaskPhase.EXITED })

        /** An image in use is never evicted from the cache; a fetch is aborted when the task that needs it is gone. */
        private fun addImage(spec: JobSpec, placement: Placement) {
            val isPresent = placement.state == PlacementState.CONFIRMED && placement.phase != TaskPhase.FETCHING
            if (isPresent) {
                worker.recordImageUse(spec.image, spec.imageGb)
            } else if (spec.image !in previouslyCachedImages) {
                fetching.merge(spec.image, remainingFetchGb(placement, spec), ::minOf)
            }
        }

        private fun mayBePreempted(job: JobState, placement: Placement): Boolean = !job.isGang &&
            placement.state == PlacementState.CONFIRMED &&
            job.spec.priority < Priority.PRODUCTION

        /** The part of the task's image that is still to be fetched, assuming the machine's nominal fetch rate. */
        private fun remainingFetchGb(placement: Placement, spec: JobSpec): Double {
            val fetchingSince = placement.fetchingSince ?: return spec.imageGb
            val fetchedGb = (now - fetchingSince).toDouble(DurationUnit.SECONDS) * type.fetchGbPerS
            return (spec.imageGb - fetchedGb).coerceAtLeast(spec.imageGb * MIN_REMAINING_FETCH_SHARE)
        }

        fun toView(): MachineView {
            val images = MachineImages(worker.cachedImages(type.cacheGb), type.fetchGbPerS, fetching)
            val isEmpty = worker.placements.isEmpty()
            val load = MachineLoad(free, releasing, preemptible, serviceWeight(), isEmpty, occupants)
            return MachineView(
                worker.id,
                worker.type,
                worker.zone,
                worker.spot,
                type.resources,
                images,
                load,
                worker.avoidedBy,
            )
        }

        private fun serviceWeight(): Double = worker.placements.values.sumOf { placement ->
            val spec = table.jobs[placement.task.job]?.spec
            spec?.takeIf { it.kind == JobKind.SERVICE }?.resources?.weight ?: 0.0
        }
    }

    private companion object {
        /** The least share of an image that counts as still to be fetched, until the fetch is reported as done. */
        const val MIN_REMAINING_FETCH_SHARE = 0.1
    }
}
