package org.elderhitch.fleet

import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a list of the cloud says against what this term holds. */
internal class InventoryVerdict(
    /** Nobody knows them, for longer than a machine that was returned stays listed. */
    val unknown: List<Machine>,
    /** They stopped by themselves, and stay listed until they are returned. */
    val failed: List<MachineId>,
    /** They were there before the list's oldest moment and it doesn't name them. */
    val gone: List<MachineId>,
)

/**
 * Reconciles the cloud's lists with the machines of this term. A list describes a moment up to twice its lag ago
 * ([lag]), and may be older than the one before: so
 * nothing is gone by its word that may have been rented since, and nobody's is what may just have been returned.
 */
internal class Inventory(lag: Duration) {
    private val behind = lag * 2 + MARGIN
    private val unknownSince = HashMap<MachineId, MonotonicInstant>()

    fun newTerm() = unknownSince.clear()

    /** [listed] was asked for at [asked]. */
    fun reconcile(
        listed: List<ListedMachine>,
        asked: MonotonicInstant,
        held: Map<MachineId, ProvisionedMachine>,
    ): InventoryVerdict {
        val names = listed.mapTo(HashSet()) { it.machine.id }
        unknownSince.keys.retainAll(names)
        val unknown = ArrayList<Machine>()
        val failed = ArrayList<MachineId>()
        for (entry in listed) {
            val id = entry.machine.id
            val known = held[id]
            if (known == null) {
                if (asked - unknownSince.getOrPut(id) { asked } > behind) unknown.add(entry.machine)
            } else if (entry.state == FAILED && !known.failed) {
                failed.add(id)
            }
        }
        val gone = held.filter { (id, known) ->
            id !in names && known.hiredAt < asked - behind && !known.releasing
        }.keys.toList()
        return InventoryVerdict(unknown, failed, gone)
    }

    private companion object {
        const val FAILED = "failed"
        val MARGIN = 1.seconds
    }
}
