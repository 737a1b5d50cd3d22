package org.elderhitch.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The fleet parameters that operators may set in a policy script. */
public data class FleetPolicy(
    /**
     * Spare capacity for services, as a time: it holds the arrivals of this time in addition to those during a boot.
     */
    val headroomTime: Duration = 30.seconds,
    /** Spare capacity for production services against machine failures, as a number of machines. */
    val spareMachines: Double = 1.0,
    /** How long an on-demand machine stays idle before it is terminated. */
    val terminateIdleAfter: Duration = 45.seconds,
    /** How long a spot machine stays idle before it is terminated. */
    val terminateIdleSpotAfter: Duration = 60.seconds,
    /** How long a machine stays idle before it is terminated if it exceeds the number kept for expected arrivals. */
    val terminateSurplusAfter: Duration = 10.seconds,
    /** Whether spot machines are provisioned at all. */
    val useSpot: Boolean = true,
    /**
     * The share of a zone's machines, from 0 to 1, that may be terminated within 5 s on suspicion alone. When many
     * machines of a zone are silent at once, this node or the network may be at fault, and replacements are expensive.
     */
    val suspectedTerminationShare: Double = 0.25,
)
