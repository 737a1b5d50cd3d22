package org.elderhitch.placement

import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec

/** Whether a machine takes a task of a job now, and how well it suits it. */
internal class MachineScorer(private val input: CycleInput, private val scarcity: ScarceCapacity) {
    /** Whether the machine has capacity for a task of the job, and none of that is withheld from it. */
    fun accepts(spec: JobSpec, machine: RemainingCapacity): Boolean =
        fits(spec, machine) && !waitsForMoreMachines(spec, machine)

    private fun fits(spec: JobSpec, machine: RemainingCapacity): Boolean = spec.resources.fitsIn(machine.free) &&
        scarcity.admits(spec, machine.view, machine.free, machine.reserved)

    /**
     * Whether a service leaves the machine alone while most of the fleet still boots: it would take more than half of
     * it, and its image isn't there.
     *
     * The first machines of a cold start filled up with services otherwise, and later services with the same images
     * had to fetch them elsewhere for a minute and a half, since nothing on those machines could be preempted.
     */
    private fun waitsForMoreMachines(spec: JobSpec, machine: RemainingCapacity): Boolean = input.mostlyBooting &&
        !input.wholeMachinesNeeded &&
        spec.kind == JobKind.SERVICE &&
        spec.image !in machine.view.images.cached &&
        machine.serviceWeight + spec.resources.weight > machine.view.capacity.weight / 2

    /**
     * How much a service prefers the machine to others of the same penalty; 0 for other jobs.
     *
     * Services go to machines that run services. But unless some job needs whole machines, they use only up to half
     * of one: the other half is for work that can be preempted for services whose images are there, when a zone is
     * lost with a third of them.
     */
    fun serviceAffinity(spec: JobSpec, machine: RemainingCapacity): Double {
        if (spec.kind != JobKind.SERVICE) return 0.0
        val withinHalf = input.wholeMachinesNeeded ||
            machine.serviceWeight + spec.resources.weight <= machine.view.capacity.weight / 2
        return if (withinHalf) machine.serviceWeight else -machine.serviceWeight
    }

    /** What speaks against the machine, in seconds: the fetch of the image, and what the placement costs other work. */
    fun penaltySeconds(spec: JobSpec, machine: RemainingCapacity): Double {
        val opening = if (machine.empty) EMPTY_MACHINE_S else 0.0
        // Spot machines are for jobs that may use them; the others stay free for jobs that may not.
        val onDemand = if (spec.spotAllowed && !machine.view.spot) ON_DEMAND_S else 0.0
        return fetchSeconds(spec, machine) + opening + onDemand + scarcityPenalty(spec, machine)
    }

    private fun scarcityPenalty(spec: JobSpec, machine: RemainingCapacity): Double =
        if (!scarcity.isFlexible(spec, machine.view)) {
            0.0
        } else if (scarcity.isReservedAgainst(spec, machine.view)) {
            RESERVED_MACHINE_S
        } else {
            SCARCE_MACHINE_S
        }

    /**
     * How long it takes until the image is on the machine, in seconds. Fetches that are under way count, since they
     * share the machine's rate: many services that lost their machines would go to the few emptiest otherwise, and
     * fetch there concurrently for minutes.
     */
    fun fetchSeconds(spec: JobSpec, machine: RemainingCapacity): Double {
        if (spec.image in machine.view.images.cached) return 0.0
        // An image that is being fetched already is part of the pending fetches.
        val own = if (spec.image in machine.fetchingImages) 0.0 else spec.imageGb
        return (own + machine.pendingFetchGb) / machine.view.images.fetchGbPerS.coerceAtLeast(LEAST_FETCH_GB_PER_S)
    }

    private companion object {
        const val LEAST_FETCH_GB_PER_S = 0.01

        // Penalties, in seconds.
        const val EMPTY_MACHINE_S = 12.0
        const val ON_DEMAND_S = 6.0

        /** More than all other penalties: work that could run elsewhere uses scarce machines last. */
        const val SCARCE_MACHINE_S = 40.0
        const val RESERVED_MACHINE_S = 80.0
    }
}
