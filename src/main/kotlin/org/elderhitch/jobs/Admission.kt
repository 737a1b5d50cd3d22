package org.elderhitch.jobs

/** Memory, in bytes of a controller's heap, that open jobs take; it bounds how many jobs may be open at a time. */
@JvmInline
public value class Footprint(public val bytes: Long) : Comparable<Footprint> {
    public operator fun plus(other: Footprint): Footprint = Footprint(bytes + other.bytes)
    public operator fun minus(other: Footprint): Footprint = Footprint(bytes - other.bytes)
    override fun compareTo(other: Footprint): Int = bytes.compareTo(other.bytes)

    public companion object {
        /**
         * Measured on loopback (docs/design/features.md): an open job of four tasks takes 0.7 KB while it waits, and as
         * much again for a moment in each node that starts and lists it.
         */
        private const val BYTES_PER_JOB = 1_400L
        private const val BITS_PER_BYTE = 8

        /** Completed tasks are kept as bits, once by the registry and twice by the leader's task table. */
        private const val BIT_SETS = 3

        /** What a controller without any jobs takes. */
        private const val BASE_BYTES = 24L shl 20

        /** The share of the rest that jobs may take. */
        private const val HEAP_SHARE = 0.75

        /** What a heap below [BASE_BYTES] still allows, as its nth part. */
        private const val MIN_HEAP_DIVISOR = 8

        public val NONE: Footprint = Footprint(0)

        /** The estimate for one open job. */
        public fun of(spec: JobSpec): Footprint =
            Footprint(BYTES_PER_JOB + spec.tasks.toLong() * BIT_SETS / BITS_PER_BYTE)

        /**
         * The most that a controller with so large a heap can hold and still restart on. Without this bound one
         * accepted jobs until it ran out of memory, and none could start again on what was recorded.
         */
        public fun bound(heapBytes: Long): Footprint {
            val available = (heapBytes - BASE_BYTES).coerceAtLeast(heapBytes / MIN_HEAP_DIVISOR)
            return Footprint((available * HEAP_SHARE).toLong())
        }
    }
}

/**
 * Decides whether one more job may be accepted. All nodes use the smallest bound among them, since each must be able to
 * start on all open jobs. [peers]: the smallest bound of the other controllers; null: none is known.
 */
public class Admission(private val own: Footprint, private val peers: () -> Footprint?) {
    /** The most that open jobs may take. */
    public val bound: Footprint get() = peers()?.let { minOf(it, own) } ?: own

    /** Whether [spec] may be accepted while [open] is taken. */
    public fun admits(open: Footprint, spec: JobSpec): Boolean = open + Footprint.of(spec) <= bound
}
