package org.elderhitch.heartbeat

import org.elderhitch.leadership.TokenRange
import org.elderhitch.recovery.ActionKind
import org.elderhitch.recovery.ActionLedger
import org.elderhitch.tasks.Placement
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/** Plans the commands for a worker from its reports and the placements decided since, and records them as issued. */
internal class CommandPlanner(
    private val table: TaskTable,
    private val ledger: ActionLedger,
    /** The fencing tokens of this term. */
    private val tokens: TokenRange,
) {
    /**
     * Plans the commands for the response to a heartbeat, which has to be sent with the worker's token as it is
     * afterwards: stops, then starts, then reaps. The exited record of a task that is started again is reaped before
     * its start. Commands that exceed the size limit of a response wait for the next one. Otherwise a start might be
     * considered sent although it was cut off, and the leader would wait for the task in vain.
     *
     * @param terminalStops the stops from [stopsOfTerminalJobs], which precede all other commands.
     */
    fun planResponse(worker: WorkerState, now: MonotonicInstant, terminalStops: List<Command>): List<Command> {
        table.undelivered.remove(worker)
        val placements = worker.placements.values.toList()
        val starting = placements.filter { isStartDue(it, now) }
        val disposable = worker.tasks.filter(::isDisposable)
        raiseTokenIfNeeded(worker, starting, disposable, now)
        val commands = ArrayList(terminalStops)
        for (placement in placements) placement.stopGrace?.let { grace -> addStop(placement, grace, commands) }
        val startingTasks = starting.mapTo(HashSet()) { it.task }
        val (reapedFirst, reapedLast) = reaps(worker, disposable).partition { it.task in startingTasks }
        commands.addAll(reapedFirst)
        for (placement in starting) addStart(placement, now, commands)
        commands.addAll(reapedLast)
        val issued = if (commands.size > MAX_COMMANDS) commands.subList(0, MAX_COMMANDS) else commands
        recordIssued(worker, issued, CommandPath.RESPONSE, now)
        return issued
    }

    /**
     * Raises the worker's token if the response is to make the worker forget an attempt whose direct start may be
     * repeated: the worker adopts the token before it executes the commands, and refuses the repeat from then on.
     */
    private fun raiseTokenIfNeeded(
        worker: WorkerState,
        starting: List<Placement>,
        disposable: List<TaskStatus>,
        now: MonotonicInstant,
    ) {
        val forgetsRepeatable = disposable.any { mayBeRepeated(worker, it) } || starting.any(::replacesRepeatable)
        // A request in transit would be refused.
        if (!forgetsRepeatable || worker.commandInFlight) return
        worker.raiseToken(tokens.after(worker.token) ?: return)
        ledger.record(ActionKind.RAISE_TOKEN, 1, now)
    }

    /**
     * Returns the stops for all tasks on the worker whose job is known to be terminal, both [reported] ones and those
     * that the table places there. Every response must contain them: a terminal state is permanent, and a worker that
     * gets a response without them keeps running such tasks.
     *
     * @param tableComplete whether the table contains all open jobs.
     * @param mayStart whether this leader may start tasks. If so, stops that exceed the size limit of a response are
     *   spread over several responses. Otherwise there may be no further response, so all stops must fit into this one.
     */
    fun stopsOfTerminalJobs(
        worker: WorkerState,
        reported: List<TaskStatus>,
        tableComplete: Boolean,
        mayStart: Boolean,
    ): TerminalStops {
        val stops = LinkedHashSet<Command>()
        val complete = addReportedStops(reported, tableComplete, stops) && addPlacedStops(worker, mayStart, stops)
        val deliverable = complete && (mayStart || stops.size <= MAX_COMMANDS)
        return if (deliverable) TerminalStops.Deliverable(stops.toList()) else TerminalStops.Undeliverable
    }

    /** Returns whether it is known for every live task whether its job is terminal. */
    private fun addReportedStops(
        reported: List<TaskStatus>,
        tableComplete: Boolean,
        stops: MutableSet<Command>,
    ): Boolean {
        for (task in reported) {
            if (task.phase == TaskPhase.EXITED) continue
            // An incomplete table doesn't show whether an absent job is terminal.
            val terminal = table.isTerminal(task.task.job, tableComplete) ?: return false
            if (terminal) stops.add(Command.Stop(task.task, task.attempt, Duration.ZERO))
        }
        return true
    }

    /** Returns whether all tasks of terminal jobs that the table places on the worker can be stopped. */
    private fun addPlacedStops(worker: WorkerState, mayStart: Boolean, stops: MutableSet<Command>): Boolean {
        for (placement in worker.placements.values) {
            if (!isOfTerminalJob(placement)) continue
            if (placement.state == PlacementState.CONFIRMED) {
                stops.add(Command.Stop(placement.task, placement.attempt, Duration.ZERO))
            } else if (placement.state == PlacementState.SENT && placement.directStartPending && !mayStart) {
                // The start may still be executed, and only a leader that may start tasks can stop it early: it repeats
                // the start before the stop.
                return false
            }
        }
        return true
    }

    /** Plans the commands for the worker's own address: those decided since its last heartbeat and not sent yet. */
    fun planDirectCommands(worker: WorkerState, now: MonotonicInstant): List<Command> {
        val commands = ArrayList<Command>()
        for (placement in worker.placements.values) {
            if (commands.size == MAX_COMMANDS) break
            val grace = placement.stopGrace
            if (grace != null) {
                addDirectStop(placement, grace, commands)
            } else {
                addDirectStart(placement, now, commands)
            }
        }
        recordIssued(worker, commands, CommandPath.DIRECT, now)
        return commands
    }

    private fun isOfTerminalJob(placement: Placement): Boolean = table.jobs[placement.task.job]?.isTerminal != false

    private fun addStop(placement: Placement, grace: Duration, commands: MutableList<Command>) {
        // A direct start can't be cancelled. It is repeated before the stop, since a late copy of a start has no effect
        // once the worker has the task.
        if (placement.directStartPending && placement.state == PlacementState.SENT) {
            placement.markSentInResponse()
            commands.add(Command.Start(placement.task, placement.attempt))
        }
        val savingWithGrace = placement.phase == TaskPhase.SAVING && grace != Duration.ZERO
        val confirmedAndStoppable = placement.state == PlacementState.CONFIRMED && !savingWithGrace
        if (confirmedAndStoppable || placement.directStartPending) {
            placement.stopSent = true
            val stop = Command.Stop(placement.task, placement.attempt, grace)
            if (stop !in commands) commands.add(stop)
        }
    }

    private fun isStartDue(placement: Placement, now: MonotonicInstant): Boolean = placement.stopGrace == null &&
        when (placement.state) {
            PlacementState.ASSIGNED -> now >= placement.sendFrom
            PlacementState.SENT -> true
            PlacementState.CONFIRMED -> false
        }

    /** Whether the start may make the worker forget another attempt of the task whose direct start may be repeated. */
    private fun replacesRepeatable(placement: Placement): Boolean {
        val worker = placement.worker
        return worker.directStarts.mayOtherBeRepeated(placement.task, placement.attempt, worker.token)
    }

    private fun addStart(placement: Placement, now: MonotonicInstant, commands: MutableList<Command>) {
        if (placement.state == PlacementState.ASSIGNED && now > placement.sendBy) {
            table.jobs[placement.task.job]?.let { job -> table.remove(job, placement) }
        } else if (commands.size < MAX_COMMANDS && !replacesRepeatable(placement)) {
            placement.markSentInResponse()
            commands.add(Command.Start(placement.task, placement.attempt))
        } else {
            table.undelivered.add(placement.worker)
        }
    }

    private fun reaps(worker: WorkerState, disposable: List<TaskStatus>): List<Command> =
        disposable.filterNot { mayBeRepeated(worker, it) }.map { Command.Reap(it.task, it.attempt) }

    /** Whether the worker's record of the task is not needed any more. */
    private fun isDisposable(task: TaskStatus): Boolean {
        if (task.phase != TaskPhase.EXITED) return false
        val job = table.jobs[task.task.job]
        // The worker must keep the result until it is recorded.
        val unrecorded = job != null &&
            !job.isTerminal &&
            task.cause == ExitCause.DONE &&
            task.task.index !in job.recorded
        return !unrecorded
    }

    /** Whether the worker would start the task again if a direct start arrived once more after a reap. */
    private fun mayBeRepeated(worker: WorkerState, task: TaskStatus): Boolean =
        worker.directStarts.mayBeRepeated(task.task, task.attempt, worker.token)

    private fun addDirectStop(placement: Placement, grace: Duration, commands: MutableList<Command>) {
        if (placement.state != PlacementState.CONFIRMED || placement.stopSent) return
        placement.stopSent = true
        commands.add(Command.Stop(placement.task, placement.attempt, grace))
    }

    private fun addDirectStart(placement: Placement, now: MonotonicInstant, commands: MutableList<Command>) {
        if (placement.state != PlacementState.ASSIGNED || now < placement.sendFrom || now > placement.sendBy) return
        if (!mayStartDirectly(placement)) return
        placement.markSentDirectly()
        val start = Command.Start(placement.task, placement.attempt)
        placement.worker.directStarts.add(start, placement.worker.token)
        commands.add(start)
    }

    /**
     * A response starts the task instead if the worker still has a record of it, or if the last token of the term is in
     * use: the worker could never forget a task that was started directly with it.
     */
    private fun mayStartDirectly(placement: Placement): Boolean {
        val worker = placement.worker
        val isKnownThere = worker.tasks.any { it.task == placement.task }
        return !isKnownThere && !replacesRepeatable(placement) && worker.token < tokens.last
    }

    private fun recordIssued(worker: WorkerState, commands: List<Command>, path: CommandPath, now: MonotonicInstant) {
        for (command in commands) {
            CommandLog.issued(worker, command, path)
            when (command) {
                is Command.Start -> ledger.recordStart(command.task, now)
                is Command.Stop -> ledger.recordStop(command.task, isStopRequested(worker, command), now)
                is Command.Reap -> ledger.record(ActionKind.REAP, 1, now)
            }
        }
    }

    /** Whether the machine is being reclaimed or the job is terminal, so that the stop was not this leader's choice. */
    private fun isStopRequested(worker: WorkerState, stop: Command.Stop): Boolean =
        worker.preemptionNotice != null || table.jobs[stop.task.job]?.isTerminal != false

    private companion object {
        /** A response line and a request body are limited to 64 KiB; a command takes about 100 bytes. */
        const val MAX_COMMANDS = 400
    }
}
