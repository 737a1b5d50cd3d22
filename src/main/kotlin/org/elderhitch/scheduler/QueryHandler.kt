package org.elderhitch.scheduler

import org.elderhitch.explain.ExplanationContext
import org.elderhitch.jobs.JobAccount
import org.elderhitch.jobs.JobId

/** Answers [SchedulerMessage.Query] from the leader's state, without changing it. */
internal class QueryHandler(private val services: SchedulerServices) {
    private val state = services.state
    private val table = services.table

    fun handle(message: SchedulerMessage.Query) {
        when (message) {
            is SchedulerMessage.GetAccount -> message.reply.complete(account(message.id))
            is SchedulerMessage.ExplainJob -> message.reply.complete(explain(message.id))
            is SchedulerMessage.GetPlacements -> message.reply.complete(loadedTerm()?.let { table.locations() })
            is SchedulerMessage.GetFaultyJobs -> message.reply.complete(loadedTerm()?.let { faultyJobs() })
        }
    }

    /** The term that this node leads; null if it doesn't lead or its task table is incomplete. */
    private fun loadedTerm(): LeadershipTerm? = state.currentTerm?.takeIf { it.isTableComplete }

    private fun account(id: JobId): JobAccount? {
        val term = state.currentTerm ?: return null
        return table.jobs[id]?.let { services.completions.account(term.leader, it) }
    }

    private fun explain(id: JobId): List<String>? {
        val term = state.currentTerm ?: return null
        val context = ExplanationContext(
            term.leader,
            services.clock.now(),
            term.isTableComplete,
            state.catalog,
            state.unavailableMarkets,
        ) { term.isUsable(it, services.clock.now()) }
        return term.explainer.explain(id, context)
    }

    private fun faultyJobs(): Set<JobId> =
        table.jobs.values.filter { !it.isTerminal && services.failureAttribution.isJobFaulty(it) }.map { it.id }.toSet()
}
