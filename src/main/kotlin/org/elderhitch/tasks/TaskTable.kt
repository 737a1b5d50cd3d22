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
 * It contains the open jobs, the terminal jobs that still have placements, and the workers that sent a heartbeat in
 * this term. On a follower it contains only jobs.
 *
 * One placement of a task is the primary one ([JobState.placements]). If workers report further copies, these are
 * surplus ([JobState.surplus]) and are stopped.
 */
internal class TaskTable(
    private val clock: SteadyClock,
    /** How long [recentlyEnded] knows a job after its end: as long as one of its tasks may still be found. */
    private val endedJobRetention: Duration,
    /** Looks up an open job of a [org.elderhitch.jobs.JobProvider] that is not in the table yet. */
    private val findProviderJob: (JobId) -> JobEvent.Opened? = { null },
) {
    /** Called when a task is gone from its worker and was not accounted for as completed. */
    var onTaskLost: (JobState, Placement) -> Unit = { _, _ -> }

    /** Called when a task that this term started has completed. */
    var onTaskCompleted: (JobState, Placement) -> Unit = { _, _ -> }

    /** The table reflects all changes to jobs that were recorded before this time. */
    var upToDateAsOf = MonotonicInstant.NEVER

    /** Open jobs, and terminal jobs that still have placements, in the order in which they were opened. */
    val jobs = LinkedHashMap<JobId, JobState>()

    /** Workers that sent a heartbeat in this term. */
    val workers = HashMap<MachineId, WorkerState>()

    /**
     * Jobs that were recently removed from [jobs], oldest first. Followers maintain it too: a new leader may find tasks
     * of such jobs that were never stopped, and has to count them towards their team's quota.
     */
    private val endedJobs = LinkedHashMap<JobId, EndedJob>()

    private class EndedJob(val spec: JobSpec, val endedAt: MonotonicInstant)

    /** Workers with starts or stops that have not been sent to them yet. */
    val undelivered = LinkedHashSet<WorkerState>()

    /** Whether a change since the last scheduling cycle may allow further placements. */
    var needsCycle = true

    /** Removes all workers and placements, which a new leader learns from heartbeats. Jobs are kept. */
    fun resetForNewTerm() {
        workers.clear()
        undelivered.clear()
        for (job in jobs.values) {
            job.placements.clear()
            job.surplus = null
            job.usage = JobUsage()
            job.completed.addAll(job.recorded)
            job.gang.reset()
        }
        jobs.values.filter { it.isTerminal }.forEach(::moveToEndedJobs)
        needsCycle = true
    }

    /** Adds an open job if it is not in the table yet, and returns its state. */
    fun open(event: JobEvent.Opened): JobState = jobs.getOrPut(event.spec.id) {
        JobState(event.spec, event.version, clock.now(), event.providerOwned)
    }

    /** Applies the recorded completion of tasks. */
    fun recordCompletions(event: JobEvent.TasksCompleted) {
        val job = jobs[event.id] ?: return
        job.blockVersions += event.block to event.version
        job.recorded.addAll(event.tasks)
        job.completed.addAll(event.tasks)
    }

    /** Returns the job of a task that a worker reports, opening provider jobs on demand; null if it is not open. */
    fun findOrOpen(id: JobId): JobState? = jobs[id] ?: findProviderJob(id)?.let(::open)

    /** Adds a placement as the primary one of [task]. */
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
        placement.worker.invalidateView()
        if (placement.state == PlacementState.CONFIRMED) job.usage.recordStart(clock.now())
    }

    /** Adds a surplus copy of a task that a worker reports although the task has another placement, and stops it. */
    fun placeSurplus(job: JobState, task: TaskId, attempt: Attempt, worker: WorkerState): Placement {
        val state = PlacementState.CONFIRMED
        val placement = Placement(task, attempt, worker, state, MonotonicInstant.NEVER, MonotonicInstant.NEVER)
        addToWorker(job, placement)
        demote(job, placement)
        return placement
    }

    /** Stops a placement, or removes it if it was not sent yet. Its [grace] period can only be shortened. */
    fun stop(job: JobState, placement: Placement, grace: Duration) {
        if (placement.state == PlacementState.ASSIGNED) {
            remove(job, placement)
        } else if (placement.stopGrace.let { it == null || grace < it }) {
            placement.stopGrace = grace
            placement.worker.invalidateView()
            undelivered.add(placement.worker)
        }
    }

    /** Removes a placement whose task is no longer on the worker. A surplus copy, if any, becomes the primary one. */
    fun remove(job: JobState, placement: Placement) {
        val isPrimary = job.placements[placement.task.index] === placement
        if (isPrimary) replacePrimary(job, placement.task.index) else removeSurplus(job, placement)
        if (!placement.accounted) onTaskLost(job, placement)
        placement.worker.placements.remove(placement.task)
        placement.worker.invalidateView()
        if (placement.worker.placements.isEmpty()) placement.worker.idleSince = clock.now()
        if (job.isGang && isPrimary) job.gang.memberLost(membersLeft = job.placements.isNotEmpty())
        if (job.isTerminal && job.placements.isEmpty()) moveToEndedJobs(job)
        needsCycle = true
    }

    /** Turns a placement into a surplus copy and stops it, unless it is already being stopped and may be saving. */
    fun demote(job: JobState, placement: Placement) {
        job.placements.remove(placement.task.index, placement)
        val surplus = job.surplus ?: HashMap<Int, MutableList<Placement>>().also { job.surplus = it }
        surplus.getOrPut(placement.task.index) { ArrayList() }.add(placement)
        if (placement.stopGrace == null) stop(job, placement, Duration.ZERO)
    }

    /** Replaces the primary placement of a task, which is gone, by the first surplus copy, if any. */
    private fun replacePrimary(job: JobState, index: Int) {
        job.placements.remove(index)
        val copies = job.surplus?.get(index) ?: return
        job.placements[index] = copies.removeAt(0)
        if (copies.isEmpty()) removeSurplusEntry(job, index)
    }

    private fun removeSurplus(job: JobState, placement: Placement) {
        val copies = job.surplus?.get(placement.task.index) ?: return
        copies.remove(placement)
        if (copies.isEmpty()) removeSurplusEntry(job, placement.task.index)
    }

    private fun removeSurplusEntry(job: JobState, index: Int) {
        val surplus = job.surplus ?: return
        surplus.remove(index)
        if (surplus.isEmpty()) job.surplus = null
    }

    /** Moves a terminal job without placements from the table to [endedJobs]. */
    private fun moveToEndedJobs(job: JobState) {
        jobs.remove(job.id)
        val now = clock.now()
        endedJobs[job.id] = EndedJob(job.spec, now)
        val oldestFirst = endedJobs.values.iterator()
        while (oldestFirst.hasNext() && now - oldestFirst.next().endedAt > endedJobRetention) oldestFirst.remove()
    }

    /** The machine of each task that was sent to a worker, not counting surplus copies. */
    fun locations(): Map<TaskId, MachineId> = jobs.values
        .flatMap { it.placements.values }
        .filter { it.state != PlacementState.ASSIGNED }
        .associate { it.task to it.worker.id }

    /** Returns the specification of a job that was recently removed from [jobs]; null if there is no such job. */
    fun recentlyEnded(id: JobId): JobSpec? = endedJobs[id]?.spec

    /**
     * Whether a job that a worker reports is in a terminal state. Null if that is unknown: the job is not in the table,
     * and the table is not [complete], so it may lack recently recorded jobs.
     */
    fun isTerminal(id: JobId, complete: Boolean): Boolean? =
        findOrOpen(id)?.isTerminal ?: if (complete || id in endedJobs) true else null

    /** Applies the recorded terminal state of a job and stops all its tasks. */
    fun markTerminal(job: JobState) {
        if (!job.isTerminal) job.knownOpenAt = upToDateAsOf
        job.isTerminal = true
        for (placement in job.allPlacements().toList()) stop(job, placement, Duration.ZERO)
        if (job.placements.isEmpty()) moveToEndedJobs(job)
    }

    /** Removes all placements of a worker that is gone. */
    fun removeAllOf(worker: WorkerState) {
        for (placement in worker.placements.values.toList()) removeFrom(worker, placement)
        worker.invalidateView()
        worker.tasks = emptyList()
    }

    /** Removes what was sent to a worker whose agent epoch has ended. Unsent starts may still go to its next epoch. */
    fun removeSentTo(worker: WorkerState) {
        for (placement in worker.placements.values.toList()) {
            if (placement.state != PlacementState.ASSIGNED) removeFrom(worker, placement)
        }
        worker.invalidateView()
        worker.tasks = emptyList()
    }

    private fun removeFrom(worker: WorkerState, placement: Placement) {
        worker.placements.remove(placement.task)
        jobs[placement.task.job]?.let { remove(it, placement) }
    }
}
