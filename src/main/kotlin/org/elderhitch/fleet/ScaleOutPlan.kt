package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.placement.FittingTypes
import org.elderhitch.placement.UnplacedTasks
import org.elderhitch.settings.Zone

/**
 * The part of a [FleetPlan] that decides what to provision: unplaced tasks are packed onto machines that boot or will
 * soon have free capacity, and then onto new ones; the same is done for the spare capacity that must be kept.
 */
internal class ScaleOutPlan(private val input: PlanInput, private val policy: FleetPolicy) {
    /** A machine onto which tasks are packed; [machine] is null for one that is still to be provisioned. */
    private class Bin(
        val machine: Machine?,
        val market: Market,
        var free: Resources,
        /** Its capacity becomes free while running tasks end, sooner than a new machine would be up. */
        val freeLater: Boolean = false,
    ) {
        var used = false
    }

    /** A running machine and what spare capacity it still has. */
    private class SpareMachine(val machine: Machine, var free: Resources, val preemptible: Resources)

    private val bins = ArrayList<Bin>()
    private val provisioned = LinkedHashMap<Market, Int>()

    /** Machines by zone, so that new ones go to the zone with the fewest. */
    private val machinesInZone = HashMap<Zone, Int>()
    private val reservedMachines = HashSet<MachineId>()

    /** Running machines whose free capacity is needed: they are not terminated as idle. */
    val reserved: Set<MachineId> get() = reservedMachines

    /** Existing machines onto which tasks were packed. */
    fun usedMachines(): Set<MachineId> = bins.filter { it.used }.mapNotNullTo(HashSet()) { it.machine?.id }

    /** What to provision. To be called once. */
    fun decide(): List<ProvisioningRequest> {
        input.machines.forEach(::addMachine)
        // Among tasks of one priority, those that fit the fewest types come first.
        val order = compareByDescending<UnplacedTasks> { it.spec.priority }
            .thenBy { input.catalog.fitting(it.spec).size }
        for (unplaced in input.unplaced.sortedWith(order)) {
            pack(unplaced.spec, unplaced.count.coerceAtMost(MAX_TASKS), HashMap(unplaced.zones))
        }
        packHeadroom()
        return provisioned.map { (market, count) -> ProvisioningRequest(market, count) }
    }

    private fun addMachine(planned: PlannedMachine) {
        val machine = planned.machine
        val type = input.catalog.types[machine.type] ?: return
        val use = planned.use
        when {
            use == null -> if (!isLate(planned, type)) addBin(Bin(machine, machine.market, type.resources))

            use.usable -> {
                val free = type.resources - use.busy + use.endingSoon
                addBin(Bin(machine, machine.market, free, freeLater = true))
            }

            else -> machinesInZone.merge(machine.zone, 1, Int::plus)
        }
    }

    private fun addBin(bin: Bin) {
        bins.add(bin)
        machinesInZone.merge(bin.market.zone, 1, Int::plus)
    }

    /** Some machines take several times the usual time to boot, and some never come up: a late one counts as absent. */
    private fun isLate(planned: PlannedMachine, type: TypeInfo): Boolean =
        input.now - planned.provisionedAt > type.bootTime * input.lateBootMultiple

    private fun isAllowed(spec: JobSpec, market: Market, zones: Map<Zone, Int>): Boolean =
        spec.permitsMachine(market.type, market.zone, market.spot) && spec.zoneAllows(zones, market.zone)

    private fun takes(bin: Bin, spec: JobSpec, zones: Map<Zone, Int>): Boolean =
        spec.resources.fitsIn(bin.free) && isAllowed(spec, bin.market, zones)

    /**
     * Packs [count] tasks of one shape, one after the other. Free capacity only shrinks and zones only fill, so a bin
     * that was passed over for one task is of no use to the tasks after it either, and the search continues where it
     * stopped.
     */
    private fun pack(spec: JobSpec, count: Int, zones: MutableMap<Zone, Int>) {
        val candidates = candidates(spec, zones)
        var position = 0
        var newest: Bin? = null
        repeat(count) {
            while (position < candidates.size && !takes(candidates[position], spec, zones)) position++
            val bin = candidates.getOrNull(position)
                ?: newest?.takeIf { takes(it, spec, zones) }
                ?: provision(spec, zones)?.also { newest = it }
                ?: return
            bin.free -= spec.resources
            bin.used = true
            if (bin.freeLater) bin.machine?.let { reservedMachines.add(it.id) }
            zones.merge(bin.market.zone, 1, Int::plus)
        }
    }

    /**
     * The bins that can take a task of that shape, the preferred ones first. Production work does not wait for running
     * tasks to end, and capacity of scarce types that becomes free is left to the work that is confined to them.
     */
    private fun candidates(spec: JobSpec, zones: Map<Zone, Int>): List<Bin> {
        val guestOn = guestTypes(spec)
        return bins
            .filter { bin ->
                val mayWait = spec.priority < Priority.PRODUCTION && bin.market.type !in guestOn
                (mayWait || !bin.freeLater) && isAllowed(spec, bin.market, zones) && spec.resources.fitsIn(bin.free)
            }
            .sortedWith(
                compareBy<Bin> { it.market.type in guestOn }
                    .thenByDescending { it.freeLater }
                    .thenBy { it.free.gpus },
            )
    }

    /** The types on which the job would take capacity from work that can run nowhere else. */
    private fun guestTypes(spec: JobSpec): Set<MachineType> {
        if (input.scarce.isEmpty()) return emptySet()
        val fits = input.catalog.fitting(spec).mapTo(HashSet()) { it.name }
        return fits.filterTo(HashSet()) { type -> input.scarce.any { type in it && FittingTypes.isFlexible(fits, it) } }
    }

    /** Adds a new machine of the cheapest open market for that shape; null: there is no such market. */
    private fun provision(spec: JobSpec, zones: Map<Zone, Int>): Bin? {
        val guestOn = guestTypes(spec)
        val markets = input.catalog.markets(spec).filter {
            (policy.useSpot || !it.spot) && it !in input.closedMarkets && isAllowed(spec, it, zones)
        }
        val order = compareBy<Market> { costOfTask(spec, it) * if (it.type in guestOn) GUEST_PRICE_FACTOR else 1.0 }
            .thenBy { zones[it.zone] ?: 0 }
            .thenBy { machinesInZone[it.zone] ?: 0 }
            .thenBy { it.zone.name }
        val market = markets.minWithOrNull(order) ?: return null
        val type = input.catalog.types[market.type] ?: return null
        provisioned.merge(market, 1, Int::plus)
        return Bin(null, market, type.resources).also(::addBin)
    }

    /** The price of the part of a machine that one task takes. */
    private fun costOfTask(spec: JobSpec, market: Market): Double {
        val type = input.catalog.types[market.type] ?: return Double.MAX_VALUE
        val has = type.resources
        val share = maxOf(
            spec.resources.cpus / maxOf(has.cpus, MIN_RESOURCE),
            spec.resources.gpus / maxOf(has.gpus, MIN_RESOURCE),
            spec.resources.memoryGb / maxOf(has.memoryGb, MIN_RESOURCE),
        )
        return share * if (market.spot) type.spotPrice else type.price
    }

    /** Reserves spare capacity on running machines, and provisions what production services lack of it. */
    private fun packHeadroom() {
        val spare = spareMachines()
        for (headroom in input.headroom.sortedByDescending { it.free }) {
            val spec = headroom.spec.copy(spread = false, zone = null, tasks = headroom.tasks)
            val missing = reserve(headroom, spec, spare)
            if (spec.priority == Priority.PRODUCTION) pack(spec, missing, HashMap())
        }
    }

    private fun spareMachines(): List<SpareMachine> {
        val spare = ArrayList<SpareMachine>()
        for (planned in input.machines) {
            val use = planned.use ?: continue
            val type = input.catalog.types[planned.machine.type] ?: continue
            if (use.usable) spare.add(SpareMachine(planned.machine, type.resources - use.busy, use.preemptible))
        }
        return spare
    }

    /** Takes the capacity for [headroom] from the spare machines, the fullest first; returns how many tasks lack it. */
    private fun reserve(headroom: Headroom, spec: JobSpec, spare: List<SpareMachine>): Int {
        fun available(of: SpareMachine) = if (headroom.free) of.free else of.free + of.preemptible
        val fitting = spare
            .filter { isAllowed(spec, it.machine.market, emptyMap()) && spec.resources.fitsIn(available(it)) }
            .sortedWith(compareBy({ it.free.gpus + it.preemptible.gpus }, { it.machine.id.text }))
        var missing = headroom.tasks
        for (candidate in fitting) {
            while (missing > 0 && spec.resources.fitsIn(available(candidate))) {
                candidate.free -= spec.resources
                reservedMachines.add(candidate.machine.id)
                missing--
            }
            if (missing == 0) break
        }
        return missing
    }

    private companion object {
        /** Keeps a division by a resource that a type does not have finite. */
        const val MIN_RESOURCE = 1e-9

        /** Bounds the cost of a plan. */
        const val MAX_TASKS = 2000

        /** A guest on a machine of a scarce type costs the work that waits for it as much again. */
        const val GUEST_PRICE_FACTOR = 2.0
    }
}
