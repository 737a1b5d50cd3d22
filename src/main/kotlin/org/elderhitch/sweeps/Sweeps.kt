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
 * Serves sweeps: many jobs from one template, recorded as one thing, each of them a job to its user and to the leader's
 * table.
 */
public class Sweeps(private val settings: SweepsSettings, private val context: FeatureContext) :
    Feature,
    JobProvider {
    override val name: String get() = "sweeps"
    override val jobProvider: JobProvider get() = this

    private val limits = context.settings.stateLimits
    private val library = DescriptionStore(context.client, context.wallClock, limits.valueBytes)
    private val sweepRegistry: SweepRegistry =
        SweepRegistry { state, before, after -> feeder.ended(state, before, after) }
    private val feeder: AdmissionWindow =
        AdmissionWindow(context.scope, sweepRegistry, library, settings, context::publish, context::runningTasks)
    private val endings = Endings(sweepRegistry, context.client, context::sync, limits.txnOps)
    private val jobService =
        SweepService(
            settings,
            sweepRegistry,
            library,
            endings,
            Acceptance(context.jobService),
            context,
            limits.valueBytes,
        )
    private var collecting: Job? = null

    override fun start() {
        context.metrics.gauge("sweeps.open") { sweepRegistry.all.count { it.open > 0 } }
        context.metrics.gauge("sweeps.in_table") { feeder.inTable }
    }

    override fun onSnapshot(entries: List<Entry>) = sweepRegistry.snapshot(entries)

    override fun onChanges(changes: List<Change>) = sweepRegistry.changed(changes)

    /**
     * A worker's report of a point can't be judged without its description: a point that isn't known would be stopped
     * as ended.
     */
    override suspend fun prepare(): Boolean = sweepRegistry.all.filter { it.open > 0 }.all { library.load(it) }

    override fun onTermStarted(leadership: LeadershipState.Leader) {
        feeder.begin()
        collecting = context.scope.launch {
            while (true) {
                delay(COLLECT_EVERY)
                library.collect { sweepRegistry.of(it) != null }
            }
        }
    }

    override fun onTermEnded() {
        feeder.end()
        library.clear()
        collecting?.cancel()
    }

    override fun retainsCompletions(job: JobId): Boolean = owns(job)

    override fun status(): Map<String, Any?> = linkedMapOf(
        "open" to sweepRegistry.all.count { it.open > 0 },
        "ended" to sweepRegistry.all.count { it.open == 0 },
        "open_points" to sweepRegistry.all.sumOf { it.open },
        "points_in_table" to feeder.inTable,
    )

    override suspend fun handle(request: Request): Response = jobService.handle(request)

    override suspend fun explain(job: JobId): List<String>? {
        val (id, point) = SweepId.ofPoint(job) ?: return null
        val state = sweepRegistry.of(id)?.takeIf { point < it.points } ?: return null
        return listOf(
            when (state.endOf(point)) {
                PointEnd.DONE -> "point $point of sweep $id is done"
                PointEnd.WITHDRAWN -> "point $point of sweep $id was withdrawn"
                PointEnd.SKIPPED -> "point $point of sweep $id is malformed and was skipped: it is no job"
                null ->
                    "point $point of sweep $id is open, as ${state.open} of ${state.points}; points are started in " +
                        "their order, at most so many at a time as the sweep asked for"
            },
        )
    }

    // ---- points as jobs ----------------------------------------------------------------------------------------

    override fun owns(id: JobId): Boolean = SweepId.ofPoint(id) != null

    override suspend fun show(id: JobId): JobResponse {
        val (sweep, point) = SweepId.ofPoint(id) ?: return JobResponse.Unknown
        final(id, sweep, point)?.let { return it }
        // An answer that isn't final is never older than one that another node gave.
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
                    library.loaded(sweep)?.let { tasks(it, sweep, point) } ?: 1,
                ),
            )

            PointEnd.WITHDRAWN -> JobResponse.State(id, JobStatus.ended(TerminalState.CANCELLED, 0))

            PointEnd.SKIPPED, null -> null
        }
    }

    /** For display: the word is what counts. */
    private fun tasks(description: Description, sweep: SweepId, point: Int): Int = try {
        description.job(sweep, point).tasks
    } catch (_: BadPoint) {
        1
    }

    override suspend fun cancel(id: JobId): JobResponse {
        val (sweep, point) = SweepId.ofPoint(id) ?: return JobResponse.Unknown
        val shown = show(id)
        val state = sweepRegistry.of(sweep)
        if (shown !is JobResponse.State || state == null) return shown
        return if (endings.cancel(state, point..point) == Withdrawal.RECORDED) {
            show(id)
        } else {
            JobResponse.NotNow("the state service takes no record now")
        }
    }

    override fun open(id: JobId): JobEvent.Opened? = SweepId.ofPoint(id)?.let { (sweep, point) ->
        feeder.named(sweep, point)
    }

    override suspend fun record(
        leadership: LeadershipState.Leader,
        complete: List<CompletionBatch>,
    ): Map<JobId, List<Int>>? = endings.done(leadership, complete)

    private companion object {
        val COLLECT_EVERY = 10.minutes
    }
}
