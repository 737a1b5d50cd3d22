package org.elderhitch.leadership

import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.shortened
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The spans that leadership rests on, derived from the settings; docs/design.md argues for them. */
public data class LeadershipTimeouts(
    /**
     * How long after a renewal, and a proof of all that is recorded, was sent the leader may command. Also what the
     * lease in the state service is given.
     */
    val commandWindow: Duration,
    /** How long past its window a leader still answers reports, without commands. */
    val answerGracePeriod: Duration,
    /** A scheduling cycle that took longer sends nothing. */
    val cycleBudget: Duration,
    val renewInterval: Duration,
) {
    /**
     * For how long a leader answers reports after it was last proven to lead and to know all, shortened by the drift.
     */
    val answerWindow: Duration get() = commandWindow.shortened() + answerGracePeriod

    /**
     * What a leader may do whose last renewal and whose last proof that its table lacks nothing were sent then: the
     * older counts. The lease alone says who leads;
     * a job withdrawn while the leader heard nothing was kept running, or started again, by a leader whose lease was
     * fine.
     */
    public fun capabilities(renewed: MonotonicInstant, proven: MonotonicInstant): LeaderCapabilities {
        val since = minOf(renewed, proven)
        return LeaderCapabilities(since + commandWindow.shortened(), since + answerWindow)
    }

    public companion object {
        private val WINDOW = 4.seconds
        private val CYCLE_BUDGET = 5.seconds
        private val MARGIN = 2.seconds
        private const val RENEWALS_PER_WINDOW = 5

        public fun of(workers: WorkerTimeouts): LeadershipTimeouts = LeadershipTimeouts(
            commandWindow = WINDOW,
            // A task withdrawn right after the last renewal must be gone within the time for cancelling, even on a
            // worker that only the cut-off leader still answers.
            answerGracePeriod = (workers.cancel - workers.lease - WINDOW - MARGIN).coerceAtLeast(Duration.ZERO),
            cycleBudget = CYCLE_BUDGET,
            renewInterval = WINDOW / RENEWALS_PER_WINDOW,
        )
    }
}

/** Until when a leader may command, and until when it may answer reports. */
public data class LeaderCapabilities(val commandWindowEnd: MonotonicInstant, val answerWindowEnd: MonotonicInstant)
