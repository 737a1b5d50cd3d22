package org.elderhitch.workers

import org.elderhitch.leadership.TenureTimes
import org.elderhitch.time.Moment
import org.elderhitch.time.stretched
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * When a lease is surely over on its worker's clock. The only place that compares times with a lease (PROTOCOL, "Leases": a
 * worker ends a session when its last answered report was *sent* more than `lease_s` ago, or when the session began then).
 */
internal class LeaseTimes(private val lease: Duration) {
    /** A lease that was renewed by nothing that left its worker after [last] is over from then on. */
    fun overAfter(last: Moment): Moment = last + longest

    /** How long after the last report that renewed it a lease is surely over. */
    val longest: Duration = lease.stretched() + MARGIN

    /** Whoever led before a claim answers nobody longer than its window and its hold time; from then on every lease that it kept alive is over. */
    fun overAfterClaim(claimed: Moment, times: TenureTimes): Moment =
        claimed + (times.window + times.hold + lease).stretched() + MARGIN

    /** Whether leases that end at [end] do so within one lease's time. */
    fun endSoon(end: Moment, now: Moment): Boolean = end - now < lease

    private companion object {
        /** On top of a lease that is surely over: the clocks' steps. */
        val MARGIN = 500.milliseconds
    }
}

/** What a worker's word says of its session. */
internal enum class Word {
    /** Of a session that was over when it came, or older than what is known: it says nothing of now. */
    STALE,

    /** The session that was known. */
    SAME,

    /** The first word of a session. Whatever ran in an earlier one is gone. */
    NEW_SESSION,
}

/**
 * What a leader believes about one worker's lease, in its term. Immutable; each transition is a fact that was learnt, [LeaseBelief.over]
 * the conclusion. Its proof stands in `docs/design.md`, "What is believed about a lease".
 *
 * [renewedBy] is not before the latest moment at which a report left the worker that this session's lease may have been renewed by, and not before
 * the session's beginning. A session that one is told of may have begun at any time up to then: to count it from the last answer to an
 * earlier one declared tasks lost that had just been started, and started them elsewhere (`docs/incidents/sessions-told.md`).
 */
internal data class LeaseBelief(
    val session: Long,
    val renewedBy: Moment,
    /** The worker knows our term: nobody else's answers renew its lease. */
    val obeys: Boolean,
    /** No report of this session has been answered, and it began in this term: nobody knows how much of it is left. */
    val unanswered: Boolean,
    /** All sessions up to this one are over, whatever still comes from them. */
    val ended: Long,
) {
    /** What a word of [session] is worth; it changes nothing. */
    fun judge(session: Long): Word = when {
        session <= ended || session < this.session -> Word.STALE
        session == this.session -> Word.SAME
        else -> Word.NEW_SESSION
    }

    /** The worker said something, by whatever way, that is not [Word.STALE]; it was sent at [at] at the latest. */
    fun told(session: Long, at: Moment, obeys: Boolean): LeaseBelief = when {
        session > this.session -> LeaseBelief(session, at, this.obeys || obeys, unanswered = true, ended = session - 1)

        // Until it knew our term an earlier leader may have answered it.
        !this.obeys -> copy(renewedBy = maxOf(renewedBy, at), obeys = obeys)

        else -> this
    }

    /** A report of the known session is being answered, which came at [at]. */
    fun answered(at: Moment): LeaseBelief = copy(renewedBy = maxOf(renewedBy, at), unanswered = false)

    /**
     * Nothing of the known session can be on the worker any more, and no word of it counts. Only of a worker that [obeys]. [lastAnswer]: no lease delegate of
     * this term answers a report that leaves the worker after that; [Moment.NEVER]: none was named.
     */
    fun isOver(now: Moment, times: LeaseTimes, lastAnswer: Moment = Moment.NEVER): Boolean =
        obeys && now > times.overAfter(maxOf(renewedBy, lastAnswer))

    fun over(): LeaseBelief = if (ended >= session) this else copy(ended = session)

    companion object {
        fun firstWord(session: Long, at: Moment, obeys: Boolean): LeaseBelief =
            LeaseBelief(session, at, obeys, unanswered = false, ended = session - 1)
    }
}
