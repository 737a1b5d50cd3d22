package org.elderhitch.heartbeat

import org.elderhitch.failuredetection.FailureDetector
import org.elderhitch.failuredetection.WorkerProber
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.MachineId
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.ActionLedger
import org.elderhitch.scheduler.EventLog
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.tasks.MachineRegistry
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration.Companion.seconds

/**
 * Records the state of a worker from its message: lease, address and liveness. The tasks in the message are handled by
 * [WorkerReconciler]. Heartbeats and replies to commands and probes are recorded in the same way.
 */
internal class MessageRecorder(
    private val table: TaskTable,
    private val machineRegistry: MachineRegistry,
    private val failureDetector: FailureDetector,
    private val workerProber: WorkerProber,
    private val events: EventLog,
    private val ports: SchedulerPorts,
    private val ledger: ActionLedger,
) {
    /** Records the delayed message if [machine] is known to be gone. Returns whether it is. */
    fun recordIfGone(machine: MachineId, now: MonotonicInstant): Boolean {
        val gone = machine in machineRegistry.gone
        if (gone) ledger.recordMachineSeen(machine, now)
        return gone
    }

    /** Whether the message belongs to an agent epoch that has expired, and is therefore obsolete. */
    fun isStale(worker: WorkerState, message: Heartbeat): Boolean =
        worker.lease?.freshnessOf(message.sequence.agentEpoch) == MessageFreshness.STALE

    /** Whether the message was sent after all messages that were recorded from the worker. */
    fun isNewest(worker: WorkerState, message: Heartbeat): Boolean {
        val latest = worker.heartbeatSequence
        return latest == null || message.sequence > latest
    }

    /** Records a message that is not stale and is the newest of its worker. */
    fun record(leadership: LeadershipState.Leader, worker: WorkerState, message: Heartbeat, now: MonotonicInstant) {
        ledger.recordMachineSeen(worker.id, now)
        recordLease(leadership, worker, message, now)
        worker.heartbeatSequence = message.sequence
        worker.unreachable = false
        worker.lastSeenAt = now
        worker.address = message.address
        recordPreemptionNotice(worker, message)
        if (worker.terminationRequestedAt != MonotonicInstant.NEVER || !worker.reconciled) {
            ports.fleet(FleetMessage.HeartbeatReceived(worker.id))
        }
        failureDetector.recordMessage(worker)
        workerProber.recordMessage(worker.id)
        failureDetector.resetUnansweredTermination(worker, now)
        if (message.machine !in machineRegistry.known) ports.fleet(FleetMessage.OrphanDetected(message))
        requestUpConfirmation(worker, now)
    }

    private fun recordLease(
        leadership: LeadershipState.Leader,
        worker: WorkerState,
        message: Heartbeat,
        now: MonotonicInstant,
    ) {
        val acknowledgesTerm = message.token in leadership.tokens
        val freshness = worker.recordMessage(message.sequence.agentEpoch, now, acknowledgesTerm)
        if (freshness == MessageFreshness.NEW_EPOCH) {
            // Direct commands name their agent epoch. Those of earlier epochs are never executed now, and the tasks of
            // these epochs are gone.
            worker.directStarts.clear()
            table.removeSentTo(worker)
        }
        worker.recordToken(leadership.tokens, message.token)
    }

    private fun recordPreemptionNotice(worker: WorkerState, message: Heartbeat) {
        if (message.preemptionNotice != null && worker.preemptionNotice == null) {
            events.info("spot notice", worker.id) {
                "spot notice machine=${message.machine} notice_s=${message.preemptionNotice}"
            }
            table.needsCycle = true
        }
        worker.preemptionNotice = message.preemptionNotice
    }

    /** Requests that the machine be recorded as up. Until that is recorded, it is assigned no tasks. */
    private fun requestUpConfirmation(worker: WorkerState, now: MonotonicInstant) {
        if (worker.id !in machineRegistry.known || worker.id in machineRegistry.confirmedUp) return
        if (now - worker.upConfirmationRequestedAt <= UP_CONFIRMATION_RETRY_DELAY) return
        worker.upConfirmationRequestedAt = now
        ports.fleet(FleetMessage.MachineUp(worker.id))
    }

    private companion object {
        val UP_CONFIRMATION_RETRY_DELAY = 2.seconds
    }
}
