package org.elderhitch.jobs

/** What open jobs take of a controller's heap, in bytes, as far as it decides whether one more may be accepted. */
@JvmInline
public value class Footprint(public val bytes: Long) : Comparable<Footprint> {
    public operator fun plus(other: Footprint): Footprint = Footprint(bytes + other.bytes)
    public operator fun minus(other: Footprint): Footprint = Footprint(bytes - other.bytes)
    override fun compareTo(other: Footprint): Int = bytes.compareTo(other.bytes)

    public companion object {
        // Measured on loopback (docs/design/features.md): an open job of four tasks takes 0.7 KB while it waits, and as
        // much again
        // for a moment in each node that starts and lists it.
        private const val JOB = 1_400L
        private const val BITS_PER_BYTE = 8

        /** Finished tasks are kept as bits by the book and twice by the leader's table. */
        private const val BIT_SETS = 3
        private const val BASE = 24L shl 20
        private const val SHARE = 0.75

        public val NONE: Footprint = Footprint(0)

        public fun of(spec: JobSpec): Footprint = Footprint(JOB + spec.tasks.toLong() * BIT_SETS / BITS_PER_BYTE)

        /**
         * What a controller with so large a heap can hold and still start on: without this bound one accepted jobs
         * until it ended for
         * memory, and none could start again on what was recorded.
         */
        public fun bound(heapBytes: Long): Footprint = Footprint(
            (
                (heapBytes - BASE).coerceAtLeast(heapBytes / BITS_PER_BYTE) *
                    SHARE
                ).toLong(),
        )
    }
}

/**
 * Whether one more job may be accepted: all nodes go by the smallest of their bounds, as each must be able to start on
 * all of it.
 */
public class Admission(private val own: Footprint, private val peers: () -> Footprint?) {
    public val bound: Footprint get() = peers()?.let { minOf(it, own) } ?: own

    public fun admits(open: Footprint, spec: JobSpec): Boolean = open + Footprint.of(spec) <= bound
}
