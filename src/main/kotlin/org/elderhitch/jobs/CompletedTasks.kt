package org.elderhitch.jobs

import java.util.Base64
import java.util.BitSet

/**
 * The set of completed tasks of a job with [tasks] tasks. The state service stores it in blocks of [BLOCK_SIZE] tasks,
 * one value per block. A value holds either index ranges relative to the start of the block ("0-5,7") or, if that is
 * shorter, a marker followed by a base64 bitmap; it has at most [MAX_VALUE_CHARS] characters.
 */
public class CompletedTasks(public val tasks: Int) {
    private val bits = BitSet(tasks)

    public val count: Int get() = bits.cardinality()

    /** Whether all tasks of the job are completed. */
    public val allDone: Boolean get() = count == tasks

    public operator fun contains(index: Int): Boolean = bits[index]

    /** The first task at or after [from] that is not completed; [tasks] or more if there is none. */
    public fun firstMissing(from: Int): Int = bits.nextClearBit(from)

    /** The tasks of this set that [other] does not contain, in ascending order. */
    public fun missingIn(other: CompletedTasks): List<Int> {
        val difference = bits.clone() as BitSet
        difference.andNot(other.bits)
        return difference.stream().boxed().toList()
    }

    public fun add(index: Int) {
        require(index in 0 until tasks) { "task index $index is not within 0 until $tasks" }
        bits.set(index)
    }

    public fun copy(): CompletedTasks = CompletedTasks(tasks).also { it.addAll(this) }

    public fun addAll(other: CompletedTasks) {
        bits.or(other.bits)
    }

    /** Encodes one block as its stored value. */
    public fun pack(block: Int): String {
        val ranges = encodeRanges(firstTaskOf(block), endTaskOf(block))
        val bitmap = encodeBitmap(firstTaskOf(block), endTaskOf(block))
        return if (ranges.length <= bitmap.length) ranges else bitmap
    }

    /** Encodes the tasks from [from] until [until] as ranges; stops once they are longer than any bitmap. */
    private fun encodeRanges(from: Int, until: Int): String {
        val ranges = StringBuilder()
        var start = bits.nextSetBit(from)
        while (start in 0 until until && ranges.length <= MAX_VALUE_CHARS) {
            val end = minOf(bits.nextClearBit(start), until)
            if (ranges.isNotEmpty()) ranges.append(',')
            ranges.append(start - from)
            if (end - start > 1) ranges.append('-').append(end - 1 - from)
            start = bits.nextSetBit(end)
        }
        return ranges.toString()
    }

    private fun encodeBitmap(from: Int, until: Int): String =
        BITMAP_MARKER + Base64.getEncoder().encodeToString(bits.get(from, until).toByteArray())

    /** Adds the tasks in the stored value of one block. If the value is malformed, returns false and adds nothing. */
    public fun unpack(block: Int, value: String): Boolean {
        val from = firstTaskOf(block)
        if (from < 0 || from >= tasks) return false
        val decoded = if (value.startsWith(BITMAP_MARKER)) decodeBitmap(value) else decodeRanges(value)
        if (decoded == null || decoded.length() > endTaskOf(block) - from) return false
        decoded.stream().forEach { bits.set(from + it) }
        return true
    }

    private fun firstTaskOf(block: Int): Int = block * BLOCK_SIZE

    private fun endTaskOf(block: Int): Int = minOf(tasks, firstTaskOf(block) + BLOCK_SIZE)

    public companion object {
        /** The number of tasks that one stored value covers. */
        public const val BLOCK_SIZE: Int = 4096
        private const val BITMAP_MARKER = "b"
        private const val BITS_PER_BYTE = 8
        private const val BASE64_BYTES_IN = 3
        private const val BASE64_CHARS_OUT = 4

        /** The maximum length of a value: the marker and the base64 encoding of one bit per task. */
        public const val MAX_VALUE_CHARS: Int =
            1 + (BLOCK_SIZE / BITS_PER_BYTE + BASE64_BYTES_IN - 1) / BASE64_BYTES_IN * BASE64_CHARS_OUT

        /** The number of the block that contains the task. */
        public fun blockOf(index: Int): Int = index / BLOCK_SIZE

        private fun decodeBitmap(value: String): BitSet? = try {
            BitSet.valueOf(Base64.getDecoder().decode(value.substring(BITMAP_MARKER.length)))
        } catch (_: IllegalArgumentException) {
            null
        }

        private fun decodeRanges(value: String): BitSet? {
            val decoded = BitSet()
            if (value.isEmpty()) return decoded
            for (text in value.split(',')) {
                val range = decodeRange(text) ?: return null
                decoded.set(range.first, range.last + 1)
            }
            return decoded
        }

        private fun decodeRange(text: String): IntRange? {
            val first = text.substringBefore('-').toIntOrNull() ?: return null
            val last = text.substringAfter('-').toIntOrNull() ?: return null
            return (first..last).takeIf { first in 0..last && last < BLOCK_SIZE }
        }
    }
}
