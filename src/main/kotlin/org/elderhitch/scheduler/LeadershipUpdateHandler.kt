package org.elderhitch.scheduler

import org.elderhitch.leadership.LeadershipState

/** Handles [SchedulerMessage.LeadershipUpdate]: leadership changes, takeovers, and lease delegation. */
internal class LeadershipUpdateHandler(private val services: SchedulerServices) {
    private val state = services.state
    private val table = services.table
    private val delegates = services.delegates

    fun handle(message: SchedulerMessage.LeadershipUpdate) {
        when (message) {
            is SchedulerMessage.LeadershipChanged -> changeLeadership(message.leadershipState)

            is SchedulerMessage.JobsLoaded -> state.currentTerm(message.term)?.let { term ->
                term.markTableComplete()
                table.needsCycle = true
            }

            is SchedulerMessage.PreviousLeaderExited ->
                state.currentTerm(message.term)?.let { it.takeover.previousLeaderExited = true }

            is SchedulerMessage.PreviousLeadersStopped ->
                state.currentTerm(message.term)?.takeover?.recordPreviousLeadersStopped()

            is SchedulerMessage.RequestDelegation -> requestDelegation(message)

            is SchedulerMessage.DelegationGranted -> delegates.acceptGrant(message.grant)
        }
    }

    private fun changeLeadership(next: LeadershipState) {
        val previousTerm = state.currentTerm
        state.leadershipState = next
        // Also as the leader: a grant of an earlier term may arrive at any time, and be found when this term has ended.
        delegates.observeTerm(next.term)
        services.ports.publishRespectedTerm(next.term)
        if (next !is LeadershipState.Leader) return
        if (previousTerm?.number == next.term) previousTerm.renew(next) else beginTerm(next)
    }

    /** Begins a term. Components that outlive terms discard the state that is valid for one term only. */
    private fun beginTerm(leader: LeadershipState.Leader) {
        table.resetForNewTerm()
        delegates.resetForNewTerm()
        services.failureDetector.resetForNewTerm()
        services.holds.resetForNewTerm()
        services.completions.resetForNewTerm()
        state.lastTerm = LeadershipTerm(leader, services)
    }

    private fun requestDelegation(message: SchedulerMessage.RequestDelegation) {
        val offer = state.currentTerm?.let { term ->
            delegates.grantDelegation(term.leader, message.node, term.isTableComplete, services.clock.now())
        }
        message.reply.complete(offer)
    }
}
