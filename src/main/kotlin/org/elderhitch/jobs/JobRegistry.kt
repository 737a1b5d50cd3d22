package org.elderhitch.jobs

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine
import kotlinx.coroutines.CoroutineScope
import org.elderhitch.actor.Actor
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.Revision
import org.elderhitch.store.StoredKey
import org.slf4j.LoggerFactory

/** The open jobs, and a bounded memory of ended ones; the state service remembers the rest. */
public class JobRegistry(scope: CoroutineScope, private val onEvent: (JobEvent) -> Unit) : Actor<JobMessage>(scope) {
    private class OpenJob(val spec: JobSpec, val version: Revision) {
        val finished = CompletedTasks(spec.tasks)
        var running = 0
        var hold: JobHold? = null
    }

    private val log = LoggerFactory.getLogger("elderhitch.jobs")
    private val open = HashMap<JobId, OpenJob>()
    private val ended: Cache<JobId, TerminalRecord> = Caffeine.newBuilder().maximumSize(
        REMEMBERED,
    ).executor(Runnable::run).build()

    /** Users ask again and again for jobs that nobody submitted; each question read the state service. */
    private val absent: Cache<JobId, Unit> = Caffeine.newBuilder().maximumSize(
        REMEMBERED_ABSENT,
    ).executor(Runnable::run).build()
    private var epoch = 0

    /**
     * What was recorded up to then has been told here: who records a job late hears nothing new of it, and perhaps less
     * than there was.
     */
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

            is JobMessage.TerminalStateRecorded -> ended(message.id, message.record)

            is JobMessage.TerminalStateReceived -> if (message.id in open) {
                ended(message.id, message.record)
            } else if (ended.getIfPresent(message.id) == null) {
                log.info("ending ignored job={} reason=\"not open here\"", message.id)
            }

            is JobMessage.AbsenceConfirmed -> if (message.epoch == epoch &&
                lookup(message.id) is JobLookup.Unknown
            ) {
                absent.put(message.id, Unit)
            }

            is JobMessage.FreshAsOf -> onEvent(JobEvent.FreshAsOf(message.since))

            is JobMessage.RunningCounts -> open.forEach { (id, job) -> job.running = message.counts[id] ?: 0 }
        }
    }

    private fun lookup(id: JobId): JobLookup {
        ended.getIfPresent(id)?.let { return JobLookup.Ended(it) }
        val job = open[id] ?: return if (absent.getIfPresent(id) != null) JobLookup.Absent else JobLookup.Unknown(epoch)
        return JobLookup.Open(job.spec, job.version, JobStatus.open(job.finished.count, job.running), job.hold)
    }

    private fun snapshot(entries: List<Entry>, revision: Revision) {
        // What began and ended since the last news is in no list.
        epoch++
        toldUpTo = revision
        absent.invalidateAll()
        val present = entries.mapNotNull { (Keys.subject(it.key) as? StoredKey.Job)?.id }.toSet()
        // How these ended is not known here; whoever asks is answered from their own keys.
        open.values.filter { it.spec.id !in present && it.version <= revision }.forEach { gone(it.spec.id) }
        val held = entries.mapNotNull { (Keys.subject(it.key) as? StoredKey.JobHold)?.id }.toSet()
        open.values.filter { it.hold != null && it.spec.id !in held }.forEach { hold(it.spec.id, null) }
        entries.sortedBy { if (Keys.subject(it.key) is StoredKey.Job) 0 else 1 }.forEach(::put)
    }

    private fun changed(change: Change) {
        when (change) {
            is Change.Put -> put(change.entry)

            is Change.Drop -> when (val subject = Keys.subject(change.key)) {
                is StoredKey.Job -> gone(subject.id)
                is StoredKey.JobHold -> hold(subject.id, null)
                else -> Unit
            }
        }
    }

    private fun put(entry: Entry) {
        when (val subject = Keys.subject(entry.key)) {
            is StoredKey.Job -> try {
                opened(JobCodec.decode(entry.value), entry.version)
            } catch (e: MalformedJson) {
                log.error("job record malformed job={} reason=\"{}\"", subject.id, e.message)
            }

            // Its job is neither open nor started again: the same transaction dropped its record. Whoever asks is told
            // to ask later.
            is StoredKey.TerminalRecord -> TerminalRecord.decode(entry.value)?.let { ended(subject.id, it) }
                ?: log.error("ending malformed key={}", entry.key)

            is StoredKey.CompletedTasks -> finished(subject, entry)

            is StoredKey.JobHold -> JobHold.decode(entry.value, entry.version)?.let { hold(subject.id, it) }
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

    private fun finished(subject: StoredKey.CompletedTasks, entry: Entry) {
        val job = open[subject.id] ?: return
        val value = entry.value.raw("f") as? String ?: return
        if (job.finished.unpack(subject.block, value)) {
            onEvent(JobEvent.TasksCompleted(subject.id, job.finished, subject.block, entry.version))
        } else {
            log.error("finished block malformed key={}", entry.key)
        }
    }

    private fun ended(id: JobId, record: TerminalRecord) {
        absent.invalidate(id)
        ended.put(id, record)
        gone(id)
    }

    private fun hold(id: JobId, hold: JobHold?) {
        val job = open[id] ?: return
        if (job.hold == hold) return
        job.hold = hold
        onEvent(JobEvent.HoldChanged(id, hold))
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
