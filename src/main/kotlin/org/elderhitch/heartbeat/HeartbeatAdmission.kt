package org.elderhitch.heartbeat

import org.elderhitch.tasks.WorkerState

/** How a leader handles a heartbeat, depending on its term and its position among the worker's messages. */
internal sealed interface HeartbeatAdmission {
    /** The worker has seen a token of a newer term, so another node leads. */
    data object NewerTerm : HeartbeatAdmission

    /**
     * The heartbeat is not answered: this leader may not answer heartbeats now, the machine is gone, or the heartbeat
     * was delayed. Answering a delayed heartbeat would renew nothing, and applying it could release the placement of a
     * task that still runs, or restore one that is lost.
     */
    data object Dropped : HeartbeatAdmission

    /**
     * The reply to a direct command or probe arrived before this older heartbeat. The worker still waits for the
     * response to the heartbeat, but its tasks are known from the newer message.
     */
    data class Overtaken(val worker: WorkerState) : HeartbeatAdmission

    /** The heartbeat is the worker's newest message. */
    data class Newest(val worker: WorkerState) : HeartbeatAdmission
}
