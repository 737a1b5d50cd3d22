package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.placement.FittingTypes
import org.elderhitch.placement.UnplacedTasks
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What operators may set; the defaults are what the deployments were measured with. */
public data class FleetPolicy(
    /** Spare room for services, in seconds of arrivals on top of a boot. */
    val headroom: Duration = 30.seconds,
    /** Machines' worth of room that production services keep in reserve against the loss of one. */
    val spareMachines: Double = 1.0,
    val terminateIdleAfter: Duration = 45.seconds,
    val terminateIdleSpotAfter: Duration = 60.seconds,
    /** The same for machines beyond those that the arrivals of a boot's time could fill. */
    val terminateSurplusAfter: Duration = 10.seconds,
    val useSpot: Boolean = true,
    /**
     * The part of a zone's machines that may be returned within 5 s for nothing but their silence
     * (`docs/design/recovery.md`).
     */
    val suspectedTerminationShare: Double = 0.25,
)

public class PlanInput(
    public val catalog: Catalog,
    public val machines: List<PlannedMachine>,
    public val unplaced: List<UnplacedTasks>,
    /** Shapes of the services that run, the most common first, with the room in tasks that each should find free. */
    public val headroom: List<Headroom>,
    /** How many machines the tasks would fill that arrive while one boots. */
    public val arriving: Double,
    public val closedMarkets: Set<Market>,
    public val now: MonotonicInstant,
    /** How many times their usual time machines may take to boot before they are given up. */
    public val hopelessBoot: Double = FleetPlan.HOPELESS_BOOT,
    /** How many times their usual time until something else is rented in their place. */
    public val lateBoot: Double = FleetPlan.LATE_BOOT,
    /** The sets of types that some work is confined to while other work could run elsewhere. */
    public val scarce: List<Set<MachineType>> = emptyList(),
)

/** [free]: at once, not only after less important tasks have made room. */
public class Headroom(public val spec: JobSpec, public val tasks: Int, public val free: Boolean = false)

public data class ProvisioningRequest(val market: Market, val count: Int) {
    public fun chunked(most: Int): List<ProvisioningRequest> =
        (0 until count step most).map { ProvisioningRequest(market, minOf(most, count - it)) }
}

public class PlanOutput(
    public val hire: List<ProvisioningRequest>,
    public val release: List<MachineId>,
    /** A machine whose services would do as well elsewhere. */
    public val drain: MachineId?,
)

/**
 * What to rent and what to return, from what is known: unplaced tasks go, on paper, onto machines that boot and then
 * onto new ones; machines that stay idle beyond their time go back, unless the spare room needs them.
 */
public class FleetPlan(private val input: PlanInput, private val policy: FleetPolicy) {
    private class Paper(val machine: Machine?, val market: Market, var free: Resources, val later: Boolean = false) {
        var used = false
    }

    private class Spare(val machine: Machine, var free: Resources, val yielding: Resources)

    private val papers = ArrayList<Paper>()
    private val bought = LinkedHashMap<Market, Int>()

    /** Machines by zone, so that new ones go where fewer are. */
    private val inZone = HashMap<Zone, Int>()
    private val spareUsed = HashSet<MachineId>()

    public fun decide(): PlanOutput {
        for (planned in input.machines) {
            val type = input.catalog.types[planned.machine.type] ?: continue
            val use = planned.use
            if (use == null) {
                if (!late(planned, type)) add(Paper(planned.machine, market(planned.machine), type.resources))
            } else if (use.usable) {
                // Room that tasks leave sooner than a new machine would be up; production doesn't wait for that.
                add(
                    Paper(
                        planned.machine,
                        market(planned.machine),
                        type.resources - use.busy + use.ending,
                        later = true,
                    ),
                )
            } else {
                inZone.merge(planned.machine.zone, 1, Int::plus)
            }
        }
        // Work that could run nowhere else chooses before its equals.
        for (need in input.unplaced.sortedWith(
            compareByDescending<UnplacedTasks> {
                it.spec.priority
            }.thenBy { input.catalog.fitting(it.spec).size },
        )) {
            place(need.spec, need.count.coerceAtMost(MAX_TASKS), HashMap(need.zones))
        }
        keepHeadroom()
        return PlanOutput(bought.map { (market, count) -> ProvisioningRequest(market, count) }, releases(), drain())
    }

    private fun market(machine: Machine) = Market(machine.type, machine.zone, machine.spot)

    /**
     * Some machines take several times as long to boot, and some never do: they count for nothing until they are up.
     */
    private fun late(planned: PlannedMachine, type: TypeInfo): Boolean =
        input.now - planned.hiredAt > type.bootTime * input.lateBoot

    private fun allowed(spec: JobSpec, market: Market, zones: Map<Zone, Int>): Boolean =
        spec.permitsMachine(market.type, market.zone, market.spot) && spec.zoneAllows(zones, market.zone)

    /**
     * Tasks of one shape, one after the other. Room only shrinks and zones only fill, so that what a task passed over
     * is
     * of no use to the next one either; and the paper used last has the least room left, so it stays the first choice.
     */
    private fun place(spec: JobSpec, count: Int, zones: MutableMap<Zone, Int>) {
        val guestOn = guestTypes(spec)
        // What guests leave of scarce machines is for those who wait for just that.
        val fitting = papers
            .filter {
                (!it.later || spec.priority < Priority.PRODUCTION && it.market.type !in guestOn) &&
                    allowed(spec, it.market, zones) &&
                    spec.resources.fitsIn(it.free)
            }
            .sortedWith(
                compareBy<Paper> {
                    it.market.type in guestOn
                }.thenByDescending { it.later }.thenBy { it.free.gpus },
            )
        var next = 0
        var bought: Paper? = null
        repeat(count) {
            while (next < fitting.size &&
                !(spec.resources.fitsIn(fitting[next].free) && allowed(spec, fitting[next].market, zones))
            ) {
                next++
            }
            val kept = bought?.takeIf { spec.resources.fitsIn(it.free) && allowed(spec, it.market, zones) }
            val paper = fitting.getOrNull(next) ?: kept ?: buy(spec, zones)?.also { bought = it } ?: return
            paper.free -= spec.resources
            paper.used = true
            if (paper.later) paper.machine?.let { spareUsed.add(it.id) }
            zones.merge(paper.market.zone, 1, Int::plus)
        }
    }

    /** The types on which the job would be a guest of work that could run nowhere else. */
    private fun guestTypes(spec: JobSpec): Set<MachineType> {
        if (input.scarce.isEmpty()) return emptySet()
        val fits = input.catalog.fitting(spec).mapTo(HashSet()) { it.name }
        return fits.filterTo(HashSet()) { type -> input.scarce.any { type in it && FittingTypes.isFlexible(fits, it) } }
    }

    private fun buy(spec: JobSpec, zones: Map<Zone, Int>): Paper? {
        val guestOn = guestTypes(spec)
        val markets = input.catalog.markets(spec).filter {
            (policy.useSpot || !it.spot) &&
                it !in input.closedMarkets &&
                allowed(spec, it, zones)
        }
        val market = markets.minWithOrNull(
            compareBy<Market> {
                cost(spec, it) * if (it.type in
                    guestOn
                ) {
                    GUEST_PRICE
                } else {
                    1.0
                }
            }.thenBy { zones[it.zone] ?: 0 }.thenBy { inZone[it.zone] ?: 0 }.thenBy { it.zone.name },
        ) ?: return null
        val type = input.catalog.types[market.type] ?: return null
        bought.merge(market, 1, Int::plus)
        return Paper(null, market, type.resources).also(::add)
    }

    private fun add(paper: Paper) {
        papers.add(paper)
        inZone.merge(paper.market.zone, 1, Int::plus)
    }

    /** The price of the part of the machine that one task takes. */
    private fun cost(spec: JobSpec, market: Market): Double {
        val type = input.catalog.types[market.type] ?: return Double.MAX_VALUE
        val has = type.resources
        val share = maxOf(
            spec.resources.cpus / maxOf(has.cpus, TINY),
            spec.resources.gpus / maxOf(has.gpus, TINY),
            spec.resources.memoryGb / maxOf(has.memoryGb, TINY),
        )
        return share * if (market.spot) type.spotPrice else type.price
    }

    /**
     * Room that services find free, or, where their users can wait that long, held only by tasks that would make room
     * for them.
     */
    private fun keepHeadroom() {
        val spare = ArrayList<Spare>()
        for (planned in input.machines) {
            val use = planned.use ?: continue
            val type = input.catalog.types[planned.machine.type] ?: continue
            if (use.usable) spare.add(Spare(planned.machine, type.resources - use.busy, use.yielding))
        }
        for (want in input.headroom.sortedByDescending { it.free }) {
            val spec = want.spec.copy(spread = false, zone = null, tasks = want.tasks)
            val room = { it: Spare -> if (want.free) it.free else it.free + it.yielding }
            val fitting =
                spare.filter { allowed(spec, market(it.machine), emptyMap()) && spec.resources.fitsIn(room(it)) }
                .sortedWith(compareBy({ it.free.gpus + it.yielding.gpus }, { it.machine.id.text }))
            var missing = want.tasks
            for (machine in fitting) {
                while (missing > 0 && spec.resources.fitsIn(room(machine))) {
                    machine.free -= spec.resources
                    spareUsed.add(machine.machine.id)
                    missing--
                }
                if (missing == 0) break
            }
            if (spec.priority == Priority.PRODUCTION) place(spec, missing, HashMap())
        }
    }

    private fun releases(): List<MachineId> {
        val release = ArrayList<MachineId>()
        for (planned in input.machines) {
            val type = input.catalog.types[planned.machine.type]
            val use = planned.use
            if (use == null) {
                val boot = type?.bootTime ?: continue
                if (input.now - planned.hiredAt >
                    boot * input.hopelessBoot + HOPELESS_MARGIN
                ) {
                    release.add(planned.machine.id)
                }
                continue
            }
            if (use.faulty && use.idle != null) release.add(planned.machine.id)
        }
        return (release + idleBeyondPatience()).distinct()
    }

    private val standBy: Int get() = ceil(input.arriving * STAND_BY_SHARE).toInt()

    /**
     * Services outlive the tasks that shared their machines, and are left scattered. Where the others have room for
     * them besides all that is kept free, the machine with the fewest can be emptied.
     */
    private fun drain(): MachineId? {
        if (input.unplaced.isNotEmpty()) return null
        val serving = input.machines.mapNotNull { planned ->
            val use =
                planned.use?.takeIf { it.usable && it.serving != Resources.NONE && !planned.machine.spot }
                    ?: return@mapNotNull null
            input.catalog.types[planned.machine.type]?.let { Triple(planned.machine, use, it.resources) }
        }
        val (machine, use, _) = serving.filter { (_, use, has) ->
            use.busy == use.serving &&
                use.serving.gpus * 2 <= has.gpus &&
                use.serving.cpus * 2 <= has.cpus
        }
            .minWithOrNull(compareBy({ it.second.serving.weight }, { it.first.id.text })) ?: return null
        var room = Resources.NONE
        for ((other, its, has) in serving) if (other.id != machine.id) room += has - its.busy
        var wanted = use.serving
        for (kept in input.headroom) wanted += kept.spec.resources * kept.tasks
        return machine.id.takeIf { wanted.fitsIn(room) }
    }

    /**
     * Idle machines stand by for what arrives soon, as many as that may need and each for its time; what stands idle
     * beyond them goes back, though not before the least that the cloud charges for is used up.
     */
    private fun idleBeyondPatience(): List<MachineId> {
        val idle = input.machines.filter { it.use?.idle != null && it.use.faulty.not() && it.machine.id !in spareUsed }
            .sortedWith(
                compareByDescending<PlannedMachine> {
                    it.machine.spot
                }.thenBy { it.use?.idle }.thenBy { it.machine.id },
            )
        val surplusBoots = if (idle.size < standBy) emptyList() else surplusBoots()
        return surplusBoots + idle.filterIndexed { n, planned ->
            val patience = when {
                n >= standBy -> policy.terminateSurplusAfter
                planned.machine.spot -> policy.terminateIdleSpotAfter
                else -> policy.terminateIdleAfter
            }
            (planned.use?.idle ?: Duration.ZERO) > patience && input.now - planned.hiredAt > LEAST_CHARGED
        }.map { it.machine.id }
    }

    /** Machines that boot for nobody, while enough stand idle: no longer than the cloud charges for anyway. */
    private fun surplusBoots(): List<MachineId> {
        val used = papers.filter { it.used }.mapNotNullTo(HashSet()) { it.machine?.id }
        return input.machines.filter {
            it.use == null &&
                it.machine.id !in used &&
                input.now - it.hiredAt > LEAST_CHARGED
        }.map { it.machine.id }
    }

    public companion object {
        private const val TINY = 1e-9
        public const val LATE_BOOT: Double = 2.0
        public const val HOPELESS_BOOT: Double = 3.5
        private val HOPELESS_MARGIN = 10.seconds
        private const val MAX_TASKS = 2000
        private const val STAND_BY_SHARE = 0.15

        /** A guest on a machine that others wait for costs them as much again. */
        private const val GUEST_PRICE = 2.0
        private val LEAST_CHARGED = 60.seconds

        /** How many tasks of a shape arrive while a machine boots. */
        public fun arrivingTasks(type: TypeInfo, arrivalsPerS: Double, policy: FleetPolicy): Double =
            arrivalsPerS * (type.bootTime + policy.headroom).inWholeMilliseconds / MS

        /** How many tasks of a shape the loss of a machine would strand. */
        public fun strandedTasks(spec: JobSpec, type: TypeInfo, policy: FleetPolicy): Double =
            policy.spareMachines * tasksPerMachine(spec, type)

        /** How many tasks of a shape a machine holds. */
        public fun tasksPerMachine(spec: JobSpec, type: TypeInfo): Double = minOf(
            ratio(type.resources.cpus, spec.resources.cpus),
            ratio(type.resources.gpus, spec.resources.gpus),
            ratio(type.resources.memoryGb, spec.resources.memoryGb),
        )

        private const val MS = 1000.0

        private fun ratio(has: Double, needs: Double): Double = if (needs <=
            0
        ) {
            Double.MAX_VALUE
        } else {
            kotlin.math.floor(has / needs)
        }
    }
}
