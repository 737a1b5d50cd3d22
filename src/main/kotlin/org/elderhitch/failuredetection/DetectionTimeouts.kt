package org.elderhitch.failuredetection

import org.elderhitch.heartbeat.LeaseTimeouts
import org.elderhitch.settings.WorkerTimeouts
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The times that suspicions rest on.
 *
 * @property heartbeatOverdue by when a heartbeat has come.
 * @property unresponsive the time of a heartbeat, of its answer, and of two tries at other nodes.
 * @property oneWayPartition the time of a lease, counted on this node's clock.
 * @property unlisted for a machine that the cloud doesn't list.
 * @property unprobedMargin a worker that wasn't probed may wait for two other nodes before it comes here.
 * @property neverSeenMargin for a machine that has sent no message in this term.
 * @property zonePartition after that a zone is given up: new machines would long be up elsewhere.
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
         * A heartbeat may be a quarter late; its answer may be lost, which the worker notices after
         * [WorkerTimeouts.HEARTBEAT_RESPONSE_TIMEOUT]; then it asks the next node, which may send it back here.
         */
        private val NEXT_NODE = 1.seconds
        private val UNLISTED = 2.seconds
        private val UNPROBED_MARGIN = 6.seconds
        private val NEVER_SEEN_MARGIN = 3.seconds
        private val ZONE_PARTITION = 90.seconds

        fun of(workers: WorkerTimeouts, leases: LeaseTimeouts): DetectionTimeouts = DetectionTimeouts(
            heartbeatOverdue = workers.heartbeatDeadline,
            unresponsive = workers.heartbeatDeadline + WorkerTimeouts.HEARTBEAT_RESPONSE_TIMEOUT + NEXT_NODE * 2.0,
            oneWayPartition = leases.maxDuration,
            unlisted = UNLISTED,
            unprobedMargin = UNPROBED_MARGIN,
            neverSeenMargin = NEVER_SEEN_MARGIN,
            zonePartition = ZONE_PARTITION,
        )
    }
}
