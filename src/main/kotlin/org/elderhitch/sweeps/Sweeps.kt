package org.elderhitch.sweeps

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.features.Feature
import org.elderhitch.features.FeatureContext
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.Answer
import org.elderhitch.jobs.Ending
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKeeper
import org.elderhitch.jobs.Standing
import org.elderhitch.leadership.Tenure
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.workers.FinishedBatch
import kotlin.time.Duration.Companion.minutes

/** Serves sweeps: many jobs from one template, recorded as one thing, each of them a job to its user and to the leader's table. */
public class Sweeps(private val settings: SweepsSettings, private val context: FeatureContext) :
    Feature,
    JobKeeper {
    override val name: String get() = "sweeps"
    override val keeper: JobKeeper get() = this

    private val limits = context.settings.stateLimits
    private val library = Library(context.client, context.wall, limits.valueBytes)
    private val book: SweepBook = SweepBook { state, before, after -> feeder.ended(state, before, after) }
    private val feeder: Feeder = Feeder(context.scope, book, library, settings, context.jobs, context.running)
    private val endings = Endings(book, context.client, context.sync, limits.txnOps)
    private val desk = SweepDesk(settings, book, library, endings, Acceptance(context.desk), context, limits.valueBytes)
    private var collecting: Job? = null

    override fun start() {
        context.meters.gauge("sweeps.open") { book.all.count { it.open > 0 } }
        context.meters.gauge("sweeps.in_table") { feeder.inTable }
    }

    override fun snapshot(entries: List<Entry>) = book.snapshot(entries)

    override fun changed(changes: List<Change>) = book.changed(changes)

    /** A worker's report of a point can't be judged without its description: a point that isn't known would be stopped as ended. */
    override suspend fun prepare(): Boolean = book.all.filter { it.open > 0 }.all { library.load(it) }

    override fun termBegins(leading: Tenure.Leading) {
        feeder.begin()
        collecting = context.scope.launch {
            while (true) {
                delay(COLLECT_EVERY)
                library.collect { book.of(it) != null }
            }
        }
    }

    override fun termEnds() {
        feeder.end()
        library.clear()
        collecting?.cancel()
    }

    override fun keepsFinished(job: JobId): Boolean = keeps(job)

    override fun status(): Map<String, Any?> = linkedMapOf(
        "open" to book.all.count { it.open > 0 },
        "ended" to book.all.count { it.open == 0 },
        "open_points" to book.all.sumOf { it.open },
        "points_in_table" to feeder.inTable,
    )

    override suspend fun handle(request: Request): Response = desk.handle(request)

    override suspend fun explain(job: JobId): List<String>? {
        val (id, point) = SweepId.ofPoint(job) ?: return null
        val state = book.of(id)?.takeIf { point < it.points } ?: return null
        return listOf(
            when (state.endOf(point)) {
                PointEnd.DONE -> "point $point of sweep $id is done"
                PointEnd.WITHDRAWN -> "point $point of sweep $id was withdrawn"
                PointEnd.SKIPPED -> "point $point of sweep $id is malformed and was skipped: it is no job"
                null -> "point $point of sweep $id is open, as ${state.open} of ${state.points}; points are started in their order, at most so many at a time as the sweep asked for"
            },
        )
    }

    // ---- points as jobs ----------------------------------------------------------------------------------------

    override fun keeps(id: JobId): Boolean = SweepId.ofPoint(id) != null

    override suspend fun show(id: JobId): Answer {
        val (sweep, point) = SweepId.ofPoint(id) ?: return Answer.Unknown
        final(id, sweep, point)?.let { return it }
        // An answer that isn't final is never older than one that another node gave.
        if (!context.sync()) return Answer.NotNow("the state service doesn't answer")
        final(id, sweep, point)?.let { return it }
        val state = book.of(sweep)?.takeIf { point < it.points } ?: return Answer.Unknown
        if (state.endOf(point) == PointEnd.SKIPPED) return Answer.Unknown
        return Answer.State(id, Standing.open(0, context.running(id)))
    }

    private fun final(id: JobId, sweep: SweepId, point: Int): Answer? {
        val state = book.of(sweep)?.takeIf { point < it.points } ?: return null
        return when (state.endOf(point)) {
            PointEnd.DONE -> Answer.State(
                id,
                Standing.ended(
                    Ending.DONE,
                    library.loaded(sweep)?.let { tasks(it, sweep, point) } ?: 1,
                ),
            )

            PointEnd.WITHDRAWN -> Answer.State(id, Standing.ended(Ending.WITHDRAWN, 0))

            PointEnd.SKIPPED, null -> null
        }
    }

    /** For display: the word is what counts. */
    private fun tasks(description: Description, sweep: SweepId, point: Int): Int = try {
        description.job(sweep, point).tasks
    } catch (_: BadPoint) {
        1
    }

    override suspend fun withdraw(id: JobId): Answer {
        val (sweep, point) = SweepId.ofPoint(id) ?: return Answer.Unknown
        val shown = show(id)
        val state = book.of(sweep)
        if (shown !is Answer.State || state == null) return shown
        return if (endings.withdraw(state, point..point) ==
            Withdrawal.RECORDED
        ) {
            show(id)
        } else {
            Answer.NotNow("the state service takes no record now")
        }
    }

    override fun open(id: JobId): JobEvent.Opened? = SweepId.ofPoint(id)?.let { (sweep, point) ->
        feeder.named(sweep, point)
    }

    override suspend fun record(leading: Tenure.Leading, complete: List<FinishedBatch>): Map<JobId, List<Int>>? =
        endings.done(leading, complete)

    private companion object {
        val COLLECT_EVERY = 10.minutes
    }
}
