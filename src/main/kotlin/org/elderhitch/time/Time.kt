package org.elderhitch.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/** A point on this process's steady clock. Two processes' moments can't be compared. */
@JvmInline
public value class MonotonicInstant(public val nanos: Long) : Comparable<MonotonicInstant> {
    public operator fun plus(duration: Duration): MonotonicInstant = MonotonicInstant(
        nanos + duration.inWholeNanoseconds,
    )
    public operator fun minus(duration: Duration): MonotonicInstant = MonotonicInstant(
        nanos - duration.inWholeNanoseconds,
    )
    public operator fun minus(other: MonotonicInstant): Duration = (nanos - other.nanos).nanoseconds
    override fun compareTo(other: MonotonicInstant): Int = nanos.compareTo(other.nanos)

    public companion object {
        /** Long before anything that happens here. */
        public val NEVER: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 4)

        /** Long after anything that happens here. */
        public val FOREVER: MonotonicInstant = MonotonicInstant(Long.MAX_VALUE / 4)
    }
}

/** Injected, so that tests run in virtual time. */
public fun interface SteadyClock {
    public fun now(): MonotonicInstant
}

public object SystemSteadyClock : SteadyClock {
    override fun now(): MonotonicInstant = MonotonicInstant(System.nanoTime())
}

/** How far two steady clocks may diverge, as a share of the time passed. */
public const val CLOCK_DRIFT: Double = 0.0005

/** A span that is surely over on every other clock once it is over on this one. */
public fun Duration.stretched(): Duration = this * (1 + 2 * CLOCK_DRIFT)

/** A span that is surely not over on any other clock while it is not over on this one. */
public fun Duration.shortened(): Duration = this * (1 - 2 * CLOCK_DRIFT)

/**
 * The time of day in milliseconds since 1970, true within the bound that the settings state (`clock_error_ms`). Orders
 * nothing.
 */
@JvmInline
public value class WallTime(public val ms: Long) : Comparable<WallTime> {
    public operator fun plus(duration: Duration): WallTime = WallTime(ms + duration.inWholeMilliseconds)
    public operator fun minus(duration: Duration): WallTime = WallTime(ms - duration.inWholeMilliseconds)
    public operator fun minus(other: WallTime): Duration = (ms - other.ms).milliseconds
    override fun compareTo(other: WallTime): Int = ms.compareTo(other.ms)
    override fun toString(): String = java.time.Instant.ofEpochMilli(ms).toString()
}

/** Injected like the steady clock; for what people read, never for what is decided by who was first. */
public fun interface WallClock {
    public fun now(): WallTime
}

public object SystemWallClock : WallClock {
    override fun now(): WallTime = WallTime(System.currentTimeMillis())
}
