package org.elderhitch.heartbeat

import org.elderhitch.fleet.MachineId
import org.elderhitch.http.Address
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.leadership.Term
import org.elderhitch.settings.Zone
import kotlin.time.Duration

/**
 * The position of a message among all messages of its worker, whatever order they arrive in.
 *
 * @property agentEpoch counts the expiries of the worker's lease; no task survives the end of its epoch.
 * @property number grows with each message of an epoch.
 */
public data class HeartbeatSequence(val agentEpoch: Long, val number: Long) : Comparable<HeartbeatSequence> {
    override fun compareTo(other: HeartbeatSequence): Int =
        compareValuesBy(this, other, { it.agentEpoch }, { it.number })
}

/** The phases of a task on its worker, in their order. */
public enum class TaskPhase { FETCHING, WAITING, RUNNING, SAVING, EXITED }

/** Why a task exited. */
public enum class ExitCause { DONE, STOPPED, PEERS, INCOMPLETE, ERROR, NO_ROOM, BUSY, UNKNOWN }

/** The state of one task as its worker reports it; [cause] is absent until the task has exited. */
public data class TaskStatus(val task: TaskId, val attempt: Attempt, val phase: TaskPhase, val cause: ExitCause?)

/**
 * A worker's periodic message to the leader; it has the same form as a worker's answer to commands and probes.
 *
 * @property sequence orders the worker's messages.
 * @property term the highest term that the worker has seen.
 * @property preemptionNotice how long until the cloud reclaims a spot machine; absent: it has not announced that.
 * @property tasks all tasks on the worker, exited ones included until they are reaped.
 */
public data class Heartbeat(
    val machine: MachineId,
    val address: Address,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    val sequence: HeartbeatSequence,
    val term: Term,
    val preemptionNotice: Duration?,
    val tasks: List<TaskStatus>,
)
