package org.elderhitch.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** An instant on the monotonic clock of this process. Instants of different processes are not comparable. */
@JvmInline
public value class MonotonicInstant(public val nanos: Long) : Comparable<MonotonicInstant> {
    public operator fun plus(duration: Duration): MonotonicInstant =
        MonotonicInstant(nanos + duration.inWholeNanoseconds)

    public operator fun minus(duration: Duration): MonotonicInstant =
        MonotonicInstant(nanos - duration.inWholeNanoseconds)

    /** The time from [other] to this instant; negative if [other] is later. */
    public operator fun minus(other: MonotonicInstant): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: MonotonicInstant): Int = nanos.compareTo(other.nanos)

    public companion object {
        /** Far before any event in this process. Adding or subtracting a duration does not overflow. */
        public val NEVER: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 4)

        /** Far after any event in this process. Adding or subtracting a duration does not overflow. */
        public val FOREVER: MonotonicInstant = MonotonicInstant(Long.MAX_VALUE / 4)
    }
}
