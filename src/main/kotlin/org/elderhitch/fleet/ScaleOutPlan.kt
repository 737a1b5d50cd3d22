package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.placement.FittingTypes
import org.elderhitch.placement.UnplacedTasks
import org.elderhitch.settings.Zone

/**
 * The part of a [FleetPlan] that decides what to provision. Unplaced tasks are packed onto machines that are booting or
 * will soon have free capacity, and then onto new ones. Headroom is reserved on running machines first; what production
 * work lacks of it is packed in the same way.
 */
internal class ScaleOutPlan(private val input: PlanInput, private val policy: FleetPolicy) {
    /** A machine onto which tasks are packed; [machine] is null if it is yet to be provisioned. */
    private class Bin(
        val machine: Machine?,
        val market: Market,
        var free: Resources,
        /**
         * Whether the machine is running, so that [free] includes capacity that is released before a new machine boots.
         */
        val isRunning: Boolean = false,
    ) {
        var used = false
    }

    /** A running machine and its remaining spare capacity. */
    private class SpareMachine(val machine: Machine, var free: Resources, val preemptible: Resources)

    private val bins = ArrayList<Bin>()
    private val provisioned = LinkedHashMap<Market, Int>()
    private var newMachineCount = 0

    /** Number of machines by zone, so that new ones are provisioned in the zone with the fewest. */
    private val machinesInZone = HashMap<Zone, Int>()
    private val reservedMachines = HashSet<MachineId>()

    /** How often a machine was considered for a task or for headroom; see [PlanOutput.steps]. */
    var steps = 0L
        private set

    /** Running machines whose free capacity is needed, so that they are not terminated as idle. */
    val reserved: Set<MachineId> get() = reservedMachines

    /** Existing machines onto which tasks were packed. */
    fun usedMachines(): Set<MachineId> = bins.filter { it.used }.mapNotNullTo(HashSet()) { it.machine?.id }

    /** Decides what to provision. May be called only once. */
    fun decide(): List<ProvisioningRequest> {
        input.machines.forEach(::addMachine)
        // Within a priority, tasks that fit the fewest machine types are packed first.
        val order = compareByDescending<UnplacedTasks> { it.spec.priority }
            .thenBy { input.catalog.fitting(it.spec).size }
        for (unplaced in input.unplaced.sortedWith(order)) {
            pack(unplaced.spec, unplaced.count, HashMap(unplaced.tasksPerZone))
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

            use.isUsable -> {
                val free = type.resources - use.busy + use.releasedSoon
                addBin(Bin(machine, machine.market, free, isRunning = true))
            }

            else -> machinesInZone.merge(machine.zone, 1, Int::plus)
        }
    }

    private fun addBin(bin: Bin) {
        bins.add(bin)
        machinesInZone.merge(bin.market.zone, 1, Int::plus)
    }

    /**
     * Whether a booting machine is late. It provides no capacity then: some machines boot slowly, some never come up.
     */
    private fun isLate(planned: PlannedMachine, type: TypeInfo): Boolean =
        input.now - planned.provisionedAt > type.bootTime * input.lateBootMultiple

    private fun isAllowed(spec: JobSpec, market: Market, zones: Map<Zone, Int>): Boolean =
        spec.permitsMachine(market.type, market.zone, market.spot) && spec.zoneAllows(zones, market.zone)

    /**
     * Packs [count] tasks of one shape: each bin takes as many as it can, then new machines are added. The cost grows
     * with the number of bins and not with [count], which users determine.
     */
    private fun pack(spec: JobSpec, count: Int, zones: MutableMap<Zone, Int>) {
        if (count <= 0) return
        var remaining = count
        for (bin in candidates(spec, zones)) {
            remaining -= fill(bin, spec, remaining, zones)
            if (remaining == 0) return
        }
        while (remaining > 0) {
            val bin = provision(spec, zones) ?: return
            val packed = fill(bin, spec, remaining, zones)
            if (packed == 0) return
            remaining -= packed
        }
    }

    /** Packs as many tasks of one shape onto the bin as fit, at most [limit], and returns how many. */
    private fun fill(bin: Bin, spec: JobSpec, limit: Int, zones: MutableMap<Zone, Int>): Int {
        steps++
        val zone = bin.market.zone
        val packed = spec.resources.copiesIn(bin.free, minOf(limit, spec.tasksAllowedIn(zones, zone)))
        if (packed == 0) return 0
        bin.free -= spec.resources * packed
        bin.used = true
        if (bin.isRunning) bin.machine?.let { reservedMachines.add(it.id) }
        zones.merge(zone, packed, Int::plus)
        return packed
    }

    /**
     * The bins that can take a task of that shape, in order of preference. Production work does not wait for running
     * tasks to end, and released capacity of scarce types is left to the work that is confined to them.
     */
    private fun candidates(spec: JobSpec, zones: Map<Zone, Int>): List<Bin> {
        val typesToAvoid = scarceTypesToAvoid(spec)
        return bins
            .filter { bin ->
                val mayWait = spec.priority < Priority.PRODUCTION && bin.market.type !in typesToAvoid
                (mayWait || !bin.isRunning) && isAllowed(spec, bin.market, zones) && spec.resources.fitsIn(bin.free)
            }
            .sortedWith(
                compareBy<Bin> { it.market.type in typesToAvoid }
                    .thenByDescending { it.isRunning }
                    .thenBy { it.free.gpus },
            )
    }

    /** The scarce types on which the job would use capacity needed by work that can run nowhere else. */
    private fun scarceTypesToAvoid(spec: JobSpec): Set<MachineType> {
        if (input.scarceTypeSets.isEmpty()) return emptySet()
        val fits = input.catalog.fitting(spec).mapTo(HashSet()) { it.name }
        return fits.filterTo(HashSet()) { type ->
            input.scarceTypeSets.any { type in it && FittingTypes.isFlexible(fits, it) }
        }
    }

    /**
     * Adds a new machine in the cheapest open market for that shape; null if there is none, or if the plan has
     * [MAX_NEW_MACHINES] already.
     */
    private fun provision(spec: JobSpec, zones: Map<Zone, Int>): Bin? {
        if (newMachineCount == MAX_NEW_MACHINES) return null
        val typesToAvoid = scarceTypesToAvoid(spec)
        val markets = input.catalog.markets(spec).filter {
            (policy.useSpot || !it.spot) && it !in input.closedMarkets && isAllowed(spec, it, zones)
        }
        val order = compareBy<Market> {
            costOfTask(spec, it) * if (it.type in typesToAvoid) SCARCE_PRICE_FACTOR else 1.0
        }
            .thenBy { zones[it.zone] ?: 0 }
            .thenBy { machinesInZone[it.zone] ?: 0 }
            .thenBy { it.zone.name }
        val market = markets.minWithOrNull(order) ?: return null
        val type = input.catalog.types[market.type] ?: return null
        provisioned.merge(market, 1, Int::plus)
        newMachineCount++
        return Bin(null, market, type.resources).also(::addBin)
    }

    /** The price of the share of a machine that one task uses. */
    private fun costOfTask(spec: JobSpec, market: Market): Double {
        val type = input.catalog.types[market.type] ?: return Double.MAX_VALUE
        val has = type.resources
        val share = maxOf(
            spec.resources.cpus / maxOf(has.cpus, MIN_RESOURCE),
            spec.resources.gpus / maxOf(has.gpus, MIN_RESOURCE),
            spec.resources.memoryGb / maxOf(has.memoryGb, MIN_RESOURCE),
            // The share of a task whose amounts are all 0, for which the cheapest machine is the best.
            spec.resources.taskSlots.toDouble() / maxOf(has.taskSlots, 1),
        )
        return share * if (market.spot) type.spotPrice else type.price
    }

    /** Reserves headroom on running machines, and packs what production work lacks of it. */
    private fun packHeadroom() {
        val spare = spareMachines()
        for (headroom in input.headroom.sortedByDescending { it.mustBeFree }) {
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
            if (use.isUsable) spare.add(SpareMachine(planned.machine, type.resources - use.busy, use.preemptible))
        }
        return spare
    }

    /** Reserves capacity for [headroom] on spare machines, the fullest first. Returns the number of tasks without. */
    private fun reserve(headroom: Headroom, spec: JobSpec, spare: List<SpareMachine>): Int {
        fun available(of: SpareMachine) = if (headroom.mustBeFree) of.free else of.free + of.preemptible
        val fitting = spare
            .filter { isAllowed(spec, it.machine.market, emptyMap()) && spec.resources.fitsIn(available(it)) }
            .sortedWith(compareBy({ it.free.gpus + it.preemptible.gpus }, { it.machine.id.text }))
        var missing = headroom.tasks
        for (candidate in fitting) {
            if (missing == 0) break
            steps++
            val tasks = spec.resources.copiesIn(available(candidate), missing)
            candidate.free -= spec.resources * tasks
            reservedMachines.add(candidate.machine.id)
            missing -= tasks
        }
        return missing
    }

    private companion object {
        /** Avoids a division by zero for a resource that a machine type lacks. */
        const val MIN_RESOURCE = 1e-9

        /** More machines than the cloud's request rate allows to be requested before the next plan. */
        const val MAX_NEW_MACHINES = 2000

        /** Price factor for types to avoid: using one costs the confined work that waits for it as much again. */
        const val SCARCE_PRICE_FACTOR = 2.0
    }
}
