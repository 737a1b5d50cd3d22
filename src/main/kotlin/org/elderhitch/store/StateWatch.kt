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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the state service holds under [Keys.OPEN], all at once, and then each change under [Keys.ALL] in order. */
public interface StateWatchListener {
    public fun snapshot(entries: List<Entry>, revision: Revision)

    public fun changed(changes: List<Change>, revision: Revision)

    /**
     * All that the state service held at [since] has been passed on before this is called; [since] is when the request
     * that proves it was sent.
     */
    public fun proven(since: MonotonicInstant) {}
}

/**
 * Follows the state service. Blocking watches bring news; [sync] proves that nothing is missing: it asks for all
 * changes
 * up to now, so an answer given after it is no older than any answer that any node gave before it.
 */
public class StateWatch(
    private val scope: CoroutineScope,
    private val client: StateClient,
    private val clock: SteadyClock,
    private val listener: StateWatchListener,
) {
    private val log = LoggerFactory.getLogger("elderhitch.store")
    private val loading = Mutex()

    /** Null: not loaded, or the thread was lost and all is being read again. */
    private var revision: Revision? = null
    private var waiting = ArrayList<CompletableDeferred<Boolean>>()
    private var syncing = false
    private var syncedAt = MonotonicInstant.NEVER

    public val loaded: Boolean get() = revision != null

    public fun start() {
        scope.launch {
            while (true) {
                val at = revision
                val sent = clock.now()
                if (at == null) {
                    if (!load(null, sent)) delay(RETRY)
                    continue
                }
                when (val outcome = client.watch(Keys.ALL, at, WAIT, RequestPriority.LEADERSHIP)) {
                    is WatchOutcome.Changes -> if (!apply(outcome, at, sent)) delay(RETRY)
                    WatchOutcome.TooOld -> load(at, clock.now())
                    WatchOutcome.Unavailable -> delay(RETRY)
                }
            }
        }
    }

    /** True once everything that was in the state service when this was called is known here; false: can't tell. */
    public suspend fun sync(): Boolean {
        if (revision == null) return false
        val answer = CompletableDeferred<Boolean>()
        waiting.add(answer)
        if (!syncing) {
            syncing = true
            scope.launch { syncRounds() }
        }
        return answer.await()
    }

    private suspend fun syncRounds() {
        try {
            while (waiting.isNotEmpty()) {
                val pause = SPACING - (clock.now() - syncedAt)
                if (pause.isPositive()) delay(pause)
                syncedAt = clock.now()
                // Whoever asks after the request was sent needs the next one.
                val served = waiting
                waiting = ArrayList()
                var fresh = false
                try {
                    fresh = syncOnce(RequestPriority.END)
                } finally {
                    served.forEach { it.complete(fresh) }
                }
            }
        } finally {
            syncing = false
        }
    }

    /** A [sync] that waits for nobody else's, and comes before all but renewals: for whoever leads. */
    public suspend fun prove(): Boolean = syncOnce(RequestPriority.LEADERSHIP)

    private suspend fun syncOnce(purpose: RequestPriority): Boolean {
        val at = revision ?: return false
        val sent = clock.now()
        return when (val outcome = client.watch(Keys.ALL, at, kotlin.time.Duration.ZERO, purpose)) {
            is WatchOutcome.Changes -> apply(outcome, at, sent)
            WatchOutcome.TooOld -> load(at, sent)
            WatchOutcome.Unavailable -> false
        }
    }

    /**
     * Reads all again, unless that was done since the thread was lost at [lost]. False: it wasn't read by this call.
     */
    private suspend fun load(lost: Revision?, sent: MonotonicInstant): Boolean = loading.withLock {
        if (revision != lost) return false
        // Answers that are still on their way belong to the thread that was lost: they must not join what is read now.
        revision = null
        val entries = ArrayList<Entry>()
        var first: Revision? = null
        var after: String? = null
        while (true) {
            val page = client.list(Keys.OPEN, after) ?: return false
            // Later pages may hold later changes; following from the first page's revision brings each of them again.
            if (first == null) first = page.revision
            entries.addAll(page.entries)
            after = page.entries.lastOrNull()?.key
            if (!page.more || after == null) break
        }
        val from = first ?: return false
        log.info("store loaded entries={} revision={}", entries.size, from)
        revision = from
        listener.snapshot(entries, from)
        listener.proven(sent)
        return true
    }

    /**
     * Takes in the answer to a request for what changed after [asked], which was sent at [sent]. False: it tells
     * nothing. A reload may have gone back to before
     * [asked]: what lies between is in no answer to that request (`docs/incidents/reload-race.md`). And an answer older
     * than what was known when it was asked for is none of a consistent store.
     */
    private fun apply(news: WatchOutcome.Changes, asked: Revision, sent: MonotonicInstant): Boolean {
        val known = revision ?: return false
        if (asked > known) return false
        if (news.revision < asked) {
            log.error("state answer older than known asked={} answered={}", asked, news.revision)
            return false
        }
        // A watch and a sync may bring the same changes: each is passed on once.
        if (news.revision > known) {
            revision = news.revision
            listener.changed(news.changes.filter { it.version > known }.sortedBy { it.version }, news.revision)
        }
        listener.proven(sent)
        return true
    }

    private companion object {
        val WAIT = 10.seconds
        val RETRY = 300.milliseconds
        val SPACING = 120.milliseconds
    }
}
