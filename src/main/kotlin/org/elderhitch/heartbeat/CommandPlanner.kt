package org.elderhitch.heartbeat

import org.elderhitch.tasks.Placement
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/** What a worker is to do, from what it reports and what was decided since. */
internal class CommandPlanner(private val table: TaskTable) {
    /**
     * For the answer to a report: stops, then starts, then what may be forgotten. What an answer can't hold stays as it
     * is
     * for the next one: a start that counted as sent and was cut off at the end would be waited for in vain. [endings]:
     * stops that come before all else, by [endings].
     */
    fun of(worker: WorkerState, now: MonotonicInstant, endings: List<Command>): List<Command> {
        table.undelivered.remove(worker)
        val list = ArrayList(endings)
        val placements = worker.placements.values.toList()
        placements.forEach { p -> p.stopGrace?.let { stop(p, it, list) } }
        for (p in placements) {
            if (p.stopGrace != null ||
                p.state == PlacementState.CONFIRMED ||
                p.state == PlacementState.ASSIGNED &&
                now < p.sendFrom
            ) {
                continue
            }
            if (p.state == PlacementState.ASSIGNED && now > p.sendBy) {
                table.jobs[p.task.job]?.let { table.remove(it, p) }
            } else if (list.size < MAX_COMMANDS) {
                p.markSentInResponse()
                list.add(Command.Start(p.task, p.attempt))
            } else {
                table.undelivered.add(worker)
            }
        }
        for (task in worker.tasks) {
            if (list.size >= MAX_COMMANDS) break
            if (task.phase == TaskPhase.EXITED &&
                mayForget(worker, task)
            ) {
                list.add(Command.Reap(task.task, task.attempt))
            }
        }
        return if (list.size > MAX_COMMANDS) list.subList(0, MAX_COMMANDS) else list
    }

    /**
     * The stops of all tasks on the worker, those that it [named] and those of the table, whose job's ending has been
     * read: they go with every answer, since an ending is
     * permanent and a worker that is answered without them keeps such tasks. Null: they can't all be told, so nothing
     * may renew its lease. That is so if it names a
     * job which may have ended before what is known here, and if a start of an ended job is on its way to it, which
     * only a leader inside its window may cut short. More than an
     * answer holds are told in several, one at each report; outside the window there may be no next one, so all or
     * none.
     */
    fun endings(worker: WorkerState, named: List<TaskStatus>, complete: Boolean, mayStart: Boolean): List<Command>? {
        val stops = LinkedHashSet<Command>()
        for (task in named) {
            if (task.phase != TaskPhase.EXITED &&
                table.isTerminal(task.task.job, complete) ?: return null
            ) {
                stops.add(Command.Stop(task.task, task.attempt, Duration.ZERO))
            }
        }
        for (p in worker.placements.values) {
            if (table.jobs[p.task.job]?.isTerminal == false || p.state == PlacementState.ASSIGNED) continue
            if (p.state ==
                PlacementState.CONFIRMED
            ) {
                stops.add(Command.Stop(p.task, p.attempt, Duration.ZERO))
            } else if (p.directStartPending &&
                !mayStart
            ) {
                return null
            }
        }
        return stops.toList().takeIf { mayStart || it.size <= MAX_COMMANDS }
    }

    private fun stop(p: Placement, grace: Duration, list: MutableList<Command>) {
        // A start on its way can't be taken back; once the worker has it, a late copy does nothing.
        if (p.directStartPending && p.state == PlacementState.SENT) {
            p.markSentInResponse()
            list.add(Command.Start(p.task, p.attempt))
        }
        if (p.state == PlacementState.CONFIRMED &&
            (p.phase != TaskPhase.SAVING || grace == Duration.ZERO) ||
            p.directStartPending
        ) {
            p.stopSent = true
            val stop = Command.Stop(p.task, p.attempt, grace)
            if (stop !in list) list.add(stop)
        }
    }

    private fun mayForget(worker: WorkerState, task: TaskStatus): Boolean {
        val job = table.jobs[task.task.job]
        // The result is kept by the worker until it is recorded.
        val unrecorded = job != null && !job.isTerminal && task.cause == ExitCause.DONE && task.task.index !in job.recorded
        // A start that may yet be executed would begin anew what is forgotten.
        return !unrecorded && (task.task to task.attempt) !in worker.unacknowledgedStarts
    }

    /** For the worker's own address: what was decided since its last report, and nothing that has been sent before. */
    fun urgent(worker: WorkerState, now: MonotonicInstant): List<Command> {
        val list = ArrayList<Command>()
        for (p in worker.placements.values) {
            if (list.size == MAX_COMMANDS) break
            val stop = p.stopGrace
            if (stop != null) {
                if (p.state != PlacementState.CONFIRMED || p.stopSent) continue
                p.stopSent = true
                list.add(Command.Stop(p.task, p.attempt, stop))
            } else if (p.state == PlacementState.ASSIGNED && now >= p.sendFrom && now <= p.sendBy) {
                p.markSentDirectly()
                worker.unacknowledgedStarts.add(p.task to p.attempt)
                list.add(Command.Start(p.task, p.attempt))
            }
        }
        return list
    }

    private companion object {
        /** An answer's line and a request's body may be 64 KiB long; a command takes some 100 bytes. */
        const val MAX_COMMANDS = 400
    }
}
