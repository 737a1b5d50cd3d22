package org.elderhitch.heartbeat

import org.elderhitch.fleet.MachineId
import org.elderhitch.http.Address
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.leadership.FencingToken
import org.elderhitch.settings.Zone
import kotlin.time.Duration

/**
 * The position of a message among all messages of its worker, independent of the order in which they arrive.
 *
 * @property agentEpoch increases each time the worker's lease expires. No task survives the end of its epoch.
 * @property number increases with each message of an epoch.
 */
public data class HeartbeatSequence(val agentEpoch: Long, val number: Long) : Comparable<HeartbeatSequence> {
    override fun compareTo(other: HeartbeatSequence): Int =
        compareValuesBy(this, other, { it.agentEpoch }, { it.number })
}

/** The phases of a task on its worker, in order. */
public enum class TaskPhase { FETCHING, WAITING, RUNNING, SAVING, EXITED }

/** Why a task exited. */
public enum class ExitCause { DONE, STOPPED, PEERS, INCOMPLETE, ERROR, NO_ROOM, BUSY, UNKNOWN }

/** The state of a task as reported by its worker; [cause] is null until the task has exited. */
public data class TaskStatus(val task: TaskId, val attempt: Attempt, val phase: TaskPhase, val cause: ExitCause?)

/**
 * A worker's periodic message to the leader. A worker's reply to commands and probes has the same format.
 *
 * @property sequence the position among the worker's messages.
 * @property token the highest fencing token that the worker has seen.
 * @property preemptionNotice how long until the cloud reclaims a spot machine; null if it has not announced that.
 * @property tasks all tasks on the worker, including exited ones that have not been reaped.
 */
public data class Heartbeat(
    val machine: MachineId,
    val address: Address,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    val sequence: HeartbeatSequence,
    val token: FencingToken,
    val preemptionNotice: Duration?,
    val tasks: List<TaskStatus>,
)
