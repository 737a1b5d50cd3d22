package org.elderhitch.store

import kotlinx.coroutines.delay
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The priority of a request when the rate limit is nearly exhausted, in descending order.
 *
 * @property reserve the fraction of the bucket, from 0 to 1, that a request leaves to those of higher priority.
 */
public enum class RequestPriority(internal val reserve: Double) {
    /** Claims and renewals of the leadership, and the watches and listings on which every node depends. */
    LEADERSHIP(0.0),

    /** Writes for which a user is waiting. */
    RECORD(0.1),

    /** Terminal states of jobs, and reads for users' requests. */
    END(0.2),

    /** Completed tasks of jobs that remain open. */
    PROGRESS(0.3),

    /** Everything that can be deferred, such as cleanup. */
    OTHER(0.4),
}

/**
 * A token bucket for this node's part of a request rate that is divided among all controllers. The bucket holds the
 * tokens of one second, and each [RequestPriority] leaves a reserve for higher priorities. Not thread-safe: used only
 * on the controller's single thread.
 */
public class RequestRateLimiter(private val clock: SteadyClock, perSecond: Double) {
    private var tokensPerSecond = perSecond
    private var tokens = perSecond
    private var refilledAt = clock.now()

    /** Changes this node's rate; the leader writes more than other nodes and has a higher rate. */
    public fun setRate(perSecond: Double) {
        refill()
        tokensPerSecond = perSecond
    }

    /** Takes [count] tokens, waiting if necessary. False, at once, if that would exceed [maxWait]. */
    public suspend fun take(priority: RequestPriority, count: Int, maxWait: Duration): Boolean {
        val deadline = clock.now() + maxWait
        while (!tryTake(priority, count)) {
            val wait = timeToRefill(priority, count)
            if (clock.now() + wait > deadline) return false
            delay(wait)
        }
        return true
    }

    /** Takes [count] tokens if they are available now. */
    public fun tryTake(priority: RequestPriority, count: Int): Boolean {
        refill()
        if (tokens < requiredTokens(priority, count)) return false
        tokens -= count
        return true
    }

    /** Limited to the size of the bucket, so that a request for more tokens passes when the bucket is full. */
    private fun requiredTokens(priority: RequestPriority, count: Int): Double =
        minOf(count + priority.reserve * tokensPerSecond, tokensPerSecond)

    private fun timeToRefill(priority: RequestPriority, count: Int): Duration =
        ((requiredTokens(priority, count) - tokens) / tokensPerSecond).seconds.coerceAtLeast(1.milliseconds) +
            1.milliseconds

    private fun refill() {
        val now = clock.now()
        tokens = minOf(tokensPerSecond, tokens + (now - refilledAt).toDouble(DurationUnit.SECONDS) * tokensPerSecond)
        refilledAt = now
    }
}
