package org.elderhitch.jobs

/** The estimated heap memory of a controller that open jobs occupy; it limits how many jobs may be open at once. */
@JvmInline
public value class Footprint(public val bytes: Long) : Comparable<Footprint> {
    public operator fun plus(other: Footprint): Footprint = Footprint(bytes + other.bytes)
    public operator fun minus(other: Footprint): Footprint = Footprint(bytes - other.bytes)
    override fun compareTo(other: Footprint): Int = bytes.compareTo(other.bytes)

    public companion object {
        /**
         * An open job of four tasks occupies 0.7 KB while it waits, and briefly as much again on each node that starts
         * up and lists it.
         */
        private const val BYTES_PER_JOB = 1_400L
        private const val BITS_PER_BYTE = 8

        /** Completed tasks are kept in bit sets, one in the registry and two in the leader's task table. */
        private const val BIT_SETS = 3

        /** Heap memory of a controller without any jobs. */
        private const val BASE_BYTES = 24L shl 20

        /** The fraction of the remaining heap that jobs may occupy. */
        private const val HEAP_SHARE = 0.75

        /** At least the heap divided by this counts as available, also if the heap is not above [BASE_BYTES]. */
        private const val MIN_HEAP_DIVISOR = 8

        public val NONE: Footprint = Footprint(0)

        /** The estimated footprint of one open job. */
        public fun of(spec: JobSpec): Footprint =
            Footprint(BYTES_PER_JOB + spec.tasks.toLong() * BIT_SETS / BITS_PER_BYTE)

        /**
         * The most that the open jobs may occupy so that a controller with this heap size can also restart with them.
         * Without this bound, a controller accepted jobs until it ran out of memory, and no controller could start
         * again with the recorded jobs.
         */
        public fun limitFor(heapBytes: Long): Footprint {
            val available = (heapBytes - BASE_BYTES).coerceAtLeast(heapBytes / MIN_HEAP_DIVISOR)
            return Footprint((available * HEAP_SHARE).toLong())
        }
    }
}

/**
 * Admission control: decides whether one more job may be accepted. All nodes apply the smallest bound in the cluster,
 * since each of them must be able to start with all open jobs loaded.
 *
 * @param own the bound of this controller.
 * @param peers returns the smallest bound of the other controllers, or null if none is known.
 */
public class Admission(private val own: Footprint, private val peers: () -> Footprint?) {
    /** The most memory that open jobs may occupy. */
    public val bound: Footprint get() = peers()?.let { minOf(it, own) } ?: own

    /** Whether [spec] may be accepted while the open jobs occupy [open]. */
    public fun admits(open: Footprint, spec: JobSpec): Boolean = open + Footprint.of(spec) <= bound
}
