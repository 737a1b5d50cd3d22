package org.elderhitch.heartbeat

import org.elderhitch.time.MonotonicInstant

/**
 * A leader's knowledge, within its term, about the lease of a worker. Immutable: each transition records an
 * observation, and [isExpired] infers from them whether the lease has expired. `docs/design.md`, "What is believed
 * about a lease", contains the proof.
 *
 * @property agentEpoch the latest known agent epoch of the worker.
 * @property latestPossibleRenewal an upper bound of when the agent epoch began, and of when the worker sent the last
 *   heartbeat that may have renewed the epoch's lease. A new epoch may have begun at any time up to its first message.
 *   Measuring it from the last response to an earlier epoch declared tasks lost that had just been started
 *   (`docs/incidents/sessions-told.md`).
 * @property acknowledgesTerm whether the worker knows this term, so that no other leader's responses renew its lease.
 * @property awaitingFirstResponse whether the epoch began in this term and none of its heartbeats has been answered, so
 *   that the remaining time of its lease is unknown.
 * @property lastExpiredEpoch the last epoch known to have expired, with all earlier ones, whatever messages still
 *   arrive.
 */
internal data class LeaseView(
    val agentEpoch: Long,
    val latestPossibleRenewal: MonotonicInstant,
    val acknowledgesTerm: Boolean,
    val awaitingFirstResponse: Boolean,
    val lastExpiredEpoch: Long,
) {
    /** Returns how a message of the given [agentEpoch] relates to the known epoch. */
    fun freshnessOf(agentEpoch: Long): MessageFreshness = when {
        agentEpoch <= lastExpiredEpoch || agentEpoch < this.agentEpoch -> MessageFreshness.STALE
        agentEpoch == this.agentEpoch -> MessageFreshness.CURRENT_EPOCH
        else -> MessageFreshness.NEW_EPOCH
    }

    /** Returns the view after a message that is not [MessageFreshness.STALE] and was sent no later than [at]. */
    fun afterMessage(agentEpoch: Long, at: MonotonicInstant, acknowledgesTerm: Boolean): LeaseView = when {
        agentEpoch > this.agentEpoch -> LeaseView(
            agentEpoch,
            latestPossibleRenewal = at,
            acknowledgesTerm = this.acknowledgesTerm || acknowledgesTerm,
            awaitingFirstResponse = true,
            lastExpiredEpoch = agentEpoch - 1,
        )

        // Until the worker acknowledged this term, an earlier leader may have renewed its lease.
        !this.acknowledgesTerm -> copy(
            latestPossibleRenewal = maxOf(latestPossibleRenewal, at),
            acknowledgesTerm = acknowledgesTerm,
        )

        else -> this
    }

    /** Returns the view after a heartbeat of the known epoch, received at [at], is answered. */
    fun afterResponse(at: MonotonicInstant): LeaseView =
        copy(latestPossibleRenewal = maxOf(latestPossibleRenewal, at), awaitingFirstResponse = false)

    /**
     * Whether the known epoch has certainly expired, so that no task of it is on the worker and its messages are stale.
     * Always false until the worker [acknowledgesTerm].
     *
     * @param lastDelegateResponse the instant after which no heartbeat that the worker sends is answered by a lease
     *   delegate of this term; [MonotonicInstant.NEVER] if no delegate was appointed.
     */
    fun isExpired(
        now: MonotonicInstant,
        timeouts: LeaseTimeouts,
        lastDelegateResponse: MonotonicInstant = MonotonicInstant.NEVER,
    ): Boolean = acknowledgesTerm && now > timeouts.expiredAfter(maxOf(latestPossibleRenewal, lastDelegateResponse))

    /** Returns the view after the known epoch was found to have expired. */
    fun expired(): LeaseView = if (lastExpiredEpoch >= agentEpoch) this else copy(lastExpiredEpoch = agentEpoch)

    companion object {
        /** Returns the view after the first message of a worker in this term, sent no later than [at]. */
        fun fromFirstMessage(agentEpoch: Long, at: MonotonicInstant, acknowledgesTerm: Boolean): LeaseView = LeaseView(
            agentEpoch,
            latestPossibleRenewal = at,
            acknowledgesTerm,
            awaitingFirstResponse = false,
            lastExpiredEpoch = agentEpoch - 1,
        )
    }
}
