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

/** The leader's table: the open jobs, the workers that report, and which task is where. */
internal class TaskTable(
    private val clock: SteadyClock,
    /**
     * For how long what a job's tasks took is remembered after its end. One of them that is found later counts as a
     * whole machine.
     */
    private val departedKept: Duration,
    private val keeps: (JobId) -> JobEvent.Opened? = { null },
) {
    /** Told when a task that was seen on a machine is gone from it without having completed. */
    var onTaskLost: (JobState, Placement) -> Unit = { _, _ -> }

    /** Told when a task that this term started has completed. */
    var onTaskCompleted: (JobState, Placement) -> Unit = { _, _ -> }

    /** Nothing that had happened to any job then is missing here. */
    var freshAsOf = MonotonicInstant.NEVER

    val jobs = LinkedHashMap<JobId, JobState>()
    val workers = HashMap<MachineId, WorkerState>()

    /**
     * What the tasks of jobs took that ended lately, and when: in every role, since a new leader may find some that
     * nobody has told to
     * stop. Without it they counted for nothing, and their team used more than its limit.
     */
    private val departed = LinkedHashMap<JobId, Pair<JobSpec, MonotonicInstant>>()

    /** Workers with a start or a stop that they have not been sent. */
    val undelivered = LinkedHashSet<WorkerState>()

    /** Something changed that a scheduling cycle could make use of. */
    var dirty = true

    /** A new term starts from nothing but the jobs: what runs where is for the workers to say. */
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
        jobs.values.filter { it.isTerminal }.forEach(::depart)
        dirty = true
    }

    fun open(event: JobEvent.Opened): JobState = jobs.getOrPut(event.spec.id) {
        JobState(event.spec, event.version, clock.now(), event.kept)
    }

    /** Tasks of a job that are recorded as finished. */
    fun recordCompletions(event: JobEvent.TasksCompleted) {
        val job = jobs[event.id] ?: return
        job.blockVersions += event.block to event.version
        job.recorded.addAll(event.tasks)
        job.completed.addAll(event.tasks)
    }

    /** An open job that a worker names, perhaps one that was not opened here yet; null: it has ended. */
    fun findOrOpen(id: JobId): JobState? = jobs[id] ?: keeps(id)?.let(::open)

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
        put(job, placement)
        if (state == PlacementState.ASSIGNED) undelivered.add(worker)
        return placement
    }

    private fun put(job: JobState, placement: Placement) {
        placement.worker.placements[placement.task] = placement
        placement.worker.changed()
        if (placement.state == PlacementState.CONFIRMED) job.usage.recordStart(clock.now())
    }

    /** A copy that a worker reports beside the one that counts: it is stopped, and uses room until it is gone. */
    fun placeSurplus(job: JobState, task: TaskId, attempt: Attempt, worker: WorkerState): Placement {
        val placement =
            Placement(task, attempt, worker, PlacementState.CONFIRMED, MonotonicInstant.NEVER, MonotonicInstant.NEVER)
        put(job, placement)
        demote(job, placement)
        return placement
    }

    fun stop(job: JobState, placement: Placement, grace: Duration) {
        if (placement.state == PlacementState.ASSIGNED) {
            remove(job, placement)
        } else if (placement.stopGrace.let { it == null || grace < it }) {
            placement.stopGrace = grace
            placement.worker.changed()
            undelivered.add(placement.worker)
        }
    }

    fun remove(job: JobState, placement: Placement) {
        val counts = job.placements[placement.task.index] === placement
        if (counts) promote(job, placement.task.index) else forgetSurplus(job, placement)
        if (!placement.accounted) onTaskLost(job, placement)
        placement.worker.placements.remove(placement.task)
        placement.worker.changed()
        if (placement.worker.placements.isEmpty()) placement.worker.idleSince = clock.now()
        if (job.isGang && counts) job.gang.memberLost(membersLeft = job.placements.isNotEmpty())
        if (job.isTerminal && job.placements.isEmpty()) depart(job)
        dirty = true
    }

    /** One of two copies of a task goes on as the other's surplus, and is stopped. */
    fun demote(job: JobState, placement: Placement) {
        job.placements.remove(placement.task.index, placement)
        val surplus = job.surplus ?: HashMap<Int, MutableList<Placement>>().also { job.surplus = it }
        surplus.getOrPut(placement.task.index) { ArrayList() }.add(placement)
        // One that is saving already is let finish that.
        if (placement.stopGrace == null) stop(job, placement, Duration.ZERO)
    }

    /** The copy that counted is gone: until the others are too, the first of them stands for the task. */
    private fun promote(job: JobState, index: Int) {
        job.placements.remove(index)
        val copies = job.surplus?.get(index) ?: return
        job.placements[index] = copies.removeAt(0)
        if (copies.isEmpty()) dropSurplus(job, index)
    }

    private fun forgetSurplus(job: JobState, placement: Placement) {
        val copies = job.surplus?.get(placement.task.index) ?: return
        copies.remove(placement)
        if (copies.isEmpty()) dropSurplus(job, placement.task.index)
    }

    private fun dropSurplus(job: JobState, index: Int) {
        val surplus = job.surplus ?: return
        surplus.remove(index)
        if (surplus.isEmpty()) job.surplus = null
    }

    private fun depart(job: JobState) {
        jobs.remove(job.id)
        val now = clock.now()
        departed[job.id] = job.spec to now
        val ended = departed.values.iterator()
        while (ended.hasNext() && now - ended.next().second > departedKept) ended.remove()
    }

    /** Where each task is by this table, surplus copies not counted. */
    fun locations(): Map<TaskId, MachineId> =
        jobs.values.flatMap { it.placements.values }.filter { it.state != PlacementState.ASSIGNED }.associate {
            it.task to
                it.worker.id
        }

    /** What a task takes of a job that ended lately; null: it is not known. */
    fun recentlyEnded(id: JobId): JobSpec? = departed[id]?.first

    /**
     * Whether the ending of a job that a worker names has been read here; null: it is not open here, and may have been
     * recorded after what is known.
     */
    fun isTerminal(id: JobId, complete: Boolean): Boolean? =
        findOrOpen(id)?.isTerminal ?: if (complete || id in departed) true else null

    fun markTerminal(job: JobState) {
        if (!job.isTerminal) job.knownOpenAt = freshAsOf
        job.isTerminal = true
        for (p in job.allPlacements().toList()) stop(job, p, Duration.ZERO)
        if (job.placements.isEmpty()) depart(job)
    }

    fun removeAllOf(worker: WorkerState) {
        for (p in worker.placements.values.toList()) lose(worker, p)
        worker.changed()
        worker.tasks = emptyList()
    }

    /** Its session is over, and with it all that it was sent; what was only decided may go to the next one. */
    fun removeSentTo(worker: WorkerState) {
        for (p in worker.placements.values.toList()) if (p.state != PlacementState.ASSIGNED) lose(worker, p)
        worker.changed()
        worker.tasks = emptyList()
    }

    private fun lose(worker: WorkerState, placement: Placement) {
        worker.placements.remove(placement.task)
        jobs[placement.task.job]?.let { remove(it, placement) }
    }
}
