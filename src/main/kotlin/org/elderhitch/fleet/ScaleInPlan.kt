package org.elderhitch.fleet

import org.elderhitch.jobs.Resources
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The part of a [FleetPlan] that decides which machines to terminate or to drain.
 *
 * [reserved] machines have free capacity that is needed; on [used] ones unplaced tasks will run.
 */
internal class ScaleInPlan(
    private val input: PlanInput,
    private val policy: FleetPolicy,
    private val reserved: Set<MachineId>,
    private val used: Set<MachineId>,
) {
    /** A machine on which services run. */
    private class ServiceHost(val machine: Machine, val use: MachineUse, val capacity: Resources) {
        /** Only services run there, and they take at most half of it. */
        val isDrainable: Boolean
            get() = use.busy == use.services &&
                use.services.gpus * 2 <= capacity.gpus &&
                use.services.cpus * 2 <= capacity.cpus
    }

    /** How many idle machines are kept for the tasks that arrive during a boot. */
    private val standby: Int get() = ceil(input.arriving * STANDBY_SHARE).toInt()

    /** The machines to terminate: hopelessly late, faulty and empty, or idle for too long. */
    fun terminations(): List<MachineId> {
        val unusable = input.machines.filter { if (it.use == null) isHopeless(it) else isFaultyAndEmpty(it.use) }
        return (unusable.map { it.machine.id } + surplus()).distinct()
    }

    private fun isHopeless(planned: PlannedMachine): Boolean {
        val bootTime = input.catalog.types[planned.machine.type]?.bootTime ?: return false
        return input.now - planned.provisionedAt > bootTime * input.hopelessBootMultiple + HOPELESS_MARGIN
    }

    private fun isFaultyAndEmpty(use: MachineUse): Boolean = use.faulty && use.idle != null

    /**
     * Machines that are not needed. As many idle machines as soon may be needed stand by, each for its time; those
     * beyond are terminated sooner, though not before the minimum time is over that the cloud charges for.
     */
    private fun surplus(): List<MachineId> {
        val idle = input.machines
            .filter { it.use?.idle != null && it.use.faulty.not() && it.machine.id !in reserved }
            .sortedWith(
                compareByDescending<PlannedMachine> { it.machine.spot }
                    .thenBy { it.use?.idle }
                    .thenBy { it.machine.id },
            )
        val surplusBooting = if (idle.size < standby) emptyList() else surplusBooting()
        val idleTooLong = idle.filterIndexed { position, planned ->
            (planned.use?.idle ?: Duration.ZERO) > idleLimit(position, planned.machine) && isMinimumCharged(planned)
        }
        return surplusBooting + idleTooLong.map { it.machine.id }
    }

    private fun idleLimit(position: Int, machine: Machine): Duration = when {
        position >= standby -> policy.terminateSurplusAfter
        machine.spot -> policy.terminateIdleSpotAfter
        else -> policy.terminateIdleAfter
    }

    private fun isMinimumCharged(planned: PlannedMachine): Boolean = input.now - planned.provisionedAt > MINIMUM_CHARGED

    /** Booting machines that no task waits for, once the minimum time is over that the cloud charges for. */
    private fun surplusBooting(): List<MachineId> = input.machines
        .filter { it.use == null && it.machine.id !in used && isMinimumCharged(it) }
        .map { it.machine.id }

    /**
     * The machine with the fewest services, if the other machines with services have capacity for them in addition to
     * the headroom. Services outlive the tasks that shared their machines, and are left scattered otherwise.
     */
    fun drain(): MachineId? {
        if (input.unplaced.isNotEmpty()) return null
        val hosts = input.machines.mapNotNull(::serviceHost)
        val emptiest = hosts.filter { it.isDrainable }
            .minWithOrNull(compareBy({ it.use.services.weight }, { it.machine.id.text })) ?: return null
        var free = Resources.NONE
        for (host in hosts) if (host.machine.id != emptiest.machine.id) free += host.capacity - host.use.busy
        var required = emptiest.use.services
        for (headroom in input.headroom) required += headroom.spec.resources * headroom.tasks
        return emptiest.machine.id.takeIf { required.fitsIn(free) }
    }

    private fun serviceHost(planned: PlannedMachine): ServiceHost? {
        val use = planned.use ?: return null
        if (!use.usable || use.services == Resources.NONE || planned.machine.spot) return null
        val type = input.catalog.types[planned.machine.type] ?: return null
        return ServiceHost(planned.machine, use, type.resources)
    }

    private companion object {
        val HOPELESS_MARGIN = 10.seconds

        /** The part of the machines filled by arrivals during a boot that stands by. */
        const val STANDBY_SHARE = 0.15

        /** The cloud charges a machine for at least that long. */
        val MINIMUM_CHARGED = 60.seconds
    }
}
