package org.elderhitch.recovery

/** State of a reported task's job, as known to the leader of this term. */
public enum class JobLifecycle {
    /** The job is open: its tasks may run. */
    OPEN,

    /** The job's terminal state is recorded, but some of its tasks are still listed in the leader's table. */
    ENDED,

    /** The job is not in the table. Only recorded jobs are ever started, so it has reached a terminal state. */
    UNKNOWN,
}

/** The leader's placement of a task on the worker that reports it. */
public enum class LocalPlacement { NOTHING, THIS_ATTEMPT, ANOTHER_ATTEMPT }

/** The leader's placement of a task on a worker other than the one that reports it. */
public enum class RemotePlacement {
    /** The task is placed on no other worker. */
    NOTHING,

    /** The start for the other placement has not been sent, so it can still be cancelled. */
    UNSENT,

    /** The other placement is unconfirmed or being stopped, so it may or may not be running. */
    UNCERTAIN,

    /** The other placement is confirmed, and its attempt started before the reported one. */
    EARLIER,

    /** The other placement is confirmed, and its attempt started after the reported one. */
    LATER,
}

/** A task in a worker's heartbeat, compared with the leader's table. */
public data class ReportedTask(
    val job: JobLifecycle,
    /** Whether the task's index is within the job's number of tasks. */
    val indexValid: Boolean,
    /** Whether the task has not exited: it is fetching, waiting, running or saving. */
    val live: Boolean,
    /** Whether the task is saving its state before it exits. */
    val saving: Boolean,
    /** Whether the task exited because it completed. */
    val completed: Boolean,
    val local: LocalPlacement,
    val remote: RemotePlacement,
)

/** What the leader does with a reported task. */
public enum class TaskVerdict {
    /** The table already matches the report. */
    KEEP,

    /** The reported copy becomes the task's placement. */
    ADOPT,

    /** The reported copy becomes the placement. The other copy is stopped, and occupies capacity until it is gone. */
    REPLACE,

    /** The other copy remains the placement. The reported one is stopped, and occupies capacity until it is gone. */
    SURPLUS,

    /** The task is recorded as completed, whichever leader started it. */
    COMPLETE,

    /** The task exited without completing, and is scheduled again. */
    RESCHEDULE,

    /** The task's job is not open. The task is stopped, and occupies capacity until it is gone. */
    STOP,

    /** The task exited and its record is no longer needed. The worker may drop it. */
    REAP,

    /** The report is invalid. An error is logged, and the task is otherwise ignored. */
    IGNORE,
}

/**
 * Rule of the reconciliation table in `docs/design/recovery.md`: maps one combination of a worker's report and the
 * leader's table to a verdict.
 *
 * A worker's report is authoritative for its own machine only: it doesn't remove a placement on another machine whose
 * start was sent. [statusKey] is the rule's key in `/status` and in that document, and must not change.
 */
public enum class TaskReconciliationRule(public val verdict: TaskVerdict, public val statusKey: String) {
    /** A live task whose job is not in the table. */
    UNKNOWN_JOB(TaskVerdict.STOP, "stranger"),

    /** An exited task whose job is not in the table. */
    UNKNOWN_JOB_EXITED(TaskVerdict.REAP, "stranger_exited"),

    /** A task index beyond the job's number of tasks. */
    NO_SUCH_TASK(TaskVerdict.IGNORE, "no_such_task"),

    /** A live task that the table places on this worker with the same attempt. */
    AS_KNOWN(TaskVerdict.KEEP, "as_known"),

    /** A live task without a placement. */
    UNKNOWN_HERE(TaskVerdict.ADOPT, "unknown_here"),

    /**
     * A live task that the table places on this worker with another attempt. A worker never runs two attempts of a
     * task, so the attempt in the table is not there.
     */
    OTHER_ATTEMPT(TaskVerdict.ADOPT, "other_attempt"),

    /** A completed task, whichever attempt completed it. */
    COMPLETED(TaskVerdict.COMPLETE, "completed"),

    /** The attempt that the table places here exited without completing. */
    EXITED(TaskVerdict.RESCHEDULE, "exited"),

    /** An attempt that the table does not place here exited without completing. */
    EXITED_BEFORE(TaskVerdict.REAP, "exited_before"),

    /** A live task with a placement on another worker whose start has not been sent. */
    DUPLICATE_UNSENT(TaskVerdict.ADOPT, "twice_unsent"),

    /** A live task with a placement on another worker. It is saving its state here, and may finish doing so. */
    DUPLICATE_SAVING(TaskVerdict.SURPLUS, "twice_saving"),

    /** A live task with an unconfirmed placement on another worker, or one that is being stopped. */
    DUPLICATE_UNCERTAIN(TaskVerdict.REPLACE, "twice_unsure"),

    /** A live task that is also confirmed on another worker and started first here, in whichever order they report. */
    DUPLICATE_STARTED_FIRST(TaskVerdict.REPLACE, "twice_started_first"),

    /** A live task that is also confirmed on another worker and started first there. */
    DUPLICATE_STARTED_LATER(TaskVerdict.SURPLUS, "twice_started_later"),
}

/** The rules that reconcile a reported task with the leader's table. Pure functions without state. */
public object TaskReconciliation {
    /** Returns the rule that applies to [task]. */
    public fun ruleFor(task: ReportedTask): TaskReconciliationRule = when {
        task.job == JobLifecycle.UNKNOWN -> unknownJob(task)
        !task.indexValid -> TaskReconciliationRule.NO_SUCH_TASK
        !task.live -> exited(task)
        task.local == LocalPlacement.THIS_ATTEMPT -> TaskReconciliationRule.AS_KNOWN
        task.remote != RemotePlacement.NOTHING -> duplicate(task)
        task.local == LocalPlacement.ANOTHER_ATTEMPT -> TaskReconciliationRule.OTHER_ATTEMPT
        else -> TaskReconciliationRule.UNKNOWN_HERE
    }

    /** Whether [task] must be stopped regardless of its rule, because its job has reached a terminal state. */
    public fun mustStop(task: ReportedTask): Boolean = task.live && task.indexValid && task.job == JobLifecycle.ENDED

    private fun unknownJob(task: ReportedTask): TaskReconciliationRule =
        if (task.live) TaskReconciliationRule.UNKNOWN_JOB else TaskReconciliationRule.UNKNOWN_JOB_EXITED

    private fun exited(task: ReportedTask): TaskReconciliationRule = when {
        // The result counts whichever attempt produced it, and the task is never started again.
        task.completed -> TaskReconciliationRule.COMPLETED

        task.local == LocalPlacement.THIS_ATTEMPT -> TaskReconciliationRule.EXITED

        else -> TaskReconciliationRule.EXITED_BEFORE
    }

    private fun duplicate(task: ReportedTask): TaskReconciliationRule = when (task.remote) {
        RemotePlacement.UNSENT -> TaskReconciliationRule.DUPLICATE_UNSENT
        RemotePlacement.UNCERTAIN -> unlessSaving(task, TaskReconciliationRule.DUPLICATE_UNCERTAIN)
        RemotePlacement.LATER -> unlessSaving(task, TaskReconciliationRule.DUPLICATE_STARTED_FIRST)
        RemotePlacement.EARLIER -> unlessSaving(task, TaskReconciliationRule.DUPLICATE_STARTED_LATER)
        RemotePlacement.NOTHING -> TaskReconciliationRule.UNKNOWN_HERE
    }

    private fun unlessSaving(task: ReportedTask, rule: TaskReconciliationRule): TaskReconciliationRule =
        if (task.saving) TaskReconciliationRule.DUPLICATE_SAVING else rule
}
