package org.elderhitch.drmaa

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import org.elderhitch.actor.Actor
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.TeamName
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.Revision
import org.elderhitch.store.StoredKey
import org.elderhitch.time.WallTime
import org.slf4j.LoggerFactory

/** A session as recorded in the state service. [used]: the last use, to within an hour. */
public data class SessionRecord(val team: TeamName, val opened: WallTime, val used: WallTime, val version: Revision) {
    public fun encode(): Map<String, Any?> = linkedMapOf("team" to team.text, "opened" to opened.ms, "used" to used.ms)

    public companion object {
        public fun decode(value: JsonObject, version: Revision): SessionRecord? = try {
            SessionRecord(
                TeamName(value.string("team")),
                WallTime(value.long("opened")),
                WallTime(value.long("used")),
                version,
            )
        } catch (_: MalformedJson) {
            null
        }
    }
}

/** A job that is recorded but not submitted until its user releases it or [startAt] has come. */
public class HeldJob(
    public val body: JsonObject,
    public val byUser: Boolean,
    public val startAt: WallTime?,
    public val since: WallTime,
    public val version: Revision,
) {
    public companion object {
        public fun decode(value: JsonObject, version: Revision): HeldJob? = try {
            HeldJob(
                value.requireObject("job"),
                value.boolean("user"),
                value.longOrNull("start")?.let(::WallTime),
                WallTime(value.long("since")),
                version,
            )
        } catch (_: MalformedJson) {
            null
        }
    }
}

public sealed interface RegistryMessage {
    public class Snapshot(public val entries: List<Entry>) : RegistryMessage
    public class Changed(public val changes: List<Change>) : RegistryMessage

    /** What [SessionLoader] read of a session; [epoch] is the registry's epoch before the read. */
    public class Loaded(
        public val session: SessionName,
        public val epoch: Int,
        public val endings: List<Pair<JobName, TerminalRecord>>,
        public val blocks: List<Pair<ReapKey, ReapBlock>>,
    ) : RegistryMessage

    /** A job that this node submitted, made known ahead of the state service's change feed. */
    public class Submitted(public val job: JobName) : RegistryMessage

    /** A block as this node wrote or read it, made known ahead of the state service's change feed. */
    public class ResultsTaken(public val key: ReapKey, public val block: ReapBlock) : RegistryMessage

    /** Runs [query] within the actor, to read a session or to claim its results; replies null if it is not open. */
    public class Query<T>(
        public val session: SessionName,
        public val reply: CompletableDeferred<T?>,
        public val query: (SessionView) -> T,
    ) : RegistryMessage {
        internal fun answer(view: SessionView?) {
            reply.complete(view?.let(query))
        }
    }

    /** Gives up a request's claim to a result. */
    public class Unclaim(public val result: ResultName) : RegistryMessage

    /** Completes [signal] at the session's next change. */
    public class AddWaiter(public val session: SessionName, public val signal: CompletableDeferred<Unit>) :
        RegistryMessage
    public class RemoveWaiter(public val session: SessionName, public val signal: CompletableDeferred<Unit>) :
        RegistryMessage

    public class Sessions(public val reply: CompletableDeferred<Map<SessionName, SessionRecord>>) : RegistryMessage
    public class HeldJobs(public val reply: CompletableDeferred<Map<JobName, HeldJob>>) : RegistryMessage
}

/** A session as seen by [SessionRegistry.query]; only to be used within the query. */
public class SessionView internal constructor(
    public val record: SessionRecord,
    public val state: SessionState,
    /** Whether its terminal records and taken results are known on this node, not just its open jobs. */
    public val loaded: Boolean,
    private val held: Map<JobName, HeldJob>,
) {
    public fun held(job: JobName): HeldJob? = held[job]

    public fun heldJobs(): List<JobName> = held.keys.filter { it.session == state.name }

    /** Each client's highest job number, held jobs included; bounds what "all jobs so far" means. */
    public fun highestNumbers(): Map<ClientTag, Int> = state.highestNumbers().toMutableMap().apply {
        heldJobs().forEach { merge(it.tag, it.number, ::maxOf) }
    }

    public fun heldCount(sessions: Set<SessionName>): Int = held.keys.count { it.session in sessions }
}

/**
 * Follows the state service's change feed: of all sessions the records, open jobs and held jobs, and of those used on
 * this node also terminal records and taken results.
 */
public class SessionRegistry(scope: CoroutineScope) : Actor<RegistryMessage>(scope) {
    private val log = LoggerFactory.getLogger("elderhitch.drmaa")
    private val records = HashMap<SessionName, SessionRecord>()
    private val states = HashMap<SessionName, SessionState>()
    private val loaded = HashSet<SessionName>()
    private val held = LinkedHashMap<JobName, HeldJob>()
    private val waiters = HashMap<SessionName, LinkedHashSet<CompletableDeferred<Unit>>>()

    /** Counts snapshots, each of which follows a gap in the feed: a list read across a gap may lack its changes. */
    public var epoch: Int = 0
        private set

    /** Sessions that are loaded on this node. */
    public val loadedCount: Int get() = loaded.size

    /** All open sessions. */
    public val open: Int get() = records.size

    override fun receive(message: RegistryMessage) {
        when (message) {
            is RegistryMessage.Snapshot -> onSnapshot(message.entries)

            is RegistryMessage.Changed -> message.changes.forEach(::onChange)

            is RegistryMessage.Loaded -> onLoaded(message)

            is RegistryMessage.Submitted -> state(message.job.session).markOpened(message.job)

            is RegistryMessage.ResultsTaken -> onResultsTaken(message.key, message.block)

            is RegistryMessage.Query<*> -> message.answer(
                records[message.session]?.let {
                    SessionView(
                        it,
                        state(message.session),
                        message.session in loaded,
                        held,
                    )
                },
            )

            is RegistryMessage.Unclaim -> {
                states[message.result.job.session]?.unclaim(message.result)
                notifyWaiters(message.result.job.session)
            }

            is RegistryMessage.AddWaiter -> waiters.getOrPut(message.session) { LinkedHashSet() }.add(message.signal)

            is RegistryMessage.RemoveWaiter -> waiters[message.session]?.let {
                it.remove(message.signal)
                if (it.isEmpty()) waiters.remove(message.session)
            }

            is RegistryMessage.Sessions -> message.reply.complete(HashMap(records))

            is RegistryMessage.HeldJobs -> message.reply.complete(LinkedHashMap(held))
        }
    }

    private fun state(session: SessionName) = states.getOrPut(session) { SessionState(session) }

    private fun onSnapshot(entries: List<Entry>) {
        // A snapshot holds no terminal records or taken results, so each session is loaded again when it is next used.
        epoch++
        records.clear()
        states.clear()
        loaded.clear()
        held.clear()
        entries.sortedBy { if (Keys.parse(it.key) is StoredKey.Job) 0 else 1 }.forEach { put(it, fromSnapshot = true) }
        notifyAllWaiters()
    }

    private fun onChange(change: Change) {
        when (change) {
            is Change.Put -> put(change.entry, fromSnapshot = false)
            is Change.Drop -> onDropped(change.key)
        }
    }

    private fun onDropped(key: String) {
        DrmaaKeys.sessionOf(key)?.let { session ->
            records.remove(session)
            states.remove(session)
            loaded.remove(session)
            notifyWaiters(session)
        }
        DrmaaKeys.heldOf(key)?.let { job ->
            held.remove(job)
            notifyWaiters(job.session)
        }
    }

    private fun put(entry: Entry, fromSnapshot: Boolean) {
        val key = entry.key
        DrmaaKeys.sessionOf(key)?.let { return putSession(it, entry, fromSnapshot) }
        DrmaaKeys.heldOf(key)?.let { return putHeld(it, entry) }
        ReapKey.parse(key)?.let { return putTakenBlock(it, entry) }
        when (val subject = Keys.parse(key)) {
            is StoredKey.Job -> JobName.parse(subject.id)?.let { state(it.session).markOpened(it) }

            is StoredKey.CompletedTasks -> JobName.parse(subject.id)?.let { putCompleted(it, subject.block, entry) }

            is StoredKey.TerminalRecord -> JobName.parse(subject.id)?.let { job ->
                TerminalRecord.decode(entry.value)?.let { onEnded(job, it) }
            }

            else -> Unit
        }
    }

    private fun putSession(session: SessionName, entry: Entry, fromSnapshot: Boolean) {
        val record = SessionRecord.decode(entry.value, entry.version)
        if (record == null) return log.error("session malformed key={}", entry.key)
        // A session that has just been opened has nothing to load.
        if (!fromSnapshot && session !in records) loaded.add(session)
        records[session] = record
    }

    private fun putHeld(job: JobName, entry: Entry) {
        val record = HeldJob.decode(entry.value, entry.version)
        if (record == null) return log.error("held job malformed key={}", entry.key)
        held[job] = record
    }

    private fun putTakenBlock(reap: ReapKey, entry: Entry) {
        // Sessions that are not loaded read their taken blocks when they are loaded.
        if (reap.session !in loaded) return
        val block = ReapBlock.decode(entry.value, entry.version)
        if (block == null) return log.error("taken results malformed key={}", entry.key)
        onResultsTaken(reap, block)
    }

    private fun putCompleted(job: JobName, block: Int, entry: Entry) {
        val value = entry.value.raw("f") as? String ?: return
        if (job.members == null) return
        if (!state(job.session).addCompleted(job, block, value)) log.error("finished block malformed key={}", entry.key)
        notifyWaiters(job.session)
    }

    private fun onEnded(job: JobName, record: TerminalRecord) {
        // Also for sessions that are not loaded: otherwise the job would still count as open.
        state(job.session).markEnded(job, record.state)
        notifyWaiters(job.session)
    }

    private fun onResultsTaken(key: ReapKey, block: ReapBlock) {
        state(key.session).updateBlock(key, block)
        notifyWaiters(key.session)
    }

    private fun onLoaded(message: RegistryMessage.Loaded) {
        if (message.session !in records || message.epoch != epoch) return
        val state = state(message.session)
        message.endings.forEach { (job, record) -> state.markEnded(job, record.state) }
        message.blocks.forEach { (key, block) -> state.updateBlock(key, block) }
        loaded.add(message.session)
    }

    private fun notifyWaiters(session: SessionName) {
        waiters.remove(session)?.forEach { it.complete(Unit) }
    }

    private fun notifyAllWaiters() {
        waiters.keys.toList().forEach(::notifyWaiters)
    }

    /** Runs [query] on the session; null if it is not open. */
    public suspend fun <T> query(session: SessionName, query: (SessionView) -> T): T? {
        val reply = CompletableDeferred<T?>()
        tell(RegistryMessage.Query(session, reply, query))
        return reply.await()
    }

    public suspend fun sessions(): Map<SessionName, SessionRecord> =
        CompletableDeferred<Map<SessionName, SessionRecord>>().also {
            tell(RegistryMessage.Sessions(it))
        }.await()

    public suspend fun heldJobs(): Map<JobName, HeldJob> = CompletableDeferred<Map<JobName, HeldJob>>().also {
        tell(RegistryMessage.HeldJobs(it))
    }.await()

    internal companion object {
        fun jobOf(endKey: String): JobName? =
            (Keys.parse(endKey) as? StoredKey.TerminalRecord)?.id?.let { id: JobId -> JobName.parse(id) }
    }
}
