package org.elderhitch.tasks

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.TypeInfo
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class MachineRegistryTest {
    private val type =
        TypeInfo(MachineType("g8"), Resources(48.0, 8.0, 288.0), 120.0, 0.5, 15.0, 6.0, 60.seconds, listOf(Zone("a")))
    private val catalog = Catalog(mapOf(type.name to type))
    private val start = MonotonicInstant(0) + 100.seconds
    private val machineRegistry = MachineRegistry()

    private fun machine(n: Int) = Machine(MachineId("m$n"), type.name, Zone("a"), false)

    @Test
    fun `a rush is over when half is up, and when what is missing is late`() {
        repeat(4) { machineRegistry.provisioned(machine(it), start) }
        assertTrue(machineRegistry.mostlyBooting(catalog, start + 30.seconds))
        machineRegistry.markCleared(MachineId("m0"))
        assertTrue(machineRegistry.mostlyBooting(catalog, start + 30.seconds))
        assertFalse(
            machineRegistry.mostlyBooting(catalog, start + 90.seconds),
            "a cloud that never delivers must not hold back what is there",
        )
        machineRegistry.markCleared(MachineId("m1"))
        assertFalse(machineRegistry.mostlyBooting(catalog, start + 30.seconds))
    }

    @Test
    fun `what came up in an earlier term doesn't boot, and what is gone stays gone until the next`() {
        machineRegistry.load(cleared = List(2) { machine(it) }, booting = List(3) { machine(10 + it) }, start)
        assertEquals(5, machineRegistry.known.size)
        assertEquals(setOf(MachineId("m0"), MachineId("m1")), machineRegistry.cleared)
        assertTrue(machineRegistry.mostlyBooting(catalog, start + 1.seconds))
        repeat(2) { machineRegistry.markGone(MachineId("m1$it")) }
        assertFalse(machineRegistry.mostlyBooting(catalog, start + 1.seconds))
        assertTrue(MachineId("m10") in machineRegistry.gone && MachineId("m10") !in machineRegistry.known)
        machineRegistry.newTerm()
        assertTrue(
            machineRegistry.gone.isEmpty() && machineRegistry.known.isEmpty() && machineRegistry.cleared.isEmpty(),
        )
    }
}
