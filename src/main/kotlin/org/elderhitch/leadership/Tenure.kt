package org.elderhitch.leadership

import org.elderhitch.settings.NodeName
import org.elderhitch.settings.WorkerTimes
import org.elderhitch.store.LeaseId
import org.elderhitch.store.Revision
import org.elderhitch.time.Moment
import org.elderhitch.time.shortened
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Minted by the state service; the workers' token. */
@JvmInline
public value class Term(public val number: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = number.compareTo(other.number)
    override fun toString(): String = number.toString()

    public companion object {
        public val NONE: Term = Term(0)
    }
}

/** One run of a controller process. A node that runs a new incarnation has surely ended the old one. */
@JvmInline
public value class Incarnation(public val text: String) {
    override fun toString(): String = text
}

/** The spans that leadership rests on, derived from the settings; docs/design.md argues for them. */
public data class TenureTimes(
    /** How long after a renewal, and a proof of all that is recorded, was sent the leader may command. Also what the lease in the state service is given. */
    val window: Duration,
    /** How long past its window a leader still answers reports, without commands. */
    val hold: Duration,
    /** A scheduling cycle that took longer sends nothing. */
    val cycleBudget: Duration,
    val renewEvery: Duration,
) {
    /** For how long a leader answers reports after it was last proven to lead and to know all, shortened by the drift. */
    val answering: Duration get() = window.shortened() + hold

    /**
     * What a leader may do whose last renewal and whose last proof that its table lacks nothing were sent then: the older counts. The lease alone says who leads;
     * a job withdrawn while the leader heard nothing was kept running, or started again, by a leader whose lease was fine.
     */
    public fun rights(renewed: Moment, proven: Moment): Rights {
        val since = minOf(renewed, proven)
        return Rights(since + window.shortened(), since + answering)
    }

    public companion object {
        private val WINDOW = 4.seconds
        private val CYCLE_BUDGET = 5.seconds
        private val MARGIN = 2.seconds
        private const val RENEWALS_PER_WINDOW = 5

        public fun of(workers: WorkerTimes): TenureTimes = TenureTimes(
            window = WINDOW,
            // A task withdrawn right after the last renewal must be gone within the time for cancelling, even on a
            // worker that only the cut-off leader still answers.
            hold = (workers.cancel - workers.lease - WINDOW - MARGIN).coerceAtLeast(Duration.ZERO),
            cycleBudget = CYCLE_BUDGET,
            renewEvery = WINDOW / RENEWALS_PER_WINDOW,
        )
    }
}

/** Until when a leader may command, and until when it may answer reports. */
public data class Rights(val windowEnd: Moment, val holdEnd: Moment)

/** Who leads, as far as this node knows. Replaced as a whole, never changed. */
public sealed interface Tenure {
    public data class Following(val leader: NodeName?, val term: Term) : Tenure

    public data class Leading(
        val term: Term,
        /** Version of the counter at the claim: the condition of each of the leader's writes. */
        val counter: Revision,
        val lease: LeaseId,
        /** Until then commands may be sent. */
        val windowEnd: Moment,
        /** Until then reports may be answered. */
        val holdEnd: Moment,
        val former: Former?,
        val claimedAt: Moment,
    ) : Tenure {
        public fun mayCommand(now: Moment): Boolean = now < windowEnd

        public fun mayAnswer(now: Moment): Boolean = now < holdEnd
    }
}

/** Who led before, and so may still be answering workers. */
public data class Former(val node: NodeName, val incarnation: Incarnation)
