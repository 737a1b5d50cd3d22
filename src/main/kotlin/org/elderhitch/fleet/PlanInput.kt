package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.placement.UnplacedTasks
import org.elderhitch.time.MonotonicInstant

/** The input of a [FleetPlan]. */
public class PlanInput(
    public val catalog: Catalog,
    public val machines: List<PlannedMachine>,
    public val unplaced: List<UnplacedTasks>,
    /** The spare capacity to keep, by the resource shapes of the tasks that it is for. */
    public val headroom: List<Headroom>,
    /** Number of machines that the tasks arriving during the boot of a machine would fill. */
    public val machinesFilledDuringBoot: Double,
    /** Markets in which no machines are provisioned at present. */
    public val closedMarkets: Set<Market>,
    public val now: MonotonicInstant,
    /** The boot timeout, after which a machine is terminated, as a multiple of the type's usual boot time. */
    public val bootTimeoutMultiple: Double = BootTimes.DEFAULT_TIMEOUT_MULTIPLE,
    /** The time after which a booting machine is replaced, as a multiple of the type's usual boot time. */
    public val lateBootMultiple: Double = BootTimes.DEFAULT_LATE_MULTIPLE,
    /** Sets of machine types to which some work is confined while other work could also run elsewhere. */
    public val scarceTypeSets: List<Set<MachineType>> = emptyList(),
)

/**
 * Spare capacity for [tasks] tasks like those of [spec].
 *
 * @property mustBeFree whether the capacity must be unused; otherwise, tasks that this work may preempt can use it
 */
public class Headroom(public val spec: JobSpec, public val tasks: Int, public val mustBeFree: Boolean = false)

/** Machines to provision in one market. */
public data class ProvisioningRequest(val market: Market, val count: Int) {
    /** Splits the request into requests for at most [size] machines each. */
    public fun chunked(size: Int): List<ProvisioningRequest> =
        (0 until count step size).map { ProvisioningRequest(market, minOf(size, count - it)) }
}

/** The decisions of a [FleetPlan]. */
public class PlanOutput(
    public val provision: List<ProvisioningRequest>,
    /** Machines to terminate: idle, faulty, or past their boot timeout. */
    public val terminate: List<MachineId>,
    /** A machine with few services that can be moved to other machines, so that it can be terminated afterwards. */
    public val drain: MachineId?,
    /**
     * How often a machine was considered for a task or for headroom: a measure of the plan's cost that does not depend
     * on the speed of the processor.
     */
    public val steps: Long = 0,
)
