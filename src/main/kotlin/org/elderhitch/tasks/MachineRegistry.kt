package org.elderhitch.tasks

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.MachineType
import org.elderhitch.time.MonotonicInstant

/**
 * The fleet's machines as the leader knows them in its term.
 *
 * A machine is booting from its provisioning until it is cleared, and known until it is gone. A machine is cleared,
 * that is, it may be given tasks, once the state service records that it is up. A machine is gone when the cloud
 * confirms its end; it never returns under the same id.
 */
internal class MachineRegistry {
    private val machines = HashMap<MachineId, Machine>()
    private val provisionedAt = HashMap<MachineId, MonotonicInstant>()
    private val clearedMachines = HashSet<MachineId>()
    private val goneMachines = HashSet<MachineId>()

    /** Machines that are provisioned and not gone. */
    val known: Map<MachineId, Machine> get() = machines

    /** Machines that may be given tasks. */
    val cleared: Set<MachineId> get() = clearedMachines

    /** Machines that were confirmed gone in this term. */
    val gone: Set<MachineId> get() = goneMachines

    /** Forgets all machines. */
    fun newTerm() {
        machines.clear()
        provisionedAt.clear()
        clearedMachines.clear()
        goneMachines.clear()
    }

    /** Takes over the machines that earlier terms recorded: [cleared] ones and those still [booting]. */
    fun load(cleared: Collection<Machine>, booting: Collection<Machine>, now: MonotonicInstant) {
        cleared.forEach {
            machines[it.id] = it
            clearedMachines.add(it.id)
        }
        booting.forEach { provisioned(it, now) }
    }

    /** The cloud has provisioned [machine]. */
    fun provisioned(machine: Machine, now: MonotonicInstant) {
        machines[machine.id] = machine
        provisionedAt[machine.id] = now
    }

    /** It is recorded that [machine] is up. */
    fun markCleared(machine: MachineId) {
        clearedMachines.add(machine)
    }

    /** The cloud confirmed that [machine] has ended. */
    fun markGone(machine: MachineId) {
        machines.remove(machine)
        provisionedAt.remove(machine)
        clearedMachines.remove(machine)
        goneMachines.add(machine)
    }

    /** Whether more machines are booting than are cleared. */
    fun mostlyBooting(catalog: Catalog, now: MonotonicInstant): Boolean =
        clearedMachines.size < machines.values.count { isBooting(it, catalog, now) }

    /** The number of booting machines by type. */
    fun booting(catalog: Catalog, now: MonotonicInstant): Map<MachineType, Int> =
        machines.values.filter { isBooting(it, catalog, now) }.groupingBy { it.type }.eachCount()

    /** A machine that is overdue doesn't count as booting: it may never come up, so nothing should wait for it. */
    private fun isBooting(machine: Machine, catalog: Catalog, now: MonotonicInstant): Boolean {
        val since = provisionedAt[machine.id]
        return machine.id !in clearedMachines &&
            since != null &&
            catalog.types[machine.type].let { it != null && now - since < it.bootTime * MAX_BOOT_FACTOR }
    }

    private companion object {
        /**
         * The longest usual boot, as a multiple of the type's boot time (wire protocol, "Controller nodes -> cloud").
         */
        const val MAX_BOOT_FACTOR = 1.5
    }
}
