package org.elderhitch.sweeps

import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Revision
import org.slf4j.LoggerFactory

/** The names of this direction in the state service. */
internal object SweepKeys {
    private const val HERE = "v/a/sweeps/"

    private const val BLOCK_PARTS = 3

    /** Parts stand beside what every node lists at start. */
    const val PARTS: String = "v/sweeps/p/"

    fun manifest(id: SweepId): String = "$HERE${id.text}/m"

    fun block(id: SweepId, number: Int): String = "$HERE${id.text}/b/$number"

    fun part(id: SweepId, number: Int): String = "$PARTS${id.text}/$number"

    fun sweepOfPart(key: String): SweepId? = SweepId.parse(key.removePrefix(PARTS).substringBefore('/'))

    /** Null: not of this direction. Number null: the manifest. */
    fun parse(key: String): Pair<SweepId, Int?>? {
        if (!key.startsWith(HERE)) return null
        val parts = key.removePrefix(HERE).split('/')
        val id = SweepId.parse(parts[0]) ?: return null
        return when {
            parts.size == 2 && parts[1] == "m" -> id to null
            parts.size == BLOCK_PARTS && parts[1] == "b" -> parts[2].toIntOrNull()?.takeIf { it >= 0 }?.let { id to it }
            else -> null
        }
    }
}

/** All sweeps that are recorded, and how their points stand, as this node knows it. Part of [Sweeps], on its thread. */
internal class SweepRegistry(private val onEnded: (SweepState, Block, Block) -> Unit) {
    private val log = LoggerFactory.getLogger("elderhitch.sweeps")
    private val sweeps = LinkedHashMap<SweepId, SweepState>()

    val all: Collection<SweepState> get() = sweeps.values

    fun of(id: SweepId): SweepState? = sweeps[id]

    /** All of `v/a/`. What is known already is never taken back: blocks only grow, and manifests stay. */
    fun snapshot(entries: List<Entry>) {
        val ours = entries.mapNotNull { entry -> SweepKeys.parse(entry.key)?.let { entry to it.second } }
        ours.sortedBy { if (it.second == null) 0 else 1 }.forEach { put(it.first) }
    }

    fun changed(changes: List<Change>) = changes.forEach { (it as? Change.Put)?.let { put -> put(put.entry) } }

    private fun put(entry: Entry) {
        val (id, number) = SweepKeys.parse(entry.key) ?: return
        try {
            if (number == null) {
                if (id !in sweeps) sweeps[id] = SweepState(id, Manifest.decode(entry.value), entry.version)
                return
            }
            val state = sweeps[id] ?: return
            if (number >= state.blockCount) throw MalformedJson("no such block")
            written(state, Block.decode(number, state.points, entry.value, entry.version))
        } catch (e: MalformedJson) {
            log.error("sweep value malformed key={} reason=\"{}\"", entry.key, e.message)
        }
    }

    /** Recorded by this node itself: known before the feed brings it. */
    fun recorded(id: SweepId, manifest: Manifest, version: Revision): SweepState =
        sweeps.getOrPut(id) { SweepState(id, manifest, version) }

    fun written(state: SweepState, block: Block) {
        val before = state.block(block.number)
        if (state.take(block)) onEnded(state, before, block)
    }
}
