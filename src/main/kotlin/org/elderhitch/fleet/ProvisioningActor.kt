package org.elderhitch.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.actor.Actor
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.placement.CapacityReservation
import org.elderhitch.recovery.ActionKind
import org.elderhitch.recovery.ActionLedger
import org.elderhitch.recovery.NeedlessActionKind
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.settings.CloudLimits
import org.elderhitch.settings.Zone
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.StateClient
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The leader's dealings with the cloud. An intent is written before each request to rent, conditional on the term, and
 * completed with the machines' names: so each term knows of all machines that an earlier one may have used. A request
 * that was left open is made again under its old name, which rents nothing twice.
 */
public class ProvisioningActor(
    scope: CoroutineScope,
    private val cloud: CloudClient,
    store: StateClient,
    private val policy: FleetPolicy,
    /** Classes whose users don't wait as long as it takes to stop less important work. */
    instant: Set<String>,
    private val limits: CloudLimits,
    private val clock: SteadyClock,
    private val ports: FleetPorts,
) : Actor<FleetMessage>(scope) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")
    private var leadershipState: LeadershipState = LeadershipState.Follower(null, Term.NONE)
    private var catalog = Catalog.EMPTY
    private val intents = ProvisioningIntentStore(scope, store, ports::leadership, ::tell)
    private val turns = CloudCallScheduler(limits.requestsPerS * CloudCallScheduler.USABLE)
    private val inventory = Inventory(limits.listLag)
    private val orders = ActionLedger()
    private val held = HashMap<MachineId, ProvisionedMachine>()
    private val closed = HashMap<Market, MonotonicInstant>()

    /**
     * How often in a row a market had less than was asked for: it is asked again when it is no longer closed, and holds
     * for empty until then.
     */
    private val closings = HashMap<Market, Int>()
    private val arrivals = Arrivals()
    private val spare = SpareCapacity(arrivals, policy, instant)
    private val returns = TerminationQueue(scope, cloud, turns, orders, held, clock, ports, ::tell)

    private val adoption = OrphanAdoption(intents)
    private var demand: FleetMessage.DemandChanged? = null
    private var complete = false
    private var inventorySent = false
    private var nextName = 0
    private val boots = BootTimes()
    private var plannedAt = MonotonicInstant.NEVER
    private var leadingSince = MonotonicInstant.NEVER

    override fun start() {
        super.start()
        scope.launch {
            while (true) {
                delay(TICK)
                tell(FleetMessage.Tick)
            }
        }
    }

    private fun currentLeadership(): LeadershipState.Leader? = leadershipState as? LeadershipState.Leader

    override fun receive(message: FleetMessage) {
        when (message) {
            is FleetMessage.Snapshot -> intents.snapshot(message.entries)

            is FleetMessage.Changed -> message.changes.forEach(intents::changed)

            is FleetMessage.LeadershipChanged -> tenureIs(message.leadershipState)

            is FleetMessage.IntentsLoaded -> if (message.term == currentLeadership()?.term) tableComplete()

            is FleetMessage.JobOpened -> arrivals.add(message.spec, clock.now())

            is FleetMessage.DemandChanged -> demand = message

            is FleetMessage.OrphanDetected -> {
                val machine =
                    Machine(message.report.machine, message.report.type, message.report.zone, message.report.spot)
                if (machine.id !in held) adoption.reported(machine)
            }

            is FleetMessage.TerminateMachines -> returns.want(currentLeadership(), message.machines, message.reason)

            is FleetMessage.MachinesCordoned -> returns.cordoned(currentLeadership(), message)

            is FleetMessage.HeartbeatReceived -> returns.spare(message.machine)

            is FleetMessage.CatalogChanged -> catalog = message.catalog

            is FleetMessage.MachineUp -> cameUp(message.machine)

            is FleetMessage.MachineUpRecorded -> upWritten(message)

            is FleetMessage.ProvisioningCompleted -> hireDone(message)

            is FleetMessage.IntentRecorded -> hireWritten(message)

            is FleetMessage.MachinesTerminated -> if (message.term ==
                currentLeadership()?.term
            ) {
                returns.answered(message).forEach { gone(it, "released") }
            }

            is FleetMessage.MachinesListed -> listed(message)

            FleetMessage.Tick -> tick()
        }
    }

    // ---- intents -----------------------------------------------------------------------------------------------

    private fun tenureIs(next: LeadershipState) {
        val before = currentLeadership()?.term
        leadershipState = next
        val leadership = currentLeadership() ?: return
        if (leadership.term == before) return
        leadingSince = clock.now()
        complete = false
        inventorySent = false
        held.clear()
        turns.newTerm()
        inventory.newTerm()
        orders.newTerm()
        adoption.newTerm()
        closed.clear()
        demand = null
        nextName = 0
    }

    private fun tableComplete() {
        complete = true
        val now = clock.now()
        intents.take()
        for (intent in intents.all) {
            intent.machines?.forEach {
                hold(Machine(it, intent.market.type, intent.market.zone, intent.market.spot), intent.name, now)
            }
            intent.up.forEach { held[it]?.upBefore = true }
        }
        tick()
    }

    private fun hold(machine: Machine, intent: String, hiredAt: MonotonicInstant) {
        held[machine.id] =
            ProvisionedMachine(machine, intent, hiredAt, hiredHere = hiredAt > leadingSince && inventorySent)
        if (inventorySent) ports.scheduler(SchedulerMessage.MachineProvisioned(machine))
    }

    private fun sendInventory(leadership: LeadershipState.Leader) {
        // A request left open may have rented machines that no one has heard of yet, but none that may run something:
        // before its first task a machine's
        // name is recorded, and that it is up. To wait for such requests cost a takeover 7 s at 1.5 of them a second.
        if (inventorySent || !complete) return
        inventorySent = true
        val (mayRun, fresh) = held.values.partition { it.machine.id in intents[it.intent]?.up.orEmpty() }
        ports.scheduler(
            SchedulerMessage.InventoryLoaded(
                leadership.term,
                mayRun.map {
                    it.machine
                },
                fresh.map { it.machine },
            ),
        )
    }

    private fun cameUp(id: MachineId) {
        val leadership = currentLeadership() ?: return
        val machine = held[id] ?: return
        val intent = intents[machine.intent] ?: return
        val boot = catalog.types[machine.machine.type]?.bootTime
        if (machine.hiredHere &&
            !machine.cameUp &&
            boot != null &&
            boot.isPositive()
        ) {
            boots.add((clock.now() - machine.hiredAt) / boot)
        }
        machine.cameUp = true
        if (id in intent.up) {
            ports.scheduler(SchedulerMessage.MachineUsable(id))
            return
        }
        intent.cameUp.add(id)
        if (!intent.writingUp) intents.writeUp(leadership, intent)
    }

    private fun upWritten(message: FleetMessage.MachineUpRecorded) {
        val leadership = currentLeadership() ?: return
        val intent = intents[message.name] ?: return
        if (message.term != leadership.term) return
        intent.writingUp = false
        if (message.done) {
            intent.up.addAll(message.machines)
            intent.cameUp.removeAll(message.machines)
            message.machines.forEach { ports.scheduler(SchedulerMessage.MachineUsable(it)) }
        } else {
            intent.outdated = true
        }
        if (intent.cameUp.isNotEmpty()) intents.writeUp(leadership, intent)
    }

    // ---- scheduling cycles
    // ------------------------------------------------------------------------------------------------

    private fun tick() {
        val leadership = currentLeadership() ?: return
        val now = clock.now()
        if (!complete || !leadership.maySendCommands(now)) return
        sendInventory(leadership)
        sendRequests(leadership, now)
        adoption.tick(leadership, now) { it in held }
        if (inventorySent) intents.shorten(leadership, now) { it in held }
        returns.send(leadership, now)
        if (turns.startList(now, LIST_EVERY)) list(leadership)
        if (now - plannedAt > PLAN_EVERY && inventorySent && !catalog.isEmpty) {
            plannedAt = now
            ports.ordered(orders.snapshot())
            plan(leadership, now)
        }
    }

    private fun plan(leadership: LeadershipState.Leader, now: MonotonicInstant) {
        val demand = demand ?: return
        // While machines of an earlier term are still to be heard, what is missing can't be told from what is silent.
        val uses = demand.uses.associateBy { it.id }
        closed.values.removeAll { it < now }
        val open = intents.open
        val coming = open.flatMap { intent ->
            (0 until intent.count).map { n ->
                val id = MachineId("${intent.name}+$n")
                PlannedMachine(Machine(id, intent.market.type, intent.market.zone, intent.market.spot), now, null)
            }
        }
        // A machine that came up in an earlier term and hasn't been heard yet is silent: it doesn't boot, and isn't
        // given up as slow.
        val machines = held.values.filter {
            !it.releasing && !it.failed && (it.machine.id in uses || !it.upBefore)
        }.map { PlannedMachine(it.machine, rentedBy(it), uses[it.machine.id]) }
        val headroom = spare.room(demand.services, catalog, now)
        ports.scheduler(
            SchedulerMessage.CapacityReserved(
                headroom.filter {
                    it.free
                }.map { CapacityReservation(it.spec, it.tasks) },
                closings.keys.toSet(),
            ),
        )
        val output = FleetPlan(
            PlanInput(
                catalog, machines + coming, demand.unplaced, headroom, arrivals.machinesWorth(catalog, now),
                closed.keys + unreachable(
                    demand.cutZones,
                ),
                now, boots.hopeless, boots.late(uses.isNotEmpty()), demand.scarce,
            ),
            policy,
        ).decide()
        if (log.isDebugEnabled) {
            log.debug(
                "plan machines={} booting={} empty={} unplaced={} headroom={} hire={} release={}",
                machines.size,
                machines.count { it.use == null },
                machines.count { it.use?.idle != null },
                demand.unplaced.map { "${it.spec.id}:${it.spec.jobClass}x${it.count}" },
                headroom.map { it.tasks },
                output.hire,
                output.release.size,
            )
        }
        val settling = !demand.settled && now - leadingSince < SETTLING
        if (!settling) {
            val free = turns.mostOpen - open.size
            output.hire.flatMap {
                it.chunked(CloudClient.MOST_HIRED)
            }.take(maxOf(0, free)).forEach { newIntent(leadership, it.market, it.count) }
            val release = output.release.filter { held[it]?.releasing == false }
            if (release.isNotEmpty()) returns.cordon(release)
            output.drain?.let { ports.scheduler(SchedulerMessage.DrainMachine(it)) }
        }
    }

    private fun unreachable(zones: Set<Zone>): Set<Market> = zones.flatMapTo(HashSet()) { zone ->
        catalog.types.keys.flatMap { listOf(Market(it, zone, true), Market(it, zone, false)) }
    }

    /**
     * When it was rented at the latest. What came up in an earlier term has been paid for that long already: counted
     * from
     * the claim, idle machines were kept for another minute after each takeover.
     */
    private fun rentedBy(machine: ProvisionedMachine): MonotonicInstant =
        if (machine.upBefore) MonotonicInstant.NEVER else machine.hiredAt

    // ---- renting -----------------------------------------------------------------------------------------------

    private fun newIntent(leadership: LeadershipState.Leader, market: Market, count: Int) {
        // The term is never used twice, so neither is the name.
        intents.add(leadership, ProvisioningIntent("r-${leadership.term}-${nextName++}", market, count))
    }

    private fun hireWritten(message: FleetMessage.IntentRecorded) {
        val leadership = currentLeadership() ?: return
        if (message.term != leadership.term) return
        val intent = intents[message.name] ?: return
        val machines = intent.machines
        if (message.version == null) {
            // Not written as far as we know; it may be yet, and is then a later term's to settle. Nothing was asked
            // for.
            if (machines == null) {
                intents.forget(leadership, intent)
            } else {
                intent.retryAt = clock.now() + ProvisioningIntentStore.WRITE_PAUSE
                intents.recordNames(leadership, intent)
            }
            return
        }
        intent.busy = false
        if (machines == null) {
            if (intent.market in closed) intents.forget(leadership, intent) else sendRequests(leadership, clock.now())
        } else {
            val now = clock.now()
            machines.forEach {
                hold(Machine(it, intent.market.type, intent.market.zone, intent.market.spot), intent.name, now)
            }
            intent.up.forEach { ports.scheduler(SchedulerMessage.MachineUsable(it)) }
            if (intent.cameUp.isNotEmpty() && !intent.writingUp) intents.writeUp(leadership, intent)
        }
    }

    /**
     * As many requests at a time as the cloud takes in a second, those first whose outcome is unclear, then in the
     * order of the plan, which is that of
     * whom they serve. The others wait here, where a refusal can still make them needless.
     */
    private fun sendRequests(leadership: LeadershipState.Leader, now: MonotonicInstant) {
        val (sent, waiting) = intents.open.partition { it.requesting }
        // What an earlier term left open has rented nothing that runs something: it can wait for the list, which the
        // takeover needs.
        val listFirst = turns.unlisted && now - leadingSince < LIST_FIRST
        val due = waiting.filter { !it.busy && now >= it.retryAt && !(listFirst && it.asked) }.sortedBy { !it.asked }
        for (intent in due.take(maxOf(0, turns.mostHiring - sent.size))) request(leadership, intent)
    }

    private fun request(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        if (!leadership.maySendCommands(clock.now())) return
        intent.busy = true
        intent.requesting = true
        intent.asked = true
        orders.record(ActionKind.PROVISION, 1, clock.now())
        scope.launch {
            tell(
                FleetMessage.ProvisioningCompleted(
                    leadership.term,
                    intent.name,
                    cloud.provision(intent.name, intent.market, intent.count) {
                        ports.entitled(leadership)
                    },
                ),
            )
        }
    }

    private fun hireDone(message: FleetMessage.ProvisioningCompleted) {
        val leadership = currentLeadership() ?: return
        if (message.term != leadership.term) return
        val intent = intents[message.name] ?: return
        intent.busy = false
        intent.requesting = false
        when (val outcome = message.outcome) {
            is ProvisioningOutcome.Provisioned -> {
                log.info(
                    "hired name={} market={} asked={} got={}",
                    intent.name,
                    intent.market,
                    intent.count,
                    outcome.machines.size,
                )
                if (outcome.machines.size <
                    intent.count
                ) {
                    close(leadership, intent.market)
                } else {
                    closings.remove(intent.market)
                }
                orders.recordProvisioned(intent.market, outcome.machines.size, clock.now())
                intent.machines = outcome.machines
                intent.busy = true
                if (outcome.machines.isEmpty()) {
                    intents.forget(
                        leadership,
                        intent,
                    )
                } else {
                    intents.recordNames(leadership, intent)
                }
            }

            ProvisioningOutcome.NoCapacity -> {
                log.info("hire refused name={} market={}", intent.name, intent.market)
                orders.recordNeedless(NeedlessActionKind.PROVISIONING_REFUSED)
                close(leadership, intent.market)
                intents.forget(leadership, intent)
            }

            ProvisioningOutcome.Rejected -> {
                log.error("hire malformed name={} market={}", intent.name, intent.market)
                close(leadership, intent.market)
                intents.forget(leadership, intent)
            }

            ProvisioningOutcome.Unknown -> intent.retryAt = clock.now() + HIRE_RETRY
        }
    }

    /**
     * Nothing to be had there for a while; longer each time. What was to be asked for there and wasn't yet is given up:
     * it would be refused too.
     */
    private fun close(leadership: LeadershipState.Leader, market: Market) {
        val times = closings.merge(market, 1, Int::plus) ?: 1
        closed[market] = clock.now() + minOf(CLOSED_FIRST * (1 shl minOf(times - 1, MAX_DOUBLINGS)), CLOSED_MOST)
        // Those that are just being written are given up once they are.
        intents.open.filter { it.market == market && !it.asked && !it.busy }.forEach { intents.forget(leadership, it) }
    }

    // ---- returning ---------------------------------------------------------------------------------------------

    private fun gone(id: MachineId, proof: String) {
        val was = held.remove(id)
        turns.gone(id)
        ports.scheduler(SchedulerMessage.MachineTerminated(id, proof))
        val leadership = currentLeadership() ?: return
        val intent = intents[was?.intent] ?: return
        if (intent.machines.orEmpty().none { it in held }) {
            intents.forget(leadership, intent)
        } else {
            intent.outdated =
                true
        }
    }

    // ---- the cloud's list --------------------------------------------------------------------------------------

    private fun list(leadership: LeadershipState.Leader) {
        val asked = clock.now()
        // The first list of a term tells where those are that haven't been heard, and which are long gone.
        val purpose = if (turns.unlisted) RequestPriority.LEADERSHIP else RequestPriority.OTHER
        scope.launch {
            val machines = cloud.list(purpose)
            if (machines == null) delay(LIST_RETRY)
            tell(FleetMessage.MachinesListed(leadership.term, machines, asked))
        }
    }

    private fun listed(message: FleetMessage.MachinesListed) {
        if (message.term != currentLeadership()?.term) return
        turns.listed(message.machines?.size, clock.now())
        val machines = message.machines ?: return
        if (demand?.settled != true) {
            // A takeover asks machines that it hasn't heard yet; only the cloud can say where they are.
            ports.scheduler(SchedulerMessage.MachinesListed(machines.associate { it.machine.id to it.address }))
        }
        val verdict = inventory.reconcile(machines, message.asked, held)
        verdict.failed.forEach { held[it]?.failed = true }
        if (verdict.failed.isNotEmpty()) returns.want(currentLeadership(), verdict.failed, TerminationReason.FAILED)
        currentLeadership()?.takeIf {
            complete && it.maySendCommands(clock.now())
        }?.let { adoption.listed(it, verdict.unknown) }
        verdict.gone.forEach { gone(it, "unlisted") }
    }

    private companion object {
        val TICK = 200.milliseconds
        val PLAN_EVERY = 500.milliseconds
        val LIST_EVERY = 1500.milliseconds
        val LIST_RETRY = 1.seconds

        /** Longer than two pages take at the slowest cloud. */
        val LIST_FIRST = 5.seconds
        val SETTLING = 8.seconds
        val HIRE_RETRY = 2.seconds
        val CLOSED_FIRST = 10.seconds
        val CLOSED_MOST = 60.seconds
        const val MAX_DOUBLINGS = 4
    }
}
