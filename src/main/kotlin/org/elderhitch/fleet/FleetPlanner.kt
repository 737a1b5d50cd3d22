package org.elderhitch.fleet

import org.elderhitch.jobs.JobSpec
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.placement.CapacityReservation
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Makes a [FleetPlan] from the latest demand at regular intervals, and has it carried out. */
internal class FleetPlanner(
    private val fleet: FleetContext,
    private val policy: FleetPolicy,
    instantClasses: Set<String>,
    private val intents: ProvisioningIntentStore,
    private val machines: MachineTracker,
    private val markets: MarketBackoff,
    private val requester: ProvisioningRequester,
    private val terminations: TerminationQueue,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")
    private val arrivals = Arrivals()
    private val spareCapacity = SpareCapacity(arrivals, policy, instantClasses)
    private var demand: FleetMessage.DemandChanged? = null
    private var plannedAt = MonotonicInstant.NEVER

    /** Whether the takeover of this term is over. */
    val isSettled: Boolean get() = demand?.settled == true

    fun newTerm() {
        demand = null
    }

    fun jobOpened(spec: JobSpec) = arrivals.add(spec, fleet.clock.now())

    fun demandChanged(latest: FleetMessage.DemandChanged) {
        demand = latest
    }

    fun planIfDue(leadership: LeadershipState.Leader, catalog: Catalog, now: MonotonicInstant) {
        if (now - plannedAt <= PLAN_INTERVAL || !fleet.term.inventorySent || catalog.isEmpty) return
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
        markets.expire(now)
        val open = intents.open
        val requested = open.flatMap { requestedMachines(it, now) }
        val existing = existingMachines(uses)
        val headroom = spareCapacity.headroom(demand.services, catalog, now)
        sendReservations(headroom)
        val input = PlanInput(
            catalog = catalog,
            machines = existing + requested,
            unplaced = demand.unplaced,
            headroom = headroom,
            arriving = arrivals.machinesPerBoot(catalog, now),
            closedMarkets = markets.closed + marketsOf(demand.cutZones, catalog),
            now = now,
            hopelessBootMultiple = machines.bootTimes.hopelessMultiple,
            lateBootMultiple = machines.bootTimes.lateMultiple(uses.isNotEmpty()),
            scarce = demand.scarce,
        )
        val output = FleetPlan(input, policy).decide()
        logPlan(existing, input, output)
        // Until the machines of earlier terms were seen, unused capacity can't be told from machines that are down.
        val isSettling = !demand.settled && now - fleet.term.startedAt < MAX_SETTLING
        if (!isSettling) carryOut(leadership, output, openIntents = open.size)
    }

    /** Machines that are requested and have no names yet, with names made up for the plan. */
    private fun requestedMachines(intent: ProvisioningIntent, now: MonotonicInstant): List<PlannedMachine> =
        (0 until intent.count).map { index ->
            PlannedMachine(intent.market.machine(MachineId("${intent.name}+$index")), now, null)
        }

    /**
     * The machines that count. One that came up in an earlier term and was not seen in this one does not boot: it is
     * left out, rather than given up as a slow boot.
     */
    private fun existingMachines(uses: Map<MachineId, MachineUse>): List<PlannedMachine> = machines.machines.values
        .filter { !it.terminating && !it.failed && (it.machine.id in uses || !it.upInEarlierTerm) }
        .map { PlannedMachine(it.machine, provisionedAtLatest(it), uses[it.machine.id]) }

    /**
     * What came up in an earlier term was provisioned long ago: counted from the start of this term, idle machines
     * would be kept for another minute after each takeover.
     */
    private fun provisionedAtLatest(machine: ProvisionedMachine): MonotonicInstant =
        if (machine.upInEarlierTerm) MonotonicInstant.NEVER else machine.provisionedAt

    private fun sendReservations(headroom: List<Headroom>) {
        val reservations = headroom.filter { it.free }.map { CapacityReservation(it.spec, it.tasks) }
        fleet.ports.scheduler(SchedulerMessage.CapacityReserved(reservations, markets.refused.toSet()))
    }

    private fun marketsOf(zones: Set<Zone>, catalog: Catalog): Set<Market> = zones.flatMapTo(HashSet()) { zone ->
        catalog.types.keys.flatMap { listOf(Market(it, zone, true), Market(it, zone, false)) }
    }

    private fun logPlan(existing: List<PlannedMachine>, input: PlanInput, output: PlanOutput) {
        if (!log.isDebugEnabled) return
        log.debug(
            "plan machines={} booting={} empty={} unplaced={} headroom={} provision={} terminate={}",
            existing.size,
            existing.count { it.use == null },
            existing.count { it.use?.idle != null },
            input.unplaced.map { "${it.spec.id}:${it.spec.jobClass}x${it.count}" },
            input.headroom.map { it.tasks },
            output.provision,
            output.terminate.size,
        )
    }

    private fun carryOut(leadership: LeadershipState.Leader, output: PlanOutput, openIntents: Int) {
        val free = maxOf(0, fleet.calls.maxOpenIntents - openIntents)
        output.provision
            .flatMap { it.chunked(CloudClient.MAX_PROVISIONED) }
            .take(free)
            .forEach { requester.add(leadership, it) }
        val idle = output.terminate.filter { machines.machines[it]?.terminating == false }
        if (idle.isNotEmpty()) terminations.requestIdle(idle)
        output.drain?.let { fleet.ports.scheduler(SchedulerMessage.DrainMachine(it)) }
    }

    private companion object {
        val PLAN_INTERVAL = 500.milliseconds

        /** After that time a term acts on its plans even if its takeover is not over. */
        val MAX_SETTLING = 8.seconds
    }
}
