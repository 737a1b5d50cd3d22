package org.elderhitch.scheduler

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.Market
import org.elderhitch.jobs.Image
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.placement.CapacityReservation

/**
 * State that is shared by the components of the scheduler and that outlives a term. Accessed only while the
 * [SchedulerActor] handles a message.
 */
internal class SchedulerState {
    var leadershipState: LeadershipState = LeadershipState.Follower(null, Term.NONE)

    /**
     * The term that this node led last; null if it has never led. Kept after the term ends until the next one begins,
     * because some of its state is still logged and counted.
     */
    var lastTerm: LeadershipTerm? = null

    /** The term that this node leads now; null if it doesn't lead. */
    val currentTerm: LeadershipTerm? get() = if (leadershipState is LeadershipState.Leader) lastTerm else null

    var catalog: Catalog = Catalog.EMPTY

    /** Capacity that lower-priority work must leave free. */
    var reservations: List<CapacityReservation> = emptyList()

    /** Markets that had no machine available at the last request. */
    var unavailableMarkets: Set<Market> = emptySet()

    /** The images that an earlier leader recorded for each machine, with their sizes in GB. */
    var imageHints: Map<MachineId, Map<Image, Double>> = emptyMap()

    /** The current term if its number is [term]; null if not, in which case the message is stale and is ignored. */
    fun currentTerm(term: Term): LeadershipTerm? = currentTerm?.takeIf { it.number == term }
}
