package org.elderhitch.drmaa

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.elderhitch.store.RequestPriority
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

public sealed interface WaitAnswer {
    public class Ended(public val result: JobResult) : WaitAnswer

    /** All awaited results have ended, and were taken if that was requested. */
    public data object AllEnded : WaitAnswer

    /** Not yet. [upTo]: the highest job numbers that "all jobs" covers, to be sent with the next request. */
    public class Pending(public val upTo: Map<ClientTag, Int>) : WaitAnswer
    public class Unavailable(public val reason: String) : WaitAnswer
}

/**
 * Serves clients that wait for results (long polling). A wait occupies a coroutine and its client's socket but no
 * thread. At most [maxCount] wait at a time; further ones are refused at once, to be retried later. A wait learns of an
 * end through the change feed and sends no requests to the state service meanwhile.
 */
public class Waits(
    private val sessionRegistry: SessionRegistry,
    private val reaper: Reaper,
    private val sync: suspend () -> Boolean,
    private val clock: SteadyClock,
    public val maxCount: Int,
) {
    /** Number of requests that are waiting now. */
    public var activeCount: Int = 0
        private set

    /** Waits for any result of the session and takes it for [request]. Throws [Refused]. */
    public suspend fun awaitAny(session: SessionName, request: RequestId, hold: Duration): WaitAnswer =
        awaitAnswer(session, hold) {
            earlierAnswer(session, request)?.let { return@awaitAnswer it }
            val (found, left) = queryLoaded(session) { view ->
                view.state.nextEnded()?.also { view.state.claim(it) } to
                    (view.state.hasResultsLeft() || view.heldJobs().isNotEmpty())
            }
            if (found == null) {
                if (!left) throw Refused(Fault.InvalidJobException, "the session has no results left to wait for")
                return@awaitAnswer null
            }
            try {
                take(found, request)
            } finally {
                sessionRegistry.tell(RegistryMessage.Unclaim(found))
            }
        }

    /** Waits for one result and takes it for [request]. Throws [Refused]. */
    public suspend fun awaitOne(name: ResultName, request: RequestId, hold: Duration): WaitAnswer =
        awaitAnswer(name.job.session, hold) {
            earlierAnswer(name.job.session, request)?.let { return@awaitAnswer it }
            when (resultState(name)) {
                ResultState.ENDED -> take(name, request) ?: throw alreadyTaken(name)
                ResultState.OPEN -> null
                ResultState.TAKEN -> throw alreadyTaken(name)
                ResultState.UNKNOWN -> throw Refused(Fault.InvalidJobException, "$name is not a result of this session")
            }
        }

    private suspend fun earlierAnswer(session: SessionName, request: RequestId): WaitAnswer? {
        val before = queryLoaded(session) { it.state.takenBy(request) } ?: return null
        return reaper.readResult(before)?.let { WaitAnswer.Ended(it) }
            ?: WaitAnswer.Unavailable("the result can't be read at the moment")
    }

    /** Null if another request took the result first. */
    private suspend fun take(name: ResultName, request: RequestId): WaitAnswer? {
        val result = reaper.readResult(name) ?: return WaitAnswer.Unavailable("the result can't be read at the moment")
        return when (val reaped = reaper.take(name.block, listOf(name), request)) {
            is Reaped.Taken -> WaitAnswer.Ended(result)
            is Reaped.Gone -> null
            is Reaped.Unavailable -> WaitAnswer.Unavailable(reaped.reason)
        }
    }

    /**
     * Waits for all of [names], or if that is null for all of the session's jobs with numbers up to [upTo] (null: those
     * it has now). With [dispose] the results are taken, with one write per block of up to 4,096. Throws [Refused].
     */
    public suspend fun awaitAll(
        session: SessionName,
        names: Collection<ResultName>?,
        upTo: Map<ClientTag, Int>?,
        request: RequestId,
        dispose: Boolean,
        hold: Duration,
    ): WaitAnswer {
        val upToNumbers = upTo ?: queryLoaded(session) { it.highestNumbers() }
        return awaitAnswer(session, hold, upToNumbers) {
            val pending = if (names == null) null else names.filter { name -> isPending(name, request, dispose) }
            val ready = if (pending == null) {
                queryLoaded(session) { view ->
                    view.state.openJobs(upToNumbers).none() &&
                        view.heldJobs().none { it.number <= (upToNumbers[it.tag] ?: -1) }
                }
            } else {
                queryLoaded(session) { view ->
                    pending.all {
                        view.state.stateOf(it) != ResultState.OPEN &&
                            view.held(it.job) == null
                    }
                }
            }
            if (!ready) return@awaitAnswer null
            if (dispose) {
                disposeAll(
                    pending ?: queryLoaded(session) {
                        it.state.endedResults(upToNumbers).toList()
                    },
                    request,
                )
            } else {
                WaitAnswer.AllEnded
            }
        }
    }

    /** Whether a named result is still to be waited for or taken. */
    private suspend fun isPending(name: ResultName, request: RequestId, dispose: Boolean): Boolean =
        when (resultState(name)) {
            ResultState.UNKNOWN -> throw Refused(Fault.InvalidJobException, "$name is not a result of this session")

            // Taken by an earlier attempt of this request.
            ResultState.TAKEN -> if (dispose &&
                queryLoaded(name.job.session) { it.state.block(name.block).wentTo(name.place, request) }
            ) {
                false
            } else {
                throw alreadyTaken(name)
            }

            else -> true
        }

    private suspend fun disposeAll(names: Collection<ResultName>, request: RequestId): WaitAnswer {
        for ((key, results) in names.groupBy { it.block }) {
            var left: Collection<ResultName> = results
            while (left.isNotEmpty()) {
                when (val reaped = reaper.take(key, left, request, RequestPriority.END)) {
                    is Reaped.Taken -> left = emptyList()

                    // Results that another request took meanwhile need no disposal.
                    is Reaped.Gone -> left = left - reaped.gone.toSet()

                    is Reaped.Unavailable -> return WaitAnswer.Unavailable(reaped.reason)
                }
            }
        }
        return WaitAnswer.AllEnded
    }

    private suspend fun resultState(name: ResultName): ResultState = queryLoaded(name.job.session) { view ->
        if (view.held(name.job) != null) ResultState.OPEN else view.state.stateOf(name)
    }

    /** Queries a loaded session only: after a gap in the feed, known results would appear unknown. */
    private suspend fun <T> queryLoaded(session: SessionName, query: (SessionView) -> T): T {
        val (loaded, seen) = sessionRegistry.query(session) { view ->
            view.loaded to
                (if (view.loaded) query(view) else null)
        }
            ?: throw sessionClosed()
        @Suppress("UNCHECKED_CAST")
        return if (loaded) {
            seen as T
        } else {
            throw Refused(
                Fault.DrmCommunicationException,
                "this node must load the session again",
            )
        }
    }

    private fun sessionClosed() = Refused(Fault.NoActiveSessionException, "the session was closed")

    private fun alreadyTaken(name: ResultName) =
        Refused(Fault.InvalidJobException, "$name: its result has already been taken")

    /** Runs [attempt] now and after each change in the session, until it gives an answer or [hold] is over. */
    private suspend fun awaitAnswer(
        session: SessionName,
        hold: Duration,
        upTo: Map<ClientTag, Int> = emptyMap(),
        attempt: suspend () -> WaitAnswer?,
    ): WaitAnswer {
        if (!sync()) return WaitAnswer.Unavailable("the state service doesn't answer")
        val deadline = clock.now() + hold
        while (true) {
            val signal = CompletableDeferred<Unit>()
            // Registered before the attempt, so that no change between the attempt and the wait is missed.
            sessionRegistry.tell(RegistryMessage.AddWaiter(session, signal))
            try {
                attempt()?.let { return it }
                if (!awaitSignal(signal, deadline)) return WaitAnswer.Pending(upTo)
            } finally {
                sessionRegistry.tell(RegistryMessage.RemoveWaiter(session, signal))
            }
        }
    }

    private suspend fun awaitSignal(signal: CompletableDeferred<Unit>, deadline: MonotonicInstant): Boolean {
        val left = deadline - clock.now()
        if (!left.isPositive()) return false
        if (activeCount >= maxCount) throw Refused(Fault.TryLaterException, "this node has reached its limit of waits")
        activeCount++
        try {
            return withTimeoutOrNull(left) { signal.await() } != null
        } finally {
            activeCount--
        }
    }

    public companion object {
        /** The longest hold of one request; a client that waits longer repeats it, possibly at another node. */
        public val MAX_HOLD: Duration = 20.seconds
    }
}
