package org.elderhitch.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.actor.Actor
import org.elderhitch.leadership.Tenure
import org.elderhitch.leadership.Term
import org.elderhitch.placement.KeptFree
import org.elderhitch.recovery.OrderKind
import org.elderhitch.recovery.Orders
import org.elderhitch.recovery.RegretKind
import org.elderhitch.settings.CloudLimits
import org.elderhitch.settings.Zone
import org.elderhitch.store.Purpose
import org.elderhitch.store.StateClient
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import org.elderhitch.workers.ForemanMessage
import org.elderhitch.workers.MachineId
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The leader's dealings with the cloud. An intent is written before each request to rent, conditional on the term, and
 * completed with the machines' names: so each term knows of all machines that an earlier one may have used. A request
 * that was left open is made again under its old name, which rents nothing twice.
 */
public class Renter(
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
    private var tenure: Tenure = Tenure.Following(null, Term.NONE)
    private var catalog = Catalog.EMPTY
    private val intents = IntentBook(scope, store, ports::leadership, ::tell)
    private val turns = CloudTurns(limits.requestsPerS * CloudTurns.USABLE)
    private val inventory = Inventory(limits.listLag)
    private val orders = Orders()
    private val held = HashMap<MachineId, HeldMachine>()
    private val closed = HashMap<Market, Moment>()

    /** How often in a row a market had less than was asked for: it is asked again when it is no longer closed, and holds for empty until then. */
    private val closings = HashMap<Market, Int>()
    private val arrivals = Arrivals()
    private val spare = SpareRoom(arrivals, policy, instant)
    private val returns = Returns(scope, cloud, turns, orders, held, clock, ports, ::tell)

    private val adoption = Adoption(intents)
    private var demand: FleetMessage.Demand? = null
    private var complete = false
    private var inventorySent = false
    private var nextName = 0
    private val boots = BootTimes()
    private var plannedAt = Moment.NEVER
    private var leadingSince = Moment.NEVER

    override fun start() {
        super.start()
        scope.launch {
            while (true) {
                delay(TICK)
                tell(FleetMessage.Tick)
            }
        }
    }

    private fun leading(): Tenure.Leading? = tenure as? Tenure.Leading

    override fun receive(message: FleetMessage) {
        when (message) {
            is FleetMessage.Snapshot -> intents.snapshot(message.entries)

            is FleetMessage.Changed -> message.changes.forEach(intents::changed)

            is FleetMessage.TenureIs -> tenureIs(message.tenure)

            is FleetMessage.TableComplete -> if (message.term == leading()?.term) tableComplete()

            is FleetMessage.JobOpened -> arrivals.add(message.spec, clock.now())

            is FleetMessage.Demand -> demand = message

            is FleetMessage.Stray -> {
                val machine =
                    Machine(message.report.machine, message.report.type, message.report.zone, message.report.spot)
                if (machine.id !in held) adoption.reported(machine)
            }

            is FleetMessage.Release -> returns.want(leading(), message.machines, message.reason)

            is FleetMessage.Cordoned -> returns.cordoned(leading(), message)

            is FleetMessage.Heard -> returns.spare(message.machine)

            is FleetMessage.CatalogIs -> catalog = message.catalog

            is FleetMessage.CameUp -> cameUp(message.machine)

            is FleetMessage.UpWritten -> upWritten(message)

            is FleetMessage.HireDone -> hireDone(message)

            is FleetMessage.HireWritten -> hireWritten(message)

            is FleetMessage.Released -> if (message.term ==
                leading()?.term
            ) {
                returns.answered(message).forEach { gone(it, "released") }
            }

            is FleetMessage.Listed -> listed(message)

            FleetMessage.Tick -> tick()
        }
    }

    // ---- intents -----------------------------------------------------------------------------------------------

    private fun tenureIs(next: Tenure) {
        val before = leading()?.term
        tenure = next
        val leading = leading() ?: return
        if (leading.term == before) return
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

    private fun hold(machine: Machine, intent: String, hiredAt: Moment) {
        held[machine.id] = HeldMachine(machine, intent, hiredAt, hiredHere = hiredAt > leadingSince && inventorySent)
        if (inventorySent) ports.foreman(ForemanMessage.MachineKnown(machine))
    }

    private fun sendInventory(leading: Tenure.Leading) {
        // A request left open may have rented machines that no one has heard of yet, but none that may run something: before its first task a machine's
        // name is recorded, and that it is up. To wait for such requests cost a takeover 7 s at 1.5 of them a second.
        if (inventorySent || !complete) return
        inventorySent = true
        val (mayRun, fresh) = held.values.partition { it.machine.id in intents[it.intent]?.up.orEmpty() }
        ports.foreman(ForemanMessage.Inventory(leading.term, mayRun.map { it.machine }, fresh.map { it.machine }))
    }

    private fun cameUp(id: MachineId) {
        val leading = leading() ?: return
        val machine = held[id] ?: return
        val intent = intents[machine.intent] ?: return
        val boot = catalog.types[machine.machine.type]?.boot
        if (machine.hiredHere &&
            !machine.cameUp &&
            boot != null &&
            boot.isPositive()
        ) {
            boots.add((clock.now() - machine.hiredAt) / boot)
        }
        machine.cameUp = true
        if (id in intent.up) {
            ports.foreman(ForemanMessage.MachineCleared(id))
            return
        }
        intent.cameUp.add(id)
        if (!intent.writingUp) intents.writeUp(leading, intent)
    }

    private fun upWritten(message: FleetMessage.UpWritten) {
        val leading = leading() ?: return
        val intent = intents[message.name] ?: return
        if (message.term != leading.term) return
        intent.writingUp = false
        if (message.done) {
            intent.up.addAll(message.machines)
            intent.cameUp.removeAll(message.machines)
            message.machines.forEach { ports.foreman(ForemanMessage.MachineCleared(it)) }
        } else {
            intent.outdated = true
        }
        if (intent.cameUp.isNotEmpty()) intents.writeUp(leading, intent)
    }

    // ---- scheduling cycles ------------------------------------------------------------------------------------------------

    private fun tick() {
        val leading = leading() ?: return
        val now = clock.now()
        if (!complete || !leading.mayCommand(now)) return
        sendInventory(leading)
        sendRequests(leading, now)
        adoption.tick(leading, now) { it in held }
        if (inventorySent) intents.shorten(leading, now) { it in held }
        returns.send(leading, now)
        if (turns.startList(now, LIST_EVERY)) list(leading)
        if (now - plannedAt > PLAN_EVERY && inventorySent && !catalog.isEmpty) {
            plannedAt = now
            ports.ordered(orders.read())
            plan(leading, now)
        }
    }

    private fun plan(leading: Tenure.Leading, now: Moment) {
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
        // A machine that came up in an earlier term and hasn't been heard yet is silent: it doesn't boot, and isn't given up as slow.
        val machines = held.values.filter {
            !it.releasing && !it.failed && (it.machine.id in uses || !it.upBefore)
        }.map { PlannedMachine(it.machine, rentedBy(it), uses[it.machine.id]) }
        val headroom = spare.room(demand.services, catalog, now)
        ports.foreman(
            ForemanMessage.KeepFree(
                headroom.filter {
                    it.free
                }.map { KeptFree(it.spec, it.tasks) },
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
            }.take(maxOf(0, free)).forEach { newIntent(leading, it.market, it.count) }
            val release = output.release.filter { held[it]?.releasing == false }
            if (release.isNotEmpty()) returns.cordon(release)
            output.drain?.let { ports.foreman(ForemanMessage.Drain(it)) }
        }
    }

    private fun unreachable(zones: Set<Zone>): Set<Market> = zones.flatMapTo(HashSet()) { zone ->
        catalog.types.keys.flatMap { listOf(Market(it, zone, true), Market(it, zone, false)) }
    }

    /**
     * When it was rented at the latest. What came up in an earlier term has been paid for that long already: counted from
     * the claim, idle machines were kept for another minute after each takeover.
     */
    private fun rentedBy(machine: HeldMachine): Moment = if (machine.upBefore) Moment.NEVER else machine.hiredAt

    // ---- renting -----------------------------------------------------------------------------------------------

    private fun newIntent(leading: Tenure.Leading, market: Market, count: Int) {
        // The term is never used twice, so neither is the name.
        intents.add(leading, HireIntent("r-${leading.term}-${nextName++}", market, count))
    }

    private fun hireWritten(message: FleetMessage.HireWritten) {
        val leading = leading() ?: return
        if (message.term != leading.term) return
        val intent = intents[message.name] ?: return
        val machines = intent.machines
        if (message.version == null) {
            // Not written as far as we know; it may be yet, and is then a later term's to settle. Nothing was asked for.
            if (machines == null) {
                intents.forget(leading, intent)
            } else {
                intent.retryAt = clock.now() + IntentBook.WRITE_PAUSE
                intents.recordNames(leading, intent)
            }
            return
        }
        intent.busy = false
        if (machines == null) {
            if (intent.market in closed) intents.forget(leading, intent) else sendRequests(leading, clock.now())
        } else {
            val now = clock.now()
            machines.forEach {
                hold(Machine(it, intent.market.type, intent.market.zone, intent.market.spot), intent.name, now)
            }
            intent.up.forEach { ports.foreman(ForemanMessage.MachineCleared(it)) }
            if (intent.cameUp.isNotEmpty() && !intent.writingUp) intents.writeUp(leading, intent)
        }
    }

    /**
     * As many requests at a time as the cloud takes in a second, those first whose outcome is unclear, then in the order of the plan, which is that of
     * whom they serve. The others wait here, where a refusal can still make them needless.
     */
    private fun sendRequests(leading: Tenure.Leading, now: Moment) {
        val (sent, waiting) = intents.open.partition { it.requesting }
        // What an earlier term left open has rented nothing that runs something: it can wait for the list, which the takeover needs.
        val listFirst = turns.unlisted && now - leadingSince < LIST_FIRST
        val due = waiting.filter { !it.busy && now >= it.retryAt && !(listFirst && it.asked) }.sortedBy { !it.asked }
        for (intent in due.take(maxOf(0, turns.mostHiring - sent.size))) request(leading, intent)
    }

    private fun request(leading: Tenure.Leading, intent: HireIntent) {
        if (!leading.mayCommand(clock.now())) return
        intent.busy = true
        intent.requesting = true
        intent.asked = true
        orders.gave(OrderKind.HIRE, 1, clock.now())
        scope.launch {
            tell(
                FleetMessage.HireDone(
                    leading.term,
                    intent.name,
                    cloud.hire(intent.name, intent.market, intent.count) {
                        ports.entitled(leading)
                    },
                ),
            )
        }
    }

    private fun hireDone(message: FleetMessage.HireDone) {
        val leading = leading() ?: return
        if (message.term != leading.term) return
        val intent = intents[message.name] ?: return
        intent.busy = false
        intent.requesting = false
        when (val outcome = message.outcome) {
            is HireOutcome.Hired -> {
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
                    close(leading, intent.market)
                } else {
                    closings.remove(intent.market)
                }
                orders.hired(intent.market, outcome.machines.size, clock.now())
                intent.machines = outcome.machines
                intent.busy = true
                if (outcome.machines.isEmpty()) {
                    intents.forget(
                        leading,
                        intent,
                    )
                } else {
                    intents.recordNames(leading, intent)
                }
            }

            HireOutcome.NoCapacity -> {
                log.info("hire refused name={} market={}", intent.name, intent.market)
                orders.regrets(RegretKind.HIRE_REFUSED)
                close(leading, intent.market)
                intents.forget(leading, intent)
            }

            HireOutcome.Rejected -> {
                log.error("hire malformed name={} market={}", intent.name, intent.market)
                close(leading, intent.market)
                intents.forget(leading, intent)
            }

            HireOutcome.Unknown -> intent.retryAt = clock.now() + HIRE_RETRY
        }
    }

    /** Nothing to be had there for a while; longer each time. What was to be asked for there and wasn't yet is given up: it would be refused too. */
    private fun close(leading: Tenure.Leading, market: Market) {
        val times = closings.merge(market, 1, Int::plus) ?: 1
        closed[market] = clock.now() + minOf(CLOSED_FIRST * (1 shl minOf(times - 1, MAX_DOUBLINGS)), CLOSED_MOST)
        // Those that are just being written are given up once they are.
        intents.open.filter { it.market == market && !it.asked && !it.busy }.forEach { intents.forget(leading, it) }
    }

    // ---- returning ---------------------------------------------------------------------------------------------

    private fun gone(id: MachineId, proof: String) {
        val was = held.remove(id)
        turns.gone(id)
        ports.foreman(ForemanMessage.MachineGone(id, proof))
        val leading = leading() ?: return
        val intent = intents[was?.intent] ?: return
        if (intent.machines.orEmpty().none { it in held }) intents.forget(leading, intent) else intent.outdated = true
    }

    // ---- the cloud's list --------------------------------------------------------------------------------------

    private fun list(leading: Tenure.Leading) {
        val asked = clock.now()
        // The first list of a term tells where those are that haven't been heard, and which are long gone.
        val purpose = if (turns.unlisted) Purpose.LEADERSHIP else Purpose.OTHER
        scope.launch {
            val machines = cloud.list(purpose)
            if (machines == null) delay(LIST_RETRY)
            tell(FleetMessage.Listed(leading.term, machines, asked))
        }
    }

    private fun listed(message: FleetMessage.Listed) {
        if (message.term != leading()?.term) return
        turns.listed(message.machines?.size, clock.now())
        val machines = message.machines ?: return
        if (demand?.settled != true) {
            // A takeover asks machines that it hasn't heard yet; only the cloud can say where they are.
            ports.foreman(ForemanMessage.MachinesListed(machines.associate { it.machine.id to it.address }))
        }
        val verdict = inventory.reconcile(machines, message.asked, held)
        verdict.failed.forEach { held[it]?.failed = true }
        if (verdict.failed.isNotEmpty()) returns.want(leading(), verdict.failed, ReturnReason.FAILED)
        leading()?.takeIf { complete && it.mayCommand(clock.now()) }?.let { adoption.listed(it, verdict.unknown) }
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
