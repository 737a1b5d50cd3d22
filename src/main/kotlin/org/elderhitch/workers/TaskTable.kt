package org.elderhitch.workers

import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TaskId
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration

/** The leader's table: the open jobs, the workers that report, and which task is where. */
internal class TaskTable(private val clock: SteadyClock) {
    /** Told when a task that was seen on a machine is gone from it without having completed. */
    var onLost: (JobState, Placement) -> Unit = { _, _ -> }

    val jobs = LinkedHashMap<JobId, JobState>()
    val workers = HashMap<MachineId, WorkerState>()

    /** Workers with a start or a stop that they have not been sent. */
    val undelivered = LinkedHashSet<WorkerState>()

    /** Something changed that a round could make use of. */
    var dirty = true

    /** A new term starts from nothing but the jobs: what runs where is for the workers to say. */
    fun newTerm() {
        workers.clear()
        undelivered.clear()
        for (job in jobs.values) {
            job.placements.clear()
            job.tally = Tally()
            job.done.addAll(job.finished)
            job.gang.reset()
        }
        jobs.values.removeAll { it.ended }
        dirty = true
    }

    fun place(job: JobState, task: TaskId, attempt: Attempt, worker: WorkerState, certainty: Certainty, sendBy: Moment, sendFrom: Moment = Moment.NEVER): Placement {
        val placement = Placement(task, attempt, worker, certainty, sendBy, sendFrom)
        job.placements[task.index] = placement
        worker.placements[task] = placement
        worker.changed()
        if (certainty == Certainty.ASSIGNED) undelivered.add(worker)
        if (certainty == Certainty.REPORTED) job.tally.seenStarting(clock.now())
        return placement
    }

    fun stop(job: JobState, placement: Placement, grace: Duration) {
        if (placement.certainty == Certainty.ASSIGNED) {
            remove(job, placement)
        } else if (placement.stop.let { it == null || grace < it }) {
            placement.stop = grace
            placement.worker.changed()
            undelivered.add(placement.worker)
        }
    }

    fun remove(job: JobState, placement: Placement) {
        if (job.placements[placement.task.index] === placement) job.placements.remove(placement.task.index)
        if (!placement.counted) onLost(job, placement)
        placement.worker.placements.remove(placement.task)
        placement.worker.changed()
        if (placement.worker.placements.isEmpty()) placement.worker.idleSince = clock.now()
        if (job.isGang) job.gang.lost(membersLeft = job.placements.isNotEmpty())
        if (job.ended && job.placements.isEmpty()) jobs.remove(job.id)
        dirty = true
    }

    fun end(job: JobState) {
        job.ended = true
        for (p in job.placements.values.toList()) stop(job, p, Duration.ZERO)
        if (job.placements.isEmpty()) jobs.remove(job.id)
    }

    fun loseAll(worker: WorkerState) {
        for (p in worker.placements.values.toList()) {
            jobs[p.task.job]?.let { remove(it, p) }
        }
        worker.placements.clear()
        worker.changed()
        worker.tasks = emptyList()
    }
}
