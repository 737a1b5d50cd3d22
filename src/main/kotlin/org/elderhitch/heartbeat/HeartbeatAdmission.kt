package org.elderhitch.heartbeat

import org.elderhitch.leadership.Term
import org.elderhitch.tasks.WorkerState

/** What a leader does with a heartbeat, by its term and its place among the worker's messages. */
internal sealed interface HeartbeatAdmission {
    /** The worker knows a newer term, so another node leads. */
    data class NewerTerm(val term: Term) : HeartbeatAdmission

    /**
     * The heartbeat is not answered: this leader may not answer any now, the machine is gone, or the heartbeat was
     * delayed. Answering a delayed one would renew nothing, and believing it would free a task or restore a lost one.
     */
    data object Dropped : HeartbeatAdmission

    /**
     * The answer to a direct command has overtaken the heartbeat. The worker still waits for its response, but its
     * tasks are known from the later message.
     */
    data class Overtaken(val worker: WorkerState) : HeartbeatAdmission

    /** The heartbeat is the worker's newest message. */
    data class Newest(val worker: WorkerState) : HeartbeatAdmission
}
