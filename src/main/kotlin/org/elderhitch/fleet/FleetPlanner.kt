package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.placement.CapacityReservation
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Computes a [FleetPlan] from the latest demand at regular intervals and executes it. */
internal class FleetPlanner(
    private val fleet: FleetContext,
    private val policy: FleetPolicy,
    nonPreemptingClasses: Set<String>,
    private val intents: ProvisioningIntentStore,
    private val machines: MachineTracker,
    private val markets: MarketBackoff,
    private val requester: ProvisioningRequester,
    private val terminations: TerminationQueue,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")
    private val arrivals = ArrivalRates()
    private val headroomCalculator = HeadroomCalculator(arrivals, policy, nonPreemptingClasses)
    private var demand: FleetMessage.DemandChanged? = null
    private var plannedAt = MonotonicInstant.NEVER

    /** Whether the takeover of this term has completed. */
    val isTakeoverSettled: Boolean get() = demand?.isTakeoverSettled == true

    fun resetForNewTerm() {
        demand = null
    }

    fun jobOpened(spec: JobSpec) = arrivals.jobOpened(spec, fleet.clock.now())

    fun demandChanged(latest: FleetMessage.DemandChanged) {
        demand = latest
    }

    fun planIfDue(leadership: LeadershipState.Leader, catalog: Catalog, now: MonotonicInstant) {
        if (now - plannedAt <= PLAN_INTERVAL || !fleet.term.isInventorySent || catalog.isEmpty) return
        plannedAt = now
        fleet.ports.publishActions(fleet.actions.snapshot())
        demand?.let { plan(leadership, it, catalog, now) }
    }

    private fun plan(
        leadership: LeadershipState.Leader,
        demand: FleetMessage.DemandChanged,
        catalog: Catalog,
        now: MonotonicInstant,
    ) {
        val uses = demand.uses.associateBy { it.id }
        markets.reopenExpired(now)
        val open = intents.open
        val requested = open.flatMap { requestedMachines(it, now) }
        val existing = existingMachines(uses)
        val headroom = headroomCalculator.headroom(demand.services, catalog, now)
        sendReservations(headroom)
        val input = PlanInput(
            catalog = catalog,
            machines = existing + requested,
            unplaced = demand.unplaced,
            headroom = headroom,
            machinesFilledDuringBoot = arrivals.machinesFilledDuringBoot(catalog, now),
            closedMarkets = markets.closed + marketsOf(demand.unreachableZones, catalog),
            now = now,
            bootTimeoutMultiple = machines.bootTimes.timeoutMultiple,
            lateBootMultiple = machines.bootTimes.lateMultiple(uses.isNotEmpty()),
            scarceTypeSets = demand.scarceTypeSets,
        )
        val output = FleetPlan(input, policy).decide()
        logPlan(existing, input, output, took = fleet.clock.now() - now)
        // Before the workers of earlier terms have reported, idle capacity can't be distinguished from failed machines.
        val isTakeoverPending = !demand.isTakeoverSettled && now - fleet.term.startedAt < MAX_TAKEOVER_WAIT
        if (!isTakeoverPending) carryOut(leadership, output, openIntents = open.size)
    }

    /** The machines of an open request. They have no ids yet and get placeholder ids for the plan. */
    private fun requestedMachines(intent: ProvisioningIntent, now: MonotonicInstant): List<PlannedMachine> =
        (0 until intent.count).map { index ->
            PlannedMachine(intent.market.machine(MachineId("${intent.name}+$index")), now, null)
        }

    /**
     * The machines that provide capacity. A machine that was up in an earlier term but has sent no heartbeat in this
     * one is not booting. It is excluded, so that it isn't terminated as a slow boot.
     */
    private fun existingMachines(uses: Map<MachineId, MachineUse>): List<PlannedMachine> = machines.machines.values
        .filter { !it.isTerminating && !it.isFailed && (it.machine.id in uses || !it.wasUpInEarlierTerm) }
        .map { PlannedMachine(it.machine, latestProvisioningTime(it), uses[it.machine.id]) }

    /**
     * The provisioning time for the plan. A machine that was up in an earlier term counts as provisioned long ago: if
     * its age were counted from the start of this term, idle machines would be kept for another minute after each
     * takeover.
     */
    private fun latestProvisioningTime(machine: ProvisionedMachine): MonotonicInstant =
        if (machine.wasUpInEarlierTerm) MonotonicInstant.NEVER else machine.provisionedAt

    private fun sendReservations(headroom: List<Headroom>) {
        val reservations = headroom.filter { it.mustBeFree }.map { CapacityReservation(it.spec, it.tasks) }
        fleet.ports.tellScheduler(SchedulerMessage.CapacityReserved(reservations, markets.refused.toSet()))
    }

    private fun marketsOf(zones: Set<Zone>, catalog: Catalog): Set<Market> = zones.flatMapTo(HashSet()) { zone ->
        catalog.types.keys.flatMap { listOf(Market(it, zone, true), Market(it, zone, false)) }
    }

    private fun logPlan(existing: List<PlannedMachine>, input: PlanInput, output: PlanOutput, took: Duration) {
        if (took > SLOW_PLAN) logSlowPlan(existing.size, input, output, took)
        if (!log.isDebugEnabled) return
        log.debug(
            "plan machines={} booting={} empty={} unplaced={} headroom={} provision={} terminate={} steps={} took_ms={}",
            existing.size,
            existing.count { it.use == null },
            existing.count { it.use?.idleFor != null },
            input.unplaced.map { describe(it.spec, it.count) },
            input.headroom.map { it.tasks },
            output.provision,
            output.terminate.size,
            output.steps,
            took.inWholeMilliseconds,
        )
    }

    /** Logs a plan that kept the controller's thread busy for long, with the jobs that asked for the most tasks. */
    private fun logSlowPlan(machineCount: Int, input: PlanInput, output: PlanOutput, took: Duration) {
        val unplaced = input.unplaced.sortedByDescending { it.count }.take(LOGGED_JOBS)
        val headroom = input.headroom.sortedByDescending { it.tasks }.take(LOGGED_JOBS)
        log.info(
            "plan slow took_ms={} steps={} machines={} largest_unplaced={} largest_headroom={}",
            took.inWholeMilliseconds,
            output.steps,
            machineCount,
            unplaced.map { describe(it.spec, it.count) },
            headroom.map { describe(it.spec, it.tasks) },
        )
    }

    private fun describe(spec: JobSpec, tasks: Int): String = "${spec.id}:${spec.jobClass}x$tasks"

    private fun carryOut(leadership: LeadershipState.Leader, output: PlanOutput, openIntents: Int) {
        val free = maxOf(0, fleet.calls.maxOpenIntents - openIntents)
        output.provision
            .flatMap { it.chunked(CloudClient.MAX_PROVISIONED) }
            .take(free)
            .forEach { requester.add(leadership, it) }
        val idle = output.terminate.filter { machines.machines[it]?.isTerminating == false }
        if (idle.isNotEmpty()) terminations.requestIdle(idle)
        output.drain?.let { fleet.ports.tellScheduler(SchedulerMessage.DrainMachine(it)) }
    }

    private companion object {
        val PLAN_INTERVAL = 500.milliseconds

        /** After this time in a term, plans are executed even if the takeover has not completed. */
        val MAX_TAKEOVER_WAIT = 8.seconds

        /** A plan that takes longer is logged: nothing else on this controller runs meanwhile. */
        val SLOW_PLAN = 500.milliseconds

        /** The number of jobs of each kind that the line about a slow plan names. */
        const val LOGGED_JOBS = 3
    }
}
