package org.elderhitch.leadership

import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.shortened
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts of leadership, derived from the settings of the workers. They are chosen so that the tasks of a cancelled
 * job end within the time allowed for a cancellation; the proof is in `docs/design.md`.
 *
 * @property commandWindow how long the leader may send commands after it sent its last successful renewal and its last
 * successful freshness check. Also the time to live of its lease in the state service.
 * @property answerGracePeriod how long after its command window a leader still answers heartbeats, with no commands
 * except stops of terminal jobs' tasks.
 * @property cycleBudget the maximum duration of a scheduling cycle; a longer cycle sends no commands.
 * @property renewInterval the interval at which the leader renews its lease and checks its freshness.
 */
public data class LeadershipTimeouts(
    val commandWindow: Duration,
    val answerGracePeriod: Duration,
    val cycleBudget: Duration,
    val renewInterval: Duration,
) {
    /**
     * How long a leader answers heartbeats, measured from when the older of its last renewal and its last freshness
     * check was sent. Reduced by the maximum clock drift.
     */
    public val answerWindow: Duration get() = commandWindow.shortened() + answerGracePeriod

    /**
     * Returns the windows of a leader whose last successful renewal was sent at [renewedAt] and whose last successful
     * freshness check was sent at [freshAsOf]. They start at the earlier of the two. The lease alone shows who leads,
     * not that the leader has read everything that was recorded: a leader without freshness checks could keep the tasks
     * of a job running that has been cancelled in the meantime.
     */
    public fun capabilities(renewedAt: MonotonicInstant, freshAsOf: MonotonicInstant): LeaderCapabilities {
        val since = minOf(renewedAt, freshAsOf)
        return LeaderCapabilities(since + commandWindow.shortened(), since + answerWindow)
    }

    public companion object {
        private val COMMAND_WINDOW = 4.seconds
        private val CYCLE_BUDGET = 5.seconds
        private val CANCELLATION_MARGIN = 2.seconds
        private const val RENEWALS_PER_WINDOW = 5

        /** Derives the timeouts from the workers' lease and the time within which a cancelled task must have ended. */
        public fun of(workers: WorkerTimeouts): LeadershipTimeouts = LeadershipTimeouts(
            commandWindow = COMMAND_WINDOW,
            // A task that is cancelled right after the last renewal must end within the time allowed for a
            // cancellation, even if its worker is answered only by a leader whose command window has ended.
            answerGracePeriod = (workers.cancel - workers.lease - COMMAND_WINDOW - CANCELLATION_MARGIN)
                .coerceAtLeast(Duration.ZERO),
            cycleBudget = CYCLE_BUDGET,
            renewInterval = COMMAND_WINDOW / RENEWALS_PER_WINDOW,
        )
    }
}

/** The instants until which a leader may send commands and answer heartbeats. */
public data class LeaderCapabilities(val commandWindowEnd: MonotonicInstant, val answerWindowEnd: MonotonicInstant)
