package org.elderhitch.heartbeat

import org.elderhitch.recovery.Takeover
import org.elderhitch.recovery.TaskReconciler
import org.elderhitch.scheduler.EventLog
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState

/**
 * Reconciles the table with the tasks that a worker reports. The first reconciled report of a term settles the worker:
 * from then on it runs no task of earlier terms that is unknown to this term.
 *
 * @param onReconciled called after each reconciliation, which may allow the takeover to settle.
 */
internal class WorkerReconciler(
    private val table: TaskTable,
    private val takeover: Takeover,
    private val taskReconciler: TaskReconciler,
    private val events: EventLog,
    private val onReconciled: () -> Unit,
) {
    /**
     * Reconciles the tasks in a message from a worker that knows this term.
     *
     * @param inReply whether the message is a reply to a direct command or a probe, rather than a heartbeat.
     */
    fun reconcile(worker: WorkerState, message: Heartbeat, inReply: Boolean) {
        if (!worker.reconciled) settle(worker, message)
        taskReconciler.apply(worker, message, inReply)
        onReconciled()
    }

    private fun settle(worker: WorkerState, message: Heartbeat) {
        worker.reconciled = true
        takeover.markAccounted(worker.id)
        events.info("worker settled", worker.id) {
            "worker settled machine=${worker.id} by=report tasks=${message.tasks.size}"
        }
        table.needsCycle = true
    }
}
