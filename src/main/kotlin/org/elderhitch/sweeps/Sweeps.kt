package org.elderhitch.sweeps

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.features.Feature
import org.elderhitch.features.FeatureContext
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.CompletionBatch
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobProvider
import org.elderhitch.jobs.JobResponse
import org.elderhitch.jobs.JobStatus
import org.elderhitch.jobs.TerminalState
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import kotlin.time.Duration.Companion.minutes

/**
 * The feature of parameter sweeps: many jobs from one template, recorded as one unit. Each point is a job of its own to
 * users and in the leader's job table.
 */
public class Sweeps(private val settings: SweepsSettings, private val context: FeatureContext) :
    Feature,
    JobProvider {
    override val name: String get() = "sweeps"
    override val jobProvider: JobProvider get() = this

    private val limits = context.settings.stateLimits
    private val descriptionStore = DescriptionStore(context.client, context.wallClock, limits.valueBytes)
    private val sweepRegistry: SweepRegistry =
        SweepRegistry { state, before, after -> admissionWindow.onBlockChanged(state, before, after) }
    private val admissionWindow: AdmissionWindow =
        AdmissionWindow(
            context.scope,
            sweepRegistry,
            descriptionStore,
            settings,
            context::publish,
            context::runningTasks,
        )
    private val sweepWriter = SweepWriter(sweepRegistry, context.client, context::sync, limits.txnOps)
    private val sweepService =
        SweepService(
            settings,
            sweepRegistry,
            descriptionStore,
            sweepWriter,
            SweepValidator(context.jobService),
            context,
            limits.valueBytes,
        )
    private var collectionJob: Job? = null

    override fun start() {
        context.metrics.gauge("sweeps.open") { sweepRegistry.all.count { it.open > 0 } }
        context.metrics.gauge("sweeps.in_table") { admissionWindow.admittedCount }
    }

    override fun onSnapshot(entries: List<Entry>) = sweepRegistry.applySnapshot(entries)

    override fun onChanges(changes: List<Change>) = sweepRegistry.applyChanges(changes)

    /**
     * Loads the descriptions of all open sweeps. Without them the leader would take a point that a worker reports for
     * an ended job, and stop it.
     */
    override suspend fun prepare(): Boolean = sweepRegistry.all.filter { it.open > 0 }.all { descriptionStore.load(it) }

    override fun onTermStarted(leadership: LeadershipState.Leader) {
        admissionWindow.start()
        collectionJob = context.scope.launch {
            while (true) {
                delay(COLLECTION_INTERVAL)
                descriptionStore.collectOrphanedParts { sweepRegistry.of(it) != null }
            }
        }
    }

    override fun onTermEnded() {
        admissionWindow.stop()
        descriptionStore.clear()
        collectionJob?.cancel()
    }

    override fun retainsCompletions(job: JobId): Boolean = owns(job)

    override fun status(): Map<String, Any?> = linkedMapOf(
        "open" to sweepRegistry.all.count { it.open > 0 },
        "ended" to sweepRegistry.all.count { it.open == 0 },
        "open_points" to sweepRegistry.all.sumOf { it.open },
        "points_in_table" to admissionWindow.admittedCount,
    )

    override suspend fun handle(request: Request): Response = sweepService.handle(request)

    override suspend fun explain(job: JobId): List<String>? {
        val (id, point) = SweepId.ofPoint(job) ?: return null
        val state = sweepRegistry.of(id)?.takeIf { point < it.points } ?: return null
        return listOf(
            when (state.endOf(point)) {
                PointEnd.DONE -> "point $point of sweep $id is done"
                PointEnd.WITHDRAWN -> "point $point of sweep $id was withdrawn"
                PointEnd.SKIPPED -> "point $point of sweep $id is malformed and was skipped: it never becomes a job"
                null ->
                    "point $point of sweep $id is open, one of ${state.open} open of ${state.points}; points are " +
                        "started in order, at most as many at a time as the sweep asked for"
            },
        )
    }

    // ---- JobProvider: points as jobs ---------------------------------------------------------------------------

    override fun owns(id: JobId): Boolean = SweepId.ofPoint(id) != null

    override suspend fun show(id: JobId): JobResponse {
        val (sweep, point) = SweepId.ofPoint(id) ?: return JobResponse.Unknown
        final(id, sweep, point)?.let { return it }
        // An answer that isn't final must not be older than one that another node has given.
        if (!context.sync()) return JobResponse.NotNow("the state service doesn't answer")
        final(id, sweep, point)?.let { return it }
        val state = sweepRegistry.of(sweep)
        if (state == null || point >= state.points || state.endOf(point) == PointEnd.SKIPPED) return JobResponse.Unknown
        return JobResponse.State(id, JobStatus.open(0, context.runningTasks(id)))
    }

    private fun final(id: JobId, sweep: SweepId, point: Int): JobResponse? {
        val state = sweepRegistry.of(sweep)?.takeIf { point < it.points } ?: return null
        return when (state.endOf(point)) {
            PointEnd.DONE -> JobResponse.State(
                id,
                JobStatus.ended(
                    TerminalState.DONE,
                    descriptionStore.loaded(sweep)?.let { taskCount(it, sweep, point) } ?: 1,
                ),
            )

            PointEnd.WITHDRAWN -> JobResponse.State(id, JobStatus.ended(TerminalState.CANCELLED, 0))

            PointEnd.SKIPPED, null -> null
        }
    }

    /** The point's number of tasks, for display only; 1 if its description can't tell. */
    private fun taskCount(description: Description, sweep: SweepId, point: Int): Int = try {
        description.job(sweep, point).tasks
    } catch (_: BadPoint) {
        1
    }

    override suspend fun cancel(id: JobId): JobResponse {
        val (sweep, point) = SweepId.ofPoint(id) ?: return JobResponse.Unknown
        val shown = show(id)
        val state = sweepRegistry.of(sweep)
        if (shown !is JobResponse.State || state == null) return shown
        return if (sweepWriter.cancel(state, point..point) == WithdrawalResult.RECORDED) {
            show(id)
        } else {
            JobResponse.NotNow("the state service accepts no writes now")
        }
    }

    override fun open(id: JobId): JobEvent.Opened? = SweepId.ofPoint(id)?.let { (sweep, point) ->
        admissionWindow.admitReported(sweep, point)
    }

    override suspend fun record(
        leadership: LeadershipState.Leader,
        complete: List<CompletionBatch>,
    ): Map<JobId, List<Int>>? = sweepWriter.recordDone(leadership, complete)

    private companion object {
        val COLLECTION_INTERVAL = 10.minutes
    }
}
