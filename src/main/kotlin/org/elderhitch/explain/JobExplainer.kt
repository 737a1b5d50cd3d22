package org.elderhitch.explain

import org.elderhitch.failuredetection.FailureAttribution
import org.elderhitch.failuredetection.FailureDetector
import org.elderhitch.fleet.Catalog
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskLimits
import org.elderhitch.recovery.Takeover
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.MachineRegistry
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.tasks.isGang

/**
 * Explains to a user why a job is in its current state, based on the leader's state: one line for each reason, the
 * decisive one first.
 */
internal class JobExplainer(
    private val table: TaskTable,
    private val failureAttribution: FailureAttribution,
    private val takeover: Takeover,
    private val failureDetector: FailureDetector,
    private val machineRegistry: MachineRegistry,
    private val teams: Map<TeamName, Team>,
) {
    /** The reasons as lines of text; null if the leader's task table has no such open job. */
    fun explain(id: JobId, context: ExplanationContext): List<String>? {
        if (!context.isTableComplete) return listOf("takeover in progress: the leader is still loading the stored jobs")
        val job = table.jobs[id]?.takeUnless { it.isTerminal } ?: return null
        val lines = ArrayList<String>()
        job.hold?.let { lines.add("held (${it.kind.wireName}): ${it.reason}") }
        if (job.holdPending && job.hold == null) lines.add("a hold is being stored")
        addProgress(job, lines)
        val unplacedCount = job.spec.tasks - job.completed.count - job.placements.size
        if (unplacedCount <= 0 || job.hold != null || job.holdPending) return lines
        addLeadershipReasons(job, context, lines)
        addFailureReasons(job, context, lines)
        quotaReason(job)?.let(lines::add)
        addCapacityReasons(job, context, lines)
        return lines
    }

    /** Adds how many tasks have completed and how many are in each phase. */
    private fun addProgress(job: JobState, lines: MutableList<String>) {
        val phases = job.placements.values.groupingBy { placement ->
            when {
                placement.stopGrace != null -> "stopping"
                placement.state != PlacementState.CONFIRMED -> "sent"
                else -> placement.phase.name.lowercase()
            }
        }.eachCount().toSortedMap()
        val phaseCounts = phases.entries.joinToString("") { (phase, count) -> ", $count $phase" }
        lines.add(
            "of ${job.spec.tasks} tasks: ${job.completed.count} completed$phaseCounts; " +
                "in this term ${job.usage.attempts} starts seen, ${job.usage.lost} lost",
        )
        val partitionedCount = job.placements.values.count { failureDetector.isPartitioned(it.zone) }
        if (partitionedCount > 0) lines.add("$partitionedCount of its tasks are in a partitioned zone")
    }

    private fun addLeadershipReasons(job: JobState, context: ExplanationContext, lines: MutableList<String>) {
        val isOlderThanTerm = job.version <= context.leader.termRevision
        if (isOlderThanTerm && takeover.mayRunUnreported(job.spec, machineRegistry.known, context.catalog)) {
            val machines = takeover.unaccounted.size
            lines.add("waits for the takeover to complete: $machines machines have not reported their tasks yet")
        }
        if (!context.leader.maySendCommands(context.now)) {
            lines.add(
                "waits for the state service: the leader can't prove that it leads and has read all stored changes",
            )
        }
    }

    private fun addFailureReasons(job: JobState, context: ExplanationContext, lines: MutableList<String>) {
        if (job.notBefore > context.now) {
            val retryInS = (job.notBefore - context.now).inWholeSeconds
            lines.add(
                "at fault: failed on ${job.failedOn.size} machines and runs on none; next attempt in $retryInS s",
            )
        }
        failureAttribution.trialLimit(job)?.let {
            lines.add("failed on ${job.failedOn.size} machines: only a few of its tasks are started at a time")
        }
        if (job.isGang && job.gang.isFailed) {
            lines.add("the gang's attempt failed: waits for its tasks to exit before the next attempt")
        }
    }

    private fun quotaReason(job: JobState): String? {
        val team = teams[job.spec.team] ?: return "its team is not configured on the leader"
        var used = Resources.NONE
        for (other in table.jobs.values) if (other.spec.team == team.name) used += other.spec.resources * other.copies
        val needed = job.spec.resources * if (job.isGang) job.spec.tasks - job.placements.size else 1
        val gpus = team.maxGpus?.takeIf { used.gpus + needed.gpus > it }
        if (gpus != null) return "waits for its team's limit: ${used.gpus} of $gpus GPUs in use, ${needed.gpus} needed"
        val cpus = team.maxCpus?.takeIf { used.cpus + needed.cpus > it } ?: return null
        return "waits for its team's limit: ${used.cpus} of $cpus CPUs in use, ${needed.cpus} needed"
    }

    private fun addCapacityReasons(job: JobState, context: ExplanationContext, lines: MutableList<String>) {
        val fittingTypes = context.catalog.fitting(job.spec).map { it.name }.toSet()
        if (fittingTypes.isEmpty()) {
            lines.add("its tasks fit on no known machine type")
            return
        }
        confinementReason(job.spec, context)?.let(lines::add)
        val allowed = table.workers.values.filter { it.type in fittingTypes && mayUse(job.spec, it) }
        lines.add(freeCapacityReason(job, allowed, context))
        val fullCount = allowed.count { worker -> freeOn(worker, context.catalog)?.let { it.taskSlots <= 0 } ?: false }
        if (fullCount > 0) {
            lines.add("$fullCount machines have as many tasks as a machine may (${TaskLimits.MAX_TASKS_PER_MACHINE})")
        }
        val avoidedCount = allowed.count { job.spec.id in it.avoidedBy }
        if (avoidedCount > 0) lines.add("$avoidedCount machines are avoided for now: it failed or was refused there")
    }

    /** The types that the job is confined to, and whether more machines are available; null if it fits on all types. */
    private fun confinementReason(spec: JobSpec, context: ExplanationContext): String? {
        val catalog = context.catalog
        val fitting = catalog.fitting(spec)
        if (fitting.size == catalog.types.size) return null
        val upCount = table.workers.values.count { worker ->
            mayUse(spec, worker) && fitting.any { type -> type.name == worker.type }
        }
        val isExhausted = context.unavailableMarkets.containsAll(catalog.markets(spec))
        val more = if (isExhausted) "no more available" else "more can be provisioned"
        val types = fitting.joinToString(" or ") { it.name.name }
        return "waits for ${spec.resources.cpus} free CPUs on a machine of type $types: $upCount up, $more; " +
            "jobs that can run elsewhere leave these machines as their tasks complete"
    }

    private fun freeCapacityReason(job: JobState, allowed: List<WorkerState>, context: ExplanationContext): String {
        val spec = job.spec
        val usable = allowed.filter(context.isUsable)
        val fitting = usable.count { worker ->
            freeOn(worker, context.catalog)?.let { spec.resources.fitsIn(it) } ?: false
        }
        val booting = machineRegistry.known.values.count {
            it.id !in machineRegistry.confirmedUp && spec.permitsMachine(it.type, it.zone, it.spot)
        }
        val need = "${spec.resources.cpus} CPUs, ${spec.resources.gpus} GPUs, ${spec.resources.memoryGb} GB"
        val constraints = constraints(spec)
        if (fitting == 0) {
            return "waits for capacity: none of ${usable.size} usable machines$constraints has $need free; " +
                "$booting are booting"
        }
        val gangRule = if (job.isGang) "; a gang starts only when all its tasks fit at once" else ""
        return "$fitting of ${usable.size} usable machines$constraints have $need free; $booting are booting$gangRule"
    }

    private fun constraints(spec: JobSpec): String = buildString {
        spec.zone?.let { append(" in zone ").append(it) }
        if (!spec.spotAllowed) append(", not spot,")
        if (spec.oneZone) append(", all in one zone,")
        if (spec.kind == JobKind.SERVICE && spec.spread) append(", spread over zones,")
    }

    private fun mayUse(spec: JobSpec, worker: WorkerState): Boolean =
        spec.permitsMachine(worker.type, worker.zone, worker.spot)

    private fun freeOn(worker: WorkerState, catalog: Catalog): Resources? {
        var free = catalog.resources(worker.type) ?: return null
        for (placement in worker.placements.values) table.jobs[placement.task.job]?.let { free -= it.spec.resources }
        return free
    }
}
