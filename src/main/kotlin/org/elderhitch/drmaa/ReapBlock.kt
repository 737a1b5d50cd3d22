package org.elderhitch.drmaa

import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Revision

/**
 * Records which results of a block were taken, and which of the latest requests took them. The value is only ever
 * replaced on condition of its version: of two concurrent requests for a result, the second finds the version changed,
 * reads the block again and sees that the result was taken.
 */
public class ReapBlock private constructor(
    private val taken: CompletedTasks,
    /**
     * The latest requests, oldest first, each with the index that it took, or -1 if it took several: their indices are
     * not recorded.
     */
    private val by: List<Pair<RequestId, Int>>,
    public val version: Revision,
) {
    public val count: Int get() = taken.count

    public operator fun contains(place: Int): Boolean = place in taken

    /** The index that [request] took; null if it took none or several, or is no longer among the latest requests. */
    public fun takenBy(request: RequestId): Int? = by.lastOrNull { it.first == request && it.second >= 0 }?.second

    /** Whether the result was taken by [request]. */
    public fun wentTo(place: Int, request: RequestId): Boolean =
        place in taken && by.any { it.first == request && (it.second == place || it.second == MANY) }

    /** The block with [places] taken; [request] is null for results that expired. */
    public fun plus(places: Collection<Int>, request: RequestId?): ReapBlock {
        val all = CompletedTasks(CompletedTasks.BLOCK_SIZE)
        all.addAll(taken)
        places.forEach(all::add)
        val latest = if (request == null) by else by + (request to (places.singleOrNull() ?: MANY))
        return ReapBlock(all, latest.distinct().takeLast(MAX_REQUESTS), version)
    }

    public fun at(version: Revision): ReapBlock = ReapBlock(taken, by, version)

    public fun encode(): Map<String, Any?> = linkedMapOf(
        "f" to taken.pack(0),
        "by" to by.map { (request, place) -> if (place == MANY) request.toString() else "$request:$place" },
    )

    public companion object {
        private const val MANY = -1

        /**
         * More than the clients of a session have in flight at once; at 24 characters each they fit into the value next
         * to the bitmap.
         */
        public const val MAX_REQUESTS: Int = 100
        public val EMPTY: ReapBlock = ReapBlock(CompletedTasks(CompletedTasks.BLOCK_SIZE), emptyList(), Revision.ABSENT)

        /** Null if the value is malformed. */
        public fun decode(value: JsonObject, version: Revision): ReapBlock? {
            val taken = CompletedTasks(CompletedTasks.BLOCK_SIZE)
            return try {
                val by = value.stringsOrNull("by").orEmpty().map { text ->
                    val request = RequestId.parse(text.substringBefore(':')) ?: return null
                    val place = if (':' in text) {
                        text.substringAfter(':').toIntOrNull()?.takeIf { it in 0 until CompletedTasks.BLOCK_SIZE }
                            ?: return null
                    } else {
                        MANY
                    }
                    request to place
                }
                if (taken.unpack(0, value.string("f"))) ReapBlock(taken, by, version) else null
            } catch (_: MalformedJson) {
                null
            }
        }
    }
}
