package org.elderhitch.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.actor.Actor
import org.elderhitch.heartbeat.Heartbeat
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.settings.CloudLimits
import org.elderhitch.store.StateClient
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration.Companion.milliseconds

/**
 * Scales the fleet on the leader: provisions and terminates cloud machines to match the demand.
 *
 * A provisioning intent is stored before each request, conditional on the term, and completed with the ids of the
 * machines, so that each term knows all machines that earlier terms may have used. A request that an earlier term left
 * open is repeated under its original name, which makes the repetition idempotent.
 *
 * This class receives the messages, owns the periodic tick, and delegates to one component for each concern.
 */
public class ProvisioningActor(
    scope: CoroutineScope,
    cloud: CloudClient,
    store: StateClient,
    policy: FleetPolicy,
    /** Job classes whose start-time objective leaves no time to preempt other work. */
    nonPreemptingClasses: Set<String>,
    limits: CloudLimits,
    clock: SteadyClock,
    ports: FleetPorts,
) : Actor<FleetMessage>(scope) {
    private val fleet = FleetContext(scope, clock, ports, limits, ::tell)
    private val term = fleet.term
    private val intents = ProvisioningIntentStore(scope, store, ports::tellLeadership, ::tell)
    private val machines = MachineTracker(fleet, intents)
    private val markets = MarketBackoff()
    private val requester = ProvisioningRequester(fleet, cloud, intents, machines, markets)
    private val terminations = TerminationQueue(fleet, cloud, machines.machines)
    private val adoption = OrphanAdoption(intents)
    private val lister = MachineLister(fleet, cloud, machines, terminations, adoption, limits.listLag)
    private val planner =
        FleetPlanner(fleet, policy, nonPreemptingClasses, intents, machines, markets, requester, terminations)
    private var catalog = Catalog.EMPTY

    override fun start() {
        super.start()
        scope.launch {
            while (true) {
                delay(TICK_INTERVAL)
                tell(FleetMessage.Tick)
            }
        }
    }

    override fun receive(message: FleetMessage) {
        when (message) {
            is FleetMessage.Snapshot -> intents.replaceStored(message.entries)
            is FleetMessage.Changed -> message.changes.forEach(intents::applyChange)
            is FleetMessage.LeadershipChanged -> leadershipChanged(message.leadershipState)
            is FleetMessage.IntentsLoaded -> intentsLoaded(message)
            is FleetMessage.JobOpened -> planner.jobOpened(message.spec)
            is FleetMessage.DemandChanged -> planner.demandChanged(message)
            is FleetMessage.OrphanDetected -> orphanDetected(message.heartbeat)
            is FleetMessage.TerminateMachines -> terminations.request(message.machines, message.reason)
            is FleetMessage.MachinesCordoned -> terminations.cordoned(message)
            is FleetMessage.HeartbeatReceived -> terminations.heartbeatReceived(message.machine)
            is FleetMessage.CatalogChanged -> catalog = message.catalog
            is FleetMessage.MachineUp -> machines.machineUp(message.machine, catalog)
            is FleetMessage.MachineUpRecorded -> machines.upRecorded(message)
            is FleetMessage.ProvisioningCompleted -> requester.requestCompleted(message)
            is FleetMessage.IntentRecorded -> requester.intentRecorded(message)
            is FleetMessage.MachinesTerminated -> machinesTerminated(message)
            is FleetMessage.MachinesListed -> lister.listReceived(message, planner.isTakeoverSettled)
            FleetMessage.Tick -> tick()
        }
    }

    private fun leadershipChanged(state: LeadershipState) {
        if (!term.update(state, fleet.clock)) return
        machines.resetForNewTerm()
        fleet.resetForNewTerm()
        lister.resetForNewTerm()
        adoption.resetForNewTerm()
        requester.resetForNewTerm()
        planner.resetForNewTerm()
    }

    private fun intentsLoaded(message: FleetMessage.IntentsLoaded) {
        if (term.leaderIfCurrent(message.term) == null) return
        term.areIntentsLoaded = true
        machines.loadStored(fleet.clock.now())
        tick()
    }

    private fun orphanDetected(heartbeat: Heartbeat) {
        val machine = Machine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot)
        if (machine.id !in machines) adoption.detected(machine)
    }

    private fun machinesTerminated(message: FleetMessage.MachinesTerminated) {
        if (term.leaderIfCurrent(message.term) == null) return
        terminations.requestCompleted(message).forEach { machines.removeGone(it, "released") }
    }

    /**
     * Performs the actions that are due, in order of urgency: takeover, requests, records, terminations, list, plan.
     */
    private fun tick() {
        val leadership = term.leader ?: return
        val now = fleet.clock.now()
        if (!term.areIntentsLoaded || !leadership.maySendCommands(now)) return
        machines.sendInventory(leadership)
        requester.sendDue(leadership, now)
        adoption.tick(leadership, now) { it in machines }
        intents.compact(leadership, now) { it in machines }
        terminations.sendDue(leadership, now)
        lister.requestIfDue(leadership, now)
        planner.planIfDue(leadership, catalog, now)
    }

    private companion object {
        val TICK_INTERVAL = 200.milliseconds
    }
}
