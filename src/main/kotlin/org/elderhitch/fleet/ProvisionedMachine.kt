package org.elderhitch.fleet

import org.elderhitch.time.MonotonicInstant

/** A machine that is named by the provisioning intent [intentName]. */
internal class ProvisionedMachine(
    val machine: Machine,
    val intentName: String,
    /** When this term first knew of the machine: an upper bound of its provisioning time. */
    val provisionedAt: MonotonicInstant,
    /** Whether the machine was provisioned by this term. */
    val isProvisionedInThisTerm: Boolean,
) {
    /** Whether the cloud lists the machine as failed. */
    var isFailed = false

    /** Whether an earlier term recorded that the machine is up. */
    var wasUpInEarlierTerm = false

    /** Whether the machine was reported as up in this term. */
    var cameUpInThisTerm = false

    /** Whether a termination is requested that has neither completed nor been cancelled. */
    var isTerminating = false

    val market: Market get() = machine.market
}
