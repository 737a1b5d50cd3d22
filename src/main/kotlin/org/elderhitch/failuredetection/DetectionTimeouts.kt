package org.elderhitch.failuredetection

import org.elderhitch.heartbeat.LeaseTimeouts
import org.elderhitch.settings.WorkerTimeouts
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How long a machine may be silent before it is suspected or terminated, by what is known about it.
 *
 * @property heartbeatOverdue the longest interval between two heartbeats of a worker.
 * @property unresponsive allows for a heartbeat interval, the wait for its answer, and retries at two other nodes.
 * @property oneWayPartition the time after which a lease has expired, on this node's clock.
 * @property unlisted the timeout for a machine that the cloud doesn't list.
 * @property unprobedMargin added for a worker that wasn't probed, which may wait for two other nodes before it tries
 *   this one.
 * @property neverSeenMargin added for a machine that has sent no message in this term.
 * @property zonePartition the timeout for machines of a partitioned zone. By then replacements in another zone would
 *   have been up for long.
 */
public data class DetectionTimeouts(
    val heartbeatOverdue: Duration,
    val unresponsive: Duration,
    val oneWayPartition: Duration,
    val unlisted: Duration,
    val unprobedMargin: Duration,
    val neverSeenMargin: Duration,
    val zonePartition: Duration,
) {
    internal companion object {
        /**
         * Time for one retry of a heartbeat at another node. A heartbeat may be a quarter of its interval late. If its
         * answer is lost, the worker notices after [WorkerTimeouts.HEARTBEAT_RESPONSE_TIMEOUT], and tries the next
         * node, which may redirect it back here.
         */
        private val NODE_RETRY = 1.seconds
        private val UNLISTED = 2.seconds
        private val UNPROBED_MARGIN = 6.seconds
        private val NEVER_SEEN_MARGIN = 3.seconds
        private val ZONE_PARTITION = 90.seconds

        fun of(workers: WorkerTimeouts, leases: LeaseTimeouts): DetectionTimeouts = DetectionTimeouts(
            heartbeatOverdue = workers.maxHeartbeatInterval,
            unresponsive = workers.maxHeartbeatInterval + WorkerTimeouts.HEARTBEAT_RESPONSE_TIMEOUT + NODE_RETRY * 2.0,
            oneWayPartition = leases.maxDuration,
            unlisted = UNLISTED,
            unprobedMargin = UNPROBED_MARGIN,
            neverSeenMargin = NEVER_SEEN_MARGIN,
            zonePartition = ZONE_PARTITION,
        )
    }
}
