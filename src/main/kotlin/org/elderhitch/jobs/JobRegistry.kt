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

/**
 * The actor that mirrors the open jobs of the state service and caches the terminal records of ended ones. An ended job
 * never opens again here, in whatever order the watch, this node's own writes and other controllers report it.
 */
public class JobRegistry(scope: CoroutineScope, private val onEvent: (JobEvent) -> Unit) : Actor<JobMessage>(scope) {
    private class OpenJob(val spec: JobSpec, val version: Revision) {
        val completedTasks = CompletedTasks(spec.tasks)
        var running = 0
        var storedHold: JobHold? = null
    }

    private val log = LoggerFactory.getLogger("elderhitch.jobs")
    private val openJobs = HashMap<JobId, OpenJob>()
    private val endedJobs: Cache<JobId, TerminalRecord> =
        Caffeine.newBuilder().maximumSize(MAX_CACHED_ENDED).executor(Runnable::run).build()

    /** Ids that no job has: users ask for them again and again, and each lookup would read the state service. */
    private val absentJobs: Cache<JobId, Unit> =
        Caffeine.newBuilder().maximumSize(MAX_CACHED_ABSENT).executor(Runnable::run).build()

    /** Counts the snapshots. */
    private var epoch = 0

    /**
     * Everything up to this revision was received. An own write that is reported later than the watch passed it brings
     * nothing new, and perhaps an outdated state.
     */
    private var receivedUpTo = Revision.ABSENT

    /** What the open jobs take of this process's memory. */
    public var footprint: Footprint = Footprint.NONE
        private set

    override fun receive(message: JobMessage) {
        when (message) {
            is JobMessage.Snapshot -> replaceBy(message.entries, message.revision)
            is JobMessage.Changed -> applyChanges(message.changes)
            is JobMessage.Lookup -> message.reply.complete(lookup(message.id))
            is JobMessage.Recorded -> if (message.version > receivedUpTo) open(message.spec, message.version)
            is JobMessage.TerminalStateRecorded -> end(message.id, message.record)
            is JobMessage.TerminalStateReceived -> endIfOpen(message.id, message.record)
            is JobMessage.AbsenceConfirmed -> confirmAbsence(message.id, message.epoch)
            is JobMessage.FreshAsOf -> onEvent(JobEvent.FreshAsOf(message.since))
            is JobMessage.RunningCounts -> openJobs.forEach { (id, job) -> job.running = message.counts[id] ?: 0 }
        }
    }

    private fun lookup(id: JobId): JobLookup {
        val record = endedJobs.getIfPresent(id)
        val job = openJobs[id]
        return when {
            record != null -> JobLookup.Ended(record)
            job != null -> JobLookup.Open(job.spec, job.version, statusOf(job), job.storedHold)
            absentJobs.getIfPresent(id) != null -> JobLookup.Absent
            else -> JobLookup.Unknown(epoch)
        }
    }

    private fun statusOf(job: OpenJob) = JobStatus.open(job.completedTasks.count, job.running)

    private fun confirmAbsence(id: JobId, askedIn: Int) {
        if (askedIn == epoch && lookup(id) is JobLookup.Unknown) absentJobs.put(id, Unit)
    }

    private fun replaceBy(entries: List<Entry>, revision: Revision) {
        // Jobs that were submitted and ended since the last message appear in no listing.
        epoch++
        receivedUpTo = revision
        absentJobs.invalidateAll()
        val listed = entries.mapNotNull { (Keys.parse(it.key) as? StoredKey.Job)?.id }.toSet()
        // How these ended is not known here: whoever asks is answered from their terminal records.
        openJobs.values.filter { it.spec.id !in listed && it.version <= revision }.forEach { close(it.spec.id) }
        val held = entries.mapNotNull { (Keys.parse(it.key) as? StoredKey.JobHold)?.id }.toSet()
        openJobs.values.filter { it.storedHold != null && it.spec.id !in held }.forEach { hold(it.spec.id, null) }
        entries.sortedBy { if (Keys.parse(it.key) is StoredKey.Job) 0 else 1 }.forEach(::put)
    }

    private fun applyChanges(changes: List<Change>) {
        changes.forEach(::applyChange)
        changes.maxOfOrNull { it.version }?.let { receivedUpTo = maxOf(receivedUpTo, it) }
    }

    private fun applyChange(change: Change) {
        when (change) {
            is Change.Put -> put(change.entry)

            is Change.Drop -> when (val key = Keys.parse(change.key)) {
                is StoredKey.Job -> close(key.id)
                is StoredKey.JobHold -> hold(key.id, null)
                else -> Unit
            }
        }
    }

    private fun put(entry: Entry) {
        when (val key = Keys.parse(entry.key)) {
            is StoredKey.Job -> putJob(key.id, entry)
            is StoredKey.TerminalRecord -> putTerminalRecord(key.id, entry)
            is StoredKey.CompletedTasks -> putCompletedTasks(key, entry)
            is StoredKey.JobHold -> putHold(key.id, entry)
            else -> Unit
        }
    }

    private fun putJob(id: JobId, entry: Entry) {
        try {
            open(JobCodec.decode(entry.value), entry.version)
        } catch (e: MalformedJson) {
            log.error("job record malformed job={} reason=\"{}\"", id, e.message)
        }
    }

    private fun putTerminalRecord(id: JobId, entry: Entry) {
        val record = TerminalRecord.decode(entry.value)
        if (record == null) {
            // The job is neither open nor started again, since the same transaction dropped its record; its users are
            // asked to try again later.
            log.error("terminal record malformed key={}", entry.key)
        } else {
            end(id, record)
        }
    }

    private fun putCompletedTasks(key: StoredKey.CompletedTasks, entry: Entry) {
        val job = openJobs[key.id] ?: return
        val packed = entry.value.raw(PACKED_TASKS) as? String ?: return
        if (job.completedTasks.unpack(key.block, packed)) {
            onEvent(JobEvent.TasksCompleted(key.id, job.completedTasks, key.block, entry.version))
        } else {
            log.error("completed tasks malformed key={}", entry.key)
        }
    }

    private fun putHold(id: JobId, entry: Entry) {
        val hold = JobHold.decode(entry.value, entry.version)
        if (hold == null) {
            log.error("hold malformed key={}", entry.key)
        } else {
            hold(id, hold)
        }
    }

    private fun open(spec: JobSpec, version: Revision) {
        absentJobs.invalidate(spec.id)
        // A record is written once, so seeing it again changes nothing; and an ended job never opens again.
        if (spec.id in openJobs || endedJobs.getIfPresent(spec.id) != null) return
        openJobs[spec.id] = OpenJob(spec, version)
        footprint += Footprint.of(spec)
        onEvent(JobEvent.Opened(spec, version))
    }

    private fun endIfOpen(id: JobId, record: TerminalRecord) {
        if (id in openJobs) {
            end(id, record)
        } else if (endedJobs.getIfPresent(id) == null) {
            log.info("terminal state ignored job={} reason=\"not open here\"", id)
        }
    }

    private fun end(id: JobId, record: TerminalRecord) {
        absentJobs.invalidate(id)
        endedJobs.put(id, record)
        close(id)
    }

    private fun close(id: JobId) {
        val job = openJobs.remove(id) ?: return
        footprint -= Footprint.of(job.spec)
        onEvent(JobEvent.Ended(id))
    }

    private fun hold(id: JobId, storedHold: JobHold?) {
        val job = openJobs[id] ?: return
        if (job.storedHold == storedHold) return
        job.storedHold = storedHold
        onEvent(JobEvent.HoldChanged(id, storedHold))
    }

    internal companion object {
        /** The field of a stored block that holds its completed tasks. */
        const val PACKED_TASKS = "f"
        private const val MAX_CACHED_ENDED = 20_000L
        private const val MAX_CACHED_ABSENT = 5_000L
    }
}
