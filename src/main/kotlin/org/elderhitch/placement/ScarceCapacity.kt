package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.time.MonotonicInstant
import kotlin.time.DurationUnit

/** A task that is on a machine or on its way there, and when it is expected to end. */
public class Occupant(public val spec: JobSpec, public val until: MonotonicInstant)

/** Tasks of a class that arrive by what was seen lately; [spec]: the latest job of the class. */
public class Expected(public val spec: JobSpec, public val tasksPerS: Double)

/**
 * Which machine types can take a task at all, of those that there are. Asked for each job many times a scheduling
 * cycle.
 */
internal class Fits(private val types: Map<MachineType, Resources>) {
    private val known = HashMap<JobId, Set<MachineType>>()

    fun of(spec: JobSpec): Set<MachineType> = known.getOrPut(spec.id) {
        types.filter { (type, has) -> (spec.types == null || type in spec.types) && spec.need.fitsIn(has) }.keys
    }

    companion object {
        /**
         * Whether work that may use [fits] is but a guest on the [scarce] types: it could run where the work that is
         * confined to those can't.
         */
        fun isGuest(fits: Set<MachineType>, scarce: Set<MachineType>): Boolean =
            fits.any { it in scarce } && !scarce.containsAll(fits)
    }
}

/**
 * What a machine is worth to work that could run nowhere else, from the types that are up, what waits, what runs and
 * what arrived lately.
 * Two things make room scarce:
 *
 * * an accelerator: tasks that use none leave what the free accelerators of a machine need beside them
 * ([CycleInput.besideGpu]);
 * * a type: work that fits only some types is *confined* to them, and work that could run elsewhere is a *guest* there.
 * What waits of the confined
 *   work, and what will have arrived by the time that guests leave, is laid on paper onto the machines that guests
 * leave first. That room is *kept*:
 *   guests in it run out and are not followed by others, so that it comes together.
 *
 * Where guests are late as well and there is not room for both, the room is shared out by what each asks for: neither
 * is kept out for long.
 */
public class ScarceCapacity(private val input: CycleInput) {
    /** Work that is confined to the same types. */
    private class Group(val types: Set<MachineType>) {
        /** Needs, and how many tasks of each wait or are expected. */
        val asked = ArrayList<Asked>()
        var priority = Priority.LOW

        fun ask(spec: JobSpec, tasks: Double) {
            if (tasks > 0) asked.add(Asked(spec.need, tasks))
        }

        /** Some of its work is there, or comes. */
        fun seen(spec: JobSpec) {
            priority = maxOf(priority, spec.priority)
        }
    }

    private class Asked(val need: Resources, var tasks: Double)

    private class Kept(val group: Group, val room: Resources)

    private val up: Map<MachineType, Resources> = HashMap<MachineType, Resources>().apply {
        input.machines.forEach { put(it.type, it.whole) }
    }
    private val fits = Fits(up)
    private val groups = LinkedHashMap<Set<MachineType>, Group>()
    private val kept = HashMap<MachineId, Kept>()

    /** The sets of types that some work is confined to, the fewest first. */
    public val scarce: List<Set<MachineType>>

    init {
        // Of a single type nothing is scarcer than the rest: no more is done.
        if (up.size > 1) gather()
        val ordered = groups.values.sortedBy { it.types.size }
        scarce = ordered.map { it.types }
        ordered.forEach(::keep)
    }

    private fun gather() {
        for (job in input.jobs) confined(job.spec)?.ask(job.spec, job.pending.size.toDouble())
        for (machine in input.machines) for (tenant in machine.tenants) confined(tenant.spec)
        for (expected in input.expected) {
            confined(expected.spec)?.let {
                it.ask(
                    expected.spec,
                    expected.tasksPerS * horizon(it),
                )
            }
        }
    }

    private fun confined(spec: JobSpec): Group? {
        val its = fits.of(spec)
        return if (its.isEmpty() ||
            its.size == up.size
        ) {
            null
        } else {
            groups.getOrPut(its) { Group(its) }.also { it.seen(spec) }
        }
    }

    /** How long it takes to have room back from guests, in seconds: what arrives by then is kept room for now. */
    private fun horizon(group: Group): Double {
        var sum = 0.0
        var guests = 0
        for (machine in input.machines) {
            if (machine.type !in group.types) continue
            for (tenant in machine.tenants) {
                if (!isGuest(tenant.spec, group)) continue
                sum += (tenant.until - input.now).toDouble(DurationUnit.SECONDS)
                guests++
            }
        }
        return if (guests == 0) LEAST_HORIZON_S else (sum / guests / 2).coerceIn(LEAST_HORIZON_S, MOST_HORIZON_S)
    }

    private fun isGuest(spec: JobSpec, group: Group) = Fits.isGuest(fits.of(spec), group.types)

    private class Choice(val machine: MachineView, val freeAt: MonotonicInstant, val room: Resources)

    private fun keep(group: Group) {
        if (group.asked.isEmpty()) return
        val machines = input.machines.filter { it.type in group.types && it.id !in kept }
        var may = mostKept(group, machines)
        for ((type, count) in input.coming) {
            if (type in
                group.types
            ) {
                up[type]?.let { whole -> repeat(count) { lay(group, whole, Double.MAX_VALUE) } }
            }
        }
        val least = group.asked.minByOrNull { it.need.weight }?.need ?: return
        val choices = machines.map {
            choice(it, group, least)
        }.sortedWith(compareBy<Choice> { it.freeAt }.thenBy { it.room.weight }.thenBy { it.machine.id })
        for (choice in choices) {
            val room = lay(group, choice.room, may)
            if (room == Resources.NONE) continue
            may -= room.weight
            kept[choice.machine.id] = Kept(group, room)
        }
    }

    /** Lays as much as fits of what is asked for into the room, large tasks first; returns what that takes. */
    private fun lay(group: Group, room: Resources, may: Double): Resources {
        var left = room
        var taken = Resources.NONE
        for (asked in group.asked.sortedByDescending { it.need.weight }) {
            while (asked.tasks > 0 && asked.need.fitsIn(left) && taken.weight + asked.need.weight <= may) {
                asked.tasks--
                left -= asked.need
                taken += asked.need
            }
        }
        return taken
    }

    /**
     * How much of the machines may be kept: all that the confined work asks for, or, where guests that are late want
     * more than the rest, its
     * part by what both hold and ask for, where its own counts [CONFINED] times, since guests have other machines to
     * themselves. So of a class that has room
     * nowhere else and of one that found none there none gets all: each has at least half of its part.
     */
    private fun mostKept(group: Group, machines: List<MachineView>): Double {
        val all = machines.sumOf { it.whole.weight }
        var own = 0.0
        var guests = input.jobs.sumOf {
            if (it.late &&
                isGuest(it.spec, group)
            ) {
                it.spec.need.weight * it.pending.size
            } else {
                0.0
            }
        }
        if (guests >
            0
        ) {
            guests +=
                machines.sumOf { machine ->
                    machine.tenants.sumOf { if (isGuest(it.spec, group)) it.spec.need.weight else 0.0 }
                }
        }
        for (machine in machines) {
            for (tenant in machine.tenants) {
                if (!isGuest(tenant.spec, group)) {
                    own +=
                        tenant.spec.need.weight
                }
            }
        }
        val asked = (own + group.asked.sumOf { it.need.weight * it.tasks }) * CONFINED
        return if (asked / CONFINED + guests <= all) all else all * asked / (asked + guests) - own
    }

    /** What guests and others that leave will have left of a machine, and when the least that is asked for fits. */
    private fun choice(machine: MachineView, group: Group, least: Resources): Choice {
        var room = machine.whole
        var free = machine.free + machine.leaving
        var freeAt = input.now
        val guests = ArrayList<Occupant>()
        for (tenant in machine.tenants) {
            if (isGuest(tenant.spec, group)) {
                guests.add(tenant)
            } else {
                room -=
                    tenant.spec.need
            }
        }
        if (!least.fitsIn(free)) {
            guests.sortBy { it.until }
            for (guest in guests) {
                free += guest.spec.need
                freeAt = maxOf(freeAt, guest.until)
                if (least.fitsIn(free)) break
            }
        }
        return Choice(machine, freeAt, room)
    }

    public val keptCount: Int get() = kept.size

    /** The room of a machine that is kept for such as could run nowhere else. */
    public fun keptOn(machine: MachineView): Resources = kept[machine.id]?.room ?: Resources.NONE

    /** Whether the room that is kept on the machine is kept from such work. */
    public fun keepsFrom(spec: JobSpec, machine: MachineView): Boolean =
        kept[machine.id]?.let { isGuest(spec, it.group) } ?: false

    /** Whether such work is but a guest on the machine, kept or not. */
    public fun isGuest(spec: JobSpec, machine: MachineView): Boolean =
        scarce.any { machine.type in it && Fits.isGuest(fits.of(spec), it) }

    /**
     * Whether a task that fits into [free] may have that room. [keeping]: what of it is still kept for work that could
     * run nowhere else. More important
     * work may have that too: it would not wait for the less important, and stops it elsewhere.
     */
    public fun admits(spec: JobSpec, machine: MachineView, free: Resources, keeping: Resources): Boolean {
        if (!leavesAccelerators(spec, machine.whole, free)) return false
        val group = kept[machine.id]?.group ?: return true
        return !isGuest(spec, group) || spec.priority > group.priority || spec.need.fitsIn(free - keeping)
    }

    /**
     * Tasks without accelerators leave what the free accelerators of a machine need beside them. A guest's thousands of
     * small tasks filled the processors of all machines, and the accelerators stood idle: room for one larger task
     * never
     * came together, since each small one that ended was followed by another. Tasks too large for what is left of an
     * empty
     * machine are exempt, or they would never run.
     */
    private fun leavesAccelerators(spec: JobSpec, whole: Resources, free: Resources): Boolean {
        if (spec.need.gpus > 0 || free.gpus <= 0 || input.besideGpu == Resources.NONE) return true
        return spec.need.fitsIn(free - beside(free.gpus)) || !spec.need.fitsIn(whole - beside(whole.gpus))
    }

    private fun beside(gpus: Double): Resources = Resources(
        input.besideGpu.cpus * gpus,
        0.0,
        input.besideGpu.memoryGb * gpus,
    )

    private companion object {
        const val CONFINED = 1.5
        const val LEAST_HORIZON_S = 5.0
        const val MOST_HORIZON_S = 20.0
    }
}
