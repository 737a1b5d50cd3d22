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

/** A session as the state service keeps it. [used]: to within the hour. */
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

/** A job that is recorded and not submitted yet: until its user releases it, or until [startAt]. */
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
                value.obj("job"),
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

public sealed interface BookMessage {
    public class Snapshot(public val entries: List<Entry>) : BookMessage
    public class Changed(public val changes: List<Change>) : BookMessage

    /** What the lists said that were read for a session that had not been used here. */
    public class Loaded(
        public val session: SessionName,
        public val epoch: Int,
        public val endings: List<Pair<JobName, TerminalRecord>>,
        public val blocks: List<Pair<ReapKey, ReapBlock>>,
    ) : BookMessage

    /** This node itself submitted it: counted before the feed brings it. */
    public class Submitted(public val job: JobName) : BookMessage

    /** This node itself took results away: known before the feed brings it. */
    public class Took(public val key: ReapKey, public val block: ReapBlock) : BookMessage

    /** Reads, and claims, within one session. The look has no business beyond it. */
    public class Look<T>(
        public val session: SessionName,
        public val reply: CompletableDeferred<T?>,
        public val look: (SessionView) -> T,
    ) : BookMessage {
        internal fun answer(view: SessionView?) {
            reply.complete(view?.let(look))
        }
    }

    /** Others may take the result that a request had claimed. */
    public class Unclaim(public val result: ResultName) : BookMessage

    /** Woken at the next thing that happens in the session. */
    public class Await(public val session: SessionName, public val woken: CompletableDeferred<Unit>) : BookMessage
    public class Done(public val session: SessionName, public val woken: CompletableDeferred<Unit>) : BookMessage

    public class Sessions(public val reply: CompletableDeferred<Map<SessionName, SessionRecord>>) : BookMessage
    public class HeldJobs(public val reply: CompletableDeferred<Map<JobName, HeldJob>>) : BookMessage
}

/** One session, as those see it that serve a request. */
public class SessionView internal constructor(
    public val record: SessionRecord,
    public val state: SessionState,
    /** Its endings and taken results are known here, not just its open jobs. */
    public val loaded: Boolean,
    private val held: Map<JobName, HeldJob>,
) {
    public fun held(job: JobName): HeldJob? = held[job]

    public fun heldJobs(): List<JobName> = held.keys.filter { it.session == state.name }

    /** The highest number of each client, held jobs included: what "all jobs so far" are. */
    public fun upTo(): Map<ClientTag, Int> = state.upTo().toMutableMap().apply {
        heldJobs().forEach { merge(it.tag, it.number, ::maxOf) }
    }

    public fun heldOfTeam(sessions: Set<SessionName>): Int = held.keys.count { it.session in sessions }
}

/**
 * Follows what the state service says of all sessions: records, open and held jobs; and of those in use here, endings
 * and what was taken.
 */
public class SessionRegistry(scope: CoroutineScope) : Actor<BookMessage>(scope) {
    private val log = LoggerFactory.getLogger("elderhitch.drmaa")
    private val records = HashMap<SessionName, SessionRecord>()
    private val states = HashMap<SessionName, SessionState>()
    private val loaded = HashSet<SessionName>()
    private val held = LinkedHashMap<JobName, HeldJob>()
    private val waiting = HashMap<SessionName, LinkedHashSet<CompletableDeferred<Unit>>>()

    /** Counts the gaps in what was followed: lists that were read across one may miss what happened in it. */
    public var epoch: Int = 0
        private set

    /** Sessions in use here, and all: for /status. */
    public val inUse: Int get() = loaded.size
    public val open: Int get() = records.size

    override fun receive(message: BookMessage) {
        when (message) {
            is BookMessage.Snapshot -> snapshot(message.entries)

            is BookMessage.Changed -> message.changes.forEach(::changed)

            is BookMessage.Loaded -> loaded(message)

            is BookMessage.Submitted -> state(message.job.session).opened(message.job)

            is BookMessage.Took -> took(message.key, message.block)

            is BookMessage.Look<*> -> message.answer(
                records[message.session]?.let {
                    SessionView(
                        it,
                        state(message.session),
                        message.session in loaded,
                        held,
                    )
                },
            )

            is BookMessage.Unclaim -> {
                states[message.result.job.session]?.unclaim(message.result)
                wake(message.result.job.session)
            }

            is BookMessage.Await -> waiting.getOrPut(message.session) { LinkedHashSet() }.add(message.woken)

            is BookMessage.Done -> waiting[message.session]?.let {
                it.remove(message.woken)
                if (it.isEmpty()) waiting.remove(message.session)
            }

            is BookMessage.Sessions -> message.reply.complete(HashMap(records))

            is BookMessage.HeldJobs -> message.reply.complete(LinkedHashMap(held))
        }
    }

    private fun state(session: SessionName) = states.getOrPut(session) { SessionState(session) }

    private fun snapshot(entries: List<Entry>) {
        // What ended, and what was taken, since the last news is in no list: each session is read again when it is next
        // used.
        epoch++
        records.clear()
        states.clear()
        loaded.clear()
        held.clear()
        entries.sortedBy { if (Keys.parse(it.key) is StoredKey.Job) 0 else 1 }.forEach { put(it, listed = true) }
        wakeAll()
    }

    private fun changed(change: Change) {
        when (change) {
            is Change.Put -> put(change.entry, listed = false)
            is Change.Drop -> dropped(change.key)
        }
    }

    private fun dropped(key: String) {
        DrmaaKeys.sessionOf(key)?.let { session ->
            records.remove(session)
            states.remove(session)
            loaded.remove(session)
            wake(session)
        }
        DrmaaKeys.heldOf(key)?.let { job ->
            held.remove(job)
            wake(job.session)
        }
    }

    private fun put(entry: Entry, listed: Boolean) {
        val key = entry.key
        DrmaaKeys.sessionOf(key)?.let { return putSession(it, entry, listed) }
        DrmaaKeys.heldOf(key)?.let { return putHeld(it, entry) }
        ReapKey.parse(key)?.let { return putTaken(it, entry) }
        when (val subject = Keys.parse(key)) {
            is StoredKey.Job -> JobName.parse(subject.id)?.let { state(it.session).opened(it) }

            is StoredKey.CompletedTasks -> JobName.parse(subject.id)?.let { putCompleted(it, subject.block, entry) }

            is StoredKey.TerminalRecord -> JobName.parse(subject.id)?.let { job ->
                TerminalRecord.decode(entry.value)?.let { ended(job, it) }
            }

            else -> Unit
        }
    }

    private fun putSession(session: SessionName, entry: Entry, listed: Boolean) {
        val record = SessionRecord.decode(entry.value, entry.version)
        if (record == null) return log.error("session malformed key={}", entry.key)
        // One that is seen being opened has nothing that would have to be read.
        if (!listed && session !in records) loaded.add(session)
        records[session] = record
    }

    private fun putHeld(job: JobName, entry: Entry) {
        val record = HeldJob.decode(entry.value, entry.version)
        if (record == null) return log.error("held job malformed key={}", entry.key)
        held[job] = record
    }

    private fun putTaken(reap: ReapKey, entry: Entry) {
        // Of sessions that nobody uses here, nothing is kept that would have to be read anyway.
        if (reap.session !in loaded) return
        val block = ReapBlock.decode(entry.value, entry.version)
        if (block == null) return log.error("taken results malformed key={}", entry.key)
        took(reap, block)
    }

    private fun putCompleted(job: JobName, block: Int, entry: Entry) {
        val value = entry.value.raw("f") as? String ?: return
        if (job.members == null) return
        if (!state(job.session).finished(job, block, value)) log.error("finished block malformed key={}", entry.key)
        wake(job.session)
    }

    private fun ended(job: JobName, record: TerminalRecord) {
        // In use or not: a job that is no longer listed as open must be known to have ended, once it is known at all.
        state(job.session).ended(job, record.state)
        wake(job.session)
    }

    private fun took(key: ReapKey, block: ReapBlock) {
        state(key.session).taken(key, block)
        wake(key.session)
    }

    private fun loaded(message: BookMessage.Loaded) {
        if (message.session !in records || message.epoch != epoch) return
        val state = state(message.session)
        message.endings.forEach { (job, record) -> state.ended(job, record.state) }
        message.blocks.forEach { (key, block) -> state.taken(key, block) }
        loaded.add(message.session)
    }

    private fun wake(session: SessionName) {
        waiting.remove(session)?.forEach { it.complete(Unit) }
    }

    private fun wakeAll() {
        waiting.keys.toList().forEach(::wake)
    }

    /** Null: no such session is open. */
    public suspend fun <T> look(session: SessionName, look: (SessionView) -> T): T? {
        val reply = CompletableDeferred<T?>()
        tell(BookMessage.Look(session, reply, look))
        return reply.await()
    }

    public suspend fun sessions(): Map<SessionName, SessionRecord> =
        CompletableDeferred<Map<SessionName, SessionRecord>>().also {
            tell(BookMessage.Sessions(it))
        }.await()

    public suspend fun heldJobs(): Map<JobName, HeldJob> = CompletableDeferred<Map<JobName, HeldJob>>().also {
        tell(BookMessage.HeldJobs(it))
    }.await()

    internal companion object {
        fun jobOf(endKey: String): JobName? =
            (Keys.parse(endKey) as? StoredKey.TerminalRecord)?.id?.let { id: JobId -> JobName.parse(id) }
    }
}
