package org.elderhitch.explain

import org.elderhitch.failuredetection.FailureAttribution
import org.elderhitch.failuredetection.FailureDetector
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.Market
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Resources
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.Takeover
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.MachineRegistry
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.tasks.isGang
import org.elderhitch.time.MonotonicInstant

/** Says, from the leader's own state, why a job stands as it does: one line a reason, the one that decides first. */
internal class JobExplainer(
    private val table: TaskTable,
    private val faults: FailureAttribution,
    private val takeover: Takeover,
    private val failureDetector: FailureDetector,
    private val machineRegistry: MachineRegistry,
    private val teams: Map<TeamName, Team>,
) {
    /** Null: no such open job in the leader's table. */
    fun of(
        leadership: LeadershipState.Leader,
        id: JobId,
        catalog: Catalog,
        refused: Set<Market>,
        now: MonotonicInstant,
        tableComplete: Boolean,
        usable: (WorkerState) -> Boolean,
    ): List<String>? {
        if (!tableComplete) return listOf("a takeover: the leader is still reading what is recorded")
        val job = table.jobs[id]?.takeUnless { it.isTerminal } ?: return null
        val lines = ArrayList<String>()
        job.hold?.let { lines.add("held (${it.kind.wireName}): ${it.reason}") }
        if (job.holdPending && job.hold == null) lines.add("a hold is being recorded")
        counts(job, lines)
        val missing = job.spec.tasks - job.completed.count - job.placements.size
        if (missing <= 0 || job.hold != null || job.holdPending) return lines
        waits(leadership, job, catalog, refused, now, lines, usable)
        return lines
    }

    private fun counts(job: JobState, lines: MutableList<String>) {
        val phases = job.placements.values.groupingBy { p ->
            when {
                p.stopGrace != null -> "stopping"
                p.state != PlacementState.CONFIRMED -> "sent"
                else -> p.phase.name.lowercase()
            }
        }.eachCount().toSortedMap()
        val parts = phases.entries.joinToString("") { ", ${it.value} ${it.key}" }
        lines.add(
            "of ${job.spec.tasks} tasks ${job.completed.count} done$parts; ${job.usage.attempts} starts seen, ${job.usage.lost} lost, in this term",
        )
        val cut = job.placements.values.count { failureDetector.isPartitioned(it.zone) }
        if (cut > 0) lines.add("$cut of its tasks are in a zone that is cut off")
    }

    private fun waits(
        leadership: LeadershipState.Leader,
        job: JobState,
        catalog: Catalog,
        refused: Set<Market>,
        now: MonotonicInstant,
        lines: MutableList<String>,
        usable: (WorkerState) -> Boolean,
    ) {
        val spec = job.spec
        if (job.version <= leadership.termRevision && takeover.mayRunUnreported(spec, machineRegistry.known, catalog)) {
            lines.add("waits for a takeover: ${takeover.unaccounted.size} machines that may run it have not reported yet")
        }
        if (!leadership.maySendCommands(
                now,
            )
        ) {
            lines.add(
                "waits for the state service: the leader can't prove that it leads and knows all that is recorded",
            )
        }
        if (job.notBefore >
            now
        ) {
            lines.add(
                "at fault: failed on ${job.failedOn.size} machines and runs on none; tried again in ${(job.notBefore - now).inWholeSeconds} s",
            )
        }
        faults.trialLimit(job)?.let {
            lines.add("failed on ${job.failedOn.size} machines: no more than a few tasks are tried at a time")
        }
        if (job.isGang &&
            job.gang.broken
        ) {
            lines.add("the gang broke: waits for its members to exit before the next attempt")
        }
        limit(job)?.let(lines::add)
        val fitting = catalog.fitting(spec).map { it.name }.toSet()
        if (fitting.isEmpty()) {
            lines.add("no machine type is known that a task of it fits")
            return
        }
        confined(spec, catalog, refused)?.let(lines::add)
        room(job, catalog, fitting, lines, usable)
    }

    /** Of work that most machines are too small for: where it may run, and whether more of that is to be had. */
    private fun confined(spec: JobSpec, catalog: Catalog, refused: Set<Market>): String? {
        val fitting = catalog.fitting(spec)
        if (fitting.size == catalog.types.size) return null
        val up = table.workers.values.count {
            spec.permitsMachine(it.type, it.zone, it.spot) &&
                fitting.any { type -> type.name == it.type }
        }
        val more = if (refused.containsAll(catalog.markets(spec))) "none more to be had" else "more can be rented"
        return "waits for room of ${spec.resources.cpus} CPUs on ${fitting.joinToString(" or ") {
            it.name.name
        }}: $up up, $more; others leave them as their tasks end"
    }

    private fun limit(job: JobState): String? {
        val team = teams[job.spec.team] ?: return "its team is unknown here"
        var used = Resources.NONE
        for (other in table.jobs.values) if (other.spec.team == team.name) used += other.spec.resources * other.copies
        val atOnce = job.spec.resources * if (job.isGang) job.spec.tasks - job.placements.size else 1
        val gpus = team.mostGpus?.takeIf { used.gpus + atOnce.gpus > it }
        if (gpus != null) return "waits for its team's limit: ${used.gpus} of $gpus GPUs in use, ${atOnce.gpus} needed"
        val cpus = team.mostCpus?.takeIf { used.cpus + atOnce.cpus > it } ?: return null
        return "waits for its team's limit: ${used.cpus} of $cpus CPUs in use, ${atOnce.cpus} needed"
    }

    private fun room(
        job: JobState,
        catalog: Catalog,
        fitting: Set<org.elderhitch.jobs.MachineType>,
        lines: MutableList<String>,
        usable: (WorkerState) -> Boolean,
    ) {
        val spec = job.spec
        val allowed =
            table.workers.values.filter { it.type in fitting && spec.permitsMachine(it.type, it.zone, it.spot) }
        val ready = allowed.filter(usable)
        val roomy = ready.count { worker -> free(worker, catalog)?.let { spec.resources.fitsIn(it) } ?: false }
        val booting = machineRegistry.known.values.count {
            it.id !in machineRegistry.cleared &&
                spec.permitsMachine(it.type, it.zone, it.spot)
        }
        val what = "${spec.resources.cpus} CPUs, ${spec.resources.gpus} GPUs, ${spec.resources.memoryGb} GB"
        val place = place(spec)
        lines.add(
            if (roomy == 0) {
                "waits for room: none of ${ready.size} usable machines$place has $what free; $booting are booting"
            } else {
                "$roomy of ${ready.size} usable machines$place have $what free; $booting are booting" +
                    (if (job.isGang) "; a gang starts only when all its tasks fit at once" else "")
            },
        )
        val shunned = allowed.count { spec.id in it.avoidedBy }
        if (shunned > 0) lines.add("$shunned machines are left out for a while: it failed or was refused there")
    }

    private fun place(spec: JobSpec): String = buildString {
        spec.zone?.let { append(" in zone ").append(it) }
        if (!spec.spotAllowed) append(", not spot,")
        if (spec.oneZone) append(", all in one zone,")
        if (spec.kind == JobKind.SERVICE && spec.spread) append(", spread over zones,")
    }

    private fun free(worker: WorkerState, catalog: Catalog): Resources? {
        var free = catalog.resources(worker.type) ?: return null
        for (p in worker.placements.values) table.jobs[p.task.job]?.let { free -= it.spec.resources }
        return free
    }
}
