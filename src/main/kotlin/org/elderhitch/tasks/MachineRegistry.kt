package org.elderhitch.tasks

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.MachineType
import org.elderhitch.time.MonotonicInstant

/**
 * The machines of the fleet that the leader knows of in its term.
 *
 * A provisioned machine is booting until it is confirmed up. It is confirmed up, and tasks may be placed on it, once
 * the state service has recorded that it is up. It is gone once the cloud confirms its termination; machine ids are
 * never reused.
 */
internal class MachineRegistry {
    private val machines = HashMap<MachineId, Machine>()
    private val provisionedAt = HashMap<MachineId, MonotonicInstant>()
    private val confirmedUpMachines = HashSet<MachineId>()
    private val goneMachines = HashSet<MachineId>()

    /** Machines that are provisioned and not gone, by id. */
    val known: Map<MachineId, Machine> get() = machines

    /** Machines on which tasks may be placed. */
    val confirmedUp: Set<MachineId> get() = confirmedUpMachines

    /** Machines that were confirmed gone in this term. */
    val gone: Set<MachineId> get() = goneMachines

    /** Removes all machines. */
    fun resetForNewTerm() {
        machines.clear()
        provisionedAt.clear()
        confirmedUpMachines.clear()
        goneMachines.clear()
    }

    /**
     * Adds the machines that earlier terms recorded: [confirmedUp] ones, and [booting] ones that are not confirmed up
     * yet.
     */
    fun load(confirmedUp: Collection<Machine>, booting: Collection<Machine>, now: MonotonicInstant) {
        confirmedUp.forEach {
            machines[it.id] = it
            confirmedUpMachines.add(it.id)
        }
        booting.forEach { provisioned(it, now) }
    }

    /** Adds a [machine] that the cloud has provisioned. */
    fun provisioned(machine: Machine, now: MonotonicInstant) {
        machines[machine.id] = machine
        provisionedAt[machine.id] = now
    }

    /** Marks [machine] as confirmed up: the state service has recorded that it is up. */
    fun markConfirmedUp(machine: MachineId) {
        confirmedUpMachines.add(machine)
    }

    /** Marks [machine] as gone: its termination is confirmed. */
    fun markGone(machine: MachineId) {
        machines.remove(machine)
        provisionedAt.remove(machine)
        confirmedUpMachines.remove(machine)
        goneMachines.add(machine)
    }

    /** Whether booting machines outnumber those that are confirmed up. */
    fun mostlyBooting(catalog: Catalog, now: MonotonicInstant): Boolean =
        confirmedUpMachines.size < machines.values.count { isBooting(it, catalog, now) }

    /** The number of booting machines of each type. */
    fun bootingByType(catalog: Catalog, now: MonotonicInstant): Map<MachineType, Int> =
        machines.values.filter { isBooting(it, catalog, now) }.groupingBy { it.type }.eachCount()

    /** An overdue machine doesn't count as booting: it may never come up, so the scheduler must not wait for it. */
    private fun isBooting(machine: Machine, catalog: Catalog, now: MonotonicInstant): Boolean {
        val since = provisionedAt[machine.id]
        return machine.id !in confirmedUpMachines &&
            since != null &&
            catalog.types[machine.type].let { it != null && now - since < it.bootTime * MAX_BOOT_FACTOR }
    }

    private companion object {
        /** Usual boots take at most this multiple of the machine type's boot time; longer ones are overdue. */
        const val MAX_BOOT_FACTOR = 1.5
    }
}
