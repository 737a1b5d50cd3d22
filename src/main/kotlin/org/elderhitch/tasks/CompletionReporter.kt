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

/** Sends completed tasks that are not recorded yet to the state service, one group of batches at a time. */
internal class CompletionReporter(
    private val table: TaskTable,
    private val clock: SteadyClock,
    private val wallClock: WallClock,
    private val ports: SchedulerPorts,
) {
    private var writeInProgress = false
    private var lastPartialWrite = MonotonicInstant.NEVER

    fun newTerm() {
        writeInProgress = false
    }

    /** The account of [job]; a lower bound if an earlier term may have run some of it. */
    fun account(leadership: LeadershipState.Leader, job: JobState): JobAccount =
        job.usage.account(job, clock.now(), wallClock.now(), lowerBound = job.version <= leadership.termRevision)

    /** Starts the next write, unless one is in progress or there is nothing to record. */
    fun record(leadership: LeadershipState.Leader) {
        if (writeInProgress) return
        val now = clock.now()
        // Completed tasks of jobs that go on are recorded at intervals, because each write replaces whole blocks. The
        // last task of a job is recorded at once.
        val includePartial = now - lastPartialWrite > PARTIAL_WRITE_INTERVAL
        val batches = dueJobs(includePartial).map { batch(leadership, it) }
        if (batches.isEmpty()) return
        writeInProgress = true
        if (includePartial) lastPartialWrite = now
        ports.recordCompletions(leadership, batches)
    }

    private fun dueJobs(includePartial: Boolean): List<JobState> {
        val unrecorded = table.jobs.values.filter {
            !it.isTerminal && it.completed.count > it.recorded.count && (includePartial || it.completed.all)
        }
        // The provider of a job packs many completions into one write, so its jobs are not limited in number, but are
        // recorded only when complete.
        val providerOwned =
            if (includePartial) unrecorded.filter { it.providerOwned && it.completed.all } else emptyList()
        return unrecorded.filter { !it.providerOwned }.take(MAX_BATCHES) + providerOwned
    }

    private fun batch(leadership: LeadershipState.Leader, job: JobState) = CompletionBatch(
        job.id,
        job.version,
        job.completed,
        job.completed.missingIn(job.recorded),
        if (job.completed.all) account(leadership, job) else null,
        job.storedHold != null,
        job.blockVersions,
        job.providerOwned,
    )

    /** The write ended; [recorded] are the tasks that it recorded, by job. */
    fun onRecorded(recorded: Map<JobId, List<Int>>) {
        writeInProgress = false
        for ((id, tasks) in recorded) {
            val job = table.jobs[id] ?: continue
            tasks.forEach { job.recorded.add(it) }
        }
    }

    private companion object {
        const val MAX_BATCHES = 64
        val PARTIAL_WRITE_INTERVAL = 1.seconds
    }
}
