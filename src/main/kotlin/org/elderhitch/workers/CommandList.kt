package org.elderhitch.workers

import org.elderhitch.time.Moment
import kotlin.time.Duration

/** What a worker is to do, from what it reports and what was decided since. */
internal class CommandList(private val table: TaskTable) {
    /** For the answer to a report. */
    fun of(worker: WorkerState, now: Moment): List<Command> {
        table.undelivered.remove(worker)
        val list = ArrayList<Command>()
        for (task in worker.tasks) {
            val job = table.jobs[task.task.job]
            if (task.phase == TaskPhase.EXITED) {
                // The result is kept by the worker until it is recorded.
                val unrecorded = job != null && !job.ended && task.cause == ExitCause.DONE && task.task.index !in job.finished
                // A start that may yet be executed would begin anew what is forgotten.
                if (!unrecorded && (task.task to task.attempt) !in worker.loose) list.add(Command.Forget(task.task, task.attempt))
            } else if (job == null) {
                // Only recorded jobs are ever started: one that isn't open has ended.
                list.add(Command.Stop(task.task, task.attempt, Duration.ZERO))
            }
        }
        for (p in worker.placements.values.toList()) {
            val stop = p.stop
            when {
                stop != null -> {
                    // A start on its way can't be taken back; once the worker has it, a late copy does nothing.
                    if (p.onItsWay && p.certainty == Certainty.SENT) {
                        p.answered = true
                        list.add(Command.Start(p.task, p.attempt))
                    }
                    if (p.certainty == Certainty.REPORTED && (p.phase != TaskPhase.SAVING || stop == Duration.ZERO) || p.onItsWay) {
                        p.stopSent = true
                        list.add(Command.Stop(p.task, p.attempt, stop))
                    }
                }
                p.certainty == Certainty.REPORTED -> Unit
                p.certainty == Certainty.ASSIGNED && now < p.sendFrom -> Unit
                p.certainty == Certainty.ASSIGNED && now > p.sendBy -> table.jobs[p.task.job]?.let { table.remove(it, p) }
                else -> {
                    p.certainty = Certainty.SENT
                    p.answered = true
                    list.add(Command.Start(p.task, p.attempt))
                }
            }
        }
        return if (list.size > MAX_COMMANDS) list.subList(0, MAX_COMMANDS) else list
    }

    /** For the worker's own address: what was decided since its last report, and nothing that has been sent before. */
    fun urgent(worker: WorkerState, now: Moment): List<Command> {
        val list = ArrayList<Command>()
        for (p in worker.placements.values) {
            val stop = p.stop
            if (stop != null) {
                if (p.certainty != Certainty.REPORTED || p.stopSent) continue
                p.stopSent = true
                list.add(Command.Stop(p.task, p.attempt, stop))
            } else if (p.certainty == Certainty.ASSIGNED && now >= p.sendFrom && now <= p.sendBy) {
                p.certainty = Certainty.SENT
                p.onItsWay = true
                worker.loose.add(p.task to p.attempt)
                list.add(Command.Start(p.task, p.attempt))
            }
        }
        return list
    }

    private companion object {
        /** An answer's line may be 64 KiB long; a command takes some 100 bytes. */
        const val MAX_COMMANDS = 400
    }
}
