package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.TaskId
import org.elderhitch.settings.Zone

/**
 * The decisions of a [SchedulingCycle].
 *
 * @property preempted the tasks to stop
 * @property machineVisits how often a machine was examined: a measure of the cycle's cost that does not depend on the
 *   speed of the processor
 * @property scarceTypes the sets of machine types that some jobs are confined to while other jobs can run elsewhere too
 * @property reservedMachineCount how many machines are reserved for confined jobs
 */
public class CycleOutput(
    public val placed: List<PlacementDecision>,
    public val preempted: List<TaskId>,
    public val unplaced: List<UnplacedTasks>,
    public val machineVisits: Long,
    public val scarceTypes: List<Set<MachineType>> = emptyList(),
    public val reservedMachineCount: Int = 0,
)

/**
 * A task and the machine to start it on.
 *
 * @property joinAttempt for a gang, the attempt that the task joins; null if it starts a new attempt
 */
public data class PlacementDecision(val task: TaskId, val machine: MachineId, val joinAttempt: Attempt?)

/**
 * Tasks that their team's limit allows but that no machine has capacity for: new machines are provisioned for them.
 *
 * @property tasksPerZone how many tasks of the job are in each zone
 */
public class UnplacedTasks(public val spec: JobSpec, public val count: Int, public val tasksPerZone: Map<Zone, Int>)
