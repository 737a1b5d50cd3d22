package org.elderhitch.explain

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.Market
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant

/** The leader's state at the moment of an explanation. */
internal class ExplanationContext(
    val leader: LeadershipState.Leader,
    val now: MonotonicInstant,
    /** The task table holds all jobs that were recorded before the term was claimed. */
    val isTableComplete: Boolean,
    val catalog: Catalog,
    /** Where the cloud had no machine to offer when it was last asked. */
    val unavailableMarkets: Set<Market>,
    /** Whether new tasks may be placed on a worker. */
    val isUsable: (WorkerState) -> Boolean,
)
