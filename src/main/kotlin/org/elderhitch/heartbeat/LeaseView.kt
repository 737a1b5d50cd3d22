package org.elderhitch.heartbeat

import org.elderhitch.time.MonotonicInstant

/**
 * What a leader believes, in its term, about one worker's lease. Immutable: each transition records an observation, and
 * [isExpired] draws the conclusion. `docs/design.md`, "What is believed about a lease", proves it.
 *
 * @property agentEpoch the latest known agent epoch of the worker.
 * @property renewedBy an instant that is not before the agent epoch's start, nor before the latest moment at which a
 *   heartbeat left the worker that may have renewed the epoch's lease. An epoch that a message tells of may have begun
 *   at any time up to that message: counting it from the last answer to an earlier epoch declared tasks lost that had
 *   just been started (`docs/incidents/sessions-told.md`).
 * @property acknowledgesTerm whether the worker knows this term, so that no other leader's answers renew its lease.
 * @property awaitingFirstResponse whether the epoch began in this term and none of its heartbeats has been answered:
 *   how much of its lease is left isn't known.
 * @property lastExpiredEpoch all epochs up to this one have expired, whatever messages still arrive from them.
 */
internal data class LeaseView(
    val agentEpoch: Long,
    val renewedBy: MonotonicInstant,
    val acknowledgesTerm: Boolean,
    val awaitingFirstResponse: Boolean,
    val lastExpiredEpoch: Long,
) {
    /** How a message of the given [agentEpoch] relates to the known epoch. */
    fun freshnessOf(agentEpoch: Long): MessageFreshness = when {
        agentEpoch <= lastExpiredEpoch || agentEpoch < this.agentEpoch -> MessageFreshness.STALE
        agentEpoch == this.agentEpoch -> MessageFreshness.CURRENT_EPOCH
        else -> MessageFreshness.NEW_EPOCH
    }

    /** After any message of the worker that is not [MessageFreshness.STALE] and was sent at [at] at the latest. */
    fun afterMessage(agentEpoch: Long, at: MonotonicInstant, acknowledgesTerm: Boolean): LeaseView = when {
        agentEpoch > this.agentEpoch -> LeaseView(
            agentEpoch,
            renewedBy = at,
            acknowledgesTerm = this.acknowledgesTerm || acknowledgesTerm,
            awaitingFirstResponse = true,
            lastExpiredEpoch = agentEpoch - 1,
        )

        // Until the worker knew this term, an earlier leader may have answered it.
        !this.acknowledgesTerm -> copy(renewedBy = maxOf(renewedBy, at), acknowledgesTerm = acknowledgesTerm)

        else -> this
    }

    /** After a heartbeat of the known epoch, received at [at], is answered. */
    fun afterResponse(at: MonotonicInstant): LeaseView =
        copy(renewedBy = maxOf(renewedBy, at), awaitingFirstResponse = false)

    /**
     * Whether the known epoch has surely expired: nothing of it is on the worker any more, and no message of it counts.
     * Concluded only of a worker that [acknowledgesTerm].
     *
     * @param lastDelegateResponse no lease delegate of this term answers a heartbeat that leaves the worker later;
     *   [MonotonicInstant.NEVER] if no delegate was named.
     */
    fun isExpired(
        now: MonotonicInstant,
        timeouts: LeaseTimeouts,
        lastDelegateResponse: MonotonicInstant = MonotonicInstant.NEVER,
    ): Boolean = acknowledgesTerm && now > timeouts.expiredAfter(maxOf(renewedBy, lastDelegateResponse))

    /** The same lease once its known epoch has been concluded to have expired. */
    fun expired(): LeaseView = if (lastExpiredEpoch >= agentEpoch) this else copy(lastExpiredEpoch = agentEpoch)

    companion object {
        /** The view after the first message of a worker in this term, sent at [at] at the latest. */
        fun fromFirstMessage(agentEpoch: Long, at: MonotonicInstant, acknowledgesTerm: Boolean): LeaseView = LeaseView(
            agentEpoch,
            renewedBy = at,
            acknowledgesTerm,
            awaitingFirstResponse = false,
            lastExpiredEpoch = agentEpoch - 1,
        )
    }
}
