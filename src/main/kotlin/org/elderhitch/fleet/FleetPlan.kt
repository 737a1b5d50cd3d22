package org.elderhitch.fleet

/**
 * Decides which machines to provision, to terminate and to drain. A pure function of its input: it is computed anew for
 * each decision and keeps nothing in between.
 */
public class FleetPlan(private val input: PlanInput, private val policy: FleetPolicy) {
    public fun decide(): PlanOutput {
        val scaleOut = ScaleOutPlan(input, policy)
        val provision = scaleOut.decide()
        val scaleIn = ScaleInPlan(input, policy, scaleOut.reserved, scaleOut.usedMachines())
        return PlanOutput(provision, scaleIn.terminations(), scaleIn.drain())
    }
}
