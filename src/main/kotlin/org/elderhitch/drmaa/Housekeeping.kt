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
 * Periodic work of the leader: submits held jobs whose start time has come, expires old results, closes unused sessions
 * and deletes the data of closed ones. Cleans one session a minute, at the lowest write priority except when it closes
 * a session or ends a held job.
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

    /** Results that this node has expired as the leader. */
    public var expiredResults: Int = 0
        private set

    public fun start(leadership: LeadershipState.Leader) {
        stop()
        this.leadership = leadership
        running = scope.launch {
            var seconds = 0
            while (true) {
                delay(1.seconds)
                submissions.startDue(wallClock.now())
                if (++seconds % CLEAN_INTERVAL_S == 0) cleanNext(leadership)
            }
        }
    }

    public fun stop() {
        running?.cancel()
        running = null
        leadership = null
    }

    private var cursor: SessionName? = null

    private suspend fun cleanNext(leadership: LeadershipState.Leader) {
        val all = sessionRegistry.sessions().toSortedMap()
        val session = all.keys.firstOrNull { name -> cursor.let { it == null || name > it } } ?: all.keys.firstOrNull()
        cursor = session
        if (session != null) cleanSession(leadership, session, all.getValue(session))
        cleanClosed(leadership)
    }

    private fun termCondition(leadership: LeadershipState.Leader) = Condition(Keys.TERM, leadership.termRevision)

    private suspend fun cleanSession(leadership: LeadershipState.Leader, session: SessionName, record: SessionRecord) {
        val now = wallClock.now()
        if (now - record.used > settings.keepSessions) {
            sessions.close(session, "unused", listOf(termCondition(leadership)))
            return
        }
        // A session younger than the retention period, as most are, has nothing to expire: skip it without a read.
        if (now - record.opened <= settings.keepResults || !loader.load(session)) return
        expireResults(session, now)
        expireHeldJobs(session, now)
    }

    /** Marks old results as taken, by no request: later waits for them fail as for any result that was taken. */
    private suspend fun expireResults(session: SessionName, now: WallTime) {
        val ended = sessionRegistry.query(session) {
            it.state.endedResults().take(MAX_EXPIRED_PER_PASS).toList()
        }.orEmpty()
        for ((key, results) in ended.groupBy { it.block }) {
            val expired = results.filter { result -> endTime(result)?.let { now - it > settings.keepResults } ?: false }
            if (expired.isEmpty()) continue
            if (reaper.take(key, expired, null, RequestPriority.OTHER) !is Reaped.Taken) return
            expiredResults += expired.size
            log.info("results let go session={} count={} first={}", session, expired.size, expired.first())
        }
    }

    private suspend fun endTime(result: ResultName): WallTime? =
        (client.read(Keys.terminalRecord(result.job.id), RequestPriority.OTHER) as? ReadOutcome.Found)?.let {
            TerminalRecord.decode(it.entry.value)?.account?.end
        }

    /** Ends jobs that have been on user hold for too long, which would otherwise be kept for ever. */
    private suspend fun expireHeldJobs(session: SessionName, now: WallTime) {
        for ((name, held) in sessionRegistry.heldJobs().filter {
            it.key.session == session &&
                it.value.byUser &&
                now - it.value.since > settings.keepSessions
        }) {
            try {
                if (submissions.cancel(name, held)) log.info("held job let go job={} held_since={}", name, held.since)
            } catch (e: Refused) {
                log.info("held job not let go job={} reason=\"{}\"", name, e.reason)
            }
        }
    }

    private var closedCursor: String? = null

    /**
     * Deletes the data of one closed session: first its taken blocks and recorded completions, and after
     * [CLOSED_RETENTION] the record that it was closed.
     */
    private suspend fun cleanClosed(leadership: LeadershipState.Leader) {
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
        taken.entries.chunked(txnOps).forEach { chunk ->
            deleteKeys(leadership, chunk.map { Condition(it.key, it.version) })
        }
        blocks.entries.mapNotNull {
            (Keys.parse(it.key) as? StoredKey.CompletedTasks)?.id
        }.distinct().mapNotNull(JobName::parse).forEach { deleteCompletedBlocks(leadership, it) }
        if (taken.entries.isEmpty() && wallClock.now() - at > CLOSED_RETENTION) {
            deleteKeys(leadership, listOf(Condition(entry.key, entry.version)))
        }
    }

    private suspend fun deleteKeys(leadership: LeadershipState.Leader, keys: List<Condition>): CommitOutcome =
        client.commit(listOf(termCondition(leadership)) + keys, keys.map { Write.Drop(it.key) }, RequestPriority.OTHER)

    /**
     * Deletes the completed-task blocks of bulk jobs that are done. Those of a cancelled bulk job stay until its
     * session is closed, since its terminal record doesn't say which members had completed.
     */
    public fun onChanges(changes: List<Change>) {
        val leadership = leadership ?: return
        for (change in changes) {
            val end = ((change as? Change.Put)?.let { Keys.parse(it.key) } as? StoredKey.TerminalRecord) ?: continue
            val name = JobName.parse(end.id)?.takeIf { it.members != null } ?: continue
            if (TerminalRecord.decode(change.entry.value)?.state != TerminalState.DONE) continue
            scope.launch { deleteCompletedBlocks(leadership, name) }
        }
    }

    private suspend fun deleteCompletedBlocks(leadership: LeadershipState.Leader, name: JobName) {
        val written = client.list(Keys.completedTasksPrefix("$name/"), null) ?: return
        for (chunk in written.entries.chunked(txnOps)) {
            client.commit(
                listOf(termCondition(leadership), Condition(Keys.job(name.id), Revision.ABSENT)),
                chunk.map { Write.Drop(it.key) },
                RequestPriority.OTHER,
            )
        }
    }

    internal companion object {
        const val CLEAN_INTERVAL_S = 60
        const val MAX_EXPIRED_PER_PASS = CompletedTasks.BLOCK_SIZE
        val CLOSED_RETENTION = 30.days
    }
}
