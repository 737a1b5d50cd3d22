package org.elderhitch.fleet

import kotlinx.coroutines.launch
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.ActionKind
import org.elderhitch.recovery.NeedlessActionKind
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory

/**
 * Terminates machines. A requested termination waits in the [CloudCallScheduler] until it may be sent, and can be
 * cancelled until then.
 */
internal class TerminationQueue(
    private val fleet: FleetContext,
    private val cloud: CloudClient,
    private val machines: Map<MachineId, ProvisionedMachine>,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")
    private val calls = fleet.calls

    /** Requests the termination of machines, except those for which it is already requested. */
    fun request(requested: List<MachineId>, reason: TerminationReason) {
        val added = requested.filter { machines[it]?.isTerminating != true }
        added.forEach { machines[it]?.isTerminating = true }
        calls.enqueueTerminations(added, reason)
        fleet.term.leader?.let { sendDue(it, fleet.clock.now()) }
    }

    /**
     * Requests the termination of idle machines. They are cordoned by the scheduler first: tasks placed on them while
     * the termination is queued would be lost.
     */
    fun requestIdle(idle: List<MachineId>) {
        idle.forEach { machines[it]?.isTerminating = true }
        fleet.ports.tellScheduler(SchedulerMessage.CordonMachines(idle))
    }

    /** Handles the scheduler's response: queues the empty machines, and keeps those that are in use by now. */
    fun cordoned(message: FleetMessage.MachinesCordoned) {
        message.inUse.forEach { machines[it]?.isTerminating = false }
        calls.enqueueTerminations(message.empty, TerminationReason.IDLE)
        fleet.term.leader?.let { sendDue(it, fleet.clock.now()) }
    }

    /** Handles a heartbeat of a machine: cancels a termination that was requested for missing heartbeats. */
    fun heartbeatReceived(machine: MachineId) {
        if (!calls.cancelTermination(machine)) return
        log.info("termination cancelled machine={}", machine)
        fleet.actions.recordNeedless(NeedlessActionKind.TERMINATION_CANCELLED)
        machines[machine]?.isTerminating = false
        fleet.ports.tellScheduler(SchedulerMessage.TerminationCancelled(machine))
    }

    /** Sends the terminations that are due. */
    fun sendDue(leadership: LeadershipState.Leader, now: MonotonicInstant) {
        if (!leadership.maySendCommands(now)) return
        while (true) {
            val batch = calls.nextTerminations(now).ifEmpty { return }
            logBatch(batch)
            for ((machine, reason) in batch) recordTermination(machine, reason, now)
            send(leadership, batch.keys.toList())
        }
    }

    private fun logBatch(batch: Map<MachineId, TerminationReason>) {
        for ((reason, ids) in batch.entries.groupBy({ it.value }, { it.key })) {
            log.info("terminate machines={} reason={}", ids, reason.logName)
        }
    }

    private fun recordTermination(machine: MachineId, reason: TerminationReason, now: MonotonicInstant) {
        val market = machines[machine]?.market
        if (reason == TerminationReason.IDLE && market != null) {
            fleet.actions.recordIdleTermination(market, now)
        } else {
            fleet.actions.record(ActionKind.TERMINATE, 1, now)
        }
    }

    private fun send(leadership: LeadershipState.Leader, ids: List<MachineId>) {
        fleet.scope.launch {
            val succeeded = cloud.terminate(ids) { fleet.ports.maySendCommands(leadership) }
            fleet.tell(FleetMessage.MachinesTerminated(leadership.term, ids, succeeded))
        }
    }

    /** Handles the outcome of a termination request. Returns the machines that are certainly gone. */
    fun requestCompleted(message: FleetMessage.MachinesTerminated): List<MachineId> {
        calls.terminationCompleted()
        if (message.succeeded) return message.machines
        message.machines.forEach { machines[it]?.isTerminating = false }
        return emptyList()
    }
}
