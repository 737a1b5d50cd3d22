package org.elderhitch.fleet

import org.elderhitch.jobs.MachineType
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Tests the comparison of the cloud's machine lists with the machines of a term. */
class InventoryReconcilerTest {
    private val start = MonotonicInstant(0) + 100.seconds

    private fun id(n: Int) = MachineId("host-$n")

    private fun listed(n: Int, state: String = "running") =
        ListedMachine(Machine(id(n), MachineType("small"), Zone("a"), false), state, null)

    private fun known(n: Int, provisionedAt: MonotonicInstant) =
        id(n) to ProvisionedMachine(listed(n).machine, "r-1", provisionedAt, isProvisionedInThisTerm = true)

    /** A list may be outdated by up to twice its lag, and may be older than the previous one. */
    @Test
    fun `reconciler reports no machine as gone or orphaned when the list may be outdated`() {
        val reconciler = InventoryReconciler(10.seconds)
        val known = mapOf(
            known(1, start - 60.seconds),
            known(2, start - 15.seconds),
            known(3, start - 60.seconds),
            known(4, start - 60.seconds),
        )
        known.getValue(id(3)).isTerminating = true
        fun orphanedAt(time: MonotonicInstant) =
            reconciler.reconcile(listOf(listed(9)), time, known).orphaned.map { it.id }

        val first = reconciler.reconcile(listOf(listed(4, "failed"), listed(9)), start, known)
        assertEquals(listOf(id(1)), first.gone, "machine 2 may be newer than the list, machine 3 is being terminated")
        assertEquals(listOf(id(4)), first.failed)
        assertEquals(emptyList(), first.orphaned, "machine 9 may just have been terminated")
        assertEquals(emptyList(), orphanedAt(start + 20.seconds))
        assertEquals(listOf(id(9)), orphanedAt(start + 22.seconds))
        // The time is counted anew for a machine that was missing from a list in between.
        reconciler.reconcile(emptyList(), start + 23.seconds, known)
        assertEquals(emptyList(), orphanedAt(start + 24.seconds))
    }
}
