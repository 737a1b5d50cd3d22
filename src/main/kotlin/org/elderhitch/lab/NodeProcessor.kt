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

/** The processor time of a node's work, at its share of a core. `docs/design/storm.md` describes the measurements. */
internal class CostModel(private val coreShare: Double) {
    fun requestCost(path: String): Duration = when (path) {
        "/checkin" -> REPORT_COST
        "answer" -> ANSWER_COST
        else -> REQUEST_COST
    } / coreShare

    /** The cost of a scheduling cycle. [machineVisits]: the number of machines and candidates it looked at. */
    fun cycleCost(machineVisits: Long): Duration = COST_PER_LOOK * machineVisits.toDouble() / coreShare

    private companion object {
        val REPORT_COST = 220.microseconds
        val REQUEST_COST = 300.microseconds
        val ANSWER_COST = 120.microseconds
        val COST_PER_LOOK = 1.microseconds
    }
}

/**
 * The simulated processor of a node: holds back the node's coroutines while it is paused or busy with the work it was
 * charged for. Timers that expire meanwhile fire directly afterwards.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
internal class NodeProcessor(private val inner: CoroutineDispatcher, private val clock: SteadyClock) :
    CoroutineDispatcher(),
    Delay {
    private val timers = inner as Delay
    private val held = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    private var busyUntil = MonotonicInstant.NEVER
    private var drainScheduled = false
    var isPaused = false

    fun resume() {
        isPaused = false
        drainScheduled = false
        if (held.isNotEmpty()) scheduleDrain()
    }

    /** Makes the processor busy for [cost], after the work already charged. */
    fun charge(cost: Duration) {
        busyUntil = maxOf(busyUntil, clock.now()) + cost
    }

    private val isHeld: Boolean get() = isPaused || drainScheduled || clock.now() + TIMER_RESOLUTION < busyUntil

    private fun drain() {
        drainScheduled = false
        while (held.isNotEmpty() && !isHeld) {
            val (_, block) = held.removeFirst()
            block.run()
        }
        if (held.isNotEmpty() && !isPaused) scheduleDrain()
    }

    private fun scheduleDrain() {
        if (drainScheduled) return
        drainScheduled = true
        timers.invokeOnTimeout((busyUntil - clock.now()).inWholeMilliseconds.coerceAtLeast(1), {
            if (!isPaused) drain()
        }, EmptyCoroutineContext)
    }

    private fun hold(context: CoroutineContext, block: Runnable) {
        held.addLast(context to block)
        if (!isPaused) scheduleDrain()
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (isHeld || held.isNotEmpty()) {
            hold(context, block)
        } else {
            inner.dispatch(context, Runnable { if (isHeld) hold(context, block) else block.run() })
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
        /** Resolution of the timers; less work than this is carried over. */
        val TIMER_RESOLUTION = 1.milliseconds
    }
}
