package org.elderhitch.fleet

import org.elderhitch.jobs.Resources
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The part of a [FleetPlan] that decides which machines to terminate or to drain.
 *
 * @property reserved machines whose free capacity is needed
 * @property used machines onto which unplaced tasks were packed
 */
internal class ScaleInPlan(
    private val input: PlanInput,
    private val policy: FleetPolicy,
    private val reserved: Set<MachineId>,
    private val used: Set<MachineId>,
) {
    /** A machine on which services run. */
    private class ServiceHost(val machine: Machine, val use: MachineUse, val capacity: Resources) {
        /** Whether only services run on the machine and use at most half of its capacity. */
        val isDrainable: Boolean
            get() = use.busy == use.services &&
                use.services.gpus * 2 <= capacity.gpus &&
                use.services.cpus * 2 <= capacity.cpus
    }

    /** Number of idle machines to keep for the tasks that arrive during a boot. */
    private val standby: Int get() = ceil(input.machinesFilledDuringBoot * STANDBY_SHARE).toInt()

    /** The machines to terminate: past their boot timeout, faulty and empty, or not needed. */
    fun terminations(): List<MachineId> {
        val unusable = input.machines.filter { if (it.use == null) isBootTimedOut(it) else isFaultyAndEmpty(it.use) }
        return (unusable.map { it.machine.id } + surplus()).distinct()
    }

    private fun isBootTimedOut(planned: PlannedMachine): Boolean {
        val bootTime = input.catalog.types[planned.machine.type]?.bootTime ?: return false
        return input.now - planned.provisionedAt > bootTime * input.bootTimeoutMultiple + BOOT_TIMEOUT_MARGIN
    }

    private fun isFaultyAndEmpty(use: MachineUse): Boolean = use.isFaulty && use.idleFor != null

    /**
     * Machines that are not needed. Up to [standby] idle machines are kept for their full idle time. Others are
     * terminated sooner, but not before the minimum time that the cloud charges for has passed.
     */
    private fun surplus(): List<MachineId> {
        val idle = input.machines
            .filter { it.use?.idleFor != null && it.use.isFaulty.not() && it.machine.id !in reserved }
            .sortedWith(
                compareByDescending<PlannedMachine> { it.machine.spot }
                    .thenBy { it.use?.idleFor }
                    .thenBy { it.machine.id },
            )
        val surplusBooting = if (idle.size < standby) emptyList() else surplusBooting()
        val idleTooLong = idle.filterIndexed { position, planned ->
            (planned.use?.idleFor ?: Duration.ZERO) > idleLimit(position, planned.machine) &&
                isMinimumChargeOver(planned)
        }
        return surplusBooting + idleTooLong.map { it.machine.id }
    }

    private fun idleLimit(position: Int, machine: Machine): Duration = when {
        position >= standby -> policy.terminateSurplusAfter
        machine.spot -> policy.terminateIdleSpotAfter
        else -> policy.terminateIdleAfter
    }

    private fun isMinimumChargeOver(planned: PlannedMachine): Boolean =
        input.now - planned.provisionedAt > MINIMUM_CHARGED_TIME

    /** Booting machines that no task needs, once the minimum time that the cloud charges for has passed. */
    private fun surplusBooting(): List<MachineId> = input.machines
        .filter { it.use == null && it.machine.id !in used && isMinimumChargeOver(it) }
        .map { it.machine.id }

    /**
     * The machine whose services use the least, if the other machines with services have capacity for them in addition
     * to the headroom. Services outlive the tasks with which they shared machines, and would stay scattered otherwise.
     */
    fun drain(): MachineId? {
        if (input.unplaced.isNotEmpty()) return null
        val hosts = input.machines.mapNotNull(::serviceHost)
        val candidate = hosts.filter { it.isDrainable }
            .minWithOrNull(compareBy({ it.use.services.weight }, { it.machine.id.text })) ?: return null
        var free = Resources.NONE
        for (host in hosts) if (host.machine.id != candidate.machine.id) free += host.capacity - host.use.busy
        var required = candidate.use.services
        for (headroom in input.headroom) required += headroom.spec.resources * headroom.tasks
        return candidate.machine.id.takeIf { required.fitsIn(free) }
    }

    private fun serviceHost(planned: PlannedMachine): ServiceHost? {
        val use = planned.use ?: return null
        if (!use.isUsable || use.services == Resources.NONE || planned.machine.spot) return null
        val type = input.catalog.types[planned.machine.type] ?: return null
        return ServiceHost(planned.machine, use, type.resources)
    }

    private companion object {
        val BOOT_TIMEOUT_MARGIN = 10.seconds

        /** Number of standby machines per machine that the arrivals during a boot would fill. */
        const val STANDBY_SHARE = 0.15

        /** The minimum time that the cloud charges for a machine. */
        val MINIMUM_CHARGED_TIME = 60.seconds
    }
}
