package org.elderhitch.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * An instant on the monotonic clock of this process. Instants of different processes are not comparable.
 *
 * Sums and differences with durations are limited to the range from [NEVER] to [FOREVER]. Durations that users submit
 * can exceed it, and an overflow would turn an instant far in the future into one in the past.
 */
@JvmInline
public value class MonotonicInstant(public val nanos: Long) : Comparable<MonotonicInstant> {
    public operator fun plus(duration: Duration): MonotonicInstant =
        MonotonicInstant((nanos + limitedNanos(duration)).coerceIn(NEVER_NANOS, FOREVER_NANOS))

    public operator fun minus(duration: Duration): MonotonicInstant =
        MonotonicInstant((nanos - limitedNanos(duration)).coerceIn(NEVER_NANOS, FOREVER_NANOS))

    /** The time from [other] to this instant; negative if [other] is later. */
    public operator fun minus(other: MonotonicInstant): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: MonotonicInstant): Int = nanos.compareTo(other.nanos)

    public companion object {
        private const val NEVER_NANOS = Long.MIN_VALUE / 4
        private const val FOREVER_NANOS = Long.MAX_VALUE / 4

        /** Far before any event in this process. */
        public val NEVER: MonotonicInstant = MonotonicInstant(NEVER_NANOS)

        /** Far after any event in this process. */
        public val FOREVER: MonotonicInstant = MonotonicInstant(FOREVER_NANOS)

        /** The duration in nanoseconds, limited so that adding it to an instant does not overflow. */
        private fun limitedNanos(duration: Duration): Long =
            duration.inWholeNanoseconds.coerceIn(Long.MIN_VALUE / 2, Long.MAX_VALUE / 2)
    }
}
