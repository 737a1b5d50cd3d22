package org.elderhitch.lab

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a node's work costs in processor time, at its share of a core. `docs/design/storm.md` says where the figures
 * were measured.
 */
internal class CostModel(private val share: Double) {
    fun of(path: String): Duration = when (path) {
        "/checkin" -> REPORT
        "answer" -> ANSWER
        else -> REQUEST
    } / share

    /** [looks]: how many machines and candidates a scheduling cycle looked at. */
    fun cycle(looks: Long): Duration = LOOK * looks.toDouble() / share

    private companion object {
        val REPORT = 220.microseconds
        val REQUEST = 300.microseconds
        val ANSWER = 120.microseconds
        val LOOK = 1.microseconds
    }
}

/**
 * A node's processor: holds back all that the node would run while it stands still, and until what it was charged for
 * is done. Timers that
 * end meanwhile are due at once afterwards.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
internal class ProcessingCost(private val inner: CoroutineDispatcher, private val clock: SteadyClock) :
    CoroutineDispatcher(),
    Delay {
    private val timers = inner as Delay
    private val waiting = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    private var busyUntil = MonotonicInstant.NEVER
    private var draining = false
    var frozen = false

    fun thaw() {
        frozen = false
        draining = false
        if (waiting.isNotEmpty()) drainLater()
    }

    /** The node is at work for so long, after what it is at work on already. */
    fun charge(cost: Duration) {
        busyUntil = maxOf(busyUntil, clock.now()) + cost
    }

    private val held: Boolean get() = frozen || draining || clock.now() + STEP < busyUntil

    private fun drain() {
        draining = false
        while (waiting.isNotEmpty() && !held) {
            val (_, block) = waiting.removeFirst()
            block.run()
        }
        if (waiting.isNotEmpty() && !frozen) drainLater()
    }

    private fun drainLater() {
        if (draining) return
        draining = true
        timers.invokeOnTimeout((busyUntil - clock.now()).inWholeMilliseconds.coerceAtLeast(1), {
            if (!frozen) drain()
        }, EmptyCoroutineContext)
    }

    private fun hold(context: CoroutineContext, block: Runnable) {
        waiting.addLast(context to block)
        if (!frozen) drainLater()
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (held || waiting.isNotEmpty()) {
            hold(context, block)
        } else {
            inner.dispatch(context, Runnable { if (held) hold(context, block) else block.run() })
        }
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val handle =
            invokeOnTimeout(timeMillis, { with(continuation) { resumeUndispatched(Unit) } }, continuation.context)
        continuation.invokeOnCancellation { handle.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
        timers.invokeOnTimeout(timeMillis, { dispatch(context, block) }, context)

    private companion object {
        /** Timers have steps of a millisecond: less work than that is carried over to the next. */
        val STEP = 1.milliseconds
    }
}
