package org.elderhitch.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The intervals and timeouts that apply to controllers and workers alike. */
public data class WorkerTimeouts(
    /** The mean interval between two heartbeats of a worker. */
    val heartbeatInterval: Duration,
    /** The lease duration: how long a worker keeps its tasks running after the latest response to a heartbeat. */
    val lease: Duration,
    /** The maximum time for which a gang waits until all of its tasks can start. */
    val gangWait: Duration,
    /** How fast the tasks of a gang notice the loss of one of them, and how close together their stops must arrive. */
    val gangPeer: Duration,
    /** The time after the response to a cancellation by which no task of the job runs any more. */
    val cancel: Duration,
) {
    /** The maximum interval between two heartbeats; workers vary the interval by up to a quarter. */
    public val maxHeartbeatInterval: Duration get() = heartbeatInterval * HEARTBEAT_JITTER_FACTOR

    /**
     * How long after the end of a job one of its tasks may still be found on a machine. A controller may learn of a
     * cancellation up to one lease duration earlier than the leader that keeps the task alive, and that leader's
     * workers then keep the task for up to another lease duration.
     */
    public val taskRetention: Duration get() = cancel + lease * 2

    public companion object {
        private const val HEARTBEAT_JITTER_FACTOR = 1.25

        /** How long workers wait for the response to a heartbeat. */
        public val HEARTBEAT_RESPONSE_TIMEOUT: Duration = 4.seconds
    }
}
