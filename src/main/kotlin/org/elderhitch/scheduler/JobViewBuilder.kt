package org.elderhitch.scheduler

import org.elderhitch.failuredetection.FailureAttribution
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.placement.JobView
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.isGang
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Builds the scheduling views of jobs with pending tasks, each with the deadline for its start. */
internal class JobViewBuilder(
    private val table: TaskTable,
    private val failureAttribution: FailureAttribution,
    private val deadlines: StartDeadlines,
) {
    private class WaitingJob(val state: JobState, val view: JobView)

    /** [quota]: the quota in use before this cycle places anything. */
    fun build(context: CycleContext, quota: QuotaLedger): List<JobView> {
        val waiting = table.jobs.values.mapNotNull { job -> view(job, context)?.let { WaitingJob(job, it) } }
        val views = withDeadlines(waiting, context)
        return views.flatMap { if (isStarved(it, quota, context.now)) it.splitOffFirstTask() else listOf(it) }
    }

    private fun view(job: JobState, context: CycleContext): JobView? {
        if (isBlocked(job, context)) return null
        val mayPlaceTasks =
            if (job.isGang) mayStartGang(job) else job.placements.size + job.completed.count < job.spec.tasks
        if (!mayPlaceTasks) return null
        val trialLimit = failureAttribution.trialLimit(job)
        val limit = (trialLimit ?: MAX_PENDING_TASKS).coerceIn(0, MAX_PENDING_TASKS)
        val pending = PendingTasks(job).let { if (job.isGang) it else it.take(limit) }
        if (pending.isEmpty()) return null
        return JobView(
            job.spec,
            job.version,
            pending,
            job.zones(),
            joinAttempt = if (job.isGang && job.placements.isNotEmpty()) job.gang.attempt else null,
            isProbe = trialLimit != null,
            isFaulty = failureAttribution.isJobFaulty(job),
        )
    }

    private fun isBlocked(job: JobState, context: CycleContext): Boolean {
        if (job.isTerminal || context.now < job.notBefore || job.completed.allDone) return true
        if (job.hold != null || job.holdPending) return true
        // If the job is older than this term, a task that no heartbeat has reported may still run on a silent worker.
        return job.version <= context.leader.termRevision && context.mayRunUnreported(job.spec)
    }

    private fun mayStartGang(job: JobState): Boolean {
        if (job.gang.isFailed) {
            stopWaitingMembers(job)
            if (job.placements.isNotEmpty()) return false
        }
        return !job.gang.started && job.placements.values.none { it.stopGrace != null }
    }

    /** Stops members of a failed gang that are not running yet: the others that they wait for will not start. */
    private fun stopWaitingMembers(job: JobState) {
        val waitingMembers = job.placements.values.toList().filter { it.phase != TaskPhase.RUNNING }
        waitingMembers.forEach { table.stop(job, it, Duration.ZERO) }
    }

    private fun withDeadlines(waiting: List<WaitingJob>, context: CycleContext): List<JobView> {
        val (arrays, gangsAndServices) = waiting.partition { it.state.spec.kind == JobKind.ARRAY }
        val weightInUse = weightInUseByClass()
        val startDeadlines = HashMap<JobId, StartDeadline>()
        for ((jobClass, jobs) in arrays.groupBy { it.state.spec.jobClass }) {
            val weight = if (isExhausted(jobs, context.cloud)) weightInUse[jobClass] ?: 0.0 else 0.0
            val queue = jobs.map { deadlines.waitingArray(it.state.spec, it.state.openedAt, it.view.pending.size) }
            startDeadlines += StartDeadlines.schedule(queue, weight, context.now)
        }
        for (job in gangsAndServices) {
            startDeadlines[job.state.id] = deadlines.forGangOrService(job.state.spec, job.state.openedAt, context.now)
        }
        return waiting.map { job ->
            startDeadlines.getValue(job.state.id).let { job.view.withDueTime(it.at, it.isLate) }
        }
    }

    private fun weightInUseByClass(): Map<String, Double> {
        val weights = HashMap<String, Double>()
        for (job in table.jobs.values) {
            if (job.placements.isEmpty()) continue
            weights.merge(job.spec.jobClass, job.placements.size * job.spec.resources.weight, Double::plus)
        }
        return weights
    }

    /**
     * Whether no more machines can be provisioned for any of the jobs. Only then is it certain that not all jobs of a
     * class can start in time. Without this condition, jobs were postponed that a booting machine would have run, and
     * the share of a class that completed within its objective fell from 0.82 to 0.70.
     */
    private fun isExhausted(jobs: List<WaitingJob>, cloud: CloudView): Boolean =
        cloud.unavailableMarkets.isNotEmpty() &&
            jobs.all { cloud.unavailableMarkets.containsAll(cloud.catalog.markets(it.state.spec)) }

    /**
     * Whether the job is a large array that small ones keep from starting. At a team's quota limit, small jobs are
     * placed before large ones, so large ones start last or never; after [STARVATION_THRESHOLD], each may therefore
     * start its first task. Jobs that lack only machines are not starved, as more machines are provisioned for them.
     */
    private fun isStarved(view: JobView, quota: QuotaLedger, now: MonotonicInstant): Boolean {
        val job = table.jobs[view.spec.id] ?: return false
        val isUnconstrained = job.spec.kind == JobKind.ARRAY && !job.spec.spread && !job.spec.oneZone && !view.isProbe
        val hasNotStarted = job.placements.isEmpty() && job.completed.count == 0
        return isUnconstrained &&
            hasNotStarted &&
            now - job.openedAt > STARVATION_THRESHOLD &&
            !quota.allows(job.spec.team, job.spec.resources * view.pending.size)
    }

    private companion object {
        val STARVATION_THRESHOLD = 30.seconds

        /** Larger jobs, with up to a hundred thousand tasks, are placed in parts: no cycle could start more tasks. */
        const val MAX_PENDING_TASKS = 1000
    }
}
