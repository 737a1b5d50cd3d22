package org.elderhitch.fleet

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The differences between the cloud's machine list and the machines that this term knows. */
internal class InventoryDifferences(
    /** Named by no intent, for longer than a terminated machine may stay listed. */
    val orphaned: List<Machine>,
    /** Failed machines, which stay listed until they are terminated. */
    val failed: List<MachineId>,
    /** Missing from the list although they were provisioned before the earliest time that it may describe. */
    val gone: List<MachineId>,
)

/**
 * Compares the cloud's machine lists with the machines of this term.
 *
 * A list may be outdated by up to twice the stated lag, and may be older than the previous one. So a machine that may
 * have been provisioned since then does not count as gone, and one that may just have been terminated does not count as
 * orphaned.
 */
internal class InventoryReconciler(lag: Duration) {
    private val maxAge = lag * 2 + MARGIN

    /** When each machine that no intent names was first listed. */
    private val unknownSince = HashMap<MachineId, MonotonicInstant>()

    fun resetForNewTerm() = unknownSince.clear()

    /** Compares the [listed] machines, which were requested at [requestedAt], with the [known] ones. */
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
            } else if (entry.isFailed && !machine.isFailed) {
                failed.add(id)
            }
        }
        val gone = known.filter { (id, machine) ->
            id !in names && machine.provisionedAt < requestedAt - maxAge && !machine.isTerminating
        }.keys.toList()
        return InventoryDifferences(orphaned, failed, gone)
    }

    private companion object {
        val MARGIN = 1.seconds
    }
}
