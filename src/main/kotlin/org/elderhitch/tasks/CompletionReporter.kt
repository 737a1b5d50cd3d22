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

/** Tasks that have completed and are not recorded yet, on their way to the state service: one batch at a time. */
internal class CompletionReporter(
    private val table: TaskTable,
    private val clock: SteadyClock,
    private val wallClock: WallClock,
    private val ports: SchedulerPorts,
) {
    private var recording = false
    private var lastParts = MonotonicInstant.NEVER

    fun newTerm() {
        recording = false
    }

    /** Of a job of an earlier term it is a lower bound: what that saw is not known here. */
    fun account(leadership: LeadershipState.Leader, job: JobState): JobAccount =
        job.usage.account(job, clock.now(), wallClock.now(), lowerBound = job.version <= leadership.termRevision)

    fun record(leadership: LeadershipState.Leader) {
        if (recording) return
        val now = clock.now()
        // Parts of jobs wait for each other: each rewrites whole blocks, and the end of a job waits for none of that.
        val parts = now - lastParts > PARTS_EVERY
        val news = table.jobs.values.filter { !it.isTerminal && it.completed.count > it.recorded.count && (parts || it.completed.all) }
        // Kept jobs are recorded many at a time and whole: their keeper packs them, once a scheduling cycle.
        val batches = (
            news.filter { !it.providerOwned }.take(MAX_BATCHES) +
                if (parts) news.filter { it.providerOwned && it.completed.all } else emptyList()
            )
            .map {
                CompletionBatch(
                    it.id,
                    it.version,
                    it.completed,
                    it.completed.beyond(it.recorded),
                    if (it.completed.all) account(leadership, it) else null,
                    it.storedHold != null,
                    it.blockVersions,
                    it.providerOwned,
                )
            }
        if (batches.isEmpty()) return
        recording = true
        if (parts) lastParts = now
        ports.record(leadership, batches)
    }

    fun onRecorded(finished: Map<JobId, List<Int>>) {
        recording = false
        for ((id, tasks) in finished) {
            val job = table.jobs[id] ?: continue
            tasks.forEach { job.recorded.add(it) }
        }
    }

    private companion object {
        const val MAX_BATCHES = 64
        val PARTS_EVERY = 1.seconds
    }
}
