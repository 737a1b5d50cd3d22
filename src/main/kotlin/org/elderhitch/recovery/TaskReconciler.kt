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

/** Brings the table in line with what a worker reports, whose list is the truth once it has seen our term. */
internal class TaskReconciler(
    private val table: TaskTable,
    private val faults: FailureAttribution,
    private val clock: SteadyClock,
    private val events: EventLog,
    /** Told of each row that a named task stood in. */
    private val reconciled: (TaskReconciliationRule) -> Unit = {},
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")

    /**
     * [inReply]: the worker says so in reply to a command to its own address, while an answer to its last report may
     * still be on its way with starts in it. Only a report sent after that answer proves that they were not executed.
     */
    fun apply(worker: WorkerState, report: Heartbeat, inReply: Boolean) {
        if (worker.tasks != report.tasks) {
            worker.tasks = report.tasks
            worker.changed()
        }
        val seen = HashSet<TaskId>()
        worker.unknownTaskJobs = emptyList()
        for (task in report.tasks) {
            seen.add(task.task)
            val job = table.findOrOpen(task.task.job)
            if (job == null) stranger(worker, task) else reconcile(worker, job, task)
        }
        for (p in worker.placements.values.toList()) {
            if (p.task in seen || p.state == PlacementState.ASSIGNED || p.directStartPending) continue
            if (inReply && p.state == PlacementState.SENT) continue
            // Reports come one at a time: this one was sent after the answer with the start was taken or given up.
            table.jobs[p.task.job]?.let { table.remove(it, p) } ?: forgotten(worker, p)
        }
    }

    private fun stranger(worker: WorkerState, task: TaskStatus) {
        val row = TaskReconciliation.row(
            ReportedTask(
                JobLifecycle.UNKNOWN,
                true,
                task.phase != TaskPhase.EXITED,
                false,
                false,
                LocalPlacement.NOTHING,
                RemotePlacement.NOTHING,
            ),
        )
        reconciled(row)
        if (row.verdict == TaskVerdict.STOP) worker.unknownTaskJobs += task.task.job
    }

    private fun forgotten(worker: WorkerState, placement: Placement) {
        worker.placements.remove(placement.task)
        worker.changed()
    }

    /** Carries out what [TaskReconciliation] says of the task. */
    private fun reconcile(worker: WorkerState, job: JobState, task: TaskStatus) {
        val index = task.task.index
        val own = worker.placements[task.task]
        // Two attempts of a task can't be on one machine: what the table has there is not, and a copy elsewhere may
        // count in its place.
        if (own != null && own.attempt != task.attempt && task.phase != TaskPhase.EXITED) table.remove(job, own)
        val elsewhere = job.placements[index]?.takeIf { it.worker !== worker }
        val named = named(job, task, own, elsewhere)
        val row = TaskReconciliation.row(named)
        reconciled(row)
        val placement = when (row.verdict) {
            TaskVerdict.KEEP -> own ?: return

            TaskVerdict.ADOPT, TaskVerdict.SWAP, TaskVerdict.SURPLUS -> take(worker, job, task, row, elsewhere)

            TaskVerdict.FINISH -> return finished(worker, job, task, own)

            TaskVerdict.LOSE -> return lose(worker, job, task, own ?: return)

            TaskVerdict.LEAVE -> return events.error("no such task", worker.id) {
                "no such task task=${task.task} machine=${worker.id} of=${job.spec.tasks}"
            }

            TaskVerdict.STOP, TaskVerdict.REAP -> return
        }
        if (log.isDebugEnabled && (placement.phase != task.phase || placement.state != PlacementState.CONFIRMED)) {
            log.debug("task task={} phase={} machine={} class={}", task.task, task.phase, worker.id, job.spec.jobClass)
        }
        if (placement.state != PlacementState.CONFIRMED || placement.phase != task.phase) worker.changed()
        seen(job, placement)
        if (placement.phase != task.phase) table.dirty = true
        placement.phase = task.phase
        if (task.phase == TaskPhase.FETCHING && placement.fetchingSince == null) placement.fetchingSince = clock.now()
        if (task.phase == TaskPhase.RUNNING && placement.runningSince == null) placement.runningSince = clock.now()
        if (job.isGang && job.placements[index] === placement) job.gang.observe(task.phase)
        if (TaskReconciliation.mustStop(named) && placement.stopGrace == null) table.stop(job, placement, Duration.ZERO)
    }

    private fun named(job: JobState, task: TaskStatus, own: Placement?, elsewhere: Placement?): ReportedTask =
        ReportedTask(
            if (job.isTerminal) JobLifecycle.ENDED else JobLifecycle.OPEN,
            exists = task.task.index < job.spec.tasks,
            live = task.phase != TaskPhase.EXITED,
            saving = task.phase == TaskPhase.SAVING,
            completed = task.cause == ExitCause.DONE,
            when (own?.attempt) {
                null -> LocalPlacement.NOTHING
                task.attempt -> LocalPlacement.THIS_ATTEMPT
                else -> LocalPlacement.ANOTHER_ATTEMPT
            },
            when {
                elsewhere == null -> RemotePlacement.NOTHING
                elsewhere.state == PlacementState.ASSIGNED -> RemotePlacement.UNSENT
                elsewhere.stopGrace != null || elsewhere.state == PlacementState.SENT -> RemotePlacement.UNSURE
                task.attempt.number < elsewhere.attempt.number -> RemotePlacement.LATER
                else -> RemotePlacement.EARLIER
            },
        )

    /** Puts what the worker reports into the table, beside what else it has of the task. */
    private fun take(
        worker: WorkerState,
        job: JobState,
        task: TaskStatus,
        row: TaskReconciliationRule,
        elsewhere: Placement?,
    ): Placement {
        if (elsewhere !=
            null
        ) {
            events.error("task on two machines", worker.id) {
                "task on two machines task=${task.task} here=${worker.id} there=${elsewhere.worker.id}"
            }
        }
        if (row.verdict == TaskVerdict.SWAP && elsewhere != null) table.demote(job, elsewhere)
        if (row == TaskReconciliationRule.TWICE_UNSENT && elsewhere != null) table.remove(job, elsewhere)
        val placement = if (row.verdict == TaskVerdict.SURPLUS) {
            table.placeSurplus(job, task.task, task.attempt, worker)
        } else {
            table.place(job, task.task, task.attempt, worker, PlacementState.CONFIRMED, MonotonicInstant.NEVER)
        }
        if (job.isGang && job.placements[task.task.index] === placement) job.gang.memberFound(task.attempt)
        table.dirty = true
        return placement
    }

    private fun seen(job: JobState, placement: Placement) {
        if (placement.state == PlacementState.CONFIRMED) return
        placement.state = PlacementState.CONFIRMED
        if (!placement.accounted) job.usage.recordStart(clock.now())
    }

    private fun finished(worker: WorkerState, job: JobState, task: TaskStatus, own: Placement?) {
        val placement = own?.takeIf { it.attempt == task.attempt }
        placement?.let { seen(job, it) }
        complete(job, task.task.index)
        placement?.let { table.remove(job, it) }
    }

    private fun complete(job: JobState, index: Int) {
        if (index in job.completed) return
        // Of a gang, all members have run, seen or not: they complete together.
        val complete = if (job.isGang) job.placements.values else listOfNotNull(job.placements[index])
        complete.forEach { job.usage.recordCompletion(it, clock.now(), job.placements[index]?.runningSince) }
        complete.firstOrNull { it.sendBy != MonotonicInstant.NEVER }?.let { table.onTaskCompleted(job, it) }
        log.debug("task done task={}/{}", job.id, index)
        // A gang completes as a whole: one member's word is all members'.
        if (job.isGang) repeat(job.spec.tasks) { job.completed.add(it) } else job.completed.add(index)
        table.dirty = true
    }

    private fun lose(worker: WorkerState, job: JobState, task: TaskStatus, placement: Placement) {
        val now = clock.now()
        if (task.cause !in NEVER_BEGAN) seen(job, placement)
        when (task.cause) {
            ExitCause.ERROR -> {
                placement.failed = true
                faults.recordTaskFailure(worker, job, task, now)
            }

            ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.UNKNOWN -> {
                events.info("start refused ${task.cause}", worker.id) {
                    "start refused task=${task.task} machine=${worker.id} cause=${task.cause}"
                }
                worker.avoid(job.id, now + REFUSED_PAUSE)
            }

            ExitCause.INCOMPLETE, ExitCause.PEERS -> job.gang.abandon()

            else -> Unit
        }
        table.remove(job, placement)
    }

    private companion object {
        val REFUSED_PAUSE = 5.seconds

        /** The worker refused the start: there was no attempt. */
        val NEVER_BEGAN = setOf(ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.UNKNOWN)
    }
}
