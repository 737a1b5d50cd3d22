package org.elderhitch.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.Command
import org.elderhitch.heartbeat.DirectCommands
import org.elderhitch.heartbeat.WorkerClient
import org.elderhitch.http.Address
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.scheduler.SchedulerMessage

/**
 * Sends requests of the scheduler to workers' own addresses, each in a separate coroutine, and sends the results to the
 * scheduler as messages.
 */
internal class WorkerCommandSender(
    private val scope: CoroutineScope,
    private val workerClient: WorkerClient,
    /** Whether the leader may still send commands; checked right before each request is sent. */
    private val maySendCommands: (LeadershipState.Leader) -> Boolean,
    private val tellScheduler: (SchedulerMessage) -> Unit,
) {
    /** Sends commands; the result is sent as [SchedulerMessage.CommandsDelivered]. */
    fun send(leader: LeadershipState.Leader, request: DirectCommands) {
        scope.launch {
            val outcome = workerClient.send(request) { maySendCommands(leader) }
            val starts = request.commands.filterIsInstance<Command.Start>().toSet()
            val delivered =
                SchedulerMessage.CommandsDelivered(leader.term, request.machine, request.agentEpoch, starts, outcome)
            tellScheduler(delivered)
        }
    }

    /**
     * Requests a worker's task list and tells it the term; the result is sent as [SchedulerMessage.ProbeCompleted].
     */
    fun probe(leader: LeadershipState.Leader, address: Address, machine: MachineId) {
        scope.launch {
            val outcome = workerClient.probe(address, leader.tokens.first) { maySendCommands(leader) }
            tellScheduler(SchedulerMessage.ProbeCompleted(leader.term, machine, outcome))
        }
    }
}
