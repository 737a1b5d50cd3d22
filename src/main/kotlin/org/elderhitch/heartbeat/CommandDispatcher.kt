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
 * Sends commands to workers' own addresses and takes in their outcomes. The answer to a heartbeat would carry commands
 * as safely and at no cost, but a task would wait for half a heartbeat interval on average.
 *
 * @param heartbeatInterval the usual time between two heartbeats of a worker.
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
     * Sends what was decided to workers whose next heartbeat is not due soon.
     *
     * @param answering the worker whose heartbeat is being answered, which carries its commands; absent if none is.
     */
    fun sendUndelivered(leadership: LeadershipState.Leader, now: MonotonicInstant, answering: WorkerState?) {
        val workers = table.undelivered.iterator()
        while (workers.hasNext()) {
            val worker = workers.next()
            if (worker === answering || worker.commandInFlight || !isWorthConnecting(worker, now)) continue
            val commands = commandPlanner.planDirectCommands(worker, now)
            if (worker.placements.values.none { it.state == PlacementState.ASSIGNED }) workers.remove()
            if (commands.isNotEmpty()) send(leadership, worker, commands)
        }
    }

    private fun send(leadership: LeadershipState.Leader, worker: WorkerState, commands: List<Command>) {
        val address = checkNotNull(worker.address)
        val sequence = checkNotNull(worker.heartbeatSequence)
        worker.commandInFlight = true
        ports.sendCommands(leadership, address, worker.id, sequence.agentEpoch, commands)
    }

    private fun isWorthConnecting(worker: WorkerState, now: MonotonicInstant): Boolean {
        val known = worker.address != null && worker.heartbeatSequence != null
        val timeToHeartbeat = worker.lastSeenAt + heartbeatInterval - now
        return known && !worker.unreachable && timeToHeartbeat >= MIN_TIME_TO_HEARTBEAT
    }

    /** Takes in the outcome of commands that [sendUndelivered] sent. */
    fun handleOutcome(
        leadership: LeadershipState.Leader,
        message: SchedulerMessage.CommandsDelivered,
        now: MonotonicInstant,
    ) {
        val worker = table.workers[message.machine] ?: return
        worker.commandInFlight = false
        worker.lastCommandAt = now
        if (worker.heartbeatSequence?.agentEpoch != message.agentEpoch) return
        when (val outcome = message.outcome) {
            CommandOutcome.Unknown -> keepStartsPending(worker, message)

            is CommandOutcome.Executed -> {
                acknowledgeStarts(worker, message)
                recordReply(leadership, worker, outcome.heartbeat, now)
            }

            CommandOutcome.NotExecuted -> removeUnsent(acknowledgeStarts(worker, message))

            CommandOutcome.Unreachable -> {
                val placements = acknowledgeStarts(worker, message)
                worker.unreachable = true
                removeUnsent(placements)
            }
        }
    }

    /** The starts stay bound to the worker until it reports them or its epoch ends; each answer to it repeats them. */
    private fun keepStartsPending(worker: WorkerState, message: SchedulerMessage.CommandsDelivered) {
        events.info("start unanswered", worker.id) {
            "start unanswered machine=${worker.id} starts=${message.starts.size}"
        }
    }

    /** Ends the wait for the starts of the message; their placements that still stand are returned. */
    private fun acknowledgeStarts(worker: WorkerState, message: SchedulerMessage.CommandsDelivered): List<Placement> {
        worker.unacknowledgedStarts.removeAll(message.starts)
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
        if (reply.machine != worker.id || reply.term != leadership.term) return
        if (messageRecorder.isStale(worker, reply) || !messageRecorder.isNewest(worker, reply)) return
        messageRecorder.record(leadership, worker, reply, now)
        workerReconciler.reconcile(worker, reply, inReply = true)
    }

    /** Removes starts that were surely not executed; of one that a response carried too, the next heartbeat tells. */
    private fun removeUnsent(placements: List<Placement>) {
        for (placement in placements) {
            if (placement.state != PlacementState.SENT || placement.sentInResponse) continue
            table.jobs[placement.task.job]?.let { job -> table.remove(job, placement) }
        }
    }

    private companion object {
        /** A direct command costs a connection; a heartbeat that is due sooner carries the commands for nothing. */
        val MIN_TIME_TO_HEARTBEAT = 1.seconds
    }
}
