package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.TaskLimits

/** Estimates how many tasks of one resource shape arrive, fit on a machine, or are displaced by machine failures. */
internal object CapacityEstimates {
    private const val MS_PER_S = 1000.0

    /** How many tasks arrive during the boot of a machine of [type] plus the headroom time of the policy. */
    fun arrivingTasks(type: TypeInfo, arrivalsPerS: Double, policy: FleetPolicy): Double =
        arrivalsPerS * (type.bootTime + policy.headroomTime).inWholeMilliseconds / MS_PER_S

    /** How many tasks need other machines after the loss of as many machines as the policy provides for. */
    fun displacedTasks(spec: JobSpec, type: TypeInfo, policy: FleetPolicy): Double =
        policy.spareMachines * tasksPerMachine(spec, type)

    /** How many tasks fit on an empty machine of [type], at most [TaskLimits.MAX_TASKS_PER_MACHINE]. */
    fun tasksPerMachine(spec: JobSpec, type: TypeInfo): Int =
        spec.resources.copiesIn(type.resources, TaskLimits.MAX_TASKS_PER_MACHINE)
}
