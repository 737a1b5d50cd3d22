package org.elderhitch.fleet

/**
 * Decides which machines to provision, to terminate, and to drain. The decision is a pure function of the input: a plan
 * is computed from scratch each time and keeps no state.
 */
public class FleetPlan(private val input: PlanInput, private val policy: FleetPolicy) {
    public fun decide(): PlanOutput {
        val scaleOut = ScaleOutPlan(input, policy)
        val provision = scaleOut.decide()
        val scaleIn = ScaleInPlan(input, policy, scaleOut.reserved, scaleOut.usedMachines())
        return PlanOutput(provision, scaleIn.terminations(), scaleIn.drain(), scaleOut.steps)
    }
}
