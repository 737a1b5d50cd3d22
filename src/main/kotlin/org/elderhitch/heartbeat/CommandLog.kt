package org.elderhitch.heartbeat

import org.elderhitch.tasks.WorkerState
import org.slf4j.LoggerFactory

/** How a command reaches its worker. */
internal enum class CommandPath {
    /** In the response to a heartbeat, which the worker drops if it arrives late. */
    RESPONSE,

    /** In a request to the worker's own address, which may be executed late. */
    DIRECT,
}

/**
 * Logs the life of each attempt at debug level: every command sent for it, and the outcome of every direct start. All lines contain `task=`, so that the lines of all controllers about a task can be collected.
 */
internal object CommandLog {
    private val log = LoggerFactory.getLogger("elderhitch.commands")

    fun issued(worker: WorkerState, command: Command, path: CommandPath) {
        if (!log.isDebugEnabled) return
        log.debug(
            "command sent task={} attempt={} kind={} path={} machine={} epoch={} token={} because=\"{}\"",
            command.task,
            command.attempt.number,
            command.javaClass.simpleName.lowercase(),
            path.name.lowercase(),
            worker.id,
            worker.heartbeatSequence?.agentEpoch,
            worker.token,
            reason(worker, command),
        )
    }

    /** Logs the outcome of a direct request that contained [starts]. */
    fun answered(worker: WorkerState, starts: Set<Command.Start>, outcome: CommandOutcome) {
        if (!log.isDebugEnabled) return
        for (start in starts) {
            log.debug(
                "direct start task={} attempt={} machine={} outcome={}",
                start.task,
                start.attempt.number,
                worker.id,
                outcome.javaClass.simpleName.lowercase(),
            )
        }
    }

    private fun reason(worker: WorkerState, command: Command): String {
        val report = worker.tasks.firstOrNull { it.task == command.task && it.attempt == command.attempt }
        return when (command) {
            is Command.Start -> "placed, not reported yet"
            is Command.Stop -> "grace ${command.grace}, reported ${report?.phase ?: "nothing"}"
            is Command.Reap -> "exited with ${report?.cause}"
        }
    }
}
