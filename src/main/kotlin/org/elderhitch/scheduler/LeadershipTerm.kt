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

/** All of the leader's state that lives for one term. Made anew when a term begins, so that nothing needs a reset. */
internal class LeadershipTerm(leader: LeadershipState.Leader, private val services: SchedulerServices) {
    /** This term's leadership as it was last renewed. */
    var leader: LeadershipState.Leader = leader
        private set
    val number: Term = leader.term

    val takeover = Takeover(
        services.configuration.leadershipTimeouts,
        services.leaseTimeouts,
        services.clock,
    ).also { it.begin(leader) }
    val machines = MachineRegistry()
    val statistics = ReconciliationStatistics(services.clock).also { it.newTerm(leader) }
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

    /** The task table holds all jobs that were recorded before this term was claimed. */
    var isTableComplete = false
        private set

    private var nextAttempt = leader.term.number shl ATTEMPTS_PER_TERM_BITS

    /** Takes the [renewed] leadership of this same term. */
    fun renew(renewed: LeadershipState.Leader) {
        leader = renewed
    }

    fun markTableComplete() {
        isTableComplete = true
    }

    /** An attempt number that no other attempt has, of this term or another. */
    fun newAttempt(): Attempt = Attempt(nextAttempt++)

    /** Ends the takeover if nothing of earlier terms is unclear any more. */
    fun settleTakeover() {
        if (!takeover.trySettle()) return
        services.table.dirty = true
        statistics.settled()
    }

    /** Whether an unreported task of the job may run on a machine that has not been heard from in this term. */
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
        worker.id in machines.cleared &&
        !services.failureDetector.isSuspected(worker, now) &&
        worker.releaseRequestedAt == MonotonicInstant.NEVER

    private companion object {
        /** Attempt numbers of a term begin at its number times two to this power. */
        const val ATTEMPTS_PER_TERM_BITS = 24
    }
}
