package org.elderhitch.placement

import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.workers.Attempt
import org.elderhitch.workers.MachineId

/** A machine as a round sees it. */
public class MachineView(
    public val id: MachineId,
    public val type: MachineType,
    public val zone: Zone,
    public val spot: Boolean,
    public val images: Set<Image>,
    public var free: Resources,
    /** Room that tasks told to stop will leave. */
    public var leaving: Resources,
    /** Tasks that may be stopped for more important ones. */
    public val victims: MutableList<VictimView>,
    /** Jobs that failed here lately go elsewhere. */
    public val shunnedBy: Set<JobId>,
    /** What services take of it: they stay, while other tasks end by themselves. */
    public var lasting: Double,
    /** Nothing is on it: a gang could have it whole, or it could be returned. */
    public var empty: Boolean,
    public val fetchGbPerS: Double,
)

public class VictimView(public val task: TaskId, public val priority: Priority, public val need: Resources)

/** A job with tasks to place. */
public class JobView(
    public val spec: JobSpec,
    public val order: Revision,
    public val pending: List<Int>,
    /** Where its other tasks may be, those exiting included. */
    public val zones: Map<Zone, Int>,
    /** Gang: the attempt that waits for replacements; null: the tasks start a new attempt together. */
    public val joinAttempt: Attempt?,
)

/** Room that production finds free at once, since stopping less important work for it would take too long. */
public class KeptFree(public val spec: JobSpec, public val tasks: Int)

public class RoundInput(
    public val machines: List<MachineView>,
    public val jobs: List<JobView>,
    public val quota: QuotaLedger,
    public val keptFree: List<KeptFree> = emptyList(),
)

public data class Placed(val task: TaskId, val machine: MachineId, val joinAttempt: Attempt?)

/** Tasks that found no machine, though their team may use one: what renting is for. */
public class Unplaced(public val spec: JobSpec, public val count: Int, public val zones: Map<Zone, Int>)

public class RoundOutput(
    public val placed: List<Placed>,
    public val stopped: List<TaskId>,
    public val unplaced: List<Unplaced>,
)

/**
 * One placement round: what is known goes in, decisions come out. The most important jobs come first, work within a
 * team's guarantee before borrowed room, older jobs before younger ones; each task goes to the fullest machine that it
 * fits. Exceptions, in [detour]: a machine that lacks the image, and one that is empty, come later by as many seconds as
 * that costs; and for services a machine is as full as its services make it.
 */
public class Round(private val input: RoundInput) {
    private val placed = ArrayList<Placed>()
    private val stopped = ArrayList<TaskId>()
    private val unplaced = ArrayList<Unplaced>()

    public fun decide(): RoundOutput {
        val order = compareByDescending<JobView> { it.spec.priority }
            .thenByDescending { input.quota.withinGuarantee(it.spec.team, it.spec.need) }
            .thenBy { it.order }
        var kept = false
        for (job in input.jobs.sortedWith(order)) {
            if (!kept && job.spec.priority < Priority.PRODUCTION) {
                kept = true
                input.keptFree.forEach(::keepFree)
            }
            if (job.spec.kind == JobKind.GANG) placeGang(job) else placeTasks(job)
        }
        return RoundOutput(placed, stopped, unplaced)
    }

    private fun keepFree(kept: KeptFree) {
        val candidates = candidates(kept.spec)
        repeat(kept.tasks) {
            val machine = candidates.firstOrNull { kept.spec.need.fitsIn(it.free) } ?: return
            machine.free -= kept.spec.need
        }
    }

    private fun allowed(machine: MachineView, spec: JobSpec): Boolean =
        (spec.types == null || machine.type in spec.types) &&
            (spec.zone == null || machine.zone == spec.zone) &&
            (!machine.spot || spec.spotAllowed) &&
            spec.id !in machine.shunnedBy

    private fun candidates(spec: JobSpec): List<MachineView> = input.machines
        .filter { allowed(it, spec) && spec.need.fitsIn(it.free) }
        .sortedWith(preference(spec))

    private fun preference(spec: JobSpec): Comparator<MachineView> =
        compareBy<MachineView> { detour(spec, it) }
            // Services gather where services are: scattered among tasks that end, each would keep a machine to itself.
            .thenByDescending { if (spec.kind == JobKind.SERVICE) it.lasting else 0.0 }
            .thenBy { it.free.gpus }
            .thenBy { it.free.cpus }
            .thenBy { it.id }

    /** What speaks against a machine, in seconds: the fetch, and what it costs others when an empty machine is opened. */
    private fun detour(spec: JobSpec, machine: MachineView): Double {
        val opening = if (machine.empty) OPENING_S else 0.0
        // Cheap room is for those who may use it; the rest stays free for those who may not.
        val dear = if (spec.spotAllowed && !machine.spot) DEAR_S else 0.0
        return fetch(spec, machine) + opening + dear
    }

    private fun fetch(spec: JobSpec, machine: MachineView): Double =
        if (spec.image in machine.images) 0.0 else spec.imageGb / machine.fetchGbPerS.coerceAtLeast(SLOWEST_FETCH)

    private fun placeTasks(job: JobView) {
        val spec = job.spec
        val zones = HashMap(job.zones)
        val candidates = candidates(spec)
        val left = ArrayList<Int>()
        for (index in job.pending) {
            if (!input.quota.allows(spec.team, spec.need)) break
            val machine = candidates.firstOrNull { spec.need.fitsIn(it.free) && zoneAllows(spec, zones, it.zone) }
            when {
                machine == null -> left.add(index)
                // Better wait for a place that has the image than fetch it elsewhere for longer.
                fetch(spec, machine) > WORTH_STOPPING_S && makeRoom(spec, zones) { spec.image in it.images } -> Unit
                else -> take(job, index, machine, zones)
            }
        }
        var missing = left.size
        while (missing > 0 && makeRoom(spec, zones)) missing--
        if (missing > 0) unplaced.add(Unplaced(spec, missing, zones))
    }

    private fun zoneAllows(spec: JobSpec, zones: Map<Zone, Int>, zone: Zone): Boolean {
        if (spec.oneZone) return zones.isEmpty() || zone in zones
        return (zones[zone] ?: 0) < spec.mostInOneZone
    }

    private fun take(job: JobView, index: Int, machine: MachineView, zones: MutableMap<Zone, Int>) {
        machine.free -= job.spec.need
        machine.empty = false
        if (job.spec.kind == JobKind.SERVICE) machine.lasting += job.spec.need.gpus + job.spec.need.cpus
        zones.merge(machine.zone, 1, Int::plus)
        input.quota.add(job.spec.team, job.spec.need)
        placed.add(Placed(TaskId(job.spec.id, index), machine.id, job.joinAttempt))
    }

    /** Finds room that is being left, or makes some at the cost of the least important task; true if it will come. */
    private fun makeRoom(spec: JobSpec, zones: MutableMap<Zone, Int>, where: (MachineView) -> Boolean = { true }): Boolean {
        val allowed = input.machines.filter { where(it) && allowed(it, spec) && zoneAllows(spec, zones, it.zone) }
        val coming = allowed.firstOrNull { spec.need.fitsIn(it.free + it.leaving) }
        val machine = coming ?: allowed
            .filter { m -> m.victims.any { it.priority < spec.priority } && roomAfterStops(m, spec) != null }
            .minWithOrNull(compareByDescending<MachineView> { spec.image in it.images }.thenBy { roomAfterStops(it, spec)?.size ?: 0 }.thenBy { it.id })
            ?: return false
        if (coming == null) {
            for (victim in roomAfterStops(machine, spec).orEmpty()) {
                machine.victims.remove(victim)
                machine.leaving += victim.need
                stopped.add(victim.task)
            }
        }
        // What is free there now is spoken for as well: nobody less important may take it meanwhile.
        val fromFree = Resources(
            minOf(machine.free.cpus, spec.need.cpus),
            minOf(machine.free.gpus, spec.need.gpus),
            minOf(machine.free.memoryGb, spec.need.memoryGb),
        )
        machine.free -= fromFree
        machine.leaving -= spec.need - fromFree
        zones.merge(machine.zone, 1, Int::plus)
        return true
    }

    private fun roomAfterStops(machine: MachineView, spec: JobSpec): List<VictimView>? {
        val chosen = ArrayList<VictimView>()
        var room = machine.free + machine.leaving
        for (victim in machine.victims.filter { it.priority < spec.priority }.sortedBy { it.priority }) {
            if (spec.need.fitsIn(room)) break
            room += victim.need
            chosen.add(victim)
        }
        return chosen.takeIf { spec.need.fitsIn(room) }
    }

    /** All of the pending tasks in this round, or none. */
    private fun placeGang(job: JobView) {
        val spec = job.spec
        if (!input.quota.allows(spec.team, spec.need * job.pending.size)) return
        val zoneChoices: List<Zone?> = when {
            !spec.oneZone -> listOf(null)
            job.zones.isNotEmpty() -> job.zones.keys.toList()
            else -> input.machines.filter { allowed(it, spec) }.map { it.zone }.distinct()
                .sortedBy { zone -> input.machines.filter { it.zone == zone }.sumOf { it.free.gpus } }
        }
        val choice = zoneChoices.firstNotNullOfOrNull { zone -> fit(job, zone) }
        if (choice == null) {
            unplaced.add(Unplaced(spec, job.pending.size, job.zones))
            reserve(job, zoneChoices)
            return
        }
        val zones = HashMap(job.zones)
        for ((index, machine) in job.pending.zip(choice)) take(job, index, machine, zones)
    }

    /**
     * A gang that misses some machines keeps the ones it could use: less important work, which comes later in this
     * round, would take each of them as it falls free, and the gang would never find all at once.
     */
    private fun reserve(job: JobView, zoneChoices: List<Zone?>) {
        val spec = job.spec
        val best = zoneChoices.map { zone -> candidates(spec).filter { zone == null || it.zone == zone } }.maxByOrNull { it.size } ?: return
        for (machine in best.take(job.pending.size)) machine.free -= spec.need
    }

    private fun fit(job: JobView, zone: Zone?): List<MachineView>? {
        val spec = job.spec
        val zones = HashMap(job.zones)
        val free = HashMap<MachineId, Resources>()
        val candidates = candidates(spec).filter { zone == null || it.zone == zone }
        val chosen = ArrayList<MachineView>()
        repeat(job.pending.size) {
            val machine = candidates.firstOrNull { m ->
                spec.need.fitsIn(free[m.id] ?: m.free) && (zones[m.zone] ?: 0) < spec.mostInOneZone
            } ?: return null
            free[machine.id] = (free[machine.id] ?: machine.free) - spec.need
            zones.merge(machine.zone, 1, Int::plus)
            chosen.add(machine)
        }
        return chosen
    }

    private companion object {
        const val SLOWEST_FETCH = 0.01
        const val OPENING_S = 12.0

        // Stopping a less important task takes its time to save and a report or two; a fetch longer than this is worse.
        const val WORTH_STOPPING_S = 12.0
        const val DEAR_S = 6.0
    }
}
