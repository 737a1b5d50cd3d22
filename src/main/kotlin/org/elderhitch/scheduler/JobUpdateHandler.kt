package org.elderhitch.scheduler

import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.HoldResult
import org.elderhitch.jobs.JobEvent
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.Placement
import org.slf4j.LoggerFactory

/** Handles [SchedulerMessage.JobUpdate] and the task table's callbacks about lost and completed tasks. */
internal class JobUpdateHandler(private val services: SchedulerServices) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val state = services.state
    private val table = services.table
    private val clock = services.clock
    private val ports = services.ports
    private val holds = services.holds

    fun handle(message: SchedulerMessage.JobUpdate) {
        when (message) {
            is SchedulerMessage.JobChanged -> apply(message.event)

            is SchedulerMessage.CompletionsRecorded ->
                if (state.currentTerm(message.term) != null) services.completions.onRecorded(message.completedTasks)

            is SchedulerMessage.HoldJob -> hold(message)

            is SchedulerMessage.HoldWritten ->
                if (state.currentTerm(message.term) != null) holds.onHoldWritten(message.id, message.outcome)
        }
    }

    /** Handles a task that is gone from its worker without having completed. */
    fun onTaskLost(job: JobState, placement: Placement) {
        job.usage.recordLoss(job, placement, clock.now(), holds.countsFailures(job))
        val term = state.currentTerm ?: return
        // A hold is recorded under its own key next to the job's record, and a provider-owned job has no such record.
        if (holds.countsFailures(job) && !job.providerOwned) {
            holds.holdIfAttemptsExhausted(term.leader, job, placement.task.index)
        }
    }

    /** Handles the completion of a task that was started in this term. */
    fun onTaskCompleted(job: JobState, placement: Placement) =
        services.cycleInputs.recordRunTime(job, placement, clock.now())

    private fun apply(event: JobEvent) {
        if (event !is JobEvent.FreshnessConfirmed) table.needsCycle = true
        when (event) {
            is JobEvent.Opened -> open(event)

            is JobEvent.TasksCompleted -> table.recordCompletions(event)

            is JobEvent.Ended -> table.jobs[event.id]?.let(::end)

            is JobEvent.HoldChanged -> holds.onHoldChanged(state.currentTerm?.leader, event.id, event.storedHold)

            is JobEvent.FreshnessConfirmed -> {
                table.upToDateAsOf = event.since
                ports.leadership(LeadershipMessage.FreshnessConfirmed(event.since))
            }
        }
    }

    private fun open(event: JobEvent.Opened) {
        val spec = event.spec
        log.debug("job opened job={} class={} tasks={} image={}", spec.id, spec.jobClass, spec.tasks, spec.image)
        services.cycleInputs.recordArrival(spec, clock.now())
        table.open(event)
    }

    private fun end(job: JobState) {
        val leader = state.currentTerm?.leader
        if (leader != null && job.recorded.count > 0) {
            val recorded = (0 until job.spec.tasks).filter { it in job.recorded }
            ports.deleteCompletions(leader, job.id, recorded.map(CompletedTasks::blockOf).toSet())
        }
        holds.onJobEnded(job.id)
        if (leader != null && job.storedHold != null) ports.deleteHold(leader, job.id)
        table.markTerminal(job)
    }

    private fun hold(message: SchedulerMessage.HoldJob) {
        val term = state.currentTerm?.takeIf { it.isTableComplete && it.leader.maySendCommands(clock.now()) }
        if (term == null) {
            message.reply.complete(HoldResult.NotNow("this node is not a leader that may send commands now"))
            return
        }
        holds.request(term.leader, message, term::mayRunUnreported)
    }
}
