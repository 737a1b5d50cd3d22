package org.elderhitch.jobs

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import org.elderhitch.actor.Actor
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.Revision
import org.elderhitch.store.Subject
import org.elderhitch.time.Moment
import org.slf4j.LoggerFactory

/** How a job ended, as its own key keeps it for ever. [account]: null in endings that were written before there were accounts. */
public data class EndRecord(val how: Ending, val done: Int, val account: Account? = null) {
    public fun encode(): Map<String, Any?> =
        linkedMapOf<String, Any?>("end" to how.name.lowercase(), "done" to done).apply {
            account?.let { put("acct", it.encode()) }
        }

    public fun standing(): Standing = Standing.ended(how, done)

    public companion object {
        /** Null for a value that this program did not write. */
        public fun decode(value: JsonObject): EndRecord? = try {
            Ending.entries.firstOrNull { it.name.lowercase() == value.string("end") }
                ?.let { EndRecord(it, value.count("done").toInt(), value.objectOrNull("acct")?.let(Account::decode)) }
        } catch (_: MalformedJson) {
            null
        }
    }
}

/** What is known here of a job. */
public sealed interface Known {
    /** [epoch] counts the gaps in what was followed: what is read elsewhere holds on only within one. */
    public data class Nothing(val epoch: Int) : Known

    /** The state service said so, and nothing that happened since says otherwise. */
    public data object Absent : Known

    /** [version] is that of the job's record: its place in the order of jobs. */
    public data class Open(
        val spec: JobSpec,
        val version: Revision,
        val standing: Standing,
        val holdKey: Hold? = null,
    ) : Known {
        /** Null: it may be started. */
        public val hold: Hold? get() = holdKey?.effective
    }

    public data class Ended(val record: EndRecord) : Known
}

public sealed interface JobMessage {
    /** All that was listed; what was recorded after [revision] may be missing. */
    public data class Snapshot(val entries: List<Entry>, val revision: Revision) : JobMessage
    public data class Changed(val changes: List<Change>) : JobMessage
    public data class Lookup(val id: JobId, val reply: CompletableDeferred<Known>) : JobMessage

    /** This node itself wrote the record or the ending: known before the feed brings it. */
    public data class Recorded(val spec: JobSpec, val version: Revision) : JobMessage
    public data class EndedHere(val id: JobId, val record: EndRecord) : JobMessage

    /** Another controller says that it has recorded the ending. */
    public data class EndedElsewhere(val id: JobId, val record: EndRecord) : JobMessage

    /** The state service knows neither a record nor an ending, read after [Known.Nothing] was answered. */
    public data class AbsentHere(val id: JobId, val epoch: Int) : JobMessage

    /** How many tasks of each job run; the leader's word, for display. */
    public data class Running(val counts: Map<JobId, Int>) : JobMessage

    /** All that was recorded at [since] has been told before. */
    public data class Proven(val since: Moment) : JobMessage
}

/** What happens to jobs, for the leader's table. */
public sealed interface JobEvent {
    /** [kept]: by a [JobKeeper], which records it as a whole and not by its tasks. */
    public data class Opened(val spec: JobSpec, val version: Revision, val kept: Boolean = false) : JobEvent
    public data class Finished(val id: JobId, val tasks: FinishedTasks, val block: Int, val version: Revision) :
        JobEvent
    public data class Ended(val id: JobId) : JobEvent

    /** [key]: what stands under the key of the job's hold; null: nothing does. */
    public data class Held(val id: JobId, val key: Hold?) : JobEvent

    /** Nothing that had happened to any job at [since], on this node's clock, is missing from the events before this one. */
    public data class Proven(val since: Moment) : JobEvent
}

/** The open jobs, and a bounded memory of ended ones; the state service remembers the rest. */
public class JobBook(scope: CoroutineScope, private val onEvent: (JobEvent) -> Unit) : Actor<JobMessage>(scope) {
    private class OpenJob(val spec: JobSpec, val version: Revision) {
        val finished = FinishedTasks(spec.tasks)
        var running = 0
        var hold: Hold? = null
    }

    private val log = LoggerFactory.getLogger("elderhitch.jobs")
    private val open = HashMap<JobId, OpenJob>()
    private val ended: Cache<JobId, EndRecord> = Caffeine.newBuilder().maximumSize(
        REMEMBERED,
    ).executor(Runnable::run).build()

    /** Users ask again and again for jobs that nobody submitted; each question read the state service. */
    private val absent: Cache<JobId, Unit> = Caffeine.newBuilder().maximumSize(
        REMEMBERED_ABSENT,
    ).executor(Runnable::run).build()
    private var epoch = 0

    /** What was recorded up to then has been told here: who records a job late hears nothing new of it, and perhaps less than there was. */
    private var toldUpTo = Revision.ABSENT

    /** What the open jobs take of this process's memory. */
    public var footprint: Footprint = Footprint.NONE
        private set

    override fun receive(message: JobMessage) {
        when (message) {
            is JobMessage.Snapshot -> snapshot(message.entries, message.revision)

            is JobMessage.Changed -> {
                message.changes.forEach(::changed)
                message.changes.maxOfOrNull { it.version }?.let { toldUpTo = maxOf(toldUpTo, it) }
            }

            is JobMessage.Lookup -> message.reply.complete(lookup(message.id))

            is JobMessage.Recorded -> if (message.version > toldUpTo) opened(message.spec, message.version)

            is JobMessage.EndedHere -> ended(message.id, message.record)

            is JobMessage.EndedElsewhere -> if (message.id in open) {
                ended(message.id, message.record)
            } else if (ended.getIfPresent(message.id) == null) {
                log.info("ending ignored job={} reason=\"not open here\"", message.id)
            }

            is JobMessage.AbsentHere -> if (message.epoch == epoch &&
                lookup(message.id) is Known.Nothing
            ) {
                absent.put(message.id, Unit)
            }

            is JobMessage.Proven -> onEvent(JobEvent.Proven(message.since))

            is JobMessage.Running -> open.forEach { (id, job) -> job.running = message.counts[id] ?: 0 }
        }
    }

    private fun lookup(id: JobId): Known {
        ended.getIfPresent(id)?.let { return Known.Ended(it) }
        val job = open[id] ?: return if (absent.getIfPresent(id) != null) Known.Absent else Known.Nothing(epoch)
        return Known.Open(job.spec, job.version, Standing.open(job.finished.count, job.running), job.hold)
    }

    private fun snapshot(entries: List<Entry>, revision: Revision) {
        // What began and ended since the last news is in no list.
        epoch++
        toldUpTo = revision
        absent.invalidateAll()
        val present = entries.mapNotNull { (Keys.subject(it.key) as? Subject.Job)?.id }.toSet()
        // How these ended is not known here; whoever asks is answered from their own keys.
        open.values.filter { it.spec.id !in present && it.version <= revision }.forEach { gone(it.spec.id) }
        val held = entries.mapNotNull { (Keys.subject(it.key) as? Subject.Hold)?.id }.toSet()
        open.values.filter { it.hold != null && it.spec.id !in held }.forEach { hold(it.spec.id, null) }
        entries.sortedBy { if (Keys.subject(it.key) is Subject.Job) 0 else 1 }.forEach(::put)
    }

    private fun changed(change: Change) {
        when (change) {
            is Change.Put -> put(change.entry)

            is Change.Drop -> when (val subject = Keys.subject(change.key)) {
                is Subject.Job -> gone(subject.id)
                is Subject.Hold -> hold(subject.id, null)
                else -> Unit
            }
        }
    }

    private fun put(entry: Entry) {
        when (val subject = Keys.subject(entry.key)) {
            is Subject.Job -> try {
                opened(JobCodec.decode(entry.value), entry.version)
            } catch (e: MalformedJson) {
                log.error("job record malformed job={} reason=\"{}\"", subject.id, e.message)
            }

            // Its job is neither open nor started again: the same transaction dropped its record. Whoever asks is told to ask later.
            is Subject.End -> EndRecord.decode(entry.value)?.let { ended(subject.id, it) }
                ?: log.error("ending malformed key={}", entry.key)

            is Subject.Finished -> finished(subject, entry)

            is Subject.Hold -> Hold.decode(entry.value, entry.version)?.let { hold(subject.id, it) }
                ?: log.error("hold malformed key={}", entry.key)

            else -> Unit
        }
    }

    private fun opened(spec: JobSpec, version: Revision) {
        absent.invalidate(spec.id)
        // The record is written once, so a second sight of it changes nothing; and an ended job never opens again.
        if (spec.id in open || ended.getIfPresent(spec.id) != null) return
        open[spec.id] = OpenJob(spec, version)
        footprint += Footprint.of(spec)
        onEvent(JobEvent.Opened(spec, version))
    }

    private fun finished(subject: Subject.Finished, entry: Entry) {
        val job = open[subject.id] ?: return
        val value = entry.value.raw("f") as? String ?: return
        if (job.finished.unpack(subject.block, value)) {
            onEvent(JobEvent.Finished(subject.id, job.finished, subject.block, entry.version))
        } else {
            log.error("finished block malformed key={}", entry.key)
        }
    }

    private fun ended(id: JobId, record: EndRecord) {
        absent.invalidate(id)
        ended.put(id, record)
        gone(id)
    }

    private fun hold(id: JobId, hold: Hold?) {
        val job = open[id] ?: return
        if (job.hold == hold) return
        job.hold = hold
        onEvent(JobEvent.Held(id, hold))
    }

    private fun gone(id: JobId) {
        val job = open.remove(id) ?: return
        footprint -= Footprint.of(job.spec)
        onEvent(JobEvent.Ended(id))
    }

    private companion object {
        const val REMEMBERED = 20_000L
        const val REMEMBERED_ABSENT = 5_000L
    }
}
