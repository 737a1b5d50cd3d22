package org.elderhitch.store

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the state service holds under [Keys.OPEN], all at once, and then each change under [Keys.ALL] in order. */
public interface FeedListener {
    public fun snapshot(entries: List<Entry>, revision: Revision)

    public fun changed(changes: List<Change>, revision: Revision)
}

/**
 * Follows the state service. Blocking watches bring news; [sync] proves that nothing is missing: it asks for all changes
 * up to now, so an answer given after it is no older than any answer that any node gave before it.
 */
public class Feed(
    private val scope: CoroutineScope,
    private val client: StateClient,
    private val clock: SteadyClock,
    private val listener: FeedListener,
) {
    private val log = LoggerFactory.getLogger("elderhitch.store")
    private var revision: Revision? = null
    private var waiting = ArrayList<CompletableDeferred<Boolean>>()
    private var syncing = false
    private var syncedAt = Moment.NEVER

    public val loaded: Boolean get() = revision != null

    public fun start() {
        scope.launch {
            while (true) {
                val at = revision
                if (at == null) {
                    if (!load()) delay(RETRY)
                    continue
                }
                when (val outcome = client.watch(Keys.ALL, at, WAIT, Purpose.LEADERSHIP)) {
                    is WatchOutcome.Changes -> apply(outcome)
                    WatchOutcome.TooOld -> load()
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
                    fresh = syncOnce()
                } finally {
                    served.forEach { it.complete(fresh) }
                }
            }
        } finally {
            syncing = false
        }
    }

    private suspend fun syncOnce(): Boolean {
        val at = revision ?: return false
        return when (val outcome = client.watch(Keys.ALL, at, kotlin.time.Duration.ZERO, Purpose.END)) {
            is WatchOutcome.Changes -> {
                apply(outcome)
                true
            }
            WatchOutcome.TooOld -> load()
            WatchOutcome.Unavailable -> false
        }
    }

    private suspend fun load(): Boolean {
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
        return true
    }

    private fun apply(news: WatchOutcome.Changes) {
        // A watch and a sync may bring the same changes: each is passed on once.
        val known = revision ?: return
        if (news.revision <= known) return
        revision = news.revision
        val fresh = news.changes.filter { it.version > known }.sortedBy { it.version }
        listener.changed(fresh, news.revision)
    }

    private companion object {
        val WAIT = 10.seconds
        val RETRY = 300.milliseconds
        val SPACING = 120.milliseconds
    }
}
