package org.elderhitch.scheduler

import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.MachineId
import org.elderhitch.time.MonotonicInstant

/** Handles [SchedulerMessage.MachineUpdate]: changes of machines and of the cloud's offers. */
internal class MachineUpdateHandler(private val services: SchedulerServices) {
    private val state = services.state
    private val table = services.table
    private val clock = services.clock

    fun handle(message: SchedulerMessage.MachineUpdate) {
        when (message) {
            is SchedulerMessage.InventoryLoaded -> loadInventory(message)

            is SchedulerMessage.MachineProvisioned -> {
                state.lastTerm?.machines?.provisioned(message.machine, clock.now())
                table.needsCycle = true
            }

            is SchedulerMessage.MachineUsable -> {
                state.lastTerm?.machines?.markConfirmedUp(message.machine)
                table.needsCycle = true
            }

            is SchedulerMessage.MachineTerminated -> removeMachine(message.machine, message.proof)

            is SchedulerMessage.CatalogChanged -> {
                state.catalog = message.catalog
                table.needsCycle = true
            }

            is SchedulerMessage.ImageHintsLoaded -> if (state.currentTerm == null) state.imageHints = message.images

            is SchedulerMessage.CapacityReserved -> {
                state.reservations = message.reservations
                state.unavailableMarkets = message.unavailableMarkets
            }

            is SchedulerMessage.CordonMachines -> cordon(message.machines)

            is SchedulerMessage.TerminationCancelled ->
                table.workers[message.machine]?.let { services.failureDetector.onTerminationCancelled(it) }

            is SchedulerMessage.DrainMachine -> drain(message.machine)
        }
    }

    private fun loadInventory(message: SchedulerMessage.InventoryLoaded) {
        val term = state.currentTerm(message.term) ?: return
        term.machines.load(message.possiblyBusy, message.neverUsed, clock.now())
        val unaccounted = message.possiblyBusy.map { it.id }.filter { machine ->
            table.workers[machine]?.reconciled != true && machine !in term.machines.gone
        }
        term.takeover.expect(unaccounted.toSet())
        table.needsCycle = true
        term.settleTakeover()
    }

    private fun removeMachine(machine: MachineId, proof: String) {
        val term = state.lastTerm
        term?.machines?.markGone(machine)
        term?.takeover?.markAccounted(machine)
        table.workers.remove(machine)?.let { worker ->
            if (worker.terminationRequestedAt != MonotonicInstant.NEVER) {
                term?.statistics?.actions?.recordSuspectGone(machine, clock.now())
            }
            services.events.info("worker gone", machine) {
                "worker settled machine=$machine by=$proof tasks=${worker.placements.size}"
            }
            table.removeAllOf(worker)
        }
        table.needsCycle = true
        term?.settleTakeover()
    }

    /** Stops placing tasks on those of the machines that are still empty, so that they can be terminated as idle. */
    private fun cordon(machines: List<MachineId>) {
        val now = clock.now()
        val (empty, inUse) = machines.partition { table.workers[it]?.isEmpty != false }
        empty.forEach { table.workers[it]?.terminationRequestedAt = now }
        services.ports.fleet(FleetMessage.MachinesCordoned(empty, inUse))
    }

    private fun drain(machine: MachineId) {
        val now = clock.now()
        val term = state.currentTerm?.takeIf { it.leader.maySendCommands(now) && it.takeover.settled } ?: return
        term.consolidation.drain(machine, state.catalog, now) { term.isUsable(it, now) }
        table.needsCycle = true
    }
}
