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

/** Receives the contents of the state service under [Keys.OPEN], and then each change under [Keys.ALL] in order. */
public interface StateWatchListener {
    /** All entries under [Keys.OPEN]; changes after [revision] follow. Replaces whatever was received before. */
    public fun snapshot(entries: List<Entry>, revision: Revision)

    /** All changes up to [revision] that were not passed on before, in their order. */
    public fun changed(changes: List<Change>, revision: Revision)

    /**
     * Everything that the state service held at [since] has been passed on before this call. [since] is the time at
     * which the request was sent whose response shows it.
     */
    public fun freshAsOf(since: MonotonicInstant) {}
}

/**
 * Keeps a local copy of the state service up to date: one listing at the start, then blocking watches from its revision
 * on. If the service has compacted the revision that the watch stands at, everything is listed again.
 *
 * Watches may lag. [awaitFreshness] and [checkFreshness] are linearizable reads: they ask for all changes up to now, so
 * an answer given after one of them is no older than any answer that any node gave before it began.
 */
public class StateWatch(
    private val scope: CoroutineScope,
    private val client: StateClient,
    private val clock: SteadyClock,
    private val listener: StateWatchListener,
) {
    private val log = LoggerFactory.getLogger("elderhitch.store")
    private val reloadMutex = Mutex()

    /** Up to where changes were passed on; null: nothing is loaded yet, or everything is being listed again. */
    private var revision: Revision? = null
    private var freshnessWaiters = ArrayList<CompletableDeferred<Boolean>>()
    private var freshnessRoundsRunning = false
    private var lastFreshnessRound = MonotonicInstant.NEVER

    /** Whether the local copy is complete as of some revision. */
    public val loaded: Boolean get() = revision != null

    /** Loads everything and follows the changes, until the scope is cancelled. */
    public fun start() {
        scope.launch {
            while (true) {
                if (!followOnce()) delay(RETRY_DELAY)
            }
        }
    }

    /** One listing or one blocking watch; false: wait before the next. */
    private suspend fun followOnce(): Boolean {
        val current = revision
        val sent = clock.now()
        if (current == null) return reload(null, sent)
        return when (val outcome = client.watch(Keys.ALL, current, WATCH_WAIT, RequestPriority.LEADERSHIP)) {
            is WatchOutcome.Changes -> apply(outcome, current, sent)

            WatchOutcome.TooOld -> {
                reload(current, clock.now())
                true
            }

            WatchOutcome.Unavailable -> false
        }
    }

    /**
     * Waits until everything that was in the state service when this was called has been passed on; false: that could
     * not be established. Callers that wait at the same time share one request, and requests are at least
     * [FRESHNESS_SPACING] apart.
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
                val pause = FRESHNESS_SPACING - (clock.now() - lastFreshnessRound)
                if (pause.isPositive()) delay(pause)
                lastFreshnessRound = clock.now()
                runFreshnessRound()
            }
        } finally {
            freshnessRoundsRunning = false
        }
    }

    private suspend fun runFreshnessRound() {
        // Whoever asks after the request was sent is served by the next round.
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
     * Like [awaitFreshness], for a leader: sends a request of its own at once, with the priority of lease renewals.
     * What a leader knows ages with the time since the last success.
     */
    public suspend fun checkFreshness(): Boolean = readChanges(RequestPriority.LEADERSHIP)

    private suspend fun readChanges(priority: RequestPriority): Boolean {
        val current = revision ?: return false
        val sent = clock.now()
        return when (val outcome = client.watch(Keys.ALL, current, Duration.ZERO, priority)) {
            is WatchOutcome.Changes -> apply(outcome, current, sent)
            WatchOutcome.TooOld -> reload(current, sent)
            WatchOutcome.Unavailable -> false
        }
    }

    /**
     * Lists everything again, unless another call has done so since [compacted] turned out to be too old. [sent]: when
     * the caller's first request was sent. False: this call did not load anything.
     */
    private suspend fun reload(compacted: Revision?, sent: MonotonicInstant): Boolean = reloadMutex.withLock {
        if (revision != compacted) return false
        // Responses that are still under way continue the old revision: they must not be applied to the new listing.
        revision = null
        val listing = listOpen() ?: return false
        log.info("store loaded entries={} revision={}", listing.entries.size, listing.revision)
        revision = listing.revision
        listener.snapshot(listing.entries, listing.revision)
        listener.freshAsOf(sent)
        return true
    }

    private class Listing(val entries: List<Entry>, val revision: Revision)

    private suspend fun listOpen(): Listing? {
        val entries = ArrayList<Entry>()
        var firstRevision: Revision? = null
        var after: String? = null
        do {
            val page = client.list(Keys.OPEN, after) ?: return null
            // Later pages may hold later changes; following from the first page's revision brings each of them again.
            if (firstRevision == null) firstRevision = page.revision
            entries.addAll(page.entries)
            after = page.entries.lastOrNull()?.key
        } while (page.more && after != null)
        return firstRevision?.let { Listing(entries, it) }
    }

    /**
     * Passes on the response to a request for the changes after [asked] that was sent at [sent]. False: the response is
     * unusable. A reload may have gone back to before [asked]: the changes in between are then in no response to that
     * request (`docs/incidents/reload-race.md`). And a consistent store never answers with an older revision than the
     * one that it was asked to continue.
     */
    private fun apply(response: WatchOutcome.Changes, asked: Revision, sent: MonotonicInstant): Boolean {
        val known = revision ?: return false
        if (asked > known) return false
        if (response.revision < asked) {
            log.error("state answer older than known asked={} answered={}", asked, response.revision)
            return false
        }
        // A watch and a freshness check may bring the same changes: each is passed on once.
        if (response.revision > known) {
            revision = response.revision
            val unseen = response.changes.filter { it.version > known }.sortedBy { it.version }
            listener.changed(unseen, response.revision)
        }
        listener.freshAsOf(sent)
        return true
    }

    private companion object {
        /** How long a watch without changes blocks. */
        val WATCH_WAIT = 10.seconds
        val RETRY_DELAY = 300.milliseconds
        val FRESHNESS_SPACING = 120.milliseconds
    }
}
