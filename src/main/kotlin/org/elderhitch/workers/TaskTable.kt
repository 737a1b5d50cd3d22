package org.elderhitch.workers

import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.TaskId
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The leader's table: the open jobs, the workers that report, and which task is where. */
internal class TaskTable(private val clock: SteadyClock) {
    /** Told when a task that was seen on a machine is gone from it without having completed. */
    var onLost: (JobState, Placement) -> Unit = { _, _ -> }

    val jobs = LinkedHashMap<JobId, JobState>()
    val workers = HashMap<MachineId, WorkerState>()

    /**
     * What the tasks of jobs took that ended lately, and when: in every role, since a new leader may find some that nobody has told to
     * stop. Without it they counted for nothing, and their team used more than its limit.
     */
    private val departed = LinkedHashMap<JobId, Pair<JobSpec, Moment>>()

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
        jobs.values.filter { it.ended }.forEach(::depart)
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
        if (job.ended && job.placements.isEmpty()) depart(job)
        dirty = true
    }

    private fun depart(job: JobState) {
        jobs.remove(job.id)
        val now = clock.now()
        departed[job.id] = job.spec to now
        val ended = departed.values.iterator()
        while (ended.hasNext() && now - ended.next().second > DEPARTED_KEPT) ended.remove()
    }

    /** What a task takes of a job that ended lately; null: it is not known. */
    fun departed(id: JobId): JobSpec? = departed[id]?.first

    fun end(job: JobState) {
        job.ended = true
        for (p in job.placements.values.toList()) stop(job, p, Duration.ZERO)
        if (job.placements.isEmpty()) depart(job)
    }

    fun loseAll(worker: WorkerState) {
        for (p in worker.placements.values.toList()) {
            jobs[p.task.job]?.let { remove(it, p) }
        }
        worker.placements.clear()
        worker.changed()
        worker.tasks = emptyList()
    }

    private companion object {
        /** Longer than tasks of a cancelled job may be anywhere (`cancel_s`). One that is found later counts as a whole machine. */
        val DEPARTED_KEPT = 120.seconds
    }
}
