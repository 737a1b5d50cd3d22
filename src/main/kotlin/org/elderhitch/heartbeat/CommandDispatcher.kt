package org.elderhitch.heartbeat

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.scheduler.EventLog
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.tasks.Placement
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sends commands to workers' own addresses and handles the outcomes. Responses to heartbeats would carry commands as
 * safely and at no extra cost, but a task would wait half a heartbeat interval on average.
 *
 * @param heartbeatInterval the mean interval between two heartbeats of a worker.
 */
internal class CommandDispatcher(
    private val table: TaskTable,
    private val commandPlanner: CommandPlanner,
    private val heartbeatInterval: Duration,
    private val messageRecorder: MessageRecorder,
    private val workerReconciler: WorkerReconciler,
    private val events: EventLog,
    private val ports: SchedulerPorts,
) {
    /**
     * Sends undelivered commands to workers whose next heartbeat is not due soon.
     *
     * @param answering the worker whose heartbeat is being answered, so that the response carries its commands; null if
     *   there is none.
     */
    fun sendUndelivered(leadership: LeadershipState.Leader, now: MonotonicInstant, answering: WorkerState?) {
        val workers = table.undelivered.iterator()
        while (workers.hasNext()) {
            val worker = workers.next()
            if (worker === answering || worker.commandInFlight || !shouldSendDirectly(worker, now)) continue
            val commands = commandPlanner.planDirectCommands(worker, now)
            if (worker.placements.values.none { it.state == PlacementState.ASSIGNED }) workers.remove()
            if (commands.isNotEmpty()) send(leadership, worker, commands)
        }
    }

    private fun send(leadership: LeadershipState.Leader, worker: WorkerState, commands: List<Command>) {
        val address = checkNotNull(worker.address)
        val sequence = checkNotNull(worker.heartbeatSequence)
        worker.commandInFlight = true
        ports.sendCommands(leadership, DirectCommands(worker.id, address, sequence.agentEpoch, worker.token, commands))
    }

    private fun shouldSendDirectly(worker: WorkerState, now: MonotonicInstant): Boolean {
        val canConnect = worker.address != null && worker.heartbeatSequence != null
        val timeToHeartbeat = worker.lastSeenAt + heartbeatInterval - now
        return canConnect && !worker.unreachable && timeToHeartbeat >= MIN_TIME_TO_HEARTBEAT
    }

    /** Handles the outcome of commands that [sendUndelivered] sent. */
    fun handleOutcome(
        leadership: LeadershipState.Leader,
        message: SchedulerMessage.CommandsDelivered,
        now: MonotonicInstant,
    ) {
        val worker = table.workers[message.machine] ?: return
        worker.commandInFlight = false
        worker.lastCommandAt = now
        CommandLog.answered(worker, message.starts, message.outcome)
        if (worker.heartbeatSequence?.agentEpoch != message.agentEpoch) return
        when (val outcome = message.outcome) {
            CommandOutcome.Unknown -> keepStartsPending(worker, message)

            is CommandOutcome.Executed -> {
                // The worker may execute the same request once more, so [WorkerState.directStarts] keeps its starts.
                clearPendingStarts(worker, message)
                recordReply(leadership, worker, outcome.heartbeat, now)
            }

            CommandOutcome.NotExecuted -> handleUnexecuted(worker, message)

            CommandOutcome.Unreachable -> {
                worker.unreachable = true
                handleUnexecuted(worker, message)
            }
        }
    }

    /** Keeps the starts placed on the worker until it reports them or its epoch ends. Each response repeats them. */
    private fun keepStartsPending(worker: WorkerState, message: SchedulerMessage.CommandsDelivered) {
        events.info("start unanswered", worker.id) {
            "start unanswered machine=${worker.id} starts=${message.starts.size}"
        }
    }

    /** A request that was refused, or never sent, is not executed later either. */
    private fun handleUnexecuted(worker: WorkerState, message: SchedulerMessage.CommandsDelivered) {
        worker.directStarts.removeAll(message.starts)
        removeUnexecuted(clearPendingStarts(worker, message))
    }

    /** Marks the starts of the message as no longer pending. Returns those of their placements that still exist. */
    private fun clearPendingStarts(worker: WorkerState, message: SchedulerMessage.CommandsDelivered): List<Placement> {
        val placements = message.starts.mapNotNull { (task, attempt) ->
            worker.placements[task]?.takeIf { it.attempt == attempt }
        }
        placements.forEach { it.directStartPending = false }
        return placements
    }

    private fun recordReply(
        leadership: LeadershipState.Leader,
        worker: WorkerState,
        reply: Heartbeat,
        now: MonotonicInstant,
    ) {
        if (reply.machine != worker.id || reply.token !in leadership.tokens) return
        if (messageRecorder.isStale(worker, reply) || !messageRecorder.isNewest(worker, reply)) return
        messageRecorder.record(leadership, worker, reply, now)
        workerReconciler.reconcile(worker, reply, inReply = true)
    }

    /**
     * Removes placements whose start was certainly not executed. If a heartbeat response carried the start too, the
     * next heartbeat shows whether it was.
     */
    private fun removeUnexecuted(placements: List<Placement>) {
        for (placement in placements) {
            if (placement.state != PlacementState.SENT || placement.sentInResponse) continue
            table.jobs[placement.task.job]?.let { job -> table.remove(job, placement) }
        }
    }

    private companion object {
        /** A direct command needs a connection of its own; the response to a heartbeat that is due sooner doesn't. */
        val MIN_TIME_TO_HEARTBEAT = 1.seconds
    }
}
