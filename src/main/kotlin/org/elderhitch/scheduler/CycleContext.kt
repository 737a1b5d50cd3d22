package org.elderhitch.scheduler

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.Market
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.placement.CapacityReservation
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant

/** What the input of a scheduling cycle is built from, beside the task table. */
internal class CycleContext(
    val leader: LeadershipState.Leader,
    val now: MonotonicInstant,
    val cloud: CloudView,
    /** Capacity that less important work leaves free. */
    val reservations: List<CapacityReservation>,
    /** What machines that have not been heard from in this term may use of the teams' quotas. */
    val unreportedResources: Resources,
    /** Whether an unreported task of a job may run on a machine that has not been heard from in this term. */
    val mayRunUnreported: (JobSpec) -> Boolean,
    /** Whether new tasks may be placed on a worker. */
    val isUsable: (WorkerState) -> Boolean,
)

/** What the cloud offers, and which machines it is starting. */
internal class CloudView(
    val catalog: Catalog,
    /** Where the cloud had no machine to offer when it was last asked. */
    val unavailableMarkets: Set<Market> = emptySet(),
    /** Whether most of the fleet is still booting. */
    val mostlyBooting: Boolean = false,
    /** How many machines boot, by type. */
    val bootingMachines: Map<MachineType, Int> = emptyMap(),
)
