package org.elderhitch.drmaa

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.elderhitch.store.RequestPriority
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

public sealed interface WaitAnswer {
    public class Ended(public val result: Result) : WaitAnswer

    /** All that were waited for have ended, and are taken if that was asked for. */
    public data object AllEnded : WaitAnswer

    /** Nothing yet. [upTo]: what "all" means from now on. */
    public class NotYet(public val upTo: Map<ClientTag, Int>) : WaitAnswer
    public class NotNow(public val reason: String) : WaitAnswer
}

/**
 * Waits of clients. A wait holds a coroutine and its client's socket, no thread; and no more than [most] are held at a
 * time:
 * the others are told at once when to come back. It learns of an end through the feed, and asks the state service for
 * nothing meanwhile.
 */
public class Waits(
    private val sessionRegistry: SessionRegistry,
    private val reaper: Reaper,
    private val sync: suspend () -> Boolean,
    private val clock: SteadyClock,
    public val most: Int,
) {
    /** How many are held just now. */
    public var held: Int = 0
        private set

    /** For any result of the session, taken by [request]. Throws [Refused]. */
    public suspend fun any(session: SessionName, request: RequestId, hold: Duration): WaitAnswer =
        until(session, hold) {
            again(session, request)?.let { return@until it }
            val (found, left) = look(session) { view ->
                view.state.anyEnded()?.also { view.state.claim(it) } to
                    (view.state.anyLeft() || view.heldJobs().isNotEmpty())
            }
            if (found == null) {
                if (!left) throw Refused(Fault.InvalidJobException, "nothing of the session is left to wait for")
                return@until null
            }
            try {
                taken(found, request)
            } finally {
                sessionRegistry.tell(BookMessage.Unclaim(found))
            }
        }

    /** For one result, taken by [request]. Throws [Refused]. */
    public suspend fun one(name: ResultName, request: RequestId, hold: Duration): WaitAnswer =
        until(name.job.session, hold) {
            again(name.job.session, request)?.let { return@until it }
            when (state(name)) {
                ResultState.ENDED -> taken(name, request) ?: throw gone(name)
                ResultState.OPEN -> null
                ResultState.TAKEN -> throw gone(name)
                ResultState.UNKNOWN -> throw Refused(Fault.InvalidJobException, "$name is no result of this session")
            }
        }

    private suspend fun again(session: SessionName, request: RequestId): WaitAnswer? {
        val before = look(session) { it.state.takenBy(request) } ?: return null
        return reaper.result(before)?.let { WaitAnswer.Ended(it) } ?: WaitAnswer.NotNow("the result can't be read now")
    }

    /** Null: somebody else was faster. */
    private suspend fun taken(name: ResultName, request: RequestId): WaitAnswer? {
        val result = reaper.result(name) ?: return WaitAnswer.NotNow("the result can't be read now")
        return when (val reaped = reaper.take(name.block, listOf(name), request)) {
            is Reaped.Taken -> WaitAnswer.Ended(result)
            is Reaped.Gone -> null
            is Reaped.NotNow -> WaitAnswer.NotNow(reaped.reason)
        }
    }

    /**
     * For all of [names], or for all that the session has up to [upTo] (null: has now). With [dispose] they are taken,
     * a block at a
     * time: one change for up to 4,096. Throws [Refused].
     */
    public suspend fun all(
        session: SessionName,
        names: Collection<ResultName>?,
        upTo: Map<ClientTag, Int>?,
        request: RequestId,
        dispose: Boolean,
        hold: Duration,
    ): WaitAnswer {
        val bound = upTo ?: look(session) { it.upTo() }
        return until(session, hold, bound) {
            val mine = if (names == null) null else names.filter { name -> mine(name, request, dispose) }
            val ready = if (mine == null) {
                look(session) { view ->
                    view.state.openJobs(bound).none() &&
                        view.heldJobs().none { it.number <= (bound[it.tag] ?: -1) }
                }
            } else {
                look(session) { view ->
                    mine.all {
                        view.state.stateOf(it) != ResultState.OPEN &&
                            view.held(it.job) == null
                    }
                }
            }
            if (!ready) return@until null
            if (dispose) {
                disposed(
                    mine ?: look(session) {
                        it.state.untaken(bound).toList()
                    },
                    request,
                )
            } else {
                WaitAnswer.AllEnded
            }
        }
    }

    /** Whether there is still something to wait for, or to take, in a result that was named. */
    private suspend fun mine(name: ResultName, request: RequestId, dispose: Boolean): Boolean = when (state(name)) {
        ResultState.UNKNOWN -> throw Refused(Fault.InvalidJobException, "$name is no result of this session")

        // Taken by an earlier try of this very request: as good as taken now.
        ResultState.TAKEN -> if (dispose &&
            look(name.job.session) { it.state.block(name.block).wentTo(name.place, request) }
        ) {
            false
        } else {
            throw gone(name)
        }

        else -> true
    }

    private suspend fun disposed(names: Collection<ResultName>, request: RequestId): WaitAnswer {
        for ((key, results) in names.groupBy { it.block }) {
            var left: Collection<ResultName> = results
            while (left.isNotEmpty()) {
                when (val reaped = reaper.take(key, left, request, RequestPriority.END)) {
                    is Reaped.Taken -> left = emptyList()

                    // What another wait of the session took meanwhile is disposed of too.
                    is Reaped.Gone -> left = left - reaped.gone.toSet()

                    is Reaped.NotNow -> return WaitAnswer.NotNow(reaped.reason)
                }
            }
        }
        return WaitAnswer.AllEnded
    }

    private suspend fun state(name: ResultName): ResultState = look(name.job.session) { view ->
        if (view.held(name.job) != null) ResultState.OPEN else view.state.stateOf(name)
    }

    /** Only where all of the session is known: what lost track in between would call results unknown that are not. */
    private suspend fun <T> look(session: SessionName, look: (SessionView) -> T): T {
        val (loaded, seen) = sessionRegistry.look(session) { view ->
            view.loaded to
                (if (view.loaded) look(view) else null)
        }
            ?: throw closed()
        @Suppress("UNCHECKED_CAST")
        return if (loaded) {
            seen as T
        } else {
            throw Refused(
                Fault.DrmCommunicationException,
                "this node reads the session again",
            )
        }
    }

    private fun closed() = Refused(Fault.NoActiveSessionException, "the session was closed")

    private fun gone(name: ResultName) = Refused(Fault.InvalidJobException, "$name: its result was taken before")

    /** Tries, and tries again whenever something happens in the session, until there is an answer or [hold] is over. */
    private suspend fun until(
        session: SessionName,
        hold: Duration,
        upTo: Map<ClientTag, Int> = emptyMap(),
        attempt: suspend () -> WaitAnswer?,
    ): WaitAnswer {
        if (!sync()) return WaitAnswer.NotNow("the state service doesn't answer")
        val deadline = clock.now() + hold
        while (true) {
            val woken = CompletableDeferred<Unit>()
            // Before the look: what happens after it wakes, and nothing falls in between.
            sessionRegistry.tell(BookMessage.Await(session, woken))
            try {
                attempt()?.let { return it }
                if (!awaitChange(woken, deadline)) return WaitAnswer.NotYet(upTo)
            } finally {
                sessionRegistry.tell(BookMessage.Done(session, woken))
            }
        }
    }

    private suspend fun awaitChange(woken: CompletableDeferred<Unit>, deadline: MonotonicInstant): Boolean {
        val left = deadline - clock.now()
        if (!left.isPositive()) return false
        if (held >= most) throw Refused(Fault.TryLaterException, "as many waits are held as this node has sockets for")
        held++
        try {
            return withTimeoutOrNull(left) { woken.await() } != null
        } finally {
            held--
        }
    }

    public companion object {
        /** A client that waits longer asks again, and each time may find another node. */
        public val LONGEST_HOLD: Duration = 20.seconds
    }
}
