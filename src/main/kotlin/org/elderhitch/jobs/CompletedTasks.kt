package org.elderhitch.jobs

import java.util.Base64
import java.util.BitSet

/**
 * Which tasks of a job are finished. In the state service they stand in blocks of [BLOCK] tasks, one value a block,
 * each
 * either ranges ("0-5,7") or, where that is shorter, a bitmap: at most [MAX_VALUE_CHARS] characters whatever happened.
 */
public class CompletedTasks(public val tasks: Int) {
    private val bits = BitSet(tasks)

    public val count: Int get() = bits.cardinality()
    public val all: Boolean get() = count == tasks

    public operator fun contains(index: Int): Boolean = bits[index]

    /** The first task from [from] on that isn't finished; [tasks] or more if there is none. */
    public fun firstMissing(from: Int): Int = bits.nextClearBit(from)

    /** Those of these tasks that [other] lacks. */
    public fun beyond(other: CompletedTasks): List<Int> {
        val fresh = bits.clone() as BitSet
        fresh.andNot(other.bits)
        return fresh.stream().boxed().toList()
    }

    public fun add(index: Int) {
        require(index in 0 until tasks) { "task $index of $tasks" }
        bits.set(index)
    }

    public fun copy(): CompletedTasks = CompletedTasks(tasks).also { it.addAll(this) }

    public fun addAll(other: CompletedTasks) {
        bits.or(other.bits)
    }

    /** The value of one block. */
    public fun pack(block: Int): String {
        val from = block * BLOCK
        val until = minOf(tasks, from + BLOCK)
        val ranges = StringBuilder()
        var start = bits.nextSetBit(from)
        while (start in 0 until until && ranges.length <= MAX_VALUE_CHARS) {
            val end = minOf(bits.nextClearBit(start), until)
            if (ranges.isNotEmpty()) ranges.append(',')
            ranges.append(start - from)
            if (end - start > 1) ranges.append('-').append(end - 1 - from)
            start = bits.nextSetBit(end)
        }
        val bitmap = "b" + Base64.getEncoder().encodeToString(bits.get(from, until).toByteArray())
        return if (ranges.length <= bitmap.length) ranges.toString() else bitmap
    }

    /** Adds what one block's value says; false if the value is none of ours. */
    public fun unpack(block: Int, value: String): Boolean {
        val from = block * BLOCK
        val until = minOf(tasks, from + BLOCK)
        if (from < 0 || from >= tasks) return false
        val read = BitSet()
        if (value.startsWith("b")) {
            val bytes = try {
                Base64.getDecoder().decode(value.substring(1))
            } catch (_: IllegalArgumentException) {
                return false
            }
            read.or(BitSet.valueOf(bytes))
        } else if (value.isNotEmpty()) {
            for (range in value.split(',')) {
                val first = range.substringBefore('-').toIntOrNull() ?: return false
                val last = range.substringAfter('-').toIntOrNull() ?: return false
                if (first < 0 || last < first || last >= BLOCK) return false
                read.set(first, last + 1)
            }
        }
        if (read.length() > until - from) return false
        read.stream().forEach { bits.set(from + it) }
        return true
    }

    public companion object {
        public const val BLOCK: Int = 4096
        private const val BITS = 8
        private const val BASE64_IN = 3
        private const val BASE64_OUT = 4

        /** The longest value: a marker and the base64 of one bit a task. */
        public const val MAX_VALUE_CHARS: Int = 1 + (BLOCK / BITS + BASE64_IN - 1) / BASE64_IN * BASE64_OUT

        public fun blockOf(index: Int): Int = index / BLOCK
    }
}
