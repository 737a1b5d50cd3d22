package org.elderhitch.drmaa

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.features.FeatureContext
import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.jobs.TerminalState
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.store.Change
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Keys
import org.elderhitch.store.ReadOutcome
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StoredKey
import org.elderhitch.store.Write
import org.elderhitch.time.WallTime
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds

/**
 * The leader's part: held jobs whose time has come are submitted, results that nobody took for too long are let go,
 * sessions that nobody
 * uses are closed, and what closed sessions leave is dropped. One session a minute, in the last rank of the write rate.
 */
public class Housekeeping(
    context: FeatureContext,
    private val sessionRegistry: SessionRegistry,
    private val sessions: Sessions,
    private val submissions: Submissions,
    private val loader: SessionLoader,
    private val reaper: Reaper,
    private val settings: DrmaaSettings,
    private val txnOps: Int,
) {
    private val log = LoggerFactory.getLogger("elderhitch.drmaa")
    private val scope = context.scope
    private val client = context.client
    private val wallClock = context.wallClock
    private var running: Job? = null
    private var leadership: LeadershipState.Leader? = null

    /** Results that were let go in this term. */
    public var letGo: Int = 0
        private set

    public fun begin(leadership: LeadershipState.Leader) {
        end()
        this.leadership = leadership
        running = scope.launch {
            var seconds = 0
            while (true) {
                delay(1.seconds)
                submissions.startDue(wallClock.now())
                if (++seconds % SWEEP_EVERY == 0) sweep(leadership)
            }
        }
    }

    public fun end() {
        running?.cancel()
        running = null
        leadership = null
    }

    private var cursor: SessionName? = null

    private suspend fun sweep(leadership: LeadershipState.Leader) {
        val all = sessionRegistry.sessions().toSortedMap()
        val next = all.keys.firstOrNull { name -> cursor.let { it == null || name > it } } ?: all.keys.firstOrNull()
        cursor = next
        if (next != null) look(leadership, next, all.getValue(next))
        closed(leadership)
    }

    private fun guard(leadership: LeadershipState.Leader) = Condition(Keys.TERM, leadership.termRevision)

    private suspend fun look(leadership: LeadershipState.Leader, session: SessionName, record: SessionRecord) {
        val now = wallClock.now()
        if (now - record.used > settings.keepSessions) {
            sessions.close(session, "unused", listOf(guard(leadership)))
            return
        }
        // Nothing of a younger session can be old enough, and most are: they cost no read.
        if (now - record.opened <= settings.keepResults || !loader.load(session)) return
        forget(session, now)
        overdue(session, now)
    }

    /** Results that nobody took in time are marked as taken by nobody: whoever asks is told that they are gone. */
    private suspend fun forget(session: SessionName, now: WallTime) {
        val untaken = sessionRegistry.look(session) { it.state.untaken().take(MOST_A_SWEEP).toList() }.orEmpty()
        for ((key, results) in untaken.groupBy { it.block }) {
            val old = results.filter { result -> endOf(result)?.let { now - it > settings.keepResults } ?: false }
            if (old.isEmpty()) continue
            if (reaper.take(key, old, null, RequestPriority.OTHER) !is Reaped.Taken) return
            letGo += old.size
            log.info("results let go session={} count={} first={}", session, old.size, old.first())
        }
    }

    private suspend fun endOf(result: ResultName): WallTime? =
        (client.read(Keys.terminalRecord(result.job.id), RequestPriority.OTHER) as? ReadOutcome.Found)?.let {
            TerminalRecord.decode(it.entry.value)?.account?.end
        }

    /** A job that its user holds for ever would be kept for ever. */
    private suspend fun overdue(session: SessionName, now: WallTime) {
        for ((name, held) in sessionRegistry.heldJobs().filter {
            it.key.session == session &&
                it.value.byUser &&
                now - it.value.since > settings.keepSessions
        }) {
            try {
                if (submissions.end(name, held)) log.info("held job let go job={} held_since={}", name, held.since)
            } catch (e: Refused) {
                log.info("held job not let go job={} reason=\"{}\"", name, e.reason)
            }
        }
    }

    private var closedCursor: String? = null

    /**
     * What closed sessions left, one at a time: first all that hangs on them, and after a while the word that they were
     * closed.
     */
    private suspend fun closed(leadership: LeadershipState.Leader) {
        val page = client.list(DrmaaKeys.ALL_CLOSED, closedCursor) ?: return
        val entry = page.entries.firstOrNull()
        closedCursor = entry?.key
        val session = entry?.let { DrmaaKeys.closedOf(it.key) } ?: return
        val at = try {
            WallTime(entry.value.long("at"))
        } catch (e: MalformedJson) {
            log.error("closed session malformed key={} reason=\"{}\"", entry.key, e.message)
            return
        }
        val taken = client.list(ReapKey.prefix(session), null) ?: return
        val blocks = client.list(Keys.completedTasksPrefix("${JobName.PREFIX}$session-"), null) ?: return
        taken.entries.chunked(txnOps).forEach { chunk -> drop(leadership, chunk.map { Condition(it.key, it.version) }) }
        blocks.entries.mapNotNull {
            (Keys.parse(it.key) as? StoredKey.CompletedTasks)?.id
        }.distinct().mapNotNull(JobName::parse).forEach { dropBlocks(leadership, it) }
        if (taken.entries.isEmpty() && wallClock.now() - at > KEEP_CLOSED) {
            drop(leadership, listOf(Condition(entry.key, entry.version)))
        }
    }

    private suspend fun drop(leadership: LeadershipState.Leader, keys: List<Condition>): CommitOutcome =
        client.commit(listOf(guard(leadership)) + keys, keys.map { Write.Drop(it.key) }, RequestPriority.OTHER)

    /**
     * The finished blocks of a bulk job stay when it is withdrawn, since its ending doesn't say which members had
     * completed; they
     * go when it is done, or its session is closed.
     */
    public fun changed(changes: List<Change>) {
        val leadership = leadership ?: return
        for (change in changes) {
            val end = ((change as? Change.Put)?.let { Keys.parse(it.key) } as? StoredKey.TerminalRecord) ?: continue
            val name = JobName.parse(end.id)?.takeIf { it.members != null } ?: continue
            if (TerminalRecord.decode(change.entry.value)?.state != TerminalState.DONE) continue
            scope.launch { dropBlocks(leadership, name) }
        }
    }

    private suspend fun dropBlocks(leadership: LeadershipState.Leader, name: JobName) {
        val written = client.list(Keys.completedTasksPrefix("$name/"), null) ?: return
        for (chunk in written.entries.chunked(txnOps)) {
            client.commit(
                listOf(guard(leadership), Condition(Keys.job(name.id), Revision.ABSENT)),
                chunk.map { Write.Drop(it.key) },
                RequestPriority.OTHER,
            )
        }
    }

    internal companion object {
        const val SWEEP_EVERY = 60
        const val MOST_A_SWEEP = CompletedTasks.BLOCK
        val KEEP_CLOSED = 30.days
    }
}
