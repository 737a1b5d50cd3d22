package org.elderhitch.delegates

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.leadership.Term
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a leader knows of a zone at the moment when one of its nodes asks to be named lease delegate. */
public class ZoneStatus(
    /**
     * Machines there that may run something and have not been heard in this term; null: it isn't known yet which there
     * are.
     */
    public val unheard: Int?,
    /** Workers there that name tasks of jobs that are not open. */
    public val strangers: Int,
    /**
     * Of the ended jobs that still have tasks there, the earliest moment that an ending may have been recorded after;
     * null: there is no such job.
     */
    public val oldestEnd: MonotonicInstant?,
)

/** A promise for [span] from the moment of asking, in the name of [term]. */
public data class DelegationOffer(val term: Term, val span: Duration)

/**
 * What a leader has promised in the name of lease delegates: until when one may answer the workers of its zone. A
 * promise is written down here before the
 * lease delegate hears of it and is never taken back, only outlived (`docs/design/recovery.md`).
 */
public class DelegationRules(private val times: LeadershipTimeouts) {
    private val until = HashMap<Zone, MonotonicInstant>()

    /**
     * Promises of earlier terms are counted in the takeover's longest time: none outlasts the hold time of the leader
     * that gave it.
     */
    public fun newTerm(): Unit = until.clear()

    /** No report that left a worker of the zone after that is answered by a lease delegate of this term. */
    public fun lastAnswer(zone: Zone): MonotonicInstant = until[zone] ?: MonotonicInstant.NEVER

    /**
     * Names a lease delegate of the zone from [now] on. For how long, or null: not now, what was promised before holds.
     */
    public fun name(
        leadership: LeadershipState.Leader,
        zone: Zone,
        standing: ZoneStatus,
        now: MonotonicInstant,
    ): DelegationOffer? {
        // An ending that was read and not carried out is worth as little as one that wasn't read: a lease delegate's
        // answers keep its tasks, so they end as early
        // as if nothing were known since.
        val end =
            minOf(leadership.answerWindowEnd, (standing.oldestEnd ?: MonotonicInstant.FOREVER) + times.answerWindow) -
                MARGIN
        if (!mayName(leadership, standing, now) || end <= now) return null
        until.merge(zone, end, ::maxOf)
        return DelegationOffer(leadership.term, end - now)
    }

    public companion object {
        /** By so much a lease delegate stops answering before its leader would. */
        internal val MARGIN: Duration = 1.seconds

        /**
         * A task that should be stopped and that its leader can't know of, on a machine that has not told it, must not
         * be kept alive by a lease delegate.
         */
        internal fun mayName(leadership: LeadershipState.Leader, standing: ZoneStatus, now: MonotonicInstant): Boolean =
            leadership.maySendCommands(now) && standing.unheard == 0 && standing.strangers == 0
    }
}
