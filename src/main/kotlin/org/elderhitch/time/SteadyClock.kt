package org.elderhitch.time

import kotlin.time.Duration

/** A clock that never jumps. All decisions that depend on durations use it; tests inject a virtual one. */
public fun interface SteadyClock {
    public fun now(): MonotonicInstant
}

/** The steady clock of the Java virtual machine. */
public object SystemSteadyClock : SteadyClock {
    override fun now(): MonotonicInstant = MonotonicInstant(System.nanoTime())
}

/** How far a steady clock may be off true time, as a share of the time passed. */
public const val CLOCK_DRIFT: Double = 0.0005

/** A duration on this clock after which this duration is surely over on every other node's clock. */
public fun Duration.stretched(): Duration = this * (1 + 2 * CLOCK_DRIFT)

/** A duration on this clock within which this duration is surely not over on any other node's clock. */
public fun Duration.shortened(): Duration = this * (1 - 2 * CLOCK_DRIFT)
