package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.settings.Zone

/**
 * What a [SchedulingCycle] decided.
 *
 * @property preempted tasks to stop
 * @property machineVisits how often a machine was looked at: bounds the cost of the cycle on any processor
 * @property scarceTypes the sets of types that some work is confined to while other work could run elsewhere
 * @property reservedMachines how many machines are reserved for such work
 */
public class CycleOutput(
    public val placed: List<PlacementDecision>,
    public val preempted: List<TaskId>,
    public val unplaced: List<UnplacedTasks>,
    public val machineVisits: Long,
    public val scarceTypes: List<Set<MachineType>> = emptyList(),
    public val reservedMachines: Int = 0,
)

/**
 * A task and the machine to start it on.
 *
 * @property joinAttempt of a gang: the attempt that the task joins; null: it starts a new one
 */
public data class PlacementDecision(val task: TaskId, val machine: MachineId, val joinAttempt: Attempt?)

/**
 * Tasks that no machine has capacity for, though their team's limit allows them: new machines are provisioned for them.
 *
 * @property zones how many tasks of the job are in each zone
 */
public class UnplacedTasks(public val spec: JobSpec, public val count: Int, public val zones: Map<Zone, Int>)
