package org.elderhitch.fleet

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/**
 * Tracks the machines named by the provisioning intents of this term, from when their ids are recorded until they are
 * gone.
 */
internal class MachineTracker(private val fleet: FleetContext, private val intents: ProvisioningIntentStore) {
    private val byId = HashMap<MachineId, ProvisionedMachine>()

    /** Boot time statistics, which are kept across terms. */
    val bootTimes = BootTimes()

    val machines: Map<MachineId, ProvisionedMachine> get() = byId

    fun resetForNewTerm() = byId.clear()

    operator fun contains(id: MachineId): Boolean = id in byId

    /** Adds the machines of all intents that earlier terms stored. */
    fun loadStored(now: MonotonicInstant) {
        intents.loadStored()
        intents.all.forEach { addMachines(it, now) }
        recordedUp().forEach { byId[it]?.wasUpInEarlierTerm = true }
    }

    /**
     * The machines that any intent records as up. Two intents may name a machine: one that adopted it, and a request
     * that was refused, sent once more by the network and then granted.
     */
    private fun recordedUp(): Set<MachineId> = intents.all.flatMapTo(HashSet()) { it.recordedUp }

    /** Adds the machines of an intent, whose ids are recorded. */
    fun addMachines(intent: ProvisioningIntent, now: MonotonicInstant) {
        intent.machines?.forEach { add(intent.market.machine(it), intent.name, now) }
    }

    private fun add(machine: Machine, intentName: String, now: MonotonicInstant) {
        val term = fleet.term
        byId[machine.id] =
            ProvisionedMachine(
                machine,
                intentName,
                now,
                isProvisionedInThisTerm = now > term.startedAt && term.isInventorySent,
            )
        if (term.isInventorySent) fleet.ports.tellScheduler(SchedulerMessage.MachineProvisioned(machine))
    }

    /**
     * Sends the machines of all earlier terms to the scheduler, once per term. It does not wait for open requests,
     * which would delay a takeover by up to 7 s: their machines run no tasks yet, as a machine's id, and the fact that
     * it is up, are recorded before its first task.
     */
    fun sendInventory(leadership: LeadershipState.Leader) {
        val term = fleet.term
        if (term.isInventorySent || !term.areIntentsLoaded) return
        term.isInventorySent = true
        val up = recordedUp()
        val (mayRunTasks, unused) = byId.values.partition { it.machine.id in up }
        fleet.ports.tellScheduler(
            SchedulerMessage.InventoryLoaded(
                leadership.term,
                mayRunTasks.map { it.machine },
                unused.map { it.machine },
            ),
        )
    }

    /** Handles the first heartbeat of a machine, which becomes usable once it is recorded as up. */
    fun machineUp(id: MachineId, catalog: Catalog) {
        val leadership = fleet.term.leader ?: return
        val machine = byId[id] ?: return
        val intent = intents[machine.intentName] ?: return
        recordBootTime(machine, catalog.types[machine.machine.type]?.bootTime)
        machine.cameUpInThisTerm = true
        if (id in intent.recordedUp) {
            fleet.ports.tellScheduler(SchedulerMessage.MachineUsable(id))
            return
        }
        intent.pendingUp.add(id)
        if (!intent.isRecordingUp) intents.recordUp(leadership, intent)
    }

    private fun recordBootTime(machine: ProvisionedMachine, usual: Duration?) {
        if (usual == null || !usual.isPositive()) return
        if (machine.isProvisionedInThisTerm && !machine.cameUpInThisTerm) {
            bootTimes.add((fleet.clock.now() - machine.provisionedAt) / usual)
        }
    }

    /** Handles the outcome of recording machines as up. Those that came up meanwhile are recorded next. */
    fun upRecorded(message: FleetMessage.MachineUpRecorded) {
        val leadership = fleet.term.leaderIfCurrent(message.term) ?: return
        val intent = intents[message.name] ?: return
        intent.isRecordingUp = false
        if (message.succeeded) {
            intent.recordedUp.addAll(message.machines)
            intent.pendingUp.removeAll(message.machines)
            message.machines.forEach { fleet.ports.tellScheduler(SchedulerMessage.MachineUsable(it)) }
        } else {
            intent.needsRewrite = true
        }
        if (intent.pendingUp.isNotEmpty()) intents.recordUp(leadership, intent)
    }

    /** Removes a machine that is certainly gone, as shown by [evidence]. */
    fun removeGone(id: MachineId, evidence: String) {
        val removed = byId.remove(id)
        fleet.calls.removeGone(id)
        fleet.ports.tellScheduler(SchedulerMessage.MachineTerminated(id, evidence))
        val leadership = fleet.term.leader ?: return
        val intent = intents[removed?.intentName] ?: return
        if (intent.machines.orEmpty().none { it in byId }) {
            intents.delete(leadership, intent)
        } else {
            intent.needsRewrite = true
        }
    }
}
