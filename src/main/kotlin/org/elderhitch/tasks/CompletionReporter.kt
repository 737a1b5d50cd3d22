package org.elderhitch.tasks

import org.elderhitch.jobs.CompletionBatch
import org.elderhitch.jobs.JobAccount
import org.elderhitch.jobs.JobId
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.scheduler.SchedulerPorts
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallClock
import kotlin.time.Duration.Companion.seconds

/** Records completed tasks in the state service. At most one write, of one batch per job, is in progress at a time. */
internal class CompletionReporter(
    private val table: TaskTable,
    private val clock: SteadyClock,
    private val wallClock: WallClock,
    private val ports: SchedulerPorts,
) {
    private var writeInProgress = false
    private var lastPartialWriteAt = MonotonicInstant.NEVER

    fun resetForNewTerm() {
        writeInProgress = false
    }

    /** The resource usage account of [job]; a lower bound if tasks of it may have run in an earlier term. */
    fun account(leadership: LeadershipState.Leader, job: JobState): JobAccount =
        job.usage.account(job, clock.now(), wallClock.now(), isLowerBound = job.version <= leadership.termRevision)

    /** Starts the next write, unless one is in progress or there is nothing to record. */
    fun record(leadership: LeadershipState.Leader) {
        if (writeInProgress) return
        val now = clock.now()
        // Partial progress is recorded only at intervals, because each write replaces whole blocks. A job whose last
        // task has completed is recorded immediately.
        val includePartialProgress = now - lastPartialWriteAt > PARTIAL_WRITE_INTERVAL
        val batches = jobsToRecord(includePartialProgress).map { toBatch(leadership, it) }
        if (batches.isEmpty()) return
        writeInProgress = true
        if (includePartialProgress) lastPartialWriteAt = now
        ports.recordCompletions(leadership, batches)
    }

    private fun jobsToRecord(includePartialProgress: Boolean): List<JobState> {
        val unrecorded = table.jobs.values.filter {
            !it.isTerminal && it.completed.count > it.recorded.count && (includePartialProgress || it.completed.allDone)
        }
        // A provider packs the completions of many jobs into one write, so the limit on batches doesn't apply to its
        // jobs. They are recorded only once all their tasks have completed.
        val providerOwned =
            if (includePartialProgress) unrecorded.filter { it.providerOwned && it.completed.allDone } else emptyList()
        return unrecorded.filter { !it.providerOwned }.take(MAX_BATCHES_PER_WRITE) + providerOwned
    }

    private fun toBatch(leadership: LeadershipState.Leader, job: JobState) = CompletionBatch(
        job.id,
        job.version,
        job.completed,
        job.completed.missingIn(job.recorded),
        if (job.completed.allDone) account(leadership, job) else null,
        job.storedHold != null,
        job.blockVersions,
        job.providerOwned,
    )

    /** Handles the end of a write. [recorded]: the tasks that it recorded, by job. */
    fun onRecorded(recorded: Map<JobId, List<Int>>) {
        writeInProgress = false
        for ((id, tasks) in recorded) {
            val job = table.jobs[id] ?: continue
            tasks.forEach { job.recorded.add(it) }
        }
    }

    private companion object {
        const val MAX_BATCHES_PER_WRITE = 64
        val PARTIAL_WRITE_INTERVAL = 1.seconds
    }
}
