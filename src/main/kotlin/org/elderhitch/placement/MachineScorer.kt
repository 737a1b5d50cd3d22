package org.elderhitch.placement

import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec

/** Tells whether a machine can take a task of a job now, and how suitable it is. */
internal class MachineScorer(private val input: CycleInput, private val scarcity: ScarceCapacity) {
    /** Whether the machine has capacity that a task of the job may use. */
    fun accepts(spec: JobSpec, machine: RemainingCapacity): Boolean =
        fits(spec, machine) && !isKeptForOtherServices(spec, machine)

    private fun fits(spec: JobSpec, machine: RemainingCapacity): Boolean = spec.resources.fitsIn(machine.free) &&
        scarcity.admits(spec, machine.view, machine.free, machine.reserved)

    /**
     * Whether a service must wait for another machine while most of the fleet is booting: the machine does not have the
     * service's image, and services would take more than half of the machine.
     *
     * Otherwise the first machines of a cold start fill up with services. Later services with the same images then have
     * to fetch them elsewhere, which took a minute and a half, since no service can be preempted on those machines.
     */
    private fun isKeptForOtherServices(spec: JobSpec, machine: RemainingCapacity): Boolean = input.mostlyBooting &&
        !input.wholeMachinesNeeded &&
        spec.kind == JobKind.SERVICE &&
        spec.image !in machine.view.images.cached &&
        machine.serviceWeight + spec.resources.weight > machine.view.capacity.weight / 2

    /**
     * How strongly a service prefers the machine over others with the same penalty; 0 for other jobs.
     *
     * Services are packed onto machines that already run services, but only up to half of a machine unless some job
     * needs whole machines. The other half is left to preemptible tasks: if a zone fails and a third of the services
     * with it, they can be stopped for services whose images are already on the machine.
     */
    fun serviceAffinity(spec: JobSpec, machine: RemainingCapacity): Double {
        if (spec.kind != JobKind.SERVICE) return 0.0
        val withinHalf = input.wholeMachinesNeeded ||
            machine.serviceWeight + spec.resources.weight <= machine.view.capacity.weight / 2
        return if (withinHalf) machine.serviceWeight else -machine.serviceWeight
    }

    /** The cost of using the machine: the time to fetch the image, and penalties for the cost to other jobs. */
    fun penaltySeconds(spec: JobSpec, machine: RemainingCapacity): Double {
        val emptyPenalty = if (machine.isEmpty) EMPTY_MACHINE_PENALTY_S else 0.0
        // Jobs that may use spot machines leave on-demand machines to jobs that may not.
        val onDemandPenalty = if (spec.spotAllowed && !machine.view.spot) ON_DEMAND_PENALTY_S else 0.0
        return fetchSeconds(spec, machine) + emptyPenalty + onDemandPenalty + scarcityPenaltySeconds(spec, machine)
    }

    private fun scarcityPenaltySeconds(spec: JobSpec, machine: RemainingCapacity): Double =
        if (!scarcity.isFlexible(spec, machine.view)) {
            0.0
        } else if (scarcity.isReservedForOthers(spec, machine.view)) {
            RESERVED_MACHINE_PENALTY_S
        } else {
            SCARCE_MACHINE_PENALTY_S
        }

    /**
     * The time until the job's image is on the machine. Fetches in progress count, since they share the machine's
     * fetch rate: otherwise many services that lost their machines at once would be placed on the few emptiest
     * machines, and fetch there concurrently for minutes.
     */
    fun fetchSeconds(spec: JobSpec, machine: RemainingCapacity): Double {
        if (spec.image in machine.view.images.cached) return 0.0
        // The image is part of the pending fetches if it is already being fetched.
        val additionalGb = if (spec.image in machine.fetchingImages) 0.0 else spec.imageGb
        return (additionalGb + machine.pendingFetchGb) /
            machine.view.images.fetchGbPerS.coerceAtLeast(MIN_FETCH_GB_PER_S)
    }

    private companion object {
        const val MIN_FETCH_GB_PER_S = 0.01
        const val EMPTY_MACHINE_PENALTY_S = 12.0
        const val ON_DEMAND_PENALTY_S = 6.0

        /** More than the penalties above together: jobs that can run elsewhere use machines of scarce types last. */
        const val SCARCE_MACHINE_PENALTY_S = 40.0
        const val RESERVED_MACHINE_PENALTY_S = 80.0
    }
}
