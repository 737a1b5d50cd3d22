package org.elderhitch.fleet

import org.elderhitch.time.MonotonicInstant

/** A machine that is named by the intent [intent] of this term. */
internal class ProvisionedMachine(
    val machine: Machine,
    val intent: String,
    /** When this term learnt of the machine, which is when it was provisioned at the latest. */
    val provisionedAt: MonotonicInstant,
    /** Whether this term provisioned the machine itself. */
    val ofThisTerm: Boolean,
) {
    /** The cloud lists it as failed. */
    var failed = false

    /** An earlier term recorded that it is up. */
    var upInEarlierTerm = false

    /** It came up in this term. */
    var cameUp = false

    /** Its termination was requested and has neither completed nor been cancelled. */
    var terminating = false

    val market: Market get() = machine.market
}
