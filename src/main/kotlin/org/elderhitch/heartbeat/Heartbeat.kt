package org.elderhitch.heartbeat

import org.elderhitch.fleet.MachineId
import org.elderhitch.http.Address
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.leadership.Term
import org.elderhitch.settings.Zone
import kotlin.time.Duration

/** Orders a worker's messages, whenever they arrive. */
public data class HeartbeatSequence(val session: Long, val sequence: Long) : Comparable<HeartbeatSequence> {
    override fun compareTo(other: HeartbeatSequence): Int =
        compareValuesBy(this, other, { it.session }, { it.sequence })
}

public enum class TaskPhase { FETCHING, WAITING, RUNNING, SAVING, EXITED }

public enum class ExitCause { DONE, STOPPED, PEERS, INCOMPLETE, ERROR, NO_ROOM, BUSY, UNKNOWN }

public data class TaskStatus(val task: TaskId, val attempt: Attempt, val phase: TaskPhase, val cause: ExitCause?)

/** What runs where, by the worker's own word. */
public data class Heartbeat(
    val machine: MachineId,
    val address: Address,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    val order: HeartbeatSequence,
    val term: Term,
    val notice: Duration?,
    val tasks: List<TaskStatus>,
)
