package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.time.MonotonicInstant
import kotlin.time.DurationUnit

/**
 * Capacity that is reserved for work that could run nowhere else, decided from the types that are up and from what
 * waits, runs and arrived lately. Two things make capacity scarce:
 *
 * * an accelerator: tasks that use none leave the other resources that a machine's free accelerators need
 *   ([CycleInput.hostResourcesPerGpu]);
 * * a type: work that fits only on some types is *confined* to them ([ConfinedGroup]), and work that could also run
 *   elsewhere is *flexible* there. Confined work that waits, or is expected to arrive by the time that flexible tasks
 *   complete, is assigned on paper to the machines that flexible tasks leave first. That capacity is *reserved*:
 *   flexible tasks there complete and aren't followed by others, so that large enough parts of a machine come free.
 *
 * Where flexible work is late as well and there isn't capacity for both, the machines are shared in proportion to the
 * demand: neither is kept out for long.
 */
public class ScarceCapacity(private val input: CycleInput) {
    private class Reservation(val group: ConfinedGroup, val resources: Resources)

    private val capacities: Map<MachineType, Resources> = HashMap<MachineType, Resources>().apply {
        input.machines.forEach { put(it.type, it.capacity) }
    }
    private val fittingTypes = FittingTypes(capacities)
    private val groups = LinkedHashMap<Set<MachineType>, ConfinedGroup>()
    private val reservations = HashMap<MachineId, Reservation>()

    /** The sets of types that some work is confined to, the smallest first. */
    public val scarceTypes: List<Set<MachineType>>

    public val reservedMachineCount: Int get() = reservations.size

    init {
        // With a single type none is scarcer than the others.
        if (capacities.size > 1) collectGroups()
        val smallestFirst = groups.values.sortedBy { it.types.size }
        scarceTypes = smallestFirst.map { it.types }
        smallestFirst.forEach(::reserve)
    }

    /** The resources of a machine that are reserved for confined work. */
    public fun reservedOn(machine: MachineView): Resources = reservations[machine.id]?.resources ?: Resources.NONE

    /** Whether the machine has a reservation, and the job is flexible there and so may not use it. */
    public fun isReservedAgainst(spec: JobSpec, machine: MachineView): Boolean =
        reservations[machine.id]?.let { isFlexible(spec, it.group) } ?: false

    /** Whether the machine's type is scarce and the job could run on other types as well. */
    public fun isFlexible(spec: JobSpec, machine: MachineView): Boolean =
        scarceTypes.any { machine.type in it && FittingTypes.isFlexible(fittingTypes.of(spec), it) }

    /**
     * Whether a task that fits into the free resources may have them. Jobs more important than the confined work may
     * use what is reserved too: otherwise they would preempt less important tasks elsewhere.
     *
     * @param free the machine's free resources
     * @param reserved what of the machine's resources is still reserved for confined work
     */
    public fun admits(spec: JobSpec, machine: MachineView, free: Resources, reserved: Resources): Boolean {
        if (!leavesAcceleratorsUsable(spec, machine.capacity, free)) return false
        val group = reservations[machine.id]?.group ?: return true
        return !isFlexible(spec, group) || spec.priority > group.priority || spec.resources.fitsIn(free - reserved)
    }

    private fun isFlexible(spec: JobSpec, group: ConfinedGroup) =
        FittingTypes.isFlexible(fittingTypes.of(spec), group.types)

    /**
     * Whether the task uses accelerators, or leaves the other resources that the free accelerators of the machine need.
     *
     * Thousands of small tasks would use the processors of all machines otherwise, and the accelerators would stand
     * idle: capacity for one larger task would never come together, since each small task that completes is followed
     * by another. Tasks too large for what is left of an empty machine are exempt, or they would never run.
     */
    private fun leavesAcceleratorsUsable(spec: JobSpec, capacity: Resources, free: Resources): Boolean {
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
        for (expected in input.expectedArrivals) {
            val group = confinedGroup(expected.spec) ?: continue
            group.addDemand(expected.spec, expected.tasksPerS * horizonSeconds(group))
        }
    }

    /** The group of the job, made when first asked for; null if the job fits on no type or on all. */
    private fun confinedGroup(spec: JobSpec): ConfinedGroup? {
        val fitting = fittingTypes.of(spec)
        if (fitting.isEmpty() || fitting.size == capacities.size) return null
        val group = groups.getOrPut(fitting) { ConfinedGroup(fitting) }
        group.addJob(spec)
        return group
    }

    /** How many seconds it takes until flexible tasks complete: capacity is reserved for what arrives until then. */
    private fun horizonSeconds(group: ConfinedGroup): Double {
        var sum = 0.0
        var flexibleTasks = 0
        for (machine in input.machines) {
            if (machine.type !in group.types) continue
            for (occupant in machine.load.occupants) {
                if (!isFlexible(occupant.spec, group)) continue
                sum += (occupant.until - input.now).toDouble(DurationUnit.SECONDS)
                flexibleTasks++
            }
        }
        return if (flexibleTasks == 0) {
            LEAST_HORIZON_S
        } else {
            (sum / flexibleTasks / 2).coerceIn(LEAST_HORIZON_S, MOST_HORIZON_S)
        }
    }

    /** A machine that may be reserved; [freeAt]: when the group's smallest request fits on it. */
    private class ReservationChoice(val machine: MachineView, val freeAt: MonotonicInstant, val resources: Resources)

    /** Reserves machines for the group, those first that are free soonest and then those with the least capacity. */
    private fun reserve(group: ConfinedGroup) {
        if (!group.hasDemand) return
        val machines = input.machines.filter { it.type in group.types && it.id !in reservations }
        var remainingWeight = maxReservedWeight(group, machines)
        allocateToBootingMachines(group)
        val smallestRequest = group.smallestRequest ?: return
        val choices = machines.map { choice(it, group, smallestRequest) }
            .sortedWith(
                compareBy<ReservationChoice> { it.freeAt }.thenBy { it.resources.weight }.thenBy { it.machine.id },
            )
        for (choice in choices) {
            val reserved = group.allocate(choice.resources, remainingWeight)
            if (reserved == Resources.NONE) continue
            remainingWeight -= reserved.weight
            reservations[choice.machine.id] = Reservation(group, reserved)
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
     * How much of the machines may be reserved, as [Resources.weight]: all of it, or, where late flexible work wants
     * more than the rest, the part that corresponds to what the confined work holds and asks for. That counts
     * [CONFINED_SHARE] times, since flexible work has other machines to itself. So each gets at least half of its part.
     */
    private fun maxReservedWeight(group: ConfinedGroup, machines: List<MachineView>): Double {
        val total = machines.sumOf { it.capacity.weight }
        val flexible = flexibleWeight(group, machines)
        val held = heldWeight(group, machines)
        val confined = (held + group.demandWeight) * CONFINED_SHARE
        return if (confined / CONFINED_SHARE + flexible <= total) {
            total
        } else {
            total * confined / (confined + flexible) - held
        }
    }

    /** What late flexible work asks for, and all flexible tasks hold; 0 if none is late. */
    private fun flexibleWeight(group: ConfinedGroup, machines: List<MachineView>): Double {
        val waiting = input.jobs.sumOf {
            if (it.late && isFlexible(it.spec, group)) it.spec.resources.weight * it.pending.size else 0.0
        }
        if (waiting <= 0) return waiting
        return waiting + machines.sumOf { machine ->
            machine.load.occupants.sumOf { if (isFlexible(it.spec, group)) it.spec.resources.weight else 0.0 }
        }
    }

    /** What tasks that aren't flexible hold of the machines. */
    private fun heldWeight(group: ConfinedGroup, machines: List<MachineView>): Double {
        var held = 0.0
        for (machine in machines) {
            for (occupant in machine.load.occupants) {
                if (!isFlexible(occupant.spec, group)) held += occupant.spec.resources.weight
            }
        }
        return held
    }

    /** What flexible and stopping tasks will leave of a machine, and when [smallestRequest] fits there. */
    private fun choice(machine: MachineView, group: ConfinedGroup, smallestRequest: Resources): ReservationChoice {
        var resources = machine.capacity
        val flexible = ArrayList<Occupant>()
        for (occupant in machine.load.occupants) {
            if (isFlexible(occupant.spec, group)) {
                flexible.add(occupant)
            } else {
                resources -= occupant.spec.resources
            }
        }
        return ReservationChoice(machine, freeAt(machine, flexible, smallestRequest), resources)
    }

    private fun freeAt(
        machine: MachineView,
        flexible: MutableList<Occupant>,
        smallestRequest: Resources,
    ): MonotonicInstant {
        var free = machine.load.free + machine.load.releasing
        var freeAt = input.now
        if (smallestRequest.fitsIn(free)) return freeAt
        flexible.sortBy { it.until }
        for (occupant in flexible) {
            free += occupant.spec.resources
            freeAt = maxOf(freeAt, occupant.until)
            if (smallestRequest.fitsIn(free)) break
        }
        return freeAt
    }

    private companion object {
        const val CONFINED_SHARE = 1.5
        const val LEAST_HORIZON_S = 5.0
        const val MOST_HORIZON_S = 20.0
    }
}
