package org.elderhitch.scheduler

import org.elderhitch.heartbeat.Heartbeat
import org.elderhitch.heartbeat.HeartbeatResponse
import org.elderhitch.heartbeat.ReceivedHeartbeat
import org.elderhitch.leadership.LeadershipState

/** Handles [SchedulerMessage.WorkerUpdate]: heartbeats, and outcomes of commands and probes. */
internal class WorkerUpdateHandler(private val services: SchedulerServices, private val cycles: CycleRunner) {
    private val state = services.state
    private val clock = services.clock

    fun handle(message: SchedulerMessage.WorkerUpdate) {
        when (message) {
            is SchedulerMessage.HeartbeatReceived -> message.reply.complete(respond(message.heartbeat))

            is SchedulerMessage.CommandsDelivered -> state.currentTerm(message.term)?.let { term ->
                term.workerMessages.commands.handleOutcome(term.leader, message, clock.now())
            }

            is SchedulerMessage.ProbeCompleted -> state.currentTerm(message.term)?.let { term ->
                handleProbe(term, message)
            }

            is SchedulerMessage.MachinesListed -> state.lastTerm?.workerProber?.updateListing(message.addresses)
        }
    }

    private fun handleProbe(term: LeadershipTerm, message: SchedulerMessage.ProbeCompleted) {
        val now = clock.now()
        term.workerMessages.probes.handle(term.leader, message.machine, message.outcome, now, term.isTableComplete)
    }

    private fun respond(heartbeat: Heartbeat): HeartbeatResponse {
        val now = clock.now()
        val term = state.currentTerm
            ?: return services.delegates.answerHeartbeat(heartbeat, now)
                ?: HeartbeatResponse.Redirect((state.leadershipState as? LeadershipState.Follower)?.leader)
        val received = ReceivedHeartbeat(heartbeat, term.leader, term.isTableComplete, now)
        return term.workerMessages.heartbeats.handle(received) { worker ->
            if (services.table.needsCycle && term.leader.maySendCommands(now) && cycles.isPauseOver(now)) {
                cycles.run(term, now, responding = worker)
            }
        }
    }
}
