package org.elderhitch.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The part of the fleet's behaviour that operators may set by a policy script. The defaults are the values with which
 * the deployments were measured.
 */
public data class FleetPolicy(
    /** Spare capacity for services, as the time of arrivals that it holds on top of the boot time of a machine. */
    val headroom: Duration = 30.seconds,
    /** Spare capacity for production services against the loss of machines, as a number of machines. */
    val spareMachines: Double = 1.0,
    /** How long an on-demand machine stays idle before it is terminated. */
    val terminateIdleAfter: Duration = 45.seconds,
    /** How long a spot machine stays idle before it is terminated. */
    val terminateIdleSpotAfter: Duration = 60.seconds,
    /** The same for machines beyond those that the arrivals during a boot could fill. */
    val terminateSurplusAfter: Duration = 10.seconds,
    /** Whether spot machines are provisioned at all. */
    val useSpot: Boolean = true,
    /**
     * The part of a zone's machines, from 0 to 1, that may be terminated within 5 s only because they are suspected
     * (`docs/design/recovery.md`).
     */
    val suspectedTerminationShare: Double = 0.25,
)
