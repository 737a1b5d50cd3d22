package org.elderhitch.lab

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import java.util.PriorityQueue
import kotlin.coroutines.CoroutineContext

/** A deterministic dispatcher: runs coroutines on one thread in the order of their simulated times, without waiting. */
@OptIn(InternalCoroutinesApi::class, kotlinx.coroutines.ExperimentalCoroutinesApi::class)
internal class VirtualTime :
    CoroutineDispatcher(),
    Delay {
    private class ScheduledRun(val atMs: Long, val order: Long, val run: Runnable) {
        var cancelled = false
    }

    private val queue = PriorityQueue<ScheduledRun>(compareBy<ScheduledRun> { it.atMs }.thenBy { it.order })
    private var order = 0L
    private var firstFailure: Throwable? = null
    var nowMs = 0L
        private set
    val clock = SteadyClock { MonotonicInstant(nowMs * NANOS_PER_MS) }

    private fun schedule(afterMs: Long, run: Runnable): ScheduledRun =
        ScheduledRun(nowMs + afterMs.coerceAtLeast(0), order++, run).also(queue::add)

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        schedule(0, block)
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        if (timeMillis >= NEVER) return
        val next = schedule(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { next.cancelled = true }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle {
        if (timeMillis >= NEVER) return DisposableHandle { }
        val next = schedule(timeMillis, block)
        return DisposableHandle { next.cancelled = true }
    }

    /** Runs [body], and coroutines launched in its scope until it ends. Throws the first uncaught exception of any. */
    fun <T> run(body: suspend CoroutineScope.() -> T): T {
        val scope =
            CoroutineScope(
                SupervisorJob() + this + CoroutineExceptionHandler { _, e -> firstFailure = firstFailure ?: e },
            )
        val result = scope.async { body(scope) }
        while (!result.isCompleted) {
            val next = queue.poll() ?: error("deadlock: all coroutines wait, and no timer is pending")
            if (next.cancelled) continue
            nowMs = maxOf(nowMs, next.atMs)
            next.run.run()
            firstFailure?.let { throw it }
        }
        scope.cancel()
        return result.getCompletionExceptionOrNull()?.let { throw it } ?: result.getCompleted()
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val NEVER = Long.MAX_VALUE / 4
    }
}
