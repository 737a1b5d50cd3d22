package org.elderhitch.store

import kotlinx.coroutines.delay
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What a request is for. The earlier of two gets the last of the budget. */
public enum class RequestPriority(internal val reserve: Double) {
    LEADERSHIP(0.0),
    RECORD(0.1),
    END(0.2),
    PROGRESS(0.3),
    OTHER(0.4),
}

/**
 * This node's share of a rate that all controllers share: a bucket that holds one second's worth. Each purpose leaves
 * a part of the bucket to the more important ones.
 */
public class RequestRateLimiter(private val clock: SteadyClock, perSecond: Double) {
    private var rate = perSecond
    private var tokens = perSecond
    private var filledAt = clock.now()

    /** The share differs between the leader, which writes more, and the others. */
    public fun setRate(perSecond: Double) {
        fill()
        rate = perSecond
    }

    /** Waits for [count] tokens; false if they can't be had within [patience]: then the caller refuses at once. */
    public suspend fun take(purpose: RequestPriority, count: Int, patience: Duration): Boolean {
        val deadline = clock.now() + patience
        while (!tryTake(purpose, count)) {
            // A request larger than the bucket can never be covered at once; let it through when the bucket is full.
            val wait = wait(purpose, count)
            if (clock.now() + wait > deadline) return false
            delay(wait)
        }
        return true
    }

    public fun tryTake(purpose: RequestPriority, count: Int): Boolean {
        fill()
        if (tokens < needed(purpose, count)) return false
        tokens -= count
        return true
    }

    private fun needed(purpose: RequestPriority, count: Int): Double = minOf(count + purpose.reserve * rate, rate)

    private fun wait(purpose: RequestPriority, count: Int): Duration =
        ((needed(purpose, count) - tokens) / rate).seconds.coerceAtLeast(1.milliseconds) + 1.milliseconds

    private fun fill() {
        val now = clock.now()
        tokens = minOf(rate, tokens + (now - filledAt).toDouble(DurationUnit.SECONDS) * rate)
        filledAt = now
    }
}
