package org.elderhitch.time

import kotlin.time.Duration

/** A monotonic clock. All decisions that depend on durations use it; tests inject a virtual one. */
public fun interface SteadyClock {
    public fun now(): MonotonicInstant
}

/** The monotonic clock of the Java virtual machine. */
public object SystemSteadyClock : SteadyClock {
    override fun now(): MonotonicInstant = MonotonicInstant(System.nanoTime())
}

/** The maximum drift of a monotonic clock from true time, as a fraction of the elapsed time. */
public const val CLOCK_DRIFT: Double = 0.0005

/** The duration on this node's clock after which the receiver has certainly elapsed on every other node's clock. */
public fun Duration.stretched(): Duration = this * (1 + 2 * CLOCK_DRIFT)

/** The duration on this node's clock within which the receiver has certainly not elapsed on any other node's clock. */
public fun Duration.shortened(): Duration = this * (1 - 2 * CLOCK_DRIFT)
