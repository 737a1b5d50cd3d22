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
 * The work of completed points: sums, and a histogram of the task-seconds that each took. Adding two values gives the
 * work of both sets of points.
 */
public class Work private constructor(
    public val completed: Long,
    public val attempts: Long,
    public val lost: Long,
    public val usefulS: Double,
    public val lostS: Double,
    /** The number of points whose work was only partly observed, so that the sums are a lower bound for them. */
    public val least: Long,
    private val durations: Histogram?,
) {
    /** This work plus that of more completed points; an account is null if the point's work is unknown. */
    public fun with(accounts: Collection<JobAccount?>): Work {
        val durationsAfter = durations?.copy() ?: histogram()
        for (account in accounts) {
            durationsAfter.recordValue(
                ((account?.usefulSeconds ?: 0.0) * TENTHS_PER_SECOND).toLong().coerceIn(0, MAX_TENTHS),
            )
        }
        val known = accounts.filterNotNull()
        return Work(
            completed + accounts.size,
            attempts + known.sumOf { it.attempts },
            lost + known.sumOf { it.lost },
            usefulS + known.sumOf { it.usefulSeconds },
            lostS + known.sumOf { it.lostSeconds },
            least + accounts.count { it == null || it.isLowerBound },
            durationsAfter,
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
     * The task-seconds within which the given share of the completed points finished, accurate to one hundredth. Null
     * if none has completed.
     */
    public fun percentile(share: Double): Double? =
        durations?.getValueAtPercentile(share * PERCENT)?.let { it / TENTHS_PER_SECOND }

    public fun encode(): Map<String, Any?> = linkedMapOf(
        "n" to completed,
        "tries" to attempts,
        "lost" to lost,
        "useful" to roundToTenths(usefulS),
        "wasted" to roundToTenths(lostS),
        "least" to least,
        "hist" to durations?.let(::encodeHistogram),
    ).filterValues { it != null }

    public companion object {
        public val NONE: Work = Work(0, 0, 0, 0.0, 0.0, 0, null)
        private const val PERCENT = 100.0
        private const val TENTHS_PER_SECOND = 10.0

        /** 100 days, in tenths of a second. */
        private const val MAX_TENTHS = 86_400_000L
        private const val SIGNIFICANT_DIGITS = 2

        private fun roundToTenths(seconds: Double): Double = Math.rint(seconds * TENTHS_PER_SECOND) / TENTHS_PER_SECOND

        private fun histogram() = Histogram(MAX_TENTHS, SIGNIFICANT_DIGITS).apply { isAutoResize = false }

        private fun encodeHistogram(histogram: Histogram): String {
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
            from.stringOrNull("hist")?.let(::decodeHistogram),
        )

        private fun decodeHistogram(text: String): Histogram = try {
            Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(Base64.getDecoder().decode(text)), MAX_TENTHS)
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
