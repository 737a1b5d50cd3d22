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

/** What reading the parts of a description came to. */
internal sealed interface Reading {
    class Packed(val bytes: ByteArray, val firstPart: Revision) : Reading
    data class Missing(val part: Int) : Reading
    data object NotNow : Reading
}

/** The descriptions of sweeps, read from their parts when they are needed; a node that doesn't lead holds none. */
internal class DescriptionStore(
    private val client: StateClient,
    private val wallClock: WallClock,
    private val valueBytes: Int,
) {
    private val log = LoggerFactory.getLogger("elderhitch.sweeps")
    private val held = HashMap<SweepId, Description>()

    /**
     * Descriptions that can't be read: torn, or with parts gone. Their points wait for somebody to withdraw them, and
     * hold up nobody else's.
     */
    private val broken = HashMap<SweepId, WallTime>()

    fun loaded(id: SweepId): Description? = held[id]

    fun forget(id: SweepId) {
        held.remove(id)
    }

    fun clear() = held.clear()

    /** False: it can't be had now. Whether it is [loaded] then is another question: one that is broken is not. */
    suspend fun load(state: SweepState): Boolean {
        if (state.id in held || broken[state.id].let { it != null && wallClock.now() - it < BROKEN_AGAIN }) return true
        return when (val fetched = fetch(state)) {
            is Fetched.Whole -> true.also { held[state.id] = fetched.description }

            is Fetched.Broken -> {
                log.error("sweep description broken sweep={} reason=\"{}\"", state.id, fetched.reason)
                broken[state.id] = wallClock.now()
                true
            }

            Fetched.NotNow -> false
        }
    }

    /**
     * Null: it can't be had now, or at all. What is read for an answer is not held: only a leader needs it again, and
     * drops it itself.
     */
    suspend fun read(state: SweepState): Description? = held[state.id] ?: (fetch(state) as? Fetched.Whole)?.description

    private sealed interface Fetched {
        class Whole(val description: Description) : Fetched
        class Broken(val reason: String) : Fetched
        data object NotNow : Fetched
    }

    private suspend fun fetch(state: SweepState): Fetched = when (val read = parts(state.id, state.manifest.parts)) {
        is Reading.Packed -> described(state, read.bytes)
        is Reading.Missing -> Fetched.Broken("part ${read.part} is missing")
        Reading.NotNow -> Fetched.NotNow
    }

    private fun described(state: SweepState, packed: ByteArray): Fetched {
        if (Description.sum(packed) != state.manifest.sum) return Fetched.Broken("its checksum is another")
        return try {
            Fetched.Whole(Description.unpack(packed))
        } catch (e: BadTemplate) {
            Fetched.Broken(e.message.orEmpty())
        }
    }

    suspend fun parts(id: SweepId, count: Int): Reading {
        val texts = ArrayList<String>()
        var first = Revision.ABSENT
        for (part in 0 until count) {
            when (val read = client.read(SweepKeys.part(id, part), RequestPriority.END)) {
                is ReadOutcome.Found -> {
                    if (part == 0) first = read.entry.version
                    texts.add(read.entry.value.stringOrNull("data") ?: return Reading.Missing(part))
                }

                ReadOutcome.Absent -> return Reading.Missing(part)

                ReadOutcome.Unavailable -> return Reading.NotNow
            }
        }
        return Parts.join(texts)?.let { Reading.Packed(it, first) } ?: Reading.Missing(0)
    }

    /** What stands at that part afterwards: what was given, something else, or it can't be told. */
    enum class Put { RECORDED, OTHER, NOT_NOW, TOO_LARGE }

    suspend fun put(id: SweepId, part: Int, data: String): Put {
        val value = mapOf("data" to data, "at" to wallClock.now().ms)
        if (org.elderhitch.json.Json.bytes(value).size > valueBytes) return Put.TOO_LARGE
        val key = SweepKeys.part(id, part)
        repeat(TRIES) {
            when (
                client.commit(
                    listOf(Condition(key, Revision.ABSENT)),
                    listOf(Write.Put(key, value)),
                    RequestPriority.PROGRESS,
                )
            ) {
                is CommitOutcome.Committed -> return Put.RECORDED

                is CommitOutcome.Conflict -> return when (val read = client.read(key, RequestPriority.PROGRESS)) {
                    is ReadOutcome.Found -> if (read.entry.value.stringOrNull("data") == data) {
                        Put.RECORDED
                    } else {
                        Put.OTHER
                    }

                    else -> Put.NOT_NOW
                }

                CommitOutcome.Unknown -> Unit

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> return Put.NOT_NOW
            }
        }
        return Put.NOT_NOW
    }

    /**
     * Parts that nobody made a sweep of for a long time go, the first part first: a manifest is written only under the
     * version of the first part
     * that its node read before all others, and no other part goes while a first one is there. So no manifest ever
     * stands without its parts.
     */
    suspend fun collect(isRecorded: (SweepId) -> Boolean) {
        var after: String? = null
        while (true) {
            val page = client.list(SweepKeys.PARTS, after) ?: return
            for (entry in page.entries) {
                val id = SweepKeys.sweepOfPart(entry.key) ?: continue
                val at = entry.value.longOrNull("at")?.let(::WallTime) ?: continue
                if (isRecorded(id) || wallClock.now() - at < ORPHANED) continue
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
        const val TRIES = 3
        val ORPHANED = 1.hours
        val BROKEN_AGAIN = 1.minutes
    }
}
