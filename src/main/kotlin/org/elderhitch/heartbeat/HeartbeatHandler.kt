package org.elderhitch.heartbeat

import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.Takeover
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant

/** A received heartbeat with the leader's state at that time. */
internal class ReceivedHeartbeat(
    val heartbeat: Heartbeat,
    val leadership: LeadershipState.Leader,
    /** Whether the table contains all open jobs. Otherwise a worker's tasks can't be reconciled. */
    val tableComplete: Boolean,
    val now: MonotonicInstant,
) {
    val acknowledgesTerm: Boolean get() = heartbeat.token in leadership.tokens
}

/**
 * Answers workers' heartbeats as the leader of a term. Each response renews the worker's lease and carries commands.
 */
internal class HeartbeatHandler(
    private val workers: WorkerDirectory,
    private val messageRecorder: MessageRecorder,
    private val workerReconciler: WorkerReconciler,
    private val commandPlanner: CommandPlanner,
    private val takeover: Takeover,
    private val ports: SchedulerPorts,
) {
    /**
     * Handles a heartbeat and returns the response to it.
     *
     * @param runCycle runs a scheduling cycle, if one is due, before the given worker is answered. Capacity that the
     *   heartbeat frees is then assigned in the response to it, since the next heartbeat may be seconds away.
     */
    fun handle(received: ReceivedHeartbeat, runCycle: (WorkerState) -> Unit): HeartbeatResponse =
        when (val admission = admit(received)) {
            HeartbeatAdmission.NewerTerm -> {
                ports.leadership(LeadershipMessage.TermObserved(received.leadership.nextTerm))
                REDIRECT_TO_ANY_NODE
            }

            HeartbeatAdmission.Dropped -> REDIRECT_TO_ANY_NODE

            is HeartbeatAdmission.Overtaken -> answerOvertaken(admission.worker, received)

            is HeartbeatAdmission.Newest -> answerNewest(admission.worker, received, runCycle)
        }

    private fun admit(received: ReceivedHeartbeat): HeartbeatAdmission {
        val heartbeat = received.heartbeat
        val now = received.now
        if (heartbeat.token > received.leadership.tokens.last) return HeartbeatAdmission.NewerTerm
        val machineGone = messageRecorder.recordIfGone(heartbeat.machine, now)
        if (machineGone || !received.leadership.mayAnswerHeartbeats(now)) return HeartbeatAdmission.Dropped
        val worker = workers.getOrCreate(heartbeat, now)
        return when {
            messageRecorder.isStale(worker, heartbeat) -> HeartbeatAdmission.Dropped
            messageRecorder.isNewest(worker, heartbeat) -> HeartbeatAdmission.Newest(worker)
            now - worker.lastCommandAt > WorkerTimeouts.HEARTBEAT_RESPONSE_TIMEOUT -> HeartbeatAdmission.Dropped
            else -> HeartbeatAdmission.Overtaken(worker)
        }
    }

    private fun answerOvertaken(worker: WorkerState, received: ReceivedHeartbeat): HeartbeatResponse {
        val reported = received.heartbeat.tasks + worker.tasks
        val stops = commandPlanner.stopsOfTerminalJobs(worker, reported, received.tableComplete, mayStart = false)
        return when (stops) {
            TerminalStops.Undeliverable -> REDIRECT_TO_ANY_NODE

            is TerminalStops.Deliverable -> {
                renewLease(worker, received)
                HeartbeatResponse.Accepted(worker.token, stops.commands)
            }
        }
    }

    private fun answerNewest(
        worker: WorkerState,
        received: ReceivedHeartbeat,
        runCycle: (WorkerState) -> Unit,
    ): HeartbeatResponse {
        val heartbeat = received.heartbeat
        val now = received.now
        messageRecorder.record(received.leadership, worker, heartbeat, now)
        // A worker that doesn't know this term may still execute an earlier leader's command, so its task list is not
        // reconciled until it does. While the table is incomplete its tasks can't be reconciled either. In both cases
        // its lease may be renewed, and a later heartbeat is reconciled.
        if (received.acknowledgesTerm && received.tableComplete) {
            workerReconciler.reconcile(worker, heartbeat, inReply = false)
        } else if (!received.acknowledgesTerm && takeover.refusesUnawareWorkers(now)) {
            return REDIRECT_TO_ANY_NODE
        }
        val mayCommand =
            received.acknowledgesTerm && received.tableComplete && received.leadership.maySendCommands(now)
        val stops =
            commandPlanner.stopsOfTerminalJobs(worker, heartbeat.tasks, received.tableComplete, mayStart = mayCommand)
        return when (stops) {
            TerminalStops.Undeliverable -> REDIRECT_TO_ANY_NODE

            is TerminalStops.Deliverable -> {
                // The lease is renewed before the cycle, which may assign tasks to the worker in this response.
                renewLease(worker, received)
                if (mayCommand) runCycle(worker)
                val commands =
                    if (mayCommand) commandPlanner.planResponse(worker, now, stops.commands) else stops.commands
                HeartbeatResponse.Accepted(worker.token, commands)
            }
        }
    }

    /** Records that the heartbeat is being answered, which renews the lease of its agent epoch. */
    private fun renewLease(worker: WorkerState, received: ReceivedHeartbeat) {
        worker.heartbeatAnswered(received.now)
        worker.lastHeartbeatAt = received.now
        // Until a worker is reconciled, also one that knows this term, it may run tasks unknown to this term.
        if (!worker.reconciled) takeover.recordHeartbeatAnswered(worker.id, received.now)
    }

    private companion object {
        val REDIRECT_TO_ANY_NODE = HeartbeatResponse.Redirect(null)
    }
}
