package org.elderhitch.workers

import org.elderhitch.fleet.FleetMessage
import org.elderhitch.jobs.Image
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.Tenure
import org.elderhitch.recovery.OrderKind
import org.elderhitch.recovery.Orders
import org.elderhitch.recovery.RegretKind
import org.elderhitch.settings.WorkerTimes
import org.elderhitch.time.Moment
import kotlin.time.Duration.Companion.seconds

/** What a term's leader and its workers say to each other: reports and their answers, commands and questions to their own addresses. */
internal class Conversation(
    private val table: TaskTable,
    private val takeover: Takeover,
    private val reconciler: Reconciler,
    private val commands: CommandList,
    private val silence: Silence,
    private val inquiry: Inquiry,
    private val roster: Roster,
    private val workerTimes: WorkerTimes,
    private val events: EventLog,
    private val ports: ForemanPorts,
    private val orders: Orders,
    private val hinted: (MachineId) -> Map<Image, Double>?,
    private val onSettled: () -> Unit,
) {
    /** [cycle]: gives away the room that a report brought, before it is answered. */
    fun report(
        leading: Tenure.Leading,
        report: Report,
        now: Moment,
        tableComplete: Boolean,
        cycle: (WorkerState) -> Unit,
    ): ReportAnswer {
        if (report.term > leading.term) {
            ports.leadership(LeadershipMessage.TermSeen(report.term))
            return ReportAnswer.Elsewhere(null)
        }
        // A message from a machine that is surely gone was held up on its way.
        if (report.machine in roster.gone) orders.spoke(report.machine, now)
        if (!leading.mayAnswer(now) || report.machine in roster.gone) return ReportAnswer.Elsewhere(null)
        val worker = table.workers.getOrPut(report.machine) { worker(report, now) }
        // Late reports tell what was: answering one would renew nothing, and believing one would free a task, or bring back one that was lost.
        if (worker.lease?.judge(report.order.session) == Word.STALE) return ReportAnswer.Elsewhere(null)
        val order = worker.order
        if (order != null && report.order <= order) {
            // But one that a command to the worker's own address has overtaken is no late one: it waits for its answer.
            if (now - worker.calledAt > WorkerTimes.ANSWER_WAIT) return ReportAnswer.Elsewhere(null)
            val stops =
                commands.endings(worker, report.tasks + worker.tasks, tableComplete, mayStart = false)
                    ?: return ReportAnswer.Elsewhere(null)
            renew(leading, worker, report, now)
            return ReportAnswer.Accepted(leading.term, stops)
        }
        heard(leading, worker, report, now)
        val obeys = report.term == leading.term
        if (obeys &&
            tableComplete
        ) {
            settle(worker, report)
        } else if (!obeys &&
            takeover.closing(now)
        ) {
            return ReportAnswer.Elsewhere(null)
        }
        val mayCommand = obeys && tableComplete && leading.mayCommand(now)
        val stops =
            commands.endings(worker, report.tasks, tableComplete, mayCommand) ?: return ReportAnswer.Elsewhere(null)
        // It is answered in any case, so its session goes on: the scheduling cycle may give it something in this very answer.
        renew(leading, worker, report, now)
        // It may still execute an earlier leader's command; its list counts once it has seen our term. And without the
        // jobs its tasks can't be judged: it is kept, and its next report is.
        if (!mayCommand) return ReportAnswer.Accepted(leading.term, stops)
        // Room that this report brings is given away in its own answer: the next report may be seconds off.
        cycle(worker)
        return ReportAnswer.Accepted(leading.term, commands.of(worker, now, stops).also { given(worker, it, now) })
    }

    /** The report is being answered, so its session goes on. */
    private fun renew(leading: Tenure.Leading, worker: WorkerState, report: Report, now: Moment) {
        worker.answered(now)
        worker.lastReport = now
        // One that an answer to a command has settled since holds nothing that this term doesn't know.
        if (report.term < leading.term && !worker.settled) takeover.answered(worker.id, now)
    }

    private fun worker(report: Report, now: Moment): WorkerState =
        WorkerState(report.machine, report.type, report.zone, report.spot, now).also { fresh ->
            hinted(report.machine)?.forEach { (image, gb) -> fresh.usesImage(image, gb) }
        }

    /** A word that is newer than all before it. */
    private fun heard(leading: Tenure.Leading, worker: WorkerState, report: Report, now: Moment) {
        orders.spoke(worker.id, now)
        if (worker.hears(report.order.session, now, obeys = report.term == leading.term) == Word.NEW_SESSION) {
            // Commands to its own address name the session: those of an earlier one are never executed now, and what ran in it is gone.
            worker.loose.clear()
            table.loseSent(worker)
        }
        worker.order = report.order
        worker.unreachable = false
        worker.lastWord = now
        worker.address = report.address
        if (report.notice != null && worker.notice == null) {
            events.info("spot notice", worker.id) { "spot notice machine=${report.machine} notice_s=${report.notice}" }
            table.dirty = true
        }
        worker.notice = report.notice
        if (worker.releaseAsked != Moment.NEVER || !worker.settled) ports.fleet(FleetMessage.Heard(worker.id))
        silence.heard(worker)
        inquiry.heard(worker.id)
        silence.back(worker, now)
        if (report.machine !in roster.known) ports.fleet(FleetMessage.Stray(report))
        if (worker.id in roster.known && worker.id !in roster.cleared && now - worker.clearAsked > CLEAR_AGAIN) {
            worker.clearAsked = now
            ports.fleet(FleetMessage.CameUp(worker.id))
        }
    }

    private fun settle(worker: WorkerState, report: Report, inReply: Boolean = false) {
        if (!worker.settled) {
            worker.settled = true
            takeover.heard(worker.id)
            events.info("worker settled", worker.id) {
                "worker settled machine=${worker.id} by=report tasks=${report.tasks.size}"
            }
            table.dirty = true
        }
        reconciler.apply(worker, report, inReply)
        onSettled()
    }

    /**
     * Sends what was decided to workers whose next report is not due soon. In an answer it would be as safe and cheaper,
     * but a task would wait for half a report's time, and an intent that is older than a scheduling cycle's budget is dropped.
     */
    fun sendUrgent(leading: Tenure.Leading, now: Moment, answering: WorkerState?) {
        val workers = table.undelivered.iterator()
        while (workers.hasNext()) {
            val worker = workers.next()
            val address = worker.address
            val session = worker.order?.session
            if (worker === answering || worker.calling) continue
            if (address == null ||
                session == null ||
                worker.unreachable ||
                worker.lastWord + workerTimes.report - now < WORTH_CALLING
            ) {
                continue
            }
            val urgent = commands.urgent(worker, now)
            if (worker.placements.values.none { it.certainty == Certainty.ASSIGNED }) workers.remove()
            if (urgent.isEmpty()) continue
            worker.calling = true
            given(worker, urgent, now)
            ports.command(leading, address, worker.id, session, urgent)
        }
    }

    private fun given(worker: WorkerState, commands: List<Command>, now: Moment) {
        for (command in commands) {
            when (command) {
                is Command.Start -> orders.started(command.task, now)

                is Command.Stop -> orders.stopped(
                    command.task,
                    asked =
                    worker.notice != null || table.jobs[command.task.job]?.ended != false,
                    now,
                )

                is Command.Forget -> orders.gave(OrderKind.REAP, 1, now)
            }
        }
    }

    fun commanded(leading: Tenure.Leading, message: ForemanMessage.Commanded, now: Moment) {
        val worker = table.workers[message.machine] ?: return
        worker.calling = false
        worker.calledAt = now
        if (worker.order?.session != message.session) return
        val outcome = message.outcome
        if (outcome == CommandOutcome.Unknown) {
            // Bound to this worker until it shows them, or its session ends; each answer to it repeats them.
            events.info("start unanswered", worker.id) {
                "start unanswered machine=${worker.id} starts=${message.starts.size}"
            }
            return
        }
        worker.loose.removeAll(message.starts)
        val placements = message.starts.mapNotNull { (task, attempt) ->
            worker.placements[task]?.takeIf {
                it.attempt ==
                    attempt
            }
        }
        placements.forEach { it.onItsWay = false }
        if (outcome is CommandOutcome.Executed) {
            val report = outcome.report
            if (report.machine == worker.id && report.term == leading.term && isNews(worker, report)) {
                heard(leading, worker, report, now)
                settle(worker, report, inReply = true)
            }
            return
        }
        if (outcome == CommandOutcome.Unreachable) worker.unreachable = true
        // Unless an answer to a report brought the same start: then the next report tells.
        for (p in placements) {
            if (p.certainty == Certainty.SENT &&
                !p.answered
            ) {
                table.jobs[p.task.job]?.let { table.remove(it, p) }
            }
        }
    }

    fun asked(
        leading: Tenure.Leading,
        machine: MachineId,
        outcome: CommandOutcome,
        now: Moment,
        tableComplete: Boolean,
    ) {
        if (machine in roster.gone) return
        inquiry.took(machine, connection = outcome != CommandOutcome.Unreachable, now)
        if (outcome !is CommandOutcome.Executed) orders.regrets(RegretKind.ASK_IN_VAIN)
        val said = (outcome as? CommandOutcome.Executed)?.report
        // A machine's address may be another's by now.
        if (said == null || said.machine != machine) return
        if (said.term > leading.term) {
            ports.leadership(LeadershipMessage.TermSeen(said.term))
            return
        }
        val worker = table.workers.getOrPut(said.machine) { worker(said, now) }
        if (!isNews(worker, said)) return
        worker.calledAt = now
        heard(leading, worker, said, now)
        if (said.term == leading.term && tableComplete) settle(worker, said, inReply = true)
    }

    private fun isNews(worker: WorkerState, report: Report): Boolean =
        worker.lease?.judge(report.order.session) != Word.STALE && worker.order.let { it == null || report.order > it }

    private companion object {
        val CLEAR_AGAIN = 2.seconds

        /** A call costs a connection; a report that is due sooner carries the commands for nothing. */
        val WORTH_CALLING = 1.seconds
    }
}
