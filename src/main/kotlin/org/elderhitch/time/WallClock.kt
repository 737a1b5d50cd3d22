package org.elderhitch.time

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The time of day in milliseconds since 1970 (UTC). It may be wrong by as much as the settings state
 * (`clock_error_ms`), and so never decides which of two events came first.
 */
@JvmInline
public value class WallTime(public val ms: Long) : Comparable<WallTime> {
    public operator fun plus(duration: Duration): WallTime = WallTime(ms + duration.inWholeMilliseconds)

    public operator fun minus(duration: Duration): WallTime = WallTime(ms - duration.inWholeMilliseconds)

    /** How long [other] was before this time; negative if it is after. */
    public operator fun minus(other: WallTime): Duration = (ms - other.ms).milliseconds

    override fun compareTo(other: WallTime): Int = ms.compareTo(other.ms)

    /** ISO 8601, as in `2026-12-01T08:30:00Z`. */
    override fun toString(): String = Instant.ofEpochMilli(ms).toString()
}

/** The source of the time of day, for records that people read; tests inject a virtual one. */
public fun interface WallClock {
    public fun now(): WallTime
}

/** The wall clock of the operating system. */
public object SystemWallClock : WallClock {
    override fun now(): WallTime = WallTime(System.currentTimeMillis())
}
