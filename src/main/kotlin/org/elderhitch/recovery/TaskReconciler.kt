package org.elderhitch.recovery

import org.elderhitch.failuredetection.FailureAttribution
import org.elderhitch.heartbeat.ExitCause
import org.elderhitch.heartbeat.Heartbeat
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.heartbeat.TaskStatus
import org.elderhitch.jobs.TaskId
import org.elderhitch.scheduler.EventLog
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.Placement
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.tasks.isGang
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Updates the leader's table from the tasks that workers report.
 *
 * The task list of a worker that knows this term is authoritative for its own machine. [TaskReconciliation] decides
 * what to do with each listed task; this class carries it out.
 */
internal class TaskReconciler(
    private val table: TaskTable,
    private val failureAttribution: FailureAttribution,
    private val clock: SteadyClock,
    private val events: EventLog,
    /** Called for each reported task with the rule that applied to it. */
    private val onReconciled: (TaskReconciliationRule) -> Unit = {},
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")

    /**
     * Applies the list of tasks in [heartbeat] to the table.
     *
     * @param inReply whether the list is part of the reply to a direct command or probe. The response to the worker's
     *   latest heartbeat may then still be in transit and contain starts. Only a heartbeat sent after that response
     *   proves that a start that it doesn't list was not executed.
     */
    fun apply(worker: WorkerState, heartbeat: Heartbeat, inReply: Boolean) {
        if (worker.tasks != heartbeat.tasks) {
            worker.tasks = heartbeat.tasks
            worker.invalidateView()
        }
        val listed = HashSet<TaskId>()
        worker.unknownTaskJobs = emptyList()
        for (task in heartbeat.tasks) {
            listed.add(task.task)
            val job = table.findOrOpen(task.task.job)
            if (job == null) reconcileUnknown(worker, task) else reconcile(worker, job, task)
        }
        removeUnlisted(worker, listed, inReply)
    }

    /** Removes placements that the worker would have listed if it had the task. */
    private fun removeUnlisted(worker: WorkerState, listed: Set<TaskId>, inReply: Boolean) {
        for (placement in worker.placements.values.toList()) {
            if (placement.task in listed) continue
            if (placement.state == PlacementState.ASSIGNED || placement.directStartPending) continue
            // A worker sends one heartbeat at a time, so it sent a heartbeat only after it had received the response
            // with the start, or had stopped waiting for it. A reply proves no such order.
            if (inReply && placement.state == PlacementState.SENT) continue
            val job = table.jobs[placement.task.job]
            if (job != null) table.remove(job, placement) else removeOrphan(worker, placement)
        }
    }

    /** Removes a placement whose job has left the table. */
    private fun removeOrphan(worker: WorkerState, placement: Placement) {
        worker.placements.remove(placement.task)
        worker.invalidateView()
    }

    private fun reconcileUnknown(worker: WorkerState, task: TaskStatus) {
        val reported = ReportedTask(
            JobLifecycle.UNKNOWN,
            indexValid = true,
            live = task.phase != TaskPhase.EXITED,
            saving = false,
            completed = false,
            local = LocalPlacement.NOTHING,
            remote = RemotePlacement.NOTHING,
        )
        val rule = TaskReconciliation.ruleFor(reported)
        onReconciled(rule)
        if (rule.verdict == TaskVerdict.STOP) worker.unknownTaskJobs += task.task.job
    }

    private fun reconcile(worker: WorkerState, job: JobState, task: TaskStatus) {
        val local = worker.placements[task.task]
        // A machine never has two attempts of a task, so the attempt in the table is not there. A copy on another
        // machine may become the placement.
        if (local != null && local.attempt != task.attempt && task.phase != TaskPhase.EXITED) table.remove(job, local)
        val remote = job.placements[task.task.index]?.takeIf { it.worker !== worker }
        val reported = compare(job, task, local, remote)
        val rule = TaskReconciliation.ruleFor(reported)
        onReconciled(rule)
        val placement = carryOut(rule, worker, job, task, local, remote) ?: return
        updatePlacement(worker, job, placement, task)
        if (TaskReconciliation.mustStop(reported) && placement.stopGrace == null) {
            table.stop(job, placement, Duration.ZERO)
        }
    }

    private fun compare(job: JobState, task: TaskStatus, local: Placement?, remote: Placement?): ReportedTask =
        ReportedTask(
            if (job.isTerminal) JobLifecycle.ENDED else JobLifecycle.OPEN,
            indexValid = task.task.index < job.spec.tasks,
            live = task.phase != TaskPhase.EXITED,
            saving = task.phase == TaskPhase.SAVING,
            completed = task.cause == ExitCause.DONE,
            local = when (local?.attempt) {
                null -> LocalPlacement.NOTHING
                task.attempt -> LocalPlacement.THIS_ATTEMPT
                else -> LocalPlacement.ANOTHER_ATTEMPT
            },
            remote = when {
                remote == null -> RemotePlacement.NOTHING
                remote.state == PlacementState.ASSIGNED -> RemotePlacement.UNSENT
                remote.stopGrace != null || remote.state == PlacementState.SENT -> RemotePlacement.UNCERTAIN
                task.attempt.number < remote.attempt.number -> RemotePlacement.LATER
                else -> RemotePlacement.EARLIER
            },
        )

    /** Carries out the verdict of [rule]. Returns the placement of the reported copy, or null if it has none. */
    private fun carryOut(
        rule: TaskReconciliationRule,
        worker: WorkerState,
        job: JobState,
        task: TaskStatus,
        local: Placement?,
        remote: Placement?,
    ): Placement? = when (rule.verdict) {
        TaskVerdict.KEEP -> local

        TaskVerdict.ADOPT, TaskVerdict.REPLACE, TaskVerdict.SURPLUS -> adopt(rule, worker, job, task, remote)

        TaskVerdict.COMPLETE -> {
            completeReported(job, task, local)
            null
        }

        TaskVerdict.RESCHEDULE -> {
            local?.let { handleIncompleteExit(worker, job, task, it) }
            null
        }

        TaskVerdict.IGNORE -> {
            events.error("no such task", worker.id) {
                "no such task task=${task.task} machine=${worker.id} of=${job.spec.tasks}"
            }
            null
        }

        TaskVerdict.STOP, TaskVerdict.REAP -> null
    }

    /** Updates the placement of a live task from the report. */
    private fun updatePlacement(worker: WorkerState, job: JobState, placement: Placement, task: TaskStatus) {
        val phaseChanged = placement.phase != task.phase
        if (phaseChanged || placement.state != PlacementState.CONFIRMED) {
            log.debug("task task={} phase={} machine={} class={}", task.task, task.phase, worker.id, job.spec.jobClass)
            worker.invalidateView()
        }
        confirm(job, placement)
        if (phaseChanged) table.needsCycle = true
        placement.phase = task.phase
        if (task.phase == TaskPhase.FETCHING && placement.fetchingSince == null) placement.fetchingSince = clock.now()
        if (task.phase == TaskPhase.RUNNING && placement.runningSince == null) placement.runningSince = clock.now()
        if (job.isGang && job.placements[task.task.index] === placement) job.gang.onMemberPhase(task.phase)
    }

    /** Adds a placement for a reported copy that the table does not have. */
    private fun adopt(
        rule: TaskReconciliationRule,
        worker: WorkerState,
        job: JobState,
        task: TaskStatus,
        remote: Placement?,
    ): Placement {
        if (remote != null) {
            events.error("task on two machines", worker.id) {
                "task on two machines task=${task.task} here=${worker.id} there=${remote.worker.id}"
            }
        }
        if (rule.verdict == TaskVerdict.REPLACE && remote != null) table.demote(job, remote)
        if (rule == TaskReconciliationRule.DUPLICATE_UNSENT && remote != null) table.remove(job, remote)
        val placement = if (rule.verdict == TaskVerdict.SURPLUS) {
            table.placeSurplus(job, task.task, task.attempt, worker)
        } else {
            table.place(job, task.task, task.attempt, worker, PlacementState.CONFIRMED, MonotonicInstant.NEVER)
        }
        if (job.isGang && job.placements[task.task.index] === placement) job.gang.memberFound(task.attempt)
        table.needsCycle = true
        return placement
    }

    private fun confirm(job: JobState, placement: Placement) {
        if (placement.state == PlacementState.CONFIRMED) return
        placement.confirm()
        if (!placement.accounted) job.usage.recordStart(clock.now())
    }

    private fun completeReported(job: JobState, task: TaskStatus, local: Placement?) {
        val placement = local?.takeIf { it.attempt == task.attempt }
        placement?.let { confirm(job, it) }
        complete(job, task.task.index)
        placement?.let { table.remove(job, it) }
    }

    private fun complete(job: JobState, index: Int) {
        if (index in job.completed) return
        // The members of a gang complete together, including those that were never reported as running.
        val placements = if (job.isGang) job.placements.values else listOfNotNull(job.placements[index])
        placements.forEach { job.usage.recordCompletion(it, clock.now(), job.placements[index]?.runningSince) }
        placements.firstOrNull { it.sendBy != MonotonicInstant.NEVER }?.let { table.onTaskCompleted(job, it) }
        log.debug("task done task={}/{}", job.id, index)
        if (job.isGang) repeat(job.spec.tasks) { job.completed.add(it) } else job.completed.add(index)
        table.needsCycle = true
    }

    private fun handleIncompleteExit(worker: WorkerState, job: JobState, task: TaskStatus, placement: Placement) {
        val now = clock.now()
        if (task.cause !in REFUSAL_CAUSES) confirm(job, placement)
        when (task.cause) {
            ExitCause.ERROR -> {
                placement.failed = true
                failureAttribution.recordTaskFailure(worker, job, task, now)
            }

            ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.UNKNOWN -> {
                events.info("start refused ${task.cause}", worker.id) {
                    "start refused task=${task.task} machine=${worker.id} cause=${task.cause}"
                }
                worker.avoid(job.id, now + REFUSAL_BACKOFF)
            }

            ExitCause.INCOMPLETE, ExitCause.PEERS -> job.gang.onMemberTimeout()

            else -> Unit
        }
        table.remove(job, placement)
    }

    private companion object {
        /** How long a job avoids a worker that refused to start one of its tasks. */
        val REFUSAL_BACKOFF = 5.seconds

        /** Exit causes that mean the worker refused the start, so that the attempt never ran. */
        val REFUSAL_CAUSES = setOf(ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.UNKNOWN)
    }
}
