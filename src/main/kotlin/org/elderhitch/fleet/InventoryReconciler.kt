package org.elderhitch.fleet

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The differences between a list of the cloud and the machines that this term knows. */
internal class InventoryDifferences(
    /** In no intent, for longer than a terminated machine stays listed. */
    val orphaned: List<Machine>,
    /** Stopped by themselves; they stay listed until they are terminated. */
    val failed: List<MachineId>,
    /** Provisioned before the earliest moment that the list may describe, and not on it. */
    val gone: List<MachineId>,
)

/**
 * Compares the cloud's lists with the machines of this term.
 *
 * A list describes a moment up to twice its stated lag ago, and may be older than the one before. So a machine that may
 * have been provisioned since that moment does not count as gone, and one that may just have been terminated does not
 * count as orphaned.
 */
internal class InventoryReconciler(lag: Duration) {
    private val maxAge = lag * 2 + MARGIN

    /** When a list first named a machine that is in no intent. */
    private val unknownSince = HashMap<MachineId, MonotonicInstant>()

    fun newTerm() = unknownSince.clear()

    /** Compares the machines [listed], as requested at [requestedAt], with those [known]. */
    fun reconcile(
        listed: List<ListedMachine>,
        requestedAt: MonotonicInstant,
        known: Map<MachineId, ProvisionedMachine>,
    ): InventoryDifferences {
        val names = listed.mapTo(HashSet()) { it.machine.id }
        unknownSince.keys.retainAll(names)
        val orphaned = ArrayList<Machine>()
        val failed = ArrayList<MachineId>()
        for (entry in listed) {
            val id = entry.machine.id
            val machine = known[id]
            if (machine == null) {
                val since = unknownSince.getOrPut(id) { requestedAt }
                if (requestedAt - since > maxAge) orphaned.add(entry.machine)
            } else if (entry.isFailed && !machine.failed) {
                failed.add(id)
            }
        }
        val gone = known.filter { (id, machine) ->
            id !in names && machine.provisionedAt < requestedAt - maxAge && !machine.terminating
        }.keys.toList()
        return InventoryDifferences(orphaned, failed, gone)
    }

    private companion object {
        val MARGIN = 1.seconds
    }
}
