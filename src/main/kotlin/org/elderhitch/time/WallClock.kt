package org.elderhitch.time

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The wall clock time in milliseconds since the Unix epoch (1970, UTC). It may be wrong by up to the `clock_error_ms`
 * of the settings, so it is never used to decide the order of two events.
 */
@JvmInline
public value class WallTime(public val ms: Long) : Comparable<WallTime> {
    public operator fun plus(duration: Duration): WallTime = WallTime(ms + duration.inWholeMilliseconds)

    public operator fun minus(duration: Duration): WallTime = WallTime(ms - duration.inWholeMilliseconds)

    /** The time from [other] to this time; negative if [other] is later. */
    public operator fun minus(other: WallTime): Duration = (ms - other.ms).milliseconds

    override fun compareTo(other: WallTime): Int = ms.compareTo(other.ms)

    /** ISO 8601, as in `2026-12-01T08:30:00Z`. */
    override fun toString(): String = Instant.ofEpochMilli(ms).toString()
}

/** A source of the wall clock time, used for records that people read; tests inject a virtual one. */
public fun interface WallClock {
    public fun now(): WallTime
}

/** The wall clock of the operating system. */
public object SystemWallClock : WallClock {
    override fun now(): WallTime = WallTime(System.currentTimeMillis())
}
