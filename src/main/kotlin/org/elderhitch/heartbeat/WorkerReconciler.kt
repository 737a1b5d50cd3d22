package org.elderhitch.heartbeat

import org.elderhitch.recovery.Takeover
import org.elderhitch.recovery.TaskReconciler
import org.elderhitch.scheduler.EventLog
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState

/**
 * Reconciles the table with the tasks that a worker reports. The first such report in a term settles the worker: from
 * then on it runs nothing of earlier terms that this one doesn't know.
 *
 * @param onReconciled called after each reconciliation; it may complete the takeover.
 */
internal class WorkerReconciler(
    private val table: TaskTable,
    private val takeover: Takeover,
    private val taskReconciler: TaskReconciler,
    private val events: EventLog,
    private val onReconciled: () -> Unit,
) {
    /**
     * Takes over the tasks of a message whose worker knows this term.
     *
     * @param inReply whether the message answers a direct command or a probe, rather than being a heartbeat.
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
        table.dirty = true
    }
}
