package org.elderhitch.fleet

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration

/** The machines that the provisioning intents of this term name, from the record of their names until they are gone. */
internal class MachineTracker(private val fleet: FleetContext, private val intents: ProvisioningIntentStore) {
    private val byId = HashMap<MachineId, ProvisionedMachine>()

    /** How long machines took to boot; kept across terms. */
    val bootTimes = BootTimes()

    val machines: Map<MachineId, ProvisionedMachine> get() = byId

    fun newTerm() = byId.clear()

    operator fun contains(id: MachineId): Boolean = id in byId

    /** Takes over the machines of all intents that earlier terms stored. */
    fun loadStored(now: MonotonicInstant) {
        intents.loadStored()
        for (intent in intents.all) {
            addMachines(intent, now)
            intent.recordedUp.forEach { byId[it]?.upInEarlierTerm = true }
        }
    }

    /** The names of the intent's machines are recorded. */
    fun addMachines(intent: ProvisioningIntent, now: MonotonicInstant) {
        intent.machines?.forEach { add(intent.market.machine(it), intent.name, now) }
    }

    private fun add(machine: Machine, intent: String, now: MonotonicInstant) {
        val term = fleet.term
        byId[machine.id] =
            ProvisionedMachine(machine, intent, now, ofThisTerm = now > term.startedAt && term.inventorySent)
        if (term.inventorySent) fleet.ports.scheduler(SchedulerMessage.MachineProvisioned(machine))
    }

    /**
     * Tells the scheduler, once a term, of all machines of earlier terms. Requests that are still open are not waited
     * for, which would cost a takeover up to 7 s: their machines run nothing yet, as a machine's name, and that it is
     * up, are recorded before its first task.
     */
    fun sendInventory(leadership: LeadershipState.Leader) {
        val term = fleet.term
        if (term.inventorySent || !term.intentsLoaded) return
        term.inventorySent = true
        val (mayRunTasks, unused) =
            byId.values.partition { it.machine.id in intents[it.intent]?.recordedUp.orEmpty() }
        fleet.ports.scheduler(
            SchedulerMessage.InventoryLoaded(
                leadership.term,
                mayRunTasks.map { it.machine },
                unused.map { it.machine },
            ),
        )
    }

    /** The first heartbeat of a machine: it is usable as soon as it is recorded that it is up. */
    fun machineUp(id: MachineId, catalog: Catalog) {
        val leadership = fleet.term.leader ?: return
        val machine = byId[id] ?: return
        val intent = intents[machine.intent] ?: return
        noteBootTime(machine, catalog.types[machine.machine.type]?.bootTime)
        machine.cameUp = true
        if (id in intent.recordedUp) {
            fleet.ports.scheduler(SchedulerMessage.MachineUsable(id))
            return
        }
        intent.pendingUp.add(id)
        if (!intent.isRecordingUp) intents.recordUp(leadership, intent)
    }

    private fun noteBootTime(machine: ProvisionedMachine, usual: Duration?) {
        if (usual == null || !usual.isPositive()) return
        if (machine.ofThisTerm && !machine.cameUp) {
            bootTimes.add((fleet.clock.now() - machine.provisionedAt) / usual)
        }
    }

    /** The outcome of recording machines as up; those that came up meanwhile are recorded next. */
    fun upRecorded(message: FleetMessage.MachineUpRecorded) {
        val leadership = fleet.term.leaderOf(message.term) ?: return
        val intent = intents[message.name] ?: return
        intent.isRecordingUp = false
        if (message.recorded) {
            intent.recordedUp.addAll(message.machines)
            intent.pendingUp.removeAll(message.machines)
            message.machines.forEach { fleet.ports.scheduler(SchedulerMessage.MachineUsable(it)) }
        } else {
            intent.isOutdated = true
        }
        if (intent.pendingUp.isNotEmpty()) intents.recordUp(leadership, intent)
    }

    /** The machine is surely gone; [evidence] says what showed it. */
    fun gone(id: MachineId, evidence: String) {
        val removed = byId.remove(id)
        fleet.calls.removeGone(id)
        fleet.ports.scheduler(SchedulerMessage.MachineTerminated(id, evidence))
        val leadership = fleet.term.leader ?: return
        val intent = intents[removed?.intent] ?: return
        if (intent.machines.orEmpty().none { it in byId }) {
            intents.delete(leadership, intent)
        } else {
            intent.isOutdated = true
        }
    }
}
