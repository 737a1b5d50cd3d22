package org.elderhitch.scheduler

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.MachineId
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
 * Empties a machine whose few services find room elsewhere: only where each finds its image too, so that it is away for
 * a
 * stop and a start and not for a fetch, and only services that have run for a while.
 */
internal class Consolidation(private val table: TaskTable) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val tried = HashMap<MachineId, MonotonicInstant>()
    private var nextMove = MonotonicInstant.NEVER

    fun newTerm() {
        tried.clear()
        nextMove = MonotonicInstant.NEVER
    }

    fun drain(machine: MachineId, catalog: Catalog, now: MonotonicInstant, usable: (WorkerState) -> Boolean) {
        val worker = table.workers[machine] ?: return
        if (now < nextMove || tried[machine].let { it != null && now - it < TRY_AGAIN }) return
        tried[machine] = now
        val placements = worker.placements.values.toList()
        if (placements.isEmpty() ||
            !placements.all { movable(it, now) } ||
            !allFit(worker, placements, catalog, usable)
        ) {
            return
        }
        nextMove = now + BETWEEN_MOVES
        worker.drainingUntil = now + DRAIN
        log.info("machine drained machine={} tasks={}", machine, placements.size)
        for (p in placements) table.jobs[p.task.job]?.let { table.stop(it, p, Duration.ZERO) }
    }

    private fun movable(placement: Placement, now: MonotonicInstant): Boolean {
        val job = table.jobs[placement.task.job] ?: return false
        val since = placement.runningSince ?: return false
        return job.spec.kind == JobKind.SERVICE &&
            !job.isTerminal &&
            placement.stopGrace == null &&
            placement.phase == TaskPhase.RUNNING &&
            now - since > SETTLED
    }

    private fun allFit(
        from: WorkerState,
        placements: List<Placement>,
        catalog: Catalog,
        usable: (WorkerState) -> Boolean,
    ): Boolean {
        val free = HashMap<MachineId, Resources>()
        val zones = HashMap<JobState, MutableMap<Zone, Int>>()
        val others = table.workers.values.filter { it !== from && usable(it) && it.placements.isNotEmpty() && !it.spot }
        for (p in placements) {
            val job = table.jobs[p.task.job] ?: return false
            val inZones = zones.getOrPut(job) { HashMap(job.zones()) }
            inZones.merge(p.zone, -1, Int::plus)
            val target = others.firstOrNull { other ->
                val type = catalog.types[other.type] ?: return@firstOrNull false
                val zoneAllows = if (job.spec.oneZone) {
                    other.zone == p.zone
                } else {
                    job.spec.zoneAllows(
                        inZones,
                        other.zone,
                    )
                }
                zoneAllows &&
                    job.spec.permitsMachine(other.type, other.zone, other.spot) &&
                    job.spec.image in other.cachedImages(type.cacheGb) &&
                    job.spec.resources.fitsIn(free.getOrPut(other.id) { freeOn(other, type.resources) })
            } ?: return false
            inZones.merge(target.zone, 1, Int::plus)
            free[target.id] = (free[target.id] ?: return false) - job.spec.resources
        }
        return true
    }

    private fun freeOn(worker: WorkerState, has: Resources): Resources =
        worker.placements.values.fold(has) { left, p -> left - (table.jobs[p.task.job]?.spec?.resources ?: has) }

    private companion object {
        /** A start counts once a task has run for half a minute; and what has run for long runs on for long, mostly. */
        val SETTLED = 60.seconds
        val TRY_AGAIN = 10.seconds

        /** One machine after the other: each needs a report or two to have its tasks started elsewhere. */
        val BETWEEN_MOVES = 4.seconds
        val DRAIN = 20.seconds
    }
}
