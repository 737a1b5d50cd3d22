package org.elderhitch.sweeps

import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Revision
import org.slf4j.LoggerFactory

/** The keys of sweeps in the state service. */
internal object SweepKeys {
    private const val STATE_PREFIX = "v/a/sweeps/"

    private const val BLOCK_KEY_SEGMENTS = 3

    /** Parts have a prefix outside `v/a/`, which every node lists when it starts. */
    const val PARTS: String = "v/sweeps/p/"

    fun manifest(id: SweepId): String = "$STATE_PREFIX${id.text}/m"

    fun block(id: SweepId, number: Int): String = "$STATE_PREFIX${id.text}/b/$number"

    fun part(id: SweepId, number: Int): String = "$PARTS${id.text}/$number"

    fun sweepOfPart(key: String): SweepId? = SweepId.parse(key.removePrefix(PARTS).substringBefore('/'))

    /** The sweep and the block number of a key; a null number means the manifest. Null if it is neither's key. */
    fun parse(key: String): Pair<SweepId, Int?>? {
        if (!key.startsWith(STATE_PREFIX)) return null
        val parts = key.removePrefix(STATE_PREFIX).split('/')
        val id = SweepId.parse(parts[0]) ?: return null
        return when {
            parts.size == 2 && parts[1] == "m" -> id to null
            parts.size == BLOCK_KEY_SEGMENTS && parts[1] == "b" -> parts[2].toIntOrNull()?.takeIf { it >= 0 }?.let {
                id to
                    it
            }
            else -> null
        }
    }
}

/** All recorded sweeps and the states of their points as known to this node. Confined to the thread of [Sweeps]. */
internal class SweepRegistry(private val onBlockChanged: (SweepState, Block, Block) -> Unit) {
    private val log = LoggerFactory.getLogger("elderhitch.sweeps")
    private val sweeps = LinkedHashMap<SweepId, SweepState>()

    val all: Collection<SweepState> get() = sweeps.values

    fun of(id: SweepId): SweepState? = sweeps[id]

    /**
     * Applies all entries under `v/a/`. Known state is never reverted: ended points stay ended, and manifests are never
     * deleted.
     */
    fun applySnapshot(entries: List<Entry>) {
        val sweepEntries = entries.mapNotNull { entry -> SweepKeys.parse(entry.key)?.let { entry to it.second } }
        sweepEntries.sortedBy { if (it.second == null) 0 else 1 }.forEach { applyEntry(it.first) }
    }

    fun applyChanges(changes: List<Change>) = changes.forEach {
        (it as? Change.Put)?.let { change -> applyEntry(change.entry) }
    }

    private fun applyEntry(entry: Entry) {
        val (id, number) = SweepKeys.parse(entry.key) ?: return
        try {
            if (number == null) {
                if (id !in sweeps) sweeps[id] = SweepState(id, Manifest.decode(entry.value), entry.version)
                return
            }
            val state = sweeps[id] ?: return
            if (number >= state.blockCount) throw MalformedJson("no such block")
            applyBlock(state, Block.decode(number, state.points, entry.value, entry.version))
        } catch (e: MalformedJson) {
            log.error("sweep value malformed key={} reason=\"{}\"", entry.key, e.message)
        }
    }

    /** Adds a sweep that this node has recorded itself, before the watch reports it. */
    fun add(id: SweepId, manifest: Manifest, version: Revision): SweepState =
        sweeps.getOrPut(id) { SweepState(id, manifest, version) }

    fun applyBlock(state: SweepState, block: Block) {
        val before = state.block(block.number)
        if (state.update(block)) onBlockChanged(state, before, block)
    }
}
