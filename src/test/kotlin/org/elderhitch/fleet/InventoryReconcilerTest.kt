package org.elderhitch.fleet

import org.elderhitch.jobs.MachineType
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** The comparison of the cloud's lists with the machines of a term. */
class InventoryReconcilerTest {
    private val begin = MonotonicInstant(0) + 100.seconds

    private fun id(n: Int) = MachineId("host-$n")

    private fun listed(n: Int, state: String = "running") =
        ListedMachine(Machine(id(n), MachineType("small"), Zone("a"), false), state, null)

    private fun known(n: Int, provisionedAt: MonotonicInstant) =
        id(n) to ProvisionedMachine(listed(n).machine, "r-1", provisionedAt, ofThisTerm = true)

    /** A list describes a moment up to twice its lag ago, and may be older than the one before. */
    @Test
    fun `reconciler calls no machine gone or orphaned when the list may be too old to show it`() {
        val reconciler = InventoryReconciler(10.seconds)
        val known = mapOf(
            known(1, begin - 60.seconds),
            known(2, begin - 15.seconds),
            known(3, begin - 60.seconds),
            known(4, begin - 60.seconds),
        )
        known.getValue(id(3)).terminating = true
        fun orphanedAt(time: MonotonicInstant) =
            reconciler.reconcile(listOf(listed(9)), time, known).orphaned.map { it.id }

        val first = reconciler.reconcile(listOf(listed(4, "failed"), listed(9)), begin, known)
        assertEquals(listOf(id(1)), first.gone, "the second may be provisioned since, the third is being terminated")
        assertEquals(listOf(id(4)), first.failed)
        assertEquals(emptyList(), first.orphaned, "the ninth may just have been terminated")
        assertEquals(emptyList(), orphanedAt(begin + 20.seconds))
        assertEquals(listOf(id(9)), orphanedAt(begin + 22.seconds))
        // A machine that was not listed in between is a new one.
        reconciler.reconcile(emptyList(), begin + 23.seconds, known)
        assertEquals(emptyList(), orphanedAt(begin + 24.seconds))
    }
}
