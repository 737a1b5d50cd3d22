package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.time.MonotonicInstant
import kotlin.time.DurationUnit

/**
 * Reserves capacity for jobs that cannot run elsewhere, based on the machine types that are up and on the waiting,
 * running and recently submitted jobs. Two kinds of capacity are scarce:
 *
 * * GPUs: tasks that use none must leave the CPUs and memory that the free GPUs of a machine need
 *   ([CycleInput.hostResourcesPerGpu]).
 * * Machine types: a job that fits only on some types is *confined* to them ([ConfinedGroup]), and a job that fits on
 *   some of them and on others too is *flexible* there. Confined tasks that wait, or are expected to arrive before the
 *   flexible tasks complete, are provisionally assigned to the machines from which flexible tasks will be gone first.
 *   That capacity is *reserved*: flexible tasks on it run to completion but are not followed by others, so that large
 *   enough parts of a machine become free.
 *
 * If flexible jobs are late too and the capacity does not suffice for both, the machines are divided in proportion to
 * demand, so that neither kind waits for long.
 */
public class ScarceCapacity(private val input: CycleInput) {
    private class Reservation(val group: ConfinedGroup, val resources: Resources)

    private val capacities: Map<MachineType, Resources> = HashMap<MachineType, Resources>().apply {
        input.machines.forEach { put(it.type, it.capacity) }
    }
    private val fittingTypes = FittingTypes(capacities)
    private val groups = LinkedHashMap<Set<MachineType>, ConfinedGroup>()
    private val reservations = HashMap<MachineId, Reservation>()

    /** The sets of types that some jobs are confined to, the smallest first. */
    public val scarceTypes: List<Set<MachineType>>

    public val reservedMachineCount: Int get() = reservations.size

    init {
        // With a single type no job is confined.
        if (capacities.size > 1) collectGroups()
        val smallestFirst = groups.values.sortedBy { it.types.size }
        scarceTypes = smallestFirst.map { it.types }
        smallestFirst.forEach(::reserve)
    }

    /** The resources of a machine that are reserved for confined jobs. */
    public fun reservedOn(machine: MachineView): Resources = reservations[machine.id]?.resources ?: Resources.NONE

    /** Whether the machine has a reservation that the job may not use, because the job is flexible there. */
    public fun isReservedForOthers(spec: JobSpec, machine: MachineView): Boolean =
        reservations[machine.id]?.let { isFlexible(spec, it.group) } ?: false

    /** Whether the machine's type is scarce and the job can also run on other types. */
    public fun isFlexible(spec: JobSpec, machine: MachineView): Boolean =
        scarceTypes.any { machine.type in it && FittingTypes.isFlexible(fittingTypes.of(spec), it) }

    /**
     * Whether a task of the job may use the free resources that it fits into. Jobs with a higher priority than the
     * confined jobs may use reserved resources too: otherwise they would preempt tasks elsewhere.
     *
     * @param free the machine's free resources
     * @param reserved the part of the machine's resources that is still reserved for confined jobs
     */
    public fun admits(spec: JobSpec, machine: MachineView, free: Resources, reserved: Resources): Boolean {
        if (!leavesGpusUsable(spec, machine.capacity, free)) return false
        val group = reservations[machine.id]?.group ?: return true
        return !isFlexible(spec, group) || spec.priority > group.priority || spec.resources.fitsIn(free - reserved)
    }

    private fun isFlexible(spec: JobSpec, group: ConfinedGroup) =
        FittingTypes.isFlexible(fittingTypes.of(spec), group.types)

    /**
     * Whether the task uses GPUs itself, or leaves the CPUs and memory that the free GPUs of the machine need.
     *
     * Otherwise thousands of small tasks could use the CPUs of all machines and leave the GPUs idle: each small task
     * that completes is followed by another, so the capacity for a larger task never becomes free at once. A task that
     * does not fit beside the GPUs of an empty machine is exempt, since it could never run.
     */
    private fun leavesGpusUsable(spec: JobSpec, capacity: Resources, free: Resources): Boolean {
        if (spec.resources.gpus > 0 || free.gpus <= 0 || input.hostResourcesPerGpu == Resources.NONE) return true
        return spec.resources.fitsIn(free - hostResources(free.gpus)) ||
            !spec.resources.fitsIn(capacity - hostResources(capacity.gpus))
    }

    private fun hostResources(gpus: Double): Resources = Resources(
        input.hostResourcesPerGpu.cpus * gpus,
        0.0,
        input.hostResourcesPerGpu.memoryGb * gpus,
    )

    private fun collectGroups() {
        for (job in input.jobs) confinedGroup(job.spec)?.addDemand(job.spec, job.pending.size.toDouble())
        for (machine in input.machines) for (occupant in machine.load.occupants) confinedGroup(occupant.spec)
        val horizons = HashMap<ConfinedGroup, Double>()
        for (expected in input.expectedArrivals) {
            val group = confinedGroup(expected.spec) ?: continue
            val horizonSeconds = horizons.getOrPut(group) { horizonSeconds(group) }
            group.addDemand(expected.spec, expected.tasksPerS * horizonSeconds)
        }
    }

    /** The group of the job, created on first use; null if the job fits on no type or on all types. */
    private fun confinedGroup(spec: JobSpec): ConfinedGroup? {
        val fitting = fittingTypes.of(spec)
        if (fitting.isEmpty() || fitting.size == capacities.size) return null
        val group = groups.getOrPut(fitting) { ConfinedGroup(fitting) }
        group.addJob(spec)
        return group
    }

    /**
     * For how long ahead capacity is reserved for expected tasks: half the average remaining run time of the flexible
     * tasks, limited to a range.
     */
    private fun horizonSeconds(group: ConfinedGroup): Double {
        var sum = 0.0
        var flexibleTasks = 0
        for (machine in input.machines) {
            if (machine.type !in group.types) continue
            for (occupant in machine.load.occupants) {
                if (!isFlexible(occupant.spec, group)) continue
                sum += (occupant.expectedEnd - input.now).toDouble(DurationUnit.SECONDS)
                flexibleTasks++
            }
        }
        return if (flexibleTasks == 0) {
            MIN_HORIZON_S
        } else {
            (sum / flexibleTasks / 2).coerceIn(MIN_HORIZON_S, MAX_HORIZON_S)
        }
    }

    /**
     * A machine that may be reserved.
     *
     * @property availableAt when the group's smallest request is expected to fit on the machine
     * @property resources the resources that remain for the group once the flexible tasks have completed
     */
    private class ReservationCandidate(
        val machine: MachineView,
        val availableAt: MonotonicInstant,
        val resources: Resources,
    )

    /** Reserves machines for the group: those that are available soonest, then those with the least capacity. */
    private fun reserve(group: ConfinedGroup) {
        if (!group.hasDemand) return
        val machines = input.machines.filter { it.type in group.types && it.id !in reservations }
        var remainingWeight = maxReservedWeight(group, machines)
        allocateToBootingMachines(group)
        val smallestRequest = group.smallestRequest ?: return
        val candidates = machines.map { candidate(it, group, smallestRequest) }
            .sortedWith(
                compareBy<ReservationCandidate> { it.availableAt }
                    .thenBy { it.resources.weight }
                    .thenBy { it.machine.id },
            )
        for (candidate in candidates) {
            val reserved = group.allocate(candidate.resources, remainingWeight)
            if (reserved == Resources.NONE) continue
            remainingWeight -= reserved.weight
            reservations[candidate.machine.id] = Reservation(group, reserved)
        }
    }

    private fun allocateToBootingMachines(group: ConfinedGroup) {
        for ((type, count) in input.bootingMachines) {
            if (type !in group.types) continue
            val capacity = capacities[type] ?: continue
            repeat(count) { group.allocate(capacity, Double.MAX_VALUE) }
        }
    }

    /**
     * How much of the machines may be reserved, as [Resources.weight]: all of it or, if late flexible jobs want more
     * than the confined jobs leave, the share that corresponds to what the confined jobs hold and request. That amount
     * is multiplied by [CONFINED_DEMAND_FACTOR], since flexible jobs have other machines to themselves. Each kind thus
     * gets at least half of its proportional share.
     */
    private fun maxReservedWeight(group: ConfinedGroup, machines: List<MachineView>): Double {
        val total = machines.sumOf { it.capacity.weight }
        val flexible = flexibleWeight(group, machines)
        val held = heldWeight(group, machines)
        val confined = (held + group.demandWeight) * CONFINED_DEMAND_FACTOR
        return if (confined / CONFINED_DEMAND_FACTOR + flexible <= total) {
            total
        } else {
            total * confined / (confined + flexible) - held
        }
    }

    /** The weight that late flexible jobs request and that all flexible tasks hold; 0 if no flexible job is late. */
    private fun flexibleWeight(group: ConfinedGroup, machines: List<MachineView>): Double {
        val waiting = input.jobs.sumOf {
            if (it.isLate && isFlexible(it.spec, group)) it.spec.resources.weight * it.pending.size else 0.0
        }
        if (waiting <= 0) return waiting
        return waiting + machines.sumOf { machine ->
            machine.load.occupants.sumOf { if (isFlexible(it.spec, group)) it.spec.resources.weight else 0.0 }
        }
    }

    /** The weight that tasks of jobs that are not flexible hold on the machines. */
    private fun heldWeight(group: ConfinedGroup, machines: List<MachineView>): Double {
        var held = 0.0
        for (machine in machines) {
            for (occupant in machine.load.occupants) {
                if (!isFlexible(occupant.spec, group)) held += occupant.spec.resources.weight
            }
        }
        return held
    }

    private fun candidate(
        machine: MachineView,
        group: ConfinedGroup,
        smallestRequest: Resources,
    ): ReservationCandidate {
        var resources = machine.capacity
        val flexible = ArrayList<Occupant>()
        for (occupant in machine.load.occupants) {
            if (isFlexible(occupant.spec, group)) {
                flexible.add(occupant)
            } else {
                resources -= occupant.spec.resources
            }
        }
        return ReservationCandidate(machine, availableAt(machine, flexible, smallestRequest), resources)
    }

    /** When [smallestRequest] fits on the machine, if the tasks in [flexible] end as expected. */
    private fun availableAt(
        machine: MachineView,
        flexible: MutableList<Occupant>,
        smallestRequest: Resources,
    ): MonotonicInstant {
        var free = machine.load.free + machine.load.releasing
        var availableAt = input.now
        if (smallestRequest.fitsIn(free)) return availableAt
        flexible.sortBy { it.expectedEnd }
        for (occupant in flexible) {
            free += occupant.spec.resources
            availableAt = maxOf(availableAt, occupant.expectedEnd)
            if (smallestRequest.fitsIn(free)) break
        }
        return availableAt
    }

    private companion object {
        const val CONFINED_DEMAND_FACTOR = 1.5
        const val MIN_HORIZON_S = 5.0
        const val MAX_HORIZON_S = 20.0
    }
}
