package org.elderhitch.heartbeat

import org.elderhitch.failuredetection.FailureDetector
import org.elderhitch.failuredetection.WorkerProber
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Image
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.ActionKind
import org.elderhitch.recovery.ActionLedger
import org.elderhitch.recovery.NeedlessActionKind
import org.elderhitch.recovery.Takeover
import org.elderhitch.recovery.TaskReconciler
import org.elderhitch.scheduler.EventLog
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.tasks.MachineRegistry
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration.Companion.seconds

/**
 * What a term's leader and its workers say to each other: reports and their answers, commands and questions to their
 * own addresses.
 */
internal class HeartbeatHandler(
    private val table: TaskTable,
    private val takeover: Takeover,
    private val taskReconciler: TaskReconciler,
    private val commands: CommandPlanner,
    private val failureDetector: FailureDetector,
    private val workerProber: WorkerProber,
    private val machineRegistry: MachineRegistry,
    private val workerTimes: WorkerTimeouts,
    private val events: EventLog,
    private val ports: SchedulerPorts,
    private val orders: ActionLedger,
    private val hinted: (MachineId) -> Map<Image, Double>?,
    private val onSettled: () -> Unit,
) {
    /** [cycle]: gives away the room that a report brought, before it is answered. */
    fun handle(
        leadership: LeadershipState.Leader,
        report: Heartbeat,
        now: MonotonicInstant,
        tableComplete: Boolean,
        cycle: (WorkerState) -> Unit,
    ): HeartbeatResponse {
        if (report.term > leadership.term) {
            ports.leadership(LeadershipMessage.TermObserved(report.term))
            return HeartbeatResponse.Redirect(null)
        }
        // A message from a machine that is surely gone was held up on its way.
        if (report.machine in machineRegistry.gone) orders.machineSeen(report.machine, now)
        if (!leadership.mayAnswerHeartbeats(now) ||
            report.machine in machineRegistry.gone
        ) {
            return HeartbeatResponse.Redirect(null)
        }
        val worker = table.workers.getOrPut(report.machine) { worker(report, now) }
        // Late reports tell what was: answering one would renew nothing, and believing one would free a task, or bring
        // back one that was lost.
        if (worker.lease?.freshnessOf(report.sequence.agentEpoch) == MessageFreshness.STALE) return HeartbeatResponse.Redirect(null)
        val order = worker.heartbeatSequence
        if (order != null && report.sequence <= order) {
            // But one that a command to the worker's own address has overtaken is no late one: it waits for its answer.
            if (now - worker.lastCommandAt > WorkerTimeouts.ANSWER_WAIT) return HeartbeatResponse.Redirect(null)
            val stops =
                commands.endings(worker, report.tasks + worker.tasks, tableComplete, mayStart = false)
                    ?: return HeartbeatResponse.Redirect(null)
            renew(leadership, worker, report, now)
            return HeartbeatResponse.Accepted(leadership.term, stops)
        }
        heard(leadership, worker, report, now)
        val acknowledgesTerm = report.term == leadership.term
        if (acknowledgesTerm &&
            tableComplete
        ) {
            settle(worker, report)
        } else if (!acknowledgesTerm &&
            takeover.refusesUnawareWorkers(now)
        ) {
            return HeartbeatResponse.Redirect(null)
        }
        val maySendCommands = acknowledgesTerm && tableComplete && leadership.maySendCommands(now)
        val stops =
            commands.endings(worker, report.tasks, tableComplete, maySendCommands)
                ?: return HeartbeatResponse.Redirect(null)
        // It is answered in any case, so its session goes on: the scheduling cycle may give it something in this very
        // answer.
        renew(leadership, worker, report, now)
        // It may still execute an earlier leader's command; its list counts once it has seen our term. And without the
        // jobs its tasks can't be judged: it is kept, and its next report is.
        if (!maySendCommands) return HeartbeatResponse.Accepted(leadership.term, stops)
        // Room that this report brings is given away in its own answer: the next report may be seconds off.
        cycle(worker)
        return HeartbeatResponse.Accepted(
            leadership.term,
            commands.of(worker, now, stops).also {
                given(worker, it, now)
            },
        )
    }

    /** The report is being answered, so its session goes on. */
    private fun renew(
        leadership: LeadershipState.Leader,
        worker: WorkerState,
        report: Heartbeat,
        now: MonotonicInstant,
    ) {
        worker.heartbeatAnswered(now)
        worker.lastHeartbeatAt = now
        // One that an answer to a command has settled since holds nothing that this term doesn't know.
        if (report.term < leadership.term && !worker.reconciled) takeover.heartbeatAnswered(worker.id, now)
    }

    private fun worker(report: Heartbeat, now: MonotonicInstant): WorkerState =
        WorkerState(report.machine, report.type, report.zone, report.spot, now).also { fresh ->
            hinted(report.machine)?.forEach { (image, gb) -> fresh.recordImageUse(image, gb) }
        }

    /** A word that is newer than all before it. */
    private fun heard(
        leadership: LeadershipState.Leader,
        worker: WorkerState,
        report: Heartbeat,
        now: MonotonicInstant,
    ) {
        orders.machineSeen(worker.id, now)
        if (worker.recordMessage(report.sequence.agentEpoch, now, acknowledgesTerm = report.term == leadership.term) ==
            MessageFreshness.NEW_EPOCH
        ) {
            // Commands to its own address name the session: those of an earlier one are never executed now, and what
            // ran in it is gone.
            worker.unacknowledgedStarts.clear()
            table.removeSentTo(worker)
        }
        worker.heartbeatSequence = report.sequence
        worker.unreachable = false
        worker.lastSeenAt = now
        worker.address = report.address
        if (report.notice != null && worker.preemptionNotice == null) {
            events.info("spot notice", worker.id) { "spot notice machine=${report.machine} notice_s=${report.notice}" }
            table.dirty = true
        }
        worker.preemptionNotice = report.notice
        if (worker.releaseRequestedAt != MonotonicInstant.NEVER ||
            !worker.reconciled
        ) {
            ports.fleet(FleetMessage.HeartbeatReceived(worker.id))
        }
        failureDetector.heard(worker)
        workerProber.heard(worker.id)
        failureDetector.back(worker, now)
        if (report.machine !in machineRegistry.known) ports.fleet(FleetMessage.OrphanDetected(report))
        if (worker.id in machineRegistry.known &&
            worker.id !in machineRegistry.cleared &&
            now - worker.clearanceRequestedAt > CLEAR_AGAIN
        ) {
            worker.clearanceRequestedAt = now
            ports.fleet(FleetMessage.MachineUp(worker.id))
        }
    }

    private fun settle(worker: WorkerState, report: Heartbeat, inReply: Boolean = false) {
        if (!worker.reconciled) {
            worker.reconciled = true
            takeover.markAccounted(worker.id)
            events.info("worker settled", worker.id) {
                "worker settled machine=${worker.id} by=report tasks=${report.tasks.size}"
            }
            table.dirty = true
        }
        taskReconciler.apply(worker, report, inReply)
        onSettled()
    }

    /**
     * Sends what was decided to workers whose next report is not due soon. In an answer it would be as safe and
     * cheaper,
     * but a task would wait for half a report's time, and an intent that is older than a scheduling cycle's budget is
     * dropped.
     */
    fun sendUrgent(leadership: LeadershipState.Leader, now: MonotonicInstant, answering: WorkerState?) {
        val workers = table.undelivered.iterator()
        while (workers.hasNext()) {
            val worker = workers.next()
            val address = worker.address
            val session = worker.heartbeatSequence?.agentEpoch
            if (worker === answering || worker.commandInFlight) continue
            if (address == null ||
                session == null ||
                worker.unreachable ||
                worker.lastSeenAt + workerTimes.report - now < WORTH_CALLING
            ) {
                continue
            }
            val urgent = commands.urgent(worker, now)
            if (worker.placements.values.none { it.state == PlacementState.ASSIGNED }) workers.remove()
            if (urgent.isEmpty()) continue
            worker.commandInFlight = true
            given(worker, urgent, now)
            ports.command(leadership, address, worker.id, session, urgent)
        }
    }

    private fun given(worker: WorkerState, commands: List<Command>, now: MonotonicInstant) {
        for (command in commands) {
            when (command) {
                is Command.Start -> orders.recordStart(command.task, now)

                is Command.Stop -> orders.recordStop(
                    command.task,
                    asked =
                    worker.preemptionNotice != null || table.jobs[command.task.job]?.isTerminal != false,
                    now,
                )

                is Command.Reap -> orders.record(ActionKind.REAP, 1, now)
            }
        }
    }

    fun commanded(
        leadership: LeadershipState.Leader,
        message: SchedulerMessage.CommandsDelivered,
        now: MonotonicInstant,
    ) {
        val worker = table.workers[message.machine] ?: return
        worker.commandInFlight = false
        worker.lastCommandAt = now
        if (worker.heartbeatSequence?.agentEpoch != message.agentEpoch) return
        val outcome = message.outcome
        if (outcome == CommandOutcome.Unknown) {
            // Bound to this worker until it shows them, or its session ends; each answer to it repeats them.
            events.info("start unanswered", worker.id) {
                "start unanswered machine=${worker.id} starts=${message.starts.size}"
            }
            return
        }
        worker.unacknowledgedStarts.removeAll(message.starts)
        val placements = message.starts.mapNotNull { (task, attempt) ->
            worker.placements[task]?.takeIf {
                it.attempt ==
                    attempt
            }
        }
        placements.forEach { it.directStartPending = false }
        if (outcome is CommandOutcome.Executed) {
            val report = outcome.heartbeat
            if (report.machine == worker.id && report.term == leadership.term && isNews(worker, report)) {
                heard(leadership, worker, report, now)
                settle(worker, report, inReply = true)
            }
            return
        }
        if (outcome == CommandOutcome.Unreachable) worker.unreachable = true
        // Unless an answer to a report brought the same start: then the next report tells.
        for (p in placements) {
            if (p.state == PlacementState.SENT &&
                !p.sentInResponse
            ) {
                table.jobs[p.task.job]?.let { table.remove(it, p) }
            }
        }
    }

    fun asked(
        leadership: LeadershipState.Leader,
        machine: MachineId,
        outcome: CommandOutcome,
        now: MonotonicInstant,
        tableComplete: Boolean,
    ) {
        if (machine in machineRegistry.gone) return
        workerProber.took(machine, connection = outcome != CommandOutcome.Unreachable, now)
        if (outcome !is CommandOutcome.Executed) orders.recordNeedless(NeedlessActionKind.PROBE_FAILED)
        val said = (outcome as? CommandOutcome.Executed)?.heartbeat
        // A machine's address may be another's by now.
        if (said == null || said.machine != machine) return
        if (said.term > leadership.term) {
            ports.leadership(LeadershipMessage.TermObserved(said.term))
            return
        }
        val worker = table.workers.getOrPut(said.machine) { worker(said, now) }
        if (!isNews(worker, said)) return
        worker.lastCommandAt = now
        heard(leadership, worker, said, now)
        if (said.term == leadership.term && tableComplete) settle(worker, said, inReply = true)
    }

    private fun isNews(worker: WorkerState, report: Heartbeat): Boolean =
        worker.lease?.freshnessOf(report.sequence.agentEpoch) != MessageFreshness.STALE &&
            worker.heartbeatSequence.let { it == null || report.sequence > it }

    private companion object {
        val CLEAR_AGAIN = 2.seconds

        /** A call costs a connection; a report that is due sooner carries the commands for nothing. */
        val WORTH_CALLING = 1.seconds
    }
}
