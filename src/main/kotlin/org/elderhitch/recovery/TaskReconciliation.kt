package org.elderhitch.recovery

/** How the job of a task that a worker names stands with this term. */
public enum class JobLifecycle {
    OPEN,

    /** Its end is recorded, and some of its tasks have not been seen to go. */
    ENDED,

    /** It is not open and not remembered: only recorded jobs are ever started, so it has ended. */
    UNKNOWN,
}

/** What the leader's table has of a task on the very worker that names it. */
public enum class LocalPlacement { NOTHING, THIS_ATTEMPT, ANOTHER_ATTEMPT }

/** What the table has of a task that counts on another worker than the one that names it. */
public enum class RemotePlacement {
    NOTHING,

    /** Decided and not sent: it can be taken back. */
    UNSENT,

    /** Sent and not reported, or told to stop: it may be there or not, or won't be for long. */
    UNSURE,

    /** Reported, and started before the one that is named. */
    EARLIER,

    /** Reported, and started after it. */
    LATER,
}

/** A task as a worker's report names it, against the table. */
public data class ReportedTask(
    val job: JobLifecycle,
    /** The job has so many tasks. */
    val exists: Boolean,
    /** Fetching, waiting, running or saving: on the machine, or about to be. */
    val live: Boolean,
    val saving: Boolean,
    /** Exited, having completed. */
    val completed: Boolean,
    val here: LocalPlacement,
    val elsewhere: RemotePlacement,
)

/** What is to become of a task that a worker names. */
public enum class TaskVerdict {
    /** As the table has it. */
    KEEP,

    /** It counts from now on, where it is. */
    ADOPT,

    /** It counts, and the other copy is stopped and uses room until it is gone. */
    SWAP,

    /** The other copy counts; this one is stopped and uses room until it is gone. */
    SURPLUS,

    /** It completed, whoever listened. */
    FINISH,

    /** It is on that machine no more, and did not complete: it is started anew. */
    LOSE,

    /** Nobody's: it is stopped, and room is left for it until it is gone. */
    STOP,

    /** It exited before and counts for nothing: it may be forgotten. */
    REAP,

    /** It makes no sense: it is told of in the log, and nothing is done about it. */
    LEAVE,
}

/**
 * The rows of the table in `docs/design/recovery.md`: every way in which a worker's word and the leader's table can
 * stand to each other. The worker's word is
 * the truth about its machine (PROTOCOL, "Workers"); what the table has besides is for that machine's own word to end.
 */
public enum class TaskReconciliationRule(public val verdict: TaskVerdict) {
    STRANGER(TaskVerdict.STOP),
    STRANGER_EXITED(TaskVerdict.REAP),
    NO_SUCH_TASK(TaskVerdict.LEAVE),
    AS_KNOWN(TaskVerdict.KEEP),
    UNKNOWN_HERE(TaskVerdict.ADOPT),

    /** The table has another attempt on this machine; two of one task can't be there, so that one is not. */
    OTHER_ATTEMPT(TaskVerdict.ADOPT),
    COMPLETED(TaskVerdict.FINISH),
    EXITED(TaskVerdict.LOSE),

    /** It exited, and another attempt counts by now, here or elsewhere, or nobody knew of it. */
    EXITED_BEFORE(TaskVerdict.REAP),
    TWICE_UNSENT(TaskVerdict.ADOPT),
    TWICE_SAVING(TaskVerdict.SURPLUS),
    TWICE_UNSURE(TaskVerdict.SWAP),

    /** Of two that both workers report, the first start stays, in whichever order they report. */
    TWICE_STARTED_FIRST(TaskVerdict.SWAP),
    TWICE_STARTED_LATER(TaskVerdict.SURPLUS),
}

/** Reconciliations what workers report with what the leader's table has, task by task. Pure. */
public object TaskReconciliation {
    public fun row(task: ReportedTask): TaskReconciliationRule = when {
        task.job == JobLifecycle.UNKNOWN -> if (task.live) TaskReconciliationRule.STRANGER else TaskReconciliationRule.STRANGER_EXITED
        !task.exists -> TaskReconciliationRule.NO_SUCH_TASK
        !task.live -> exited(task)
        task.here == LocalPlacement.THIS_ATTEMPT -> TaskReconciliationRule.AS_KNOWN
        task.elsewhere != RemotePlacement.NOTHING -> twice(task)
        task.here == LocalPlacement.ANOTHER_ATTEMPT -> TaskReconciliationRule.OTHER_ATTEMPT
        else -> TaskReconciliationRule.UNKNOWN_HERE
    }

    /** Whether it is stopped whatever else becomes of it: its job has ended. */
    public fun stops(task: ReportedTask): Boolean = task.live && task.exists && task.job == JobLifecycle.ENDED

    private fun exited(task: ReportedTask): TaskReconciliationRule = when {
        // The result is kept, whichever attempt it was (PROTOCOL, "done"): the task is never started again.
        task.completed -> TaskReconciliationRule.COMPLETED

        task.here == LocalPlacement.THIS_ATTEMPT -> TaskReconciliationRule.EXITED

        else -> TaskReconciliationRule.EXITED_BEFORE
    }

    private fun twice(task: ReportedTask): TaskReconciliationRule = when (task.elsewhere) {
        RemotePlacement.UNSENT -> TaskReconciliationRule.TWICE_UNSENT
        RemotePlacement.UNSURE -> if (task.saving) TaskReconciliationRule.TWICE_SAVING else TaskReconciliationRule.TWICE_UNSURE
        RemotePlacement.LATER -> if (task.saving) TaskReconciliationRule.TWICE_SAVING else TaskReconciliationRule.TWICE_STARTED_FIRST
        RemotePlacement.EARLIER -> if (task.saving) TaskReconciliationRule.TWICE_SAVING else TaskReconciliationRule.TWICE_STARTED_LATER
        RemotePlacement.NOTHING -> TaskReconciliationRule.UNKNOWN_HERE
    }
}
