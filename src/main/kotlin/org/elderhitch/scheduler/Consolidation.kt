package org.elderhitch.scheduler

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.TypeInfo
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Zone
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.Placement
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Drains machines whose services fit on other machines that are in use. Only services that have run for [MIN_RUN_TIME]
 * are moved, and only to machines that have their image cached, so that a move needs no image fetch.
 */
internal class Consolidation(private val table: TaskTable) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val lastAttemptAt = HashMap<MachineId, MonotonicInstant>()
    private var nextDrainAt = MonotonicInstant.NEVER

    /** Drains the machine if all its tasks can be moved and fit on usable machines that are already in use. */
    fun drain(machine: MachineId, catalog: Catalog, now: MonotonicInstant, isUsable: (WorkerState) -> Boolean) {
        val worker = table.workers[machine] ?: return
        if (now < nextDrainAt || wasAttemptedRecently(machine, now)) return
        lastAttemptAt[machine] = now
        val placements = worker.placements.values.toList()
        if (placements.isEmpty() || !placements.all { isMovable(it, now) }) return
        val targets = table.workers.values.filter {
            it !== worker && isUsable(it) && it.placements.isNotEmpty() && !it.spot
        }
        if (!TrialPlacement(targets, catalog).fitsAll(placements)) return
        nextDrainAt = now + DRAIN_INTERVAL
        worker.drainingUntil = now + DRAIN_DURATION
        log.info("machine drained machine={} tasks={}", machine, placements.size)
        for (placement in placements) {
            table.jobs[placement.task.job]?.let { table.stop(it, placement, Duration.ZERO) }
        }
    }

    private fun wasAttemptedRecently(machine: MachineId, now: MonotonicInstant): Boolean =
        lastAttemptAt[machine].let { it != null && now - it < RETRY_INTERVAL }

    private fun isMovable(placement: Placement, now: MonotonicInstant): Boolean {
        val job = table.jobs[placement.task.job] ?: return false
        val since = placement.runningSince ?: return false
        val isOpenService = job.spec.kind == JobKind.SERVICE && !job.isTerminal
        val isRunning = placement.stopGrace == null && placement.phase == TaskPhase.RUNNING
        return isOpenService && isRunning && now - since > MIN_RUN_TIME
    }

    /** Places services on the [targets] on trial, without changing the task table. */
    private inner class TrialPlacement(private val targets: List<WorkerState>, private val catalog: Catalog) {
        private val free = HashMap<MachineId, Resources>()
        private val zones = HashMap<JobState, MutableMap<Zone, Int>>()

        fun fitsAll(placements: List<Placement>): Boolean = placements.all(::tryPlace)

        private fun tryPlace(placement: Placement): Boolean {
            val job = table.jobs[placement.task.job] ?: return false
            val otherZones = zones.getOrPut(job) { HashMap(job.zones()) }
            otherZones.merge(placement.zone, -1, Int::plus)
            val target = targets.firstOrNull { isSuitable(it, job, placement.zone, otherZones) } ?: return false
            otherZones.merge(target.zone, 1, Int::plus)
            free[target.id] = free.getValue(target.id) - job.spec.resources
            return true
        }

        private fun isSuitable(
            target: WorkerState,
            job: JobState,
            currentZone: Zone,
            otherZones: Map<Zone, Int>,
        ): Boolean {
            val type = catalog.types[target.type] ?: return false
            val spec = job.spec
            val zoneAllows =
                if (spec.oneZone) target.zone == currentZone else spec.zoneAllows(otherZones, target.zone)
            return zoneAllows &&
                spec.permitsMachine(target.type, target.zone, target.spot) &&
                spec.image in target.cachedImages(type.cacheGb) &&
                spec.resources.fitsIn(free.getOrPut(target.id) { freeResources(target, type) })
        }

        private fun freeResources(worker: WorkerState, type: TypeInfo): Resources =
            worker.placements.values.fold(type.resources) { left, placement ->
                left - (table.jobs[placement.task.job]?.spec?.resources ?: type.resources)
            }
    }

    private companion object {
        /** A start counts only once the task has run for 30 s, and a service that has run long mostly keeps running. */
        val MIN_RUN_TIME = 60.seconds

        /** The least time between attempts to drain the same machine. */
        val RETRY_INTERVAL = 10.seconds

        /** The least time between drains of any machines: restarting the tasks elsewhere takes several heartbeats. */
        val DRAIN_INTERVAL = 4.seconds

        /** How long no task is placed on a drained machine. */
        val DRAIN_DURATION = 20.seconds
    }
}
