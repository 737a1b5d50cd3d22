package org.elderhitch.store

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Receives the entries of the state service under [Keys.OPEN], and then each change under [Keys.ALL] in order. */
public interface StateWatchListener {
    /** All entries under [Keys.OPEN], which replace everything received before. Changes after [revision] follow. */
    public fun snapshot(entries: List<Entry>, revision: Revision)

    /** All changes up to [revision] that were not passed on before, in commit order. */
    public fun changed(changes: List<Change>, revision: Revision)

    /**
     * Everything that the state service contained at [since] has been passed on before this call. [since] is the time
     * at which the request was sent whose response proves it.
     */
    public fun freshAsOf(since: MonotonicInstant) {}
}

/**
 * Keeps a local copy of the state service up to date: one listing at startup, followed by blocking watches from the
 * revision of that listing. If the service has compacted the changes after the current revision, everything is listed
 * again.
 *
 * Watches may lag. [awaitFreshness] and [checkFreshness] are linearizable reads: they request all changes up to now, so
 * an answer given after one of them is no older than any answer that any node gave before the call.
 */
public class StateWatch(
    private val scope: CoroutineScope,
    private val client: StateClient,
    private val clock: SteadyClock,
    private val listener: StateWatchListener,
) {
    private val log = LoggerFactory.getLogger("elderhitch.store")
    private val reloadMutex = Mutex()

    /** The revision up to which changes were passed on; null until the first listing, or a repeated one, succeeds. */
    private var revision: Revision? = null
    private var freshnessWaiters = ArrayList<CompletableDeferred<Boolean>>()
    private var freshnessRoundsRunning = false
    private var lastFreshnessRound = MonotonicInstant.NEVER

    /** Whether the local copy is complete as of some revision. */
    public val loaded: Boolean get() = revision != null

    /** Lists everything and then follows the changes until the scope is cancelled. */
    public fun start() {
        scope.launch {
            while (true) {
                if (!followOnce()) delay(RETRY_DELAY)
            }
        }
    }

    /** Performs one listing or one blocking watch; false if the next must wait for [RETRY_DELAY]. */
    private suspend fun followOnce(): Boolean {
        val current = revision
        val sentAt = clock.now()
        if (current == null) return reload(null, sentAt)
        return when (val outcome = client.watch(Keys.ALL, current, WATCH_WAIT, RequestPriority.LEADERSHIP)) {
            is WatchOutcome.Changes -> passOn(outcome, current, sentAt)

            WatchOutcome.TooOld -> {
                reload(current, clock.now())
                true
            }

            WatchOutcome.Unavailable -> false
        }
    }

    /**
     * Waits until everything that was in the state service at the time of the call has been passed on; false if that
     * could not be established. Concurrent callers share one request, and requests are at least
     * [MIN_FRESHNESS_INTERVAL] apart.
     */
    public suspend fun awaitFreshness(): Boolean {
        if (revision == null) return false
        val waiter = CompletableDeferred<Boolean>()
        freshnessWaiters.add(waiter)
        if (!freshnessRoundsRunning) {
            freshnessRoundsRunning = true
            scope.launch { runFreshnessRounds() }
        }
        return waiter.await()
    }

    private suspend fun runFreshnessRounds() {
        try {
            while (freshnessWaiters.isNotEmpty()) {
                val pause = MIN_FRESHNESS_INTERVAL - (clock.now() - lastFreshnessRound)
                if (pause.isPositive()) delay(pause)
                lastFreshnessRound = clock.now()
                runFreshnessRound()
            }
        } finally {
            freshnessRoundsRunning = false
        }
    }

    private suspend fun runFreshnessRound() {
        // Callers that arrive after the request was sent are served by the next round.
        val served = freshnessWaiters
        freshnessWaiters = ArrayList()
        var fresh = false
        try {
            fresh = readChanges(RequestPriority.END)
        } finally {
            served.forEach { it.complete(fresh) }
        }
    }

    /**
     * Like [awaitFreshness], but for a leader: sends its own request immediately, with the priority of lease renewals.
     * The leader's knowledge is as old as the last successful call.
     */
    public suspend fun checkFreshness(): Boolean = readChanges(RequestPriority.LEADERSHIP)

    private suspend fun readChanges(priority: RequestPriority): Boolean {
        val current = revision ?: return false
        val sentAt = clock.now()
        return when (val outcome = client.watch(Keys.ALL, current, Duration.ZERO, priority)) {
            is WatchOutcome.Changes -> passOn(outcome, current, sentAt)
            WatchOutcome.TooOld -> reload(current, sentAt)
            WatchOutcome.Unavailable -> false
        }
    }

    /**
     * Lists everything again, unless another call has done so since [compactedRevision] was found to be too old.
     * Returns false if this call loaded nothing.
     *
     * @param sentAt when the caller's first request was sent.
     */
    private suspend fun reload(compactedRevision: Revision?, sentAt: MonotonicInstant): Boolean = reloadMutex.withLock {
        if (revision != compactedRevision) return false
        // Responses still in flight continue the old revision and must not be applied to the new listing.
        revision = null
        val listing = listOpen() ?: return false
        log.info("store loaded entries={} revision={}", listing.entries.size, listing.revision)
        revision = listing.revision
        listener.snapshot(listing.entries, listing.revision)
        listener.freshAsOf(sentAt)
        return true
    }

    private class Listing(val entries: List<Entry>, val revision: Revision)

    private suspend fun listOpen(): Listing? {
        val entries = ArrayList<Entry>()
        var firstRevision: Revision? = null
        var after: String? = null
        do {
            val page = client.list(Keys.OPEN, after) ?: return null
            // Later pages may contain later changes. Watching from the first page's revision delivers them again.
            if (firstRevision == null) firstRevision = page.revision
            entries.addAll(page.entries)
            after = page.entries.lastOrNull()?.key
        } while (page.more && after != null)
        return firstRevision?.let { Listing(entries, it) }
    }

    /**
     * Passes on the response to a request for the changes after [requestedAfter] that was sent at [sentAt]. Returns
     * false if the response is unusable. There are two such cases. A reload may have gone back to a revision before
     * [requestedAfter]: the response lacks the changes in between, and applying it would lose them. And a consistent
     * store never responds with a revision older than the requested one.
     */
    private fun passOn(response: WatchOutcome.Changes, requestedAfter: Revision, sentAt: MonotonicInstant): Boolean {
        val knownRevision = revision ?: return false
        if (requestedAfter > knownRevision) return false
        if (response.revision < requestedAfter) {
            log.error("state answer older than known asked={} answered={}", requestedAfter, response.revision)
            return false
        }
        // A watch and a freshness check may return the same changes: each change is passed on only once.
        if (response.revision > knownRevision) {
            revision = response.revision
            val unseen = response.changes.filter { it.version > knownRevision }.sortedBy { it.version }
            listener.changed(unseen, response.revision)
        }
        listener.freshAsOf(sentAt)
        return true
    }

    private companion object {
        /** How long the service blocks a watch for which there are no changes. */
        val WATCH_WAIT = 10.seconds
        val RETRY_DELAY = 300.milliseconds
        val MIN_FRESHNESS_INTERVAL = 120.milliseconds
    }
}
