package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.placement.UnplacedTasks
import org.elderhitch.time.MonotonicInstant

/** All that a [FleetPlan] is made from. */
public class PlanInput(
    public val catalog: Catalog,
    public val machines: List<PlannedMachine>,
    public val unplaced: List<UnplacedTasks>,
    /** The spare capacity to keep, by the shapes of work that it is for. */
    public val headroom: List<Headroom>,
    /** How many machines the tasks would fill that arrive while a machine boots. */
    public val arriving: Double,
    /** Markets in which nothing is provisioned for now. */
    public val closedMarkets: Set<Market>,
    public val now: MonotonicInstant,
    /** After how many times its usual boot time a machine that is not up is given up and terminated. */
    public val hopelessBootMultiple: Double = BootTimes.DEFAULT_HOPELESS_MULTIPLE,
    /** After how many times its usual boot time a machine that is not up is replaced. */
    public val lateBootMultiple: Double = BootTimes.DEFAULT_LATE_MULTIPLE,
    /** The sets of types that some work is confined to while other work could run elsewhere. */
    public val scarce: List<Set<MachineType>> = emptyList(),
)

/**
 * Spare capacity for [tasks] tasks like those of [spec]. [free]: it must be free at once; otherwise tasks that would be
 * preempted for this work may use it.
 */
public class Headroom(public val spec: JobSpec, public val tasks: Int, public val free: Boolean = false)

/** Machines to provision in one market. */
public data class ProvisioningRequest(val market: Market, val count: Int) {
    /** The same machines in requests of at most [size] each. */
    public fun chunked(size: Int): List<ProvisioningRequest> =
        (0 until count step size).map { ProvisioningRequest(market, minOf(size, count - it)) }
}

/** What a [FleetPlan] decides. */
public class PlanOutput(
    public val provision: List<ProvisioningRequest>,
    /** Idle, faulty or hopelessly late machines to give back to the cloud. */
    public val terminate: List<MachineId>,
    /** A machine whose few services can be moved to other machines, so that it can be terminated afterwards. */
    public val drain: MachineId?,
)
