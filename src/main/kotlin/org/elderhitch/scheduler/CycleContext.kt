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

/** What the input of a scheduling cycle is built from, in addition to the task table. */
internal class CycleContext(
    val leader: LeadershipState.Leader,
    val now: MonotonicInstant,
    val cloud: CloudView,
    /** Capacity that lower-priority work must leave free. */
    val reservations: List<CapacityReservation>,
    /** The quota that machines which have not reported in this term may be using. */
    val unreportedResources: Resources,
    /** Whether an unreported task of a job may be running on a machine that has not reported in this term. */
    val mayRunUnreported: (JobSpec) -> Boolean,
    /** Whether new tasks may be placed on a worker. */
    val isUsable: (WorkerState) -> Boolean,
)

/** The machines that the cloud offers, and those that are booting. */
internal class CloudView(
    val catalog: Catalog,
    /** Markets that had no machine available at the last request. */
    val unavailableMarkets: Set<Market> = emptySet(),
    /** Whether booting machines outnumber those on which tasks may be placed. */
    val mostlyBooting: Boolean = false,
    /** The number of booting machines of each type. */
    val bootingMachines: Map<MachineType, Int> = emptyMap(),
)
