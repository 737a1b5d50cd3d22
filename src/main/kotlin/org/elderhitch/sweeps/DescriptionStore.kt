package org.elderhitch.sweeps

import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.ReadOutcome
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write
import org.elderhitch.time.WallClock
import org.elderhitch.time.WallTime
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/** The result of reading the parts of a description. */
internal sealed interface PartsResult {
    class Complete(val bytes: ByteArray, val firstPart: Revision) : PartsResult
    data class Missing(val part: Int) : PartsResult
    data object Unavailable : PartsResult
}

/** Reads the descriptions of sweeps from their stored parts on demand; only a leader keeps them in memory. */
internal class DescriptionStore(
    private val client: StateClient,
    private val wallClock: WallClock,
    private val valueBytes: Int,
) {
    private val log = LoggerFactory.getLogger("elderhitch.sweeps")
    private val cache = HashMap<SweepId, Description>()

    /**
     * When the descriptions that are corrupt or lack parts were last read. The points of such a sweep wait until a user
     * withdraws them, and don't hold up other sweeps.
     */
    private val broken = HashMap<SweepId, WallTime>()

    fun loaded(id: SweepId): Description? = cache[id]

    fun forget(id: SweepId) {
        cache.remove(id)
    }

    fun clear() = cache.clear()

    /** False if the state service doesn't answer. True doesn't mean that it is [loaded]: a broken description isn't. */
    suspend fun load(state: SweepState): Boolean {
        if (state.id in cache || broken[state.id].let { it != null && wallClock.now() - it < RETRY_DELAY }) return true
        return when (val result = fetch(state)) {
            is FetchResult.Loaded -> true.also { cache[state.id] = result.description }

            is FetchResult.Broken -> {
                log.error("sweep description broken sweep={} reason=\"{}\"", state.id, result.reason)
                broken[state.id] = wallClock.now()
                true
            }

            FetchResult.Unavailable -> false
        }
    }

    /**
     * Null if the description can't be read now, or is broken. A description that is read to answer a request is not
     * kept: only a leader needs it again, and drops it when its term or the sweep ends.
     */
    suspend fun read(state: SweepState): Description? =
        cache[state.id] ?: (fetch(state) as? FetchResult.Loaded)?.description

    private sealed interface FetchResult {
        class Loaded(val description: Description) : FetchResult
        class Broken(val reason: String) : FetchResult
        data object Unavailable : FetchResult
    }

    private suspend fun fetch(state: SweepState): FetchResult =
        when (val read = readParts(state.id, state.manifest.parts)) {
            is PartsResult.Complete -> unpack(state, read.bytes)
            is PartsResult.Missing -> FetchResult.Broken("part ${read.part} is missing")
            PartsResult.Unavailable -> FetchResult.Unavailable
        }

    private fun unpack(state: SweepState, packed: ByteArray): FetchResult {
        if (Description.sum(packed) != state.manifest.sum) return FetchResult.Broken("checksum mismatch")
        return try {
            FetchResult.Loaded(Description.unpack(packed))
        } catch (e: BadTemplate) {
            FetchResult.Broken(e.message.orEmpty())
        }
    }

    suspend fun readParts(id: SweepId, count: Int): PartsResult {
        val partTexts = ArrayList<String>()
        var first = Revision.ABSENT
        for (part in 0 until count) {
            when (val read = client.read(SweepKeys.part(id, part), RequestPriority.END)) {
                is ReadOutcome.Found -> {
                    if (part == 0) first = read.entry.version
                    partTexts.add(read.entry.value.stringOrNull("data") ?: return PartsResult.Missing(part))
                }

                ReadOutcome.Absent -> return PartsResult.Missing(part)

                ReadOutcome.Unavailable -> return PartsResult.Unavailable
            }
        }
        return Parts.join(partTexts)?.let { PartsResult.Complete(it, first) } ?: PartsResult.Missing(0)
    }

    /** [CONFLICT]: other data is already stored. [UNAVAILABLE]: not stored now, or the outcome is unknown. */
    enum class PutResult { STORED, CONFLICT, UNAVAILABLE, TOO_LARGE }

    suspend fun putPart(id: SweepId, part: Int, data: String): PutResult {
        val value = mapOf("data" to data, "at" to wallClock.now().ms)
        if (org.elderhitch.json.Json.bytes(value).size > valueBytes) return PutResult.TOO_LARGE
        val key = SweepKeys.part(id, part)
        repeat(MAX_ATTEMPTS) {
            when (
                client.commit(
                    listOf(Condition(key, Revision.ABSENT)),
                    listOf(Write.Put(key, value)),
                    RequestPriority.PROGRESS,
                )
            ) {
                is CommitOutcome.Committed -> return PutResult.STORED

                is CommitOutcome.Conflict -> return when (val read = client.read(key, RequestPriority.PROGRESS)) {
                    is ReadOutcome.Found -> if (read.entry.value.stringOrNull("data") == data) {
                        PutResult.STORED
                    } else {
                        PutResult.CONFLICT
                    }

                    else -> PutResult.UNAVAILABLE
                }

                CommitOutcome.Unknown -> Unit

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> return PutResult.UNAVAILABLE
            }
        }
        return PutResult.UNAVAILABLE
    }

    /**
     * Deletes parts without a manifest that are older than [MIN_ORPHAN_AGE], the first part of each sweep first. A
     * manifest is written only on condition that the first part still has the version that the writer read before all
     * other parts, and no other part is deleted while the first one exists. So no manifest is ever left without its
     * parts.
     */
    suspend fun collectOrphanedParts(isRecorded: (SweepId) -> Boolean) {
        var after: String? = null
        while (true) {
            val page = client.list(SweepKeys.PARTS, after) ?: return
            for (entry in page.entries) {
                val id = SweepKeys.sweepOfPart(entry.key) ?: continue
                val at = entry.value.longOrNull("at")?.let(::WallTime) ?: continue
                if (isRecorded(id) || wallClock.now() - at < MIN_ORPHAN_AGE) continue
                log.info("sweep part collected key={}", entry.key)
                val first = SweepKeys.part(id, 0)
                val conditions =
                    listOf(
                        Condition(SweepKeys.manifest(id), Revision.ABSENT),
                        Condition(
                            first,
                            if (entry.key == first) {
                                entry.version
                            } else {
                                Revision.ABSENT
                            },
                        ),
                    )
                client.commit(
                    (conditions + Condition(entry.key, entry.version)).distinct(),
                    listOf(Write.Drop(entry.key)),
                    RequestPriority.OTHER,
                )
            }
            after = page.entries.lastOrNull()?.key
            if (!page.more || after == null) return
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        val MIN_ORPHAN_AGE = 1.hours
        val RETRY_DELAY = 1.minutes
    }
}
