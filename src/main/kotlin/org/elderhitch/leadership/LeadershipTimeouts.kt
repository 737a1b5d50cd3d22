package org.elderhitch.leadership

import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.shortened
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The durations that leadership rests on, derived from the settings; `docs/design.md` proves that they suffice.
 *
 * @property commandWindow how long after a renewal, and after a freshness check, was sent the leader may send commands.
 * Also the time to live of its lease in the state service.
 * @property answerGracePeriod how long past its command window a leader still answers heartbeats, without commands.
 * @property cycleBudget a scheduling cycle that took longer sends nothing.
 * @property renewInterval how often the leader renews its lease and checks its freshness.
 */
public data class LeadershipTimeouts(
    val commandWindow: Duration,
    val answerGracePeriod: Duration,
    val cycleBudget: Duration,
    val renewInterval: Duration,
) {
    /**
     * How long a leader answers heartbeats after the older of its last renewal and its last freshness check was sent.
     * Shortened by the clocks' drift.
     */
    public val answerWindow: Duration get() = commandWindow.shortened() + answerGracePeriod

    /**
     * What a leader may do whose last successful renewal was sent at [renewedAt], and whose last successful freshness
     * check at [freshAsOf]: the older of both counts. The lease alone says who leads, and not that the leader knows of
     * all that was recorded: it could keep the tasks of a job running that has been cancelled meanwhile.
     */
    public fun capabilities(renewedAt: MonotonicInstant, freshAsOf: MonotonicInstant): LeaderCapabilities {
        val since = minOf(renewedAt, freshAsOf)
        return LeaderCapabilities(since + commandWindow.shortened(), since + answerWindow)
    }

    public companion object {
        private val COMMAND_WINDOW = 4.seconds
        private val CYCLE_BUDGET = 5.seconds
        private val MARGIN = 2.seconds
        private const val RENEWALS_PER_WINDOW = 5

        /** The durations that fit the workers' lease and the time within which a cancelled task must be gone. */
        public fun of(workers: WorkerTimeouts): LeadershipTimeouts = LeadershipTimeouts(
            commandWindow = COMMAND_WINDOW,
            // A task that is cancelled right after the last renewal must be gone within the time for cancelling, even
            // on a worker that only a leader past its command window still answers.
            answerGracePeriod = (workers.cancel - workers.lease - COMMAND_WINDOW - MARGIN)
                .coerceAtLeast(Duration.ZERO),
            cycleBudget = CYCLE_BUDGET,
            renewInterval = COMMAND_WINDOW / RENEWALS_PER_WINDOW,
        )
    }
}

/** Until when a leader may send commands, and until when it may answer heartbeats. */
public data class LeaderCapabilities(val commandWindowEnd: MonotonicInstant, val answerWindowEnd: MonotonicInstant)
