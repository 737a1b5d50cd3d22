package org.elderhitch.heartbeat

import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.Takeover
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant

/** A heartbeat and the state of its leader when it is received. */
internal class ReceivedHeartbeat(
    val heartbeat: Heartbeat,
    val leadership: LeadershipState.Leader,
    /** Whether all open jobs are known here; without them the tasks of a worker can't be judged. */
    val tableComplete: Boolean,
    val now: MonotonicInstant,
) {
    val acknowledgesTerm: Boolean get() = heartbeat.term == leadership.term
}

/** Answers workers' heartbeats as the leader of a term: each answer renews the worker's lease and carries commands. */
internal class HeartbeatHandler(
    private val workers: WorkerDirectory,
    private val messageRecorder: MessageRecorder,
    private val workerReconciler: WorkerReconciler,
    private val commandPlanner: CommandPlanner,
    private val takeover: Takeover,
    private val ports: SchedulerPorts,
) {
    /**
     * @param runCycle runs a scheduling cycle, if one is due, before the given worker is answered: the capacity that
     *   the heartbeat frees is assigned in its own answer, since the next heartbeat may be seconds away.
     */
    fun handle(received: ReceivedHeartbeat, runCycle: (WorkerState) -> Unit): HeartbeatResponse =
        when (val admission = admit(received)) {
            is HeartbeatAdmission.NewerTerm -> {
                ports.leadership(LeadershipMessage.TermObserved(admission.term))
                ANY_OTHER_NODE
            }

            HeartbeatAdmission.Dropped -> ANY_OTHER_NODE

            is HeartbeatAdmission.Overtaken -> answerOvertaken(admission.worker, received)

            is HeartbeatAdmission.Newest -> answerNewest(admission.worker, received, runCycle)
        }

    private fun admit(received: ReceivedHeartbeat): HeartbeatAdmission {
        val heartbeat = received.heartbeat
        val now = received.now
        if (heartbeat.term > received.leadership.term) return HeartbeatAdmission.NewerTerm(heartbeat.term)
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
            TerminalStops.Undeliverable -> ANY_OTHER_NODE

            is TerminalStops.Deliverable -> {
                renewLease(worker, received)
                HeartbeatResponse.Accepted(received.leadership.term, stops.commands)
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
        // A worker that doesn't know this term may still execute an earlier leader's command: its task list counts once
        // it does. Without the jobs its tasks can't be judged: its lease is renewed, and a later heartbeat reconciled.
        if (received.acknowledgesTerm && received.tableComplete) {
            workerReconciler.reconcile(worker, heartbeat, inReply = false)
        } else if (!received.acknowledgesTerm && takeover.refusesUnawareWorkers(now)) {
            return ANY_OTHER_NODE
        }
        val mayCommand =
            received.acknowledgesTerm && received.tableComplete && received.leadership.maySendCommands(now)
        val stops =
            commandPlanner.stopsOfTerminalJobs(worker, heartbeat.tasks, received.tableComplete, mayStart = mayCommand)
        return when (stops) {
            TerminalStops.Undeliverable -> ANY_OTHER_NODE

            is TerminalStops.Deliverable -> {
                // Renewed before the cycle, which may assign tasks to the worker for this very answer.
                renewLease(worker, received)
                if (mayCommand) runCycle(worker)
                val commands =
                    if (mayCommand) commandPlanner.planResponse(worker, now, stops.commands) else stops.commands
                HeartbeatResponse.Accepted(received.leadership.term, commands)
            }
        }
    }

    /** The heartbeat is being answered, so its agent epoch continues. */
    private fun renewLease(worker: WorkerState, received: ReceivedHeartbeat) {
        worker.heartbeatAnswered(received.now)
        worker.lastHeartbeatAt = received.now
        // A worker that the answer to a command has settled meanwhile holds nothing that this term doesn't know.
        if (received.heartbeat.term < received.leadership.term && !worker.reconciled) {
            takeover.heartbeatAnswered(worker.id, received.now)
        }
    }

    private companion object {
        val ANY_OTHER_NODE = HeartbeatResponse.Redirect(null)
    }
}
