package org.elderhitch.heartbeat

import org.elderhitch.failuredetection.WorkerProber
import org.elderhitch.fleet.MachineId
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.ActionLedger
import org.elderhitch.recovery.NeedlessActionKind
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.tasks.MachineRegistry
import org.elderhitch.time.MonotonicInstant

/** Handles the outcomes of probes that a [WorkerProber] sent to workers' own addresses. */
internal class ProbeResultHandler(
    private val workers: WorkerDirectory,
    private val machineRegistry: MachineRegistry,
    private val workerProber: WorkerProber,
    private val messageRecorder: MessageRecorder,
    private val workerReconciler: WorkerReconciler,
    private val ledger: ActionLedger,
    private val ports: SchedulerPorts,
) {
    /**
     * Handles the outcome of a probe.
     *
     * @param tableComplete whether the table contains all open jobs, so that the worker's tasks can be reconciled.
     */
    fun handle(
        leadership: LeadershipState.Leader,
        machine: MachineId,
        outcome: CommandOutcome,
        now: MonotonicInstant,
        tableComplete: Boolean,
    ) {
        if (machine in machineRegistry.gone) return
        workerProber.recordOutcome(machine, connected = outcome != CommandOutcome.Unreachable, now)
        if (outcome !is CommandOutcome.Executed) {
            ledger.recordNeedless(NeedlessActionKind.PROBE_FAILED)
            return
        }
        val reply = outcome.heartbeat
        // The address may have been reassigned to another machine.
        if (reply.machine != machine) return
        if (reply.token > leadership.tokens.last) {
            ports.leadership(LeadershipMessage.TermObserved(leadership.nextTerm))
        } else {
            recordReply(leadership, reply, now, tableComplete)
        }
    }

    private fun recordReply(
        leadership: LeadershipState.Leader,
        reply: Heartbeat,
        now: MonotonicInstant,
        tableComplete: Boolean,
    ) {
        val worker = workers.getOrCreate(reply, now)
        if (messageRecorder.isStale(worker, reply) || !messageRecorder.isNewest(worker, reply)) return
        worker.lastCommandAt = now
        messageRecorder.record(leadership, worker, reply, now)
        if (reply.token in leadership.tokens && tableComplete) workerReconciler.reconcile(worker, reply, inReply = true)
    }
}
