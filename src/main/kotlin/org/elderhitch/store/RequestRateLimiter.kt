package org.elderhitch.store

import kotlinx.coroutines.delay
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * How important a request is when the rate limit is nearly used up, from the most important. [reserve] is the share of
 * the bucket, from 0 to 1, that a request leaves to more important ones.
 */
public enum class RequestPriority(internal val reserve: Double) {
    /** Claims and renewals of the leadership, and the watches and listings that every node lives by. */
    LEADERSHIP(0.0),

    /** Records that a user is waiting for. */
    RECORD(0.1),

    /** Terminal states of jobs, and reads that answer users. */
    END(0.2),

    /** Completed tasks of jobs that stay open. */
    PROGRESS(0.3),

    /** All that can wait, such as clean-up. */
    OTHER(0.4),
}

/**
 * A token bucket: this node's share of a request rate that all controllers share. The bucket holds one second's worth
 * of tokens, and each [RequestPriority] leaves a part of it to the more important ones. Not thread-safe: it runs on the
 * controller's one thread.
 */
public class RequestRateLimiter(private val clock: SteadyClock, perSecond: Double) {
    private var rate = perSecond
    private var tokens = perSecond
    private var filledAt = clock.now()

    /** Changes this node's share, in tokens per second: the leader, which writes more, has a larger one. */
    public fun setRate(perSecond: Double) {
        fill()
        rate = perSecond
    }

    /** Takes [count] tokens, waiting for them if need be; false, at once, if they can't be had within [maxWait]. */
    public suspend fun take(priority: RequestPriority, count: Int, maxWait: Duration): Boolean {
        val deadline = clock.now() + maxWait
        while (!tryTake(priority, count)) {
            val wait = timeToFill(priority, count)
            if (clock.now() + wait > deadline) return false
            delay(wait)
        }
        return true
    }

    /** Takes [count] tokens if they are there now. */
    public fun tryTake(priority: RequestPriority, count: Int): Boolean {
        fill()
        if (tokens < requiredTokens(priority, count)) return false
        tokens -= count
        return true
    }

    /** A request larger than the bucket can never be covered: it passes when the bucket is full. */
    private fun requiredTokens(priority: RequestPriority, count: Int): Double =
        minOf(count + priority.reserve * rate, rate)

    private fun timeToFill(priority: RequestPriority, count: Int): Duration =
        ((requiredTokens(priority, count) - tokens) / rate).seconds.coerceAtLeast(1.milliseconds) + 1.milliseconds

    private fun fill() {
        val now = clock.now()
        tokens = minOf(rate, tokens + (now - filledAt).toDouble(DurationUnit.SECONDS) * rate)
        filledAt = now
    }
}
