package org.elderhitch.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The intervals and timeouts that controllers and workers agree on. */
public data class WorkerTimeouts(
    /** The mean interval between two heartbeats of a worker. */
    val heartbeatInterval: Duration,
    /** How long a worker keeps its tasks after the latest answer to a heartbeat. */
    val lease: Duration,
    /** How long a gang may wait until all of its tasks can start. */
    val gangWait: Duration,
    /** How fast the tasks of a gang notice that one was lost, and how close together their stops must arrive. */
    val gangPeer: Duration,
    /** By when no task of a cancelled job runs any more, from the answer to its user on. */
    val cancel: Duration,
) {
    /** The longest interval between two heartbeats, which workers vary by a quarter. */
    public val heartbeatDeadline: Duration get() = heartbeatInterval * HEARTBEAT_JITTER

    /**
     * How long after a job terminated one of its tasks may still be found on a machine. A controller may learn of a
     * cancellation up to a lease before the leader that keeps the task alive, whose workers then hold out for another
     * lease.
     */
    public val taskRetention: Duration get() = cancel + lease * 2

    public companion object {
        private const val HEARTBEAT_JITTER = 1.25

        /** How long workers wait for the answer to a heartbeat. */
        public val HEARTBEAT_RESPONSE_TIMEOUT: Duration = 4.seconds
    }
}
