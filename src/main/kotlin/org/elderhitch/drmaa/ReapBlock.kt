package org.elderhitch.drmaa

import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Revision

/**
 * Which results of one block were taken away, and by which of the latest requests. A value of the state service that is
 * only ever
 * replaced under its own version: of two who take the same result, one finds the version changed, reads again, and sees
 * that it is gone.
 */
public class ReapBlock private constructor(
    private val taken: CompletedTasks,
    /**
     * The latest requests and the places that each took, the latest last; -1: it took many, and says no more than that
     * it was it.
     */
    private val by: List<Pair<RequestId, Int>>,
    public val version: Revision,
) {
    public val count: Int get() = taken.count

    public operator fun contains(place: Int): Boolean = place in taken

    /** The place that a request took before its answer was lost; null: none, or so long ago that the block forgot. */
    public fun takenBy(request: RequestId): Int? = by.lastOrNull { it.first == request && it.second >= 0 }?.second

    /** Whether a result that is gone went to this very request. */
    public fun wentTo(place: Int, request: RequestId): Boolean =
        place in taken && by.any { it.first == request && (it.second == place || it.second == MANY) }

    /** [request]: null when nobody took them: they were kept for too long. */
    public fun plus(places: Collection<Int>, request: RequestId?): ReapBlock {
        val all = CompletedTasks(CompletedTasks.BLOCK)
        all.addAll(taken)
        places.forEach(all::add)
        val latest = if (request == null) by else by + (request to (places.singleOrNull() ?: MANY))
        return ReapBlock(all, latest.distinct().takeLast(REMEMBERED), version)
    }

    public fun at(version: Revision): ReapBlock = ReapBlock(taken, by, version)

    public fun encode(): Map<String, Any?> = linkedMapOf(
        "f" to taken.pack(0),
        "by" to by.map { (request, place) -> if (place == MANY) request.toString() else "$request:$place" },
    )

    public companion object {
        private const val MANY = -1

        /**
         * More than the clients of a session have under way at once; at 24 characters each they fit a value beside the
         * bitmap.
         */
        public const val REMEMBERED: Int = 100
        public val EMPTY: ReapBlock = ReapBlock(CompletedTasks(CompletedTasks.BLOCK), emptyList(), Revision.ABSENT)

        /** Null for a value that this program did not write. */
        public fun decode(value: JsonObject, version: Revision): ReapBlock? {
            val taken = CompletedTasks(CompletedTasks.BLOCK)
            return try {
                val by = value.stringsOrNull("by").orEmpty().map { text ->
                    val request = RequestId.parse(text.substringBefore(':')) ?: return null
                    val place = if (':' in text) {
                        text.substringAfter(':').toIntOrNull()?.takeIf { it in 0 until CompletedTasks.BLOCK }
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
