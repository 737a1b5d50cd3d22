package org.elderhitch.scheduler

import org.elderhitch.failuredetection.WorkerProber
import org.elderhitch.heartbeat.CommandDispatcher
import org.elderhitch.heartbeat.CommandPlanner
import org.elderhitch.heartbeat.HeartbeatHandler
import org.elderhitch.heartbeat.MessageRecorder
import org.elderhitch.heartbeat.ProbeResultHandler
import org.elderhitch.heartbeat.WorkerDirectory
import org.elderhitch.heartbeat.WorkerReconciler
import org.elderhitch.leadership.TokenRange
import org.elderhitch.recovery.ReconciliationStatistics
import org.elderhitch.recovery.Takeover
import org.elderhitch.recovery.TaskReconciler
import org.elderhitch.tasks.MachineRegistry

/** The handlers of worker messages in one term: heartbeats, and responses to commands and probes. */
internal class WorkerMessageHandlers(
    services: SchedulerServices,
    takeover: Takeover,
    machines: MachineRegistry,
    workerProber: WorkerProber,
    statistics: ReconciliationStatistics,
    tokens: TokenRange,
    onReconciled: () -> Unit,
) {
    private val table = services.table
    private val events = services.events
    private val ports = services.ports
    private val actions = statistics.actions
    private val commandPlanner = CommandPlanner(table, actions, tokens)
    private val workerDirectory = WorkerDirectory(table) { services.state.imageHints[it] }
    private val messageRecorder = MessageRecorder(
        table,
        machines,
        services.failureDetector,
        workerProber,
        events,
        ports,
        actions,
    )
    private val taskReconciler = TaskReconciler(
        table,
        services.failureAttribution,
        services.clock,
        events,
        statistics::recordRule,
    )
    private val workerReconciler = WorkerReconciler(table, takeover, taskReconciler, events, onReconciled)

    val heartbeats = HeartbeatHandler(
        workerDirectory,
        messageRecorder,
        workerReconciler,
        commandPlanner,
        takeover,
        ports,
    )
    val commands = CommandDispatcher(
        table,
        commandPlanner,
        services.configuration.workerTimeouts.heartbeatInterval,
        messageRecorder,
        workerReconciler,
        events,
        ports,
    )
    val probes = ProbeResultHandler(
        workerDirectory,
        machines,
        workerProber,
        messageRecorder,
        workerReconciler,
        actions,
        ports,
    )
}
