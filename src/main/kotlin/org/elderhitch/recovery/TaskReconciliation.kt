package org.elderhitch.recovery

/** State of a reported task's job, as this term's leader knows it. */
public enum class JobLifecycle {
    /** The job is open: its tasks may run. */
    OPEN,

    /** The job's terminal state is recorded, but some of its tasks are still listed in the leader's table. */
    ENDED,

    /** The job is in no table. Only recorded jobs are ever started, so it has reached a terminal state. */
    UNKNOWN,
}

/** The leader's entry for a task on the worker that reports it. */
public enum class LocalPlacement { NOTHING, THIS_ATTEMPT, ANOTHER_ATTEMPT }

/** The leader's entry for a task on a worker other than the one that reports it. */
public enum class RemotePlacement {
    /** The task is placed on no other worker. */
    NOTHING,

    /** The other placement has not been sent, so it can still be cancelled. */
    UNSENT,

    /** The other placement was sent but not confirmed, or is being stopped: it may or may not be running. */
    UNSURE,

    /** The other placement is confirmed, and its attempt was started before the reported one. */
    EARLIER,

    /** The other placement is confirmed, and its attempt was started after the reported one. */
    LATER,
}

/** A task in a worker's heartbeat, compared with the leader's table. */
public data class ReportedTask(
    val job: JobLifecycle,
    /** Whether the task's index is within the job's number of tasks. */
    val exists: Boolean,
    /** Whether the task has not exited: it fetches, waits, runs or saves. */
    val live: Boolean,
    /** Whether the task is saving its state before it exits. */
    val saving: Boolean,
    /** Whether the task exited because it completed. */
    val completed: Boolean,
    val here: LocalPlacement,
    val elsewhere: RemotePlacement,
)

/** What the leader does with a reported task. */
public enum class TaskVerdict {
    /** The table is right already. */
    KEEP,

    /** The reported copy becomes the task's placement. */
    ADOPT,

    /** The reported copy becomes the placement; the other copy is stopped and occupies capacity until it is gone. */
    SWAP,

    /** The other copy remains the placement; the reported one is stopped and occupies capacity until it is gone. */
    SURPLUS,

    /** The task is complete, whichever leader started it. */
    FINISH,

    /** The task exited without completing; it is started anew. */
    LOSE,

    /** The task belongs to no open job. It is stopped, and occupies capacity until it is gone. */
    STOP,

    /** The task exited and is not needed any more. The worker may drop it. */
    REAP,

    /** The report is invalid. It is logged and otherwise ignored. */
    LEAVE,
}

/**
 * Row of the reconciliation table in `docs/design/recovery.md`: one combination of a worker's report and the leader's
 * table, with its verdict.
 *
 * The report decides what is on the worker's own machine (wire protocol, "Workers"). Entries for other machines are
 * only removed by the reports of those machines. [statusWord] is the row's key in `/status` and in that document; it
 * does not change.
 */
public enum class TaskReconciliationRule(public val verdict: TaskVerdict, public val statusWord: String) {
    /** A live task of a job that is in no table. */
    UNKNOWN_JOB(TaskVerdict.STOP, "stranger"),

    /** An exited task of a job that is in no table. */
    UNKNOWN_JOB_EXITED(TaskVerdict.REAP, "stranger_exited"),

    /** A task index beyond the job's number of tasks. */
    NO_SUCH_TASK(TaskVerdict.LEAVE, "no_such_task"),

    /** A live task that the table has on this worker with the same attempt. */
    AS_KNOWN(TaskVerdict.KEEP, "as_known"),

    /** A live task that the table has nowhere. */
    UNKNOWN_HERE(TaskVerdict.ADOPT, "unknown_here"),

    /**
     * A live task that the table has on this worker with another attempt. A worker never runs two attempts of a task,
     * so the one in the table is not there.
     */
    OTHER_ATTEMPT(TaskVerdict.ADOPT, "other_attempt"),

    /** A task that exited because it completed, whichever attempt it was. */
    COMPLETED(TaskVerdict.FINISH, "completed"),

    /** The attempt in the table, which exited without completing. */
    EXITED(TaskVerdict.LOSE, "exited"),

    /** An attempt that exited without completing, and that the table does not have here. */
    EXITED_BEFORE(TaskVerdict.REAP, "exited_before"),

    /** A live task whose placement on another worker has not been sent. */
    TWICE_UNSENT(TaskVerdict.ADOPT, "twice_unsent"),

    /** A live task with a placement elsewhere, which is saving here and may finish that. */
    TWICE_SAVING(TaskVerdict.SURPLUS, "twice_saving"),

    /** A live task whose placement elsewhere is unconfirmed or being stopped. */
    TWICE_UNSURE(TaskVerdict.SWAP, "twice_unsure"),

    /** A live task that is confirmed elsewhere too, and started first here. The order of the reports is irrelevant. */
    TWICE_STARTED_FIRST(TaskVerdict.SWAP, "twice_started_first"),

    /** A live task that is confirmed elsewhere too, and started first there. */
    TWICE_STARTED_LATER(TaskVerdict.SURPLUS, "twice_started_later"),
}

/** The rules that reconcile a reported task with the leader's table. Pure functions without state. */
public object TaskReconciliation {
    /** The one row that applies to [task]. */
    public fun row(task: ReportedTask): TaskReconciliationRule = when {
        task.job == JobLifecycle.UNKNOWN -> unknownJob(task)
        !task.exists -> TaskReconciliationRule.NO_SUCH_TASK
        !task.live -> exited(task)
        task.here == LocalPlacement.THIS_ATTEMPT -> TaskReconciliationRule.AS_KNOWN
        task.elsewhere != RemotePlacement.NOTHING -> twice(task)
        task.here == LocalPlacement.ANOTHER_ATTEMPT -> TaskReconciliationRule.OTHER_ATTEMPT
        else -> TaskReconciliationRule.UNKNOWN_HERE
    }

    /** Whether [task] must be stopped whatever its row says, because its job has reached a terminal state. */
    public fun mustStop(task: ReportedTask): Boolean = task.live && task.exists && task.job == JobLifecycle.ENDED

    private fun unknownJob(task: ReportedTask): TaskReconciliationRule =
        if (task.live) TaskReconciliationRule.UNKNOWN_JOB else TaskReconciliationRule.UNKNOWN_JOB_EXITED

    private fun exited(task: ReportedTask): TaskReconciliationRule = when {
        // The result counts whichever attempt produced it (wire protocol, "done"): the task is never started again.
        task.completed -> TaskReconciliationRule.COMPLETED

        task.here == LocalPlacement.THIS_ATTEMPT -> TaskReconciliationRule.EXITED

        else -> TaskReconciliationRule.EXITED_BEFORE
    }

    private fun twice(task: ReportedTask): TaskReconciliationRule = when (task.elsewhere) {
        RemotePlacement.UNSENT -> TaskReconciliationRule.TWICE_UNSENT
        RemotePlacement.UNSURE -> unlessSaving(task, TaskReconciliationRule.TWICE_UNSURE)
        RemotePlacement.LATER -> unlessSaving(task, TaskReconciliationRule.TWICE_STARTED_FIRST)
        RemotePlacement.EARLIER -> unlessSaving(task, TaskReconciliationRule.TWICE_STARTED_LATER)
        RemotePlacement.NOTHING -> TaskReconciliationRule.UNKNOWN_HERE
    }

    private fun unlessSaving(task: ReportedTask, rule: TaskReconciliationRule): TaskReconciliationRule =
        if (task.saving) TaskReconciliationRule.TWICE_SAVING else rule
}
