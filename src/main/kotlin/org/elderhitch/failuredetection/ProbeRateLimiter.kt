package org.elderhitch.failuredetection

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits how many of the machines that a takeover waits for are probed per tick. Replaced with each term.
 *
 * Most workers reconnect without a probe: a worker whose controller died tries the next one a second later, while a
 * worker whose controller is partitioned waits for an answer. Probing workers that reconnect anyway uses processor time
 * that a new leader needs to answer them: a leader that had just started with 22% of a core sent 882 probes while 650
 * workers reported to it.
 */
internal class ProbeRateLimiter {
    private var previouslyUnaccounted = 0

    /**
     * Returns how many probes may be sent now. Must be called once per tick.
     *
     * @param unaccounted the number of machines that the takeover waits for.
     * @param receiving how long this term has been able to receive messages.
     * @param previousLeaderExited whether the process that answered the machines before is known to have ended, so that
     *   none of them is still waiting for its answer.
     */
    fun allow(unaccounted: Int, receiving: Duration, previousLeaderExited: Boolean): Int {
        val arrived = previouslyUnaccounted - unaccounted
        previouslyUnaccounted = unaccounted
        val reconnecting = if (previousLeaderExited) {
            arrived > 0 && receiving < PROBE_DELAY_AFTER_LEADER_END
        } else {
            (arrived < 0 || arrived * ARRIVAL_DIVISOR > unaccounted) && receiving < PROBE_DELAY
        }
        return if (reconnecting) 0 else MAX_PROBES_PER_TICK
    }

    companion object {
        /** How long probes may be withheld while workers reconnect and the previous leader may still be running. */
        val PROBE_DELAY: Duration = 500.milliseconds

        /** How long probes may be withheld while workers reconnect and the previous leader has ended. */
        val PROBE_DELAY_AFTER_LEADER_END: Duration = 4.seconds

        /**
         * If no more than one machine per this many unaccounted ones reported in the last tick, the others may not
         * reconnect without a probe.
         */
        const val ARRIVAL_DIVISOR = 12

        /** Three times the number of concurrent probes. Leaves the rest of the processor time to heartbeats. */
        const val MAX_PROBES_PER_TICK = 96
    }
}
