package org.elderhitch.workers

import org.elderhitch.time.Moment
import kotlin.time.Duration

/** What a worker is to do, from what it reports and what was decided since. */
internal class CommandList(private val table: TaskTable) {
    fun of(worker: WorkerState, now: Moment): List<Command> {
        val list = ArrayList<Command>()
        for (task in worker.tasks) {
            val job = table.jobs[task.task.job]
            if (task.phase == TaskPhase.EXITED) {
                // The result is kept by the worker until it is recorded.
                val unrecorded = job != null && !job.ended && task.cause == ExitCause.DONE && task.task.index !in job.finished
                if (!unrecorded) list.add(Command.Forget(task.task, task.attempt))
            } else if (job == null) {
                // Only recorded jobs are ever started: one that isn't open has ended.
                list.add(Command.Stop(task.task, task.attempt, Duration.ZERO))
            }
        }
        for (p in worker.placements.values.toList()) {
            val stop = p.stop
            when {
                stop != null -> if (p.certainty == Certainty.REPORTED && (p.phase != TaskPhase.SAVING || stop == Duration.ZERO)) {
                    list.add(Command.Stop(p.task, p.attempt, stop))
                }
                p.certainty == Certainty.REPORTED -> Unit
                p.certainty == Certainty.ASSIGNED && now > p.sendBy -> table.jobs[p.task.job]?.let { table.remove(it, p) }
                else -> {
                    p.certainty = Certainty.SENT
                    list.add(Command.Start(p.task, p.attempt))
                }
            }
        }
        return if (list.size > MAX_COMMANDS) list.subList(0, MAX_COMMANDS) else list
    }

    private companion object {
        /** An answer's line may be 64 KiB long; a command takes some 100 bytes. */
        const val MAX_COMMANDS = 400
    }
}
