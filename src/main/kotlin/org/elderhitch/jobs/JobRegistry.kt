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
 * The actor that mirrors the open jobs of the state service and caches the terminal records of ended jobs. An ended job
 * is never reopened, in whatever order the watch, this node's own writes and other controllers report changes.
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

    /** Ids that no job has. Users request them repeatedly, and without the cache each lookup would read the store. */
    private val absentJobs: Cache<JobId, Unit> =
        Caffeine.newBuilder().maximumSize(MAX_CACHED_ABSENT).executor(Runnable::run).build()

    /** The number of snapshots received; see [JobLookup.Unknown]. */
    private var epoch = 0

    /**
     * All changes up to this revision have been received. A write of this node that is reported only after the watch
     * has passed its revision is ignored: it contains nothing new, and its state may be outdated.
     */
    private var receivedUpTo = Revision.ABSENT

    /** The estimated memory that the open jobs occupy in this process. */
    public var footprint: Footprint = Footprint.NONE
        private set

    override fun receive(message: JobMessage) {
        when (message) {
            is JobMessage.Snapshot -> applySnapshot(message.entries, message.revision)
            is JobMessage.Changed -> applyChanges(message.changes)
            is JobMessage.Lookup -> message.reply.complete(lookup(message.id))
            is JobMessage.Recorded -> if (message.version > receivedUpTo) open(message.spec, message.version)
            is JobMessage.TerminalStateRecorded -> endJob(message.id, message.record)
            is JobMessage.TerminalStateReceived -> endJobIfOpen(message.id, message.record)
            is JobMessage.AbsenceConfirmed -> confirmAbsence(message.id, message.epoch)
            is JobMessage.FreshnessConfirmed -> onEvent(JobEvent.FreshnessConfirmed(message.since))
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

    private fun confirmAbsence(id: JobId, lookupEpoch: Int) {
        if (lookupEpoch == epoch && lookup(id) is JobLookup.Unknown) absentJobs.put(id, Unit)
    }

    private fun applySnapshot(entries: List<Entry>, revision: Revision) {
        // A job that was submitted and ended since the last message does not appear in the listing.
        epoch++
        receivedUpTo = revision
        absentJobs.invalidateAll()
        val listedIds = entries.mapNotNull { (Keys.parse(it.key) as? StoredKey.Job)?.id }.toSet()
        // How these jobs ended is not known here; requests about them read their terminal records.
        openJobs.values.filter { it.spec.id !in listedIds && it.version <= revision }.forEach { removeJob(it.spec.id) }
        val heldIds = entries.mapNotNull { (Keys.parse(it.key) as? StoredKey.JobHold)?.id }.toSet()
        openJobs.values.filter { it.storedHold != null && it.spec.id !in heldIds }.forEach { setHold(it.spec.id, null) }
        entries.sortedBy { if (Keys.parse(it.key) is StoredKey.Job) 0 else 1 }.forEach(::applyEntry)
    }

    private fun applyChanges(changes: List<Change>) {
        changes.forEach(::applyChange)
        changes.maxOfOrNull { it.version }?.let { receivedUpTo = maxOf(receivedUpTo, it) }
    }

    private fun applyChange(change: Change) {
        when (change) {
            is Change.Put -> applyEntry(change.entry)

            is Change.Drop -> when (val key = Keys.parse(change.key)) {
                is StoredKey.Job -> removeJob(key.id)
                is StoredKey.JobHold -> setHold(key.id, null)
                else -> Unit
            }
        }
    }

    private fun applyEntry(entry: Entry) {
        when (val key = Keys.parse(entry.key)) {
            is StoredKey.Job -> applyJob(key.id, entry)
            is StoredKey.TerminalRecord -> applyTerminalRecord(key.id, entry)
            is StoredKey.CompletedTasks -> applyCompletedTasks(key, entry)
            is StoredKey.JobHold -> applyHold(key.id, entry)
            else -> Unit
        }
    }

    private fun applyJob(id: JobId, entry: Entry) {
        try {
            open(JobCodec.decodeStored(entry.value), entry.version)
        } catch (e: MalformedJson) {
            log.error("job record malformed job={} reason=\"{}\"", id, e.message)
        }
    }

    private fun applyTerminalRecord(id: JobId, entry: Entry) {
        val record = TerminalRecord.decode(entry.value)
        if (record == null) {
            // The job does not stay open and is not started again, since the same transaction dropped its record.
            // Requests about it are answered with the advice to retry later.
            log.error("terminal record malformed key={}", entry.key)
        } else {
            endJob(id, record)
        }
    }

    private fun applyCompletedTasks(key: StoredKey.CompletedTasks, entry: Entry) {
        val job = openJobs[key.id] ?: return
        val packed = entry.value.raw(PACKED_TASKS) as? String ?: return
        if (job.completedTasks.unpack(key.block, packed)) {
            onEvent(JobEvent.TasksCompleted(key.id, job.completedTasks, key.block, entry.version))
        } else {
            log.error("completed tasks malformed key={}", entry.key)
        }
    }

    private fun applyHold(id: JobId, entry: Entry) {
        val hold = JobHold.decode(entry.value, entry.version)
        if (hold == null) {
            log.error("hold malformed key={}", entry.key)
        } else {
            setHold(id, hold)
        }
    }

    private fun open(spec: JobSpec, version: Revision) {
        absentJobs.invalidate(spec.id)
        // A job's record is written only once, so a repeated record changes nothing; an ended job is never reopened.
        if (spec.id in openJobs || endedJobs.getIfPresent(spec.id) != null) return
        openJobs[spec.id] = OpenJob(spec, version)
        footprint += Footprint.of(spec)
        onEvent(JobEvent.Opened(spec, version))
    }

    private fun endJobIfOpen(id: JobId, record: TerminalRecord) {
        if (id in openJobs) {
            endJob(id, record)
        } else if (endedJobs.getIfPresent(id) == null) {
            log.info("terminal state ignored job={} reason=\"not open here\"", id)
        }
    }

    private fun endJob(id: JobId, record: TerminalRecord) {
        absentJobs.invalidate(id)
        endedJobs.put(id, record)
        removeJob(id)
    }

    private fun removeJob(id: JobId) {
        val job = openJobs.remove(id) ?: return
        footprint -= Footprint.of(job.spec)
        onEvent(JobEvent.Ended(id))
    }

    private fun setHold(id: JobId, storedHold: JobHold?) {
        val job = openJobs[id] ?: return
        if (job.storedHold == storedHold) return
        job.storedHold = storedHold
        onEvent(JobEvent.HoldChanged(id, storedHold))
    }

    internal companion object {
        /** The field of a stored block that contains its completed tasks. */
        const val PACKED_TASKS = "f"
        private const val MAX_CACHED_ENDED = 20_000L
        private const val MAX_CACHED_ABSENT = 5_000L
    }
}
