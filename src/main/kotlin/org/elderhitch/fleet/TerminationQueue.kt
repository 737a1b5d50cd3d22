package org.elderhitch.fleet

import kotlinx.coroutines.launch
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.ActionKind
import org.elderhitch.recovery.NeedlessActionKind
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory

/**
 * Terminates machines. A termination is requested, waits for its turn in the [CloudCallScheduler], and is then sent;
 * until it is sent it can be cancelled.
 */
internal class TerminationQueue(
    private val fleet: FleetContext,
    private val cloud: CloudClient,
    private val machines: Map<MachineId, ProvisionedMachine>,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")
    private val calls = fleet.calls

    /** Requests the termination of those machines for which it is not requested already. */
    fun request(requested: List<MachineId>, reason: TerminationReason) {
        val added = requested.filter { machines[it]?.terminating != true }
        added.forEach { machines[it]?.terminating = true }
        calls.enqueueTerminations(added, reason)
        fleet.term.leader?.let { sendDue(it, fleet.clock.now()) }
    }

    /**
     * Requests the termination of idle machines. The scheduler is told first to place nothing there any more, or tasks
     * that are placed while the termination waits for its turn would be lost.
     */
    fun requestIdle(idle: List<MachineId>) {
        idle.forEach { machines[it]?.terminating = true }
        fleet.ports.scheduler(SchedulerMessage.CordonMachines(idle))
    }

    /** The scheduler's answer: machines that are in use by now are kept. */
    fun cordoned(message: FleetMessage.MachinesCordoned) {
        message.inUse.forEach { machines[it]?.terminating = false }
        calls.enqueueTerminations(message.empty, TerminationReason.IDLE)
        fleet.term.leader?.let { sendDue(it, fleet.clock.now()) }
    }

    /** A heartbeat of the machine arrived: cancels a termination that was requested only for want of one. */
    fun heartbeatReceived(machine: MachineId) {
        if (!calls.cancelTermination(machine)) return
        log.info("termination cancelled machine={}", machine)
        fleet.actions.recordNeedless(NeedlessActionKind.TERMINATION_CANCELLED)
        machines[machine]?.terminating = false
        fleet.ports.scheduler(SchedulerMessage.TerminationCancelled(machine))
    }

    /** Sends the terminations whose turn it is. */
    fun sendDue(leadership: LeadershipState.Leader, now: MonotonicInstant) {
        if (!leadership.maySendCommands(now)) return
        while (true) {
            val batch = calls.nextTerminations(now).ifEmpty { return }
            logBatch(batch)
            for ((machine, reason) in batch) count(machine, reason, now)
            send(leadership, batch.keys.toList())
        }
    }

    private fun logBatch(batch: Map<MachineId, TerminationReason>) {
        for ((reason, ids) in batch.entries.groupBy({ it.value }, { it.key })) {
            log.info("terminate machines={} reason={}", ids, reason.logName)
        }
    }

    private fun count(machine: MachineId, reason: TerminationReason, now: MonotonicInstant) {
        val market = machines[machine]?.market
        if (reason == TerminationReason.IDLE && market != null) {
            fleet.actions.recordIdleTermination(market, now)
        } else {
            fleet.actions.record(ActionKind.TERMINATE, 1, now)
        }
    }

    private fun send(leadership: LeadershipState.Leader, ids: List<MachineId>) {
        fleet.scope.launch {
            val done = cloud.terminate(ids) { fleet.ports.maySendCommands(leadership) }
            fleet.tell(FleetMessage.MachinesTerminated(leadership.term, ids, done))
        }
    }

    /** Takes the cloud's answer; returns the machines that are surely gone. */
    fun completed(message: FleetMessage.MachinesTerminated): List<MachineId> {
        calls.terminationCompleted()
        if (message.done) return message.machines
        message.machines.forEach { machines[it]?.terminating = false }
        return emptyList()
    }
}
