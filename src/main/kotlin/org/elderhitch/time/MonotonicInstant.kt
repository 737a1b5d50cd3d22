package org.elderhitch.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** A point on this process's steady clock. Instants of two processes can't be compared. */
@JvmInline
public value class MonotonicInstant(public val nanos: Long) : Comparable<MonotonicInstant> {
    public operator fun plus(duration: Duration): MonotonicInstant =
        MonotonicInstant(nanos + duration.inWholeNanoseconds)

    public operator fun minus(duration: Duration): MonotonicInstant =
        MonotonicInstant(nanos - duration.inWholeNanoseconds)

    /** How long [other] was before this instant; negative if it is after. */
    public operator fun minus(other: MonotonicInstant): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: MonotonicInstant): Int = nanos.compareTo(other.nanos)

    public companion object {
        /** Long before anything that happens in this process; durations can be added and taken off safely. */
        public val NEVER: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 4)

        /** Long after anything that happens in this process; durations can be added and taken off safely. */
        public val FOREVER: MonotonicInstant = MonotonicInstant(Long.MAX_VALUE / 4)
    }
}
