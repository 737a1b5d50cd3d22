package org.elderhitch.workers

import org.elderhitch.time.Moment

/** What becomes of two copies of a task: the one that counted until now, and one that another worker reports. */
internal enum class Verdict {
    /** The copy that counted has not been sent: it is taken back, and the reported one counts. */
    TAKE_BACK,

    /** The reported one counts from now on; the other stays in the table until its worker is rid of it, and is stopped. */
    SWAP,

    /** The reported one is kept in the table as surplus, and is stopped. */
    STOP_REPORTED,
}

/**
 * A worker's report contradicts the table: a task that counts as being elsewhere is there. By the rules that can't be, and so the
 * table is wrong about something: the report wins. Before, the contradiction was logged and left as it was: the room that the task takes
 * counted as free, so starts were sent to machines that refused them, for a minute (`docs/incidents/sessions-told.md`).
 */
internal object Duplicates {
    /** Two workers that report the same task must not lead to both being stopped, in whichever order they report: the first start stays. */
    fun decide(known: Placement, reported: Attempt, leaving: Boolean): Verdict = when {
        known.certainty == Certainty.ASSIGNED -> Verdict.TAKE_BACK
        leaving -> Verdict.STOP_REPORTED
        known.stop != null || known.certainty == Certainty.SENT -> Verdict.SWAP
        reported.number < known.attempt.number -> Verdict.SWAP
        else -> Verdict.STOP_REPORTED
    }

    /** Puts what [worker] reports into the table beside [known], another worker's copy. */
    fun settle(table: TaskTable, worker: WorkerState, job: JobState, task: TaskReport, known: Placement): Placement {
        val verdict = decide(known, task.attempt, leaving = task.phase == TaskPhase.SAVING)
        if (verdict == Verdict.TAKE_BACK) table.remove(job, known)
        if (verdict == Verdict.SWAP) table.demote(job, known)
        if (verdict != Verdict.STOP_REPORTED) return table.place(job, task.task, task.attempt, worker, Certainty.REPORTED, Moment.NEVER)
        return table.placeSurplus(job, task.task, task.attempt, worker)
    }
}
