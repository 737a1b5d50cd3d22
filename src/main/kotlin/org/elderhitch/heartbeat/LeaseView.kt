package org.elderhitch.heartbeat

import org.elderhitch.time.MonotonicInstant

/**
 * What a leader believes about one worker's lease, in its term. Immutable; each transition is a fact that was learnt,
 * [LeaseView.over]
 * the conclusion. Its proof stands in `docs/design.md`, "What is believed about a lease".
 *
 * [renewedBy] is not before the latest moment at which a report left the worker that this session's lease may have been
 * renewed by, and not before
 * the session's beginning. A session that one is told of may have begun at any time up to then: to count it from the
 * last answer to an
 * earlier one declared tasks lost that had just been started, and started them elsewhere
 * (`docs/incidents/sessions-told.md`).
 */
internal data class LeaseView(
    val session: Long,
    val renewedBy: MonotonicInstant,
    /** The worker knows our term: nobody else's answers renew its lease. */
    val obeys: Boolean,
    /** No report of this session has been answered, and it began in this term: nobody knows how much of it is left. */
    val unanswered: Boolean,
    /** All sessions up to this one are over, whatever still comes from them. */
    val ended: Long,
) {
    /** What a word of [session] is worth; it changes nothing. */
    fun judge(session: Long): MessageFreshness = when {
        session <= ended || session < this.session -> MessageFreshness.STALE
        session == this.session -> MessageFreshness.SAME
        else -> MessageFreshness.NEW_SESSION
    }

    /**
     * The worker said something, by whatever way, that is not [MessageFreshness.STALE]; it was sent at [at] at the
     * latest.
     */
    fun told(session: Long, at: MonotonicInstant, obeys: Boolean): LeaseView = when {
        session > this.session -> LeaseView(session, at, this.obeys || obeys, unanswered = true, ended = session - 1)

        // Until it knew our term an earlier leader may have answered it.
        !this.obeys -> copy(renewedBy = maxOf(renewedBy, at), obeys = obeys)

        else -> this
    }

    /** A report of the known session is being answered, which came at [at]. */
    fun answered(at: MonotonicInstant): LeaseView = copy(renewedBy = maxOf(renewedBy, at), unanswered = false)

    /**
     * Nothing of the known session can be on the worker any more, and no word of it counts. Only of a worker that
     * [obeys]. [lastAnswer]: no lease delegate of
     * this term answers a report that leaves the worker after that; [MonotonicInstant.NEVER]: none was named.
     */
    fun isOver(
        now: MonotonicInstant,
        times: LeaseTimeouts,
        lastAnswer: MonotonicInstant = MonotonicInstant.NEVER,
    ): Boolean = obeys && now > times.overAfter(maxOf(renewedBy, lastAnswer))

    fun over(): LeaseView = if (ended >= session) this else copy(ended = session)

    companion object {
        fun firstWord(session: Long, at: MonotonicInstant, obeys: Boolean): LeaseView =
            LeaseView(session, at, obeys, unanswered = false, ended = session - 1)
    }
}
