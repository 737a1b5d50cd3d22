package org.elderhitch.explain

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.Market
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant

/** The part of the leader's state, other than the task table, that a [JobExplainer] uses. */
internal class ExplanationContext(
    val leader: LeadershipState.Leader,
    val now: MonotonicInstant,
    /** Whether the task table holds all jobs that were stored before this term was claimed. */
    val isTableComplete: Boolean,
    val catalog: Catalog,
    /** The markets in which the cloud had no machine available when it was last asked. */
    val unavailableMarkets: Set<Market>,
    /** Whether new tasks may be placed on the worker. */
    val isUsable: (WorkerState) -> Boolean,
)
