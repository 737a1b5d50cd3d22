package org.elderhitch.scheduler

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.Market
import org.elderhitch.jobs.Image
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.placement.CapacityReservation

/**
 * The state that the parts of the scheduler share and that outlives a term. Read and written only while the
 * [SchedulerActor] handles a message.
 */
internal class SchedulerState {
    var leadershipState: LeadershipState = LeadershipState.Follower(null, Term.NONE)

    /**
     * The term that this node led last, kept after its end until the next one begins: some of it is still logged and
     * counted. Null: this node has not led yet.
     */
    var lastTerm: LeadershipTerm? = null

    /** The term that this node leads now; null: it doesn't lead. */
    val currentTerm: LeadershipTerm? get() = if (leadershipState is LeadershipState.Leader) lastTerm else null

    var catalog: Catalog = Catalog.EMPTY

    /** Capacity that less important work leaves free. */
    var reservations: List<CapacityReservation> = emptyList()

    /** Where the cloud had no machine to offer when it was last asked. */
    var unavailableMarkets: Set<Market> = emptySet()

    /** Which images an earlier leader knew to be on which machines (in GB). */
    var imageHints: Map<MachineId, Map<Image, Double>> = emptyMap()

    /** The term that this node leads, if that is [term]; null: the message is of another term, and is dropped. */
    fun currentTerm(term: Term): LeadershipTerm? = currentTerm?.takeIf { it.number == term }
}
