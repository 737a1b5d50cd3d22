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
    private val registry = MachineRegistry()

    private fun machine(n: Int) = Machine(MachineId("m$n"), type.name, Zone("a"), false)

    @Test
    fun `machines are not mostly booting once half are confirmed up or the rest are overdue`() {
        repeat(4) { registry.provisioned(machine(it), start) }
        assertTrue(registry.mostlyBooting(catalog, start + 30.seconds))
        registry.markConfirmedUp(MachineId("m0"))
        assertTrue(registry.mostlyBooting(catalog, start + 30.seconds))
        assertFalse(
            registry.mostlyBooting(catalog, start + 90.seconds),
            "machines that never come up must not hold back the others",
        )
        registry.markConfirmedUp(MachineId("m1"))
        assertFalse(registry.mostlyBooting(catalog, start + 30.seconds))
    }

    @Test
    fun `machines confirmed up in an earlier term are not booting, and gone machines stay gone within the term`() {
        registry.load(confirmedUp = List(2) { machine(it) }, booting = List(3) { machine(10 + it) }, start)
        assertEquals(5, registry.known.size)
        assertEquals(setOf(MachineId("m0"), MachineId("m1")), registry.confirmedUp)
        assertTrue(registry.mostlyBooting(catalog, start + 1.seconds))
        repeat(2) { registry.markGone(MachineId("m1$it")) }
        assertFalse(registry.mostlyBooting(catalog, start + 1.seconds))
        assertTrue(MachineId("m10") in registry.gone && MachineId("m10") !in registry.known)
        registry.resetForNewTerm()
        assertTrue(registry.gone.isEmpty() && registry.known.isEmpty() && registry.confirmedUp.isEmpty())
    }
}
