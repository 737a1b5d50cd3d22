package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import kotlin.math.floor

/** Estimates of how many tasks of one shape arrive, fit on a machine, or are lost with it. */
internal object CapacityEstimates {
    private const val MS_PER_S = 1000.0

    /** How many tasks arrive while a machine of [type] boots and for the time of the policy's headroom on top. */
    fun arrivingTasks(type: TypeInfo, arrivalsPerS: Double, policy: FleetPolicy): Double =
        arrivalsPerS * (type.bootTime + policy.headroom).inWholeMilliseconds / MS_PER_S

    /** How many tasks need another machine when as many are lost as the policy provides for. */
    fun strandedTasks(spec: JobSpec, type: TypeInfo, policy: FleetPolicy): Double =
        policy.spareMachines * tasksPerMachine(spec, type)

    /** How many tasks fit on an empty machine of [type]. */
    fun tasksPerMachine(spec: JobSpec, type: TypeInfo): Double = minOf(
        wholeTasks(type.resources.cpus, spec.resources.cpus),
        wholeTasks(type.resources.gpus, spec.resources.gpus),
        wholeTasks(type.resources.memoryGb, spec.resources.memoryGb),
    )

    private fun wholeTasks(has: Double, perTask: Double): Double =
        if (perTask <= 0) Double.MAX_VALUE else floor(has / perTask)
}
