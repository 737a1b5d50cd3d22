package org.elderhitch.scheduler

import org.elderhitch.explain.JobExplainer
import org.elderhitch.failuredetection.WorkerProber
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobSpec
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.recovery.ReconciliationStatistics
import org.elderhitch.recovery.Takeover
import org.elderhitch.tasks.MachineRegistry
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant

/** The leader's state for one term. A new instance is created for each term, so that nothing has to be reset. */
internal class LeadershipTerm(leader: LeadershipState.Leader, private val services: SchedulerServices) {
    /** The leadership of this term, as of its latest renewal. */
    var leader: LeadershipState.Leader = leader
        private set
    val number: Term = leader.term

    val takeover = Takeover(
        services.configuration.leadershipTimeouts,
        services.leaseTimeouts,
        services.clock,
    ).also { it.begin(leader) }
    val machines = MachineRegistry()
    val statistics = ReconciliationStatistics(services.clock).also { it.resetForNewTerm(leader) }
    val consolidation = Consolidation(services.table)
    val workerProber = WorkerProber(
        services.table,
        takeover,
        services.configuration.workerTimeouts,
        services.pauseDetector,
        services.ports,
        statistics.actions,
    )
    val workerMessages = WorkerMessageHandlers(
        services,
        takeover,
        machines,
        workerProber,
        statistics,
        leader.tokens,
        ::settleTakeover,
    )
    val explainer = JobExplainer(
        services.table,
        services.failureAttribution,
        takeover,
        services.failureDetector,
        machines,
        services.configuration.teams,
    )

    /** Whether the task table contains all jobs that were recorded before this term was claimed. */
    var isTableComplete = false
        private set

    private var nextAttempt = leader.term.number shl ATTEMPTS_PER_TERM_BITS

    /** Applies a renewal of the leadership in this term. */
    fun renew(renewed: LeadershipState.Leader) {
        leader = renewed
    }

    fun markTableComplete() {
        isTableComplete = true
    }

    /** Returns an attempt whose number is unique across all terms. */
    fun newAttempt(): Attempt = Attempt(nextAttempt++)

    /** Ends the takeover if no task of earlier terms can be running unreported any more. */
    fun settleTakeover() {
        if (!takeover.trySettle()) return
        services.table.needsCycle = true
        statistics.recordSettled()
    }

    /** Whether an unreported task of the job may be running on a machine that has not reported in this term. */
    fun mayRunUnreported(spec: JobSpec): Boolean =
        takeover.mayRunUnreported(spec, machines.known, services.state.catalog)

    /** Whether new tasks may be placed on the worker. */
    fun isUsable(worker: WorkerState, now: MonotonicInstant): Boolean = worker.reconciled &&
        worker.lease?.awaitingFirstResponse == false &&
        worker.preemptionNotice == null &&
        !worker.faulty &&
        !worker.unreachable &&
        now > worker.quarantinedUntil &&
        now > worker.drainingUntil &&
        worker.id in machines.confirmedUp &&
        !services.failureDetector.isSuspected(worker, now) &&
        worker.terminationRequestedAt == MonotonicInstant.NEVER

    private companion object {
        /** The number of low bits in an attempt number; the remaining high bits are the number of the term. */
        const val ATTEMPTS_PER_TERM_BITS = 24
    }
}
