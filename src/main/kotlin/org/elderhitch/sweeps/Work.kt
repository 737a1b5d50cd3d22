package org.elderhitch.sweeps

import org.HdrHistogram.Histogram
import org.elderhitch.jobs.JobAccount
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import java.nio.BufferUnderflowException
import java.nio.ByteBuffer
import java.util.Base64
import java.util.zip.DataFormatException

/**
 * What the points of a block did that completed: sums, and how long each took in task-seconds. Adding two gives the
 * work of both.
 */
public class Work private constructor(
    public val completed: Long,
    public val attempts: Long,
    public val lost: Long,
    public val usefulS: Double,
    public val lostS: Double,
    /** Points part of whose work nobody saw: of those there was at least as much. */
    public val least: Long,
    private val durations: Histogram?,
) {
    /** With completed points more; an account is null if nobody could say. */
    public fun with(accounts: Collection<JobAccount?>): Work {
        val took = durations?.copy() ?: histogram()
        for (account in accounts) {
            took.recordValue(((account?.usefulSeconds ?: 0.0) * TENTHS).toLong().coerceIn(0, LONGEST))
        }
        val seen = accounts.filterNotNull()
        return Work(
            completed + accounts.size,
            attempts + seen.sumOf { it.attempts },
            lost + seen.sumOf { it.lost },
            usefulS + seen.sumOf { it.usefulSeconds },
            lostS + seen.sumOf { it.lostSeconds },
            least + accounts.count { it == null || it.lowerBound },
            took,
        )
    }

    public operator fun plus(other: Work): Work = Work(
        completed + other.completed,
        attempts + other.attempts,
        lost + other.lost,
        usefulS + other.usefulS,
        lostS + other.lostS,
        least + other.least,
        when {
            durations == null -> other.durations
            other.durations == null -> durations
            else -> durations.copy().also { it.add(other.durations) }
        },
    )

    /**
     * Task-seconds that the given share of the completed points took at most, to within a hundredth; null: none
     * completed.
     */
    public fun percentile(share: Double): Double? =
        durations?.getValueAtPercentile(share * PERCENT)?.let { it / TENTHS }

    public fun encode(): Map<String, Any?> = linkedMapOf(
        "n" to completed,
        "tries" to attempts,
        "lost" to lost,
        "useful" to rounded(usefulS),
        "wasted" to rounded(lostS),
        "least" to least,
        "hist" to durations?.let(::packed),
    ).filterValues { it != null }

    public companion object {
        public val NONE: Work = Work(0, 0, 0, 0.0, 0.0, 0, null)
        private const val PERCENT = 100.0
        private const val TENTHS = 10.0

        /** A hundred days, in tenths of a second. */
        private const val LONGEST = 86_400_000L
        private const val DIGITS = 2

        private fun rounded(seconds: Double): Double = Math.rint(seconds * TENTHS) / TENTHS

        private fun histogram() = Histogram(LONGEST, DIGITS).apply { isAutoResize = false }

        private fun packed(histogram: Histogram): String {
            val buffer = ByteBuffer.allocate(histogram.neededByteBufferCapacity)
            val length = histogram.encodeIntoCompressedByteBuffer(buffer)
            return Base64.getEncoder().encodeToString(buffer.array().copyOf(length))
        }

        /** Throws [MalformedJson]. */
        public fun decode(from: JsonObject): Work = Work(
            from.count("n"),
            from.count("tries"),
            from.count("lost"),
            from.amount("useful"),
            from.amount("wasted"),
            from.count("least"),
            from.stringOrNull("hist")?.let(::unpacked),
        )

        private fun unpacked(text: String): Histogram = try {
            Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(Base64.getDecoder().decode(text)), LONGEST)
        } catch (_: IllegalArgumentException) {
            throw MalformedJson("hist: none of ours")
        } catch (_: DataFormatException) {
            throw MalformedJson("hist: none of ours")
        } catch (_: BufferUnderflowException) {
            throw MalformedJson("hist: cut short")
        } catch (_: ArrayIndexOutOfBoundsException) {
            throw MalformedJson("hist: out of its bounds")
        }
    }
}
