package org.elderhitch.tasks

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.TaskId
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration

/**
 * The leader's table of jobs, workers and placements.
 *
 * It holds the open jobs, the jobs whose tasks are not all gone yet, and the workers that sent a heartbeat in this
 * term. In a follower it holds the jobs alone.
 */
internal class TaskTable(
    private val clock: SteadyClock,
    /** For how long [recentlyEnded] knows a job after its end: as long as any of its tasks may still be found. */
    private val endedJobRetention: Duration,
    /** Looks up an open job of a [org.elderhitch.jobs.JobProvider] that is not in the table yet. */
    private val findProviderJob: (JobId) -> JobEvent.Opened? = { null },
) {
    /** Called when a task is gone from its worker without having been accounted for as completed. */
    var onTaskLost: (JobState, Placement) -> Unit = { _, _ -> }

    /** Called when a task that this term started has completed. */
    var onTaskCompleted: (JobState, Placement) -> Unit = { _, _ -> }

    /** Every change to jobs that was recorded before this time is contained in the table. */
    var freshAsOf = MonotonicInstant.NEVER

    /** Open jobs, and jobs with a terminal state that still have placements, in the order of their opening. */
    val jobs = LinkedHashMap<JobId, JobState>()

    /** Workers that sent a heartbeat in this term. */
    val workers = HashMap<MachineId, WorkerState>()

    /**
     * Jobs that left the table lately, oldest first. Followers keep this too: a new leader may find tasks of such jobs
     * that were never stopped, and has to count them towards their team's quota.
     */
    private val endedJobs = LinkedHashMap<JobId, EndedJob>()

    private class EndedJob(val spec: JobSpec, val endedAt: MonotonicInstant)

    /** Workers with a start or a stop that they have not been sent. */
    val undelivered = LinkedHashSet<WorkerState>()

    /** Whether something changed that the next scheduling cycle could make use of. */
    var dirty = true

    /** Forgets workers and placements: heartbeats tell a new leader what runs where. Jobs stay. */
    fun newTerm() {
        workers.clear()
        undelivered.clear()
        for (job in jobs.values) {
            job.placements.clear()
            job.surplus = null
            job.usage = JobUsage()
            job.completed.addAll(job.recorded)
            job.gang.reset()
        }
        jobs.values.filter { it.isTerminal }.forEach(::retire)
        dirty = true
    }

    /** Adds an open job, or returns it if it is in the table already. */
    fun open(event: JobEvent.Opened): JobState = jobs.getOrPut(event.spec.id) {
        JobState(event.spec, event.version, clock.now(), event.providerOwned)
    }

    /** Completed tasks of a job were recorded. */
    fun recordCompletions(event: JobEvent.TasksCompleted) {
        val job = jobs[event.id] ?: return
        job.blockVersions += event.block to event.version
        job.recorded.addAll(event.tasks)
        job.completed.addAll(event.tasks)
    }

    /** The job that a worker's task belongs to, opened here first if a provider owns it; null: it is not open. */
    fun findOrOpen(id: JobId): JobState? = jobs[id] ?: findProviderJob(id)?.let(::open)

    /** Makes a new placement the one that counts for [task]. */
    fun place(
        job: JobState,
        task: TaskId,
        attempt: Attempt,
        worker: WorkerState,
        state: PlacementState,
        sendBy: MonotonicInstant,
        sendFrom: MonotonicInstant = MonotonicInstant.NEVER,
    ): Placement {
        val placement = Placement(task, attempt, worker, state, sendBy, sendFrom)
        job.placements[task.index] = placement
        addToWorker(job, placement)
        if (state == PlacementState.ASSIGNED) undelivered.add(worker)
        return placement
    }

    private fun addToWorker(job: JobState, placement: Placement) {
        placement.worker.placements[placement.task] = placement
        placement.worker.changed()
        if (placement.state == PlacementState.CONFIRMED) job.usage.recordStart(clock.now())
    }

    /** Adds a copy that a worker reports although another one counts, and stops it. */
    fun placeSurplus(job: JobState, task: TaskId, attempt: Attempt, worker: WorkerState): Placement {
        val state = PlacementState.CONFIRMED
        val placement = Placement(task, attempt, worker, state, MonotonicInstant.NEVER, MonotonicInstant.NEVER)
        addToWorker(job, placement)
        demote(job, placement)
        return placement
    }

    /** Stops a placement, or removes it at once if it was not sent. A [grace] can only be shortened. */
    fun stop(job: JobState, placement: Placement, grace: Duration) {
        if (placement.state == PlacementState.ASSIGNED) {
            remove(job, placement)
        } else if (placement.stopGrace.let { it == null || grace < it }) {
            placement.stopGrace = grace
            placement.worker.changed()
            undelivered.add(placement.worker)
        }
    }

    /** The task is no longer on the worker. If other copies are left, one of them counts for the task from now on. */
    fun remove(job: JobState, placement: Placement) {
        val counts = job.placements[placement.task.index] === placement
        if (counts) promote(job, placement.task.index) else removeSurplus(job, placement)
        if (!placement.accounted) onTaskLost(job, placement)
        placement.worker.placements.remove(placement.task)
        placement.worker.changed()
        if (placement.worker.placements.isEmpty()) placement.worker.idleSince = clock.now()
        if (job.isGang && counts) job.gang.memberLost(membersLeft = job.placements.isNotEmpty())
        if (job.isTerminal && job.placements.isEmpty()) retire(job)
        dirty = true
    }

    /** Makes a placement a surplus copy and stops it, unless it is being stopped already and may be saving. */
    fun demote(job: JobState, placement: Placement) {
        job.placements.remove(placement.task.index, placement)
        val surplus = job.surplus ?: HashMap<Int, MutableList<Placement>>().also { job.surplus = it }
        surplus.getOrPut(placement.task.index) { ArrayList() }.add(placement)
        if (placement.stopGrace == null) stop(job, placement, Duration.ZERO)
    }

    /** The placement of a task is gone: the first surplus copy, if any, takes its place until it is gone too. */
    private fun promote(job: JobState, index: Int) {
        job.placements.remove(index)
        val copies = job.surplus?.get(index) ?: return
        job.placements[index] = copies.removeAt(0)
        if (copies.isEmpty()) dropSurplus(job, index)
    }

    private fun removeSurplus(job: JobState, placement: Placement) {
        val copies = job.surplus?.get(placement.task.index) ?: return
        copies.remove(placement)
        if (copies.isEmpty()) dropSurplus(job, placement.task.index)
    }

    private fun dropSurplus(job: JobState, index: Int) {
        val surplus = job.surplus ?: return
        surplus.remove(index)
        if (surplus.isEmpty()) job.surplus = null
    }

    /** Moves a terminal job without placements from the table to [endedJobs]. */
    private fun retire(job: JobState) {
        jobs.remove(job.id)
        val now = clock.now()
        endedJobs[job.id] = EndedJob(job.spec, now)
        val oldestFirst = endedJobs.values.iterator()
        while (oldestFirst.hasNext() && now - oldestFirst.next().endedAt > endedJobRetention) oldestFirst.remove()
    }

    /** The machine of each task that was sent, surplus copies left out. */
    fun locations(): Map<TaskId, MachineId> = jobs.values
        .flatMap { it.placements.values }
        .filter { it.state != PlacementState.ASSIGNED }
        .associate { it.task to it.worker.id }

    /** The specification of a job that left the table lately; null: there is no such job. */
    fun recentlyEnded(id: JobId): JobSpec? = endedJobs[id]?.spec

    /**
     * Whether a job that a worker reports has a terminal state. Null: unknown, since the job is not in the table, and
     * the table is not [complete] and may lack a job that was recorded lately.
     */
    fun isTerminal(id: JobId, complete: Boolean): Boolean? =
        findOrOpen(id)?.isTerminal ?: if (complete || id in endedJobs) true else null

    /** The job's terminal state is recorded: all its tasks are stopped. */
    fun markTerminal(job: JobState) {
        if (!job.isTerminal) job.knownOpenAt = freshAsOf
        job.isTerminal = true
        for (placement in job.allPlacements().toList()) stop(job, placement, Duration.ZERO)
        if (job.placements.isEmpty()) retire(job)
    }

    /** Removes all placements of a worker that is gone. */
    fun removeAllOf(worker: WorkerState) {
        for (placement in worker.placements.values.toList()) removeFrom(worker, placement)
        worker.changed()
        worker.tasks = emptyList()
    }

    /** Removes what was sent to a worker whose agent epoch is over. Unsent starts may go to its next epoch. */
    fun removeSentTo(worker: WorkerState) {
        for (placement in worker.placements.values.toList()) {
            if (placement.state != PlacementState.ASSIGNED) removeFrom(worker, placement)
        }
        worker.changed()
        worker.tasks = emptyList()
    }

    private fun removeFrom(worker: WorkerState, placement: Placement) {
        worker.placements.remove(placement.task)
        jobs[placement.task.job]?.let { remove(it, placement) }
    }
}
