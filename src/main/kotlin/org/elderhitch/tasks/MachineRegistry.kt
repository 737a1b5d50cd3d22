package org.elderhitch.tasks

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.MachineType
import org.elderhitch.time.MonotonicInstant

/** The machines of this term: those that are ours, those that may be given tasks, and those that are surely gone. */
internal class MachineRegistry {
    private val machines = HashMap<MachineId, Machine>()
    private val rentedAt = HashMap<MachineId, MonotonicInstant>()
    private val mayRun = HashSet<MachineId>()
    private val lost = HashSet<MachineId>()

    val known: Map<MachineId, Machine> get() = machines

    /** It is recorded that they are up. */
    val cleared: Set<MachineId> get() = mayRun
    val gone: Set<MachineId> get() = lost

    fun newTerm() {
        machines.clear()
        rentedAt.clear()
        mayRun.clear()
        lost.clear()
    }

    fun load(mayRun: Collection<Machine>, fresh: Collection<Machine>, now: MonotonicInstant) {
        mayRun.forEach {
            machines[it.id] = it
            this.mayRun.add(it.id)
        }
        fresh.forEach { provisioned(it, now) }
    }

    fun provisioned(machine: Machine, now: MonotonicInstant) {
        machines[machine.id] = machine
        rentedAt[machine.id] = now
    }

    fun markCleared(machine: MachineId) {
        mayRun.add(machine)
    }

    fun markGone(machine: MachineId) {
        machines.remove(machine)
        rentedAt.remove(machine)
        mayRun.remove(machine)
        lost.add(machine)
    }

    /** More machines are on their way up than are there. Those that are late may never come: nothing waits for them. */
    fun mostlyBooting(catalog: Catalog, now: MonotonicInstant): Boolean =
        mayRun.size < machines.values.count { boots(it, catalog, now) }

    /** Machines on their way up, by type. */
    fun booting(catalog: Catalog, now: MonotonicInstant): Map<MachineType, Int> =
        machines.values.filter { boots(it, catalog, now) }.groupingBy { it.type }.eachCount()

    private fun boots(machine: Machine, catalog: Catalog, now: MonotonicInstant): Boolean {
        val since = rentedAt[machine.id]
        return machine.id !in mayRun &&
            since != null &&
            catalog.types[machine.type].let { it != null && now - since < it.bootTime * LATE_BOOT }
    }

    private companion object {
        /** "Usually 0.6 to 1.5 times" (PROTOCOL, "Controller nodes -> cloud"). */
        const val LATE_BOOT = 1.5
    }
}
