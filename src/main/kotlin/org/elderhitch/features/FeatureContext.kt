package org.elderhitch.features

import kotlinx.coroutines.CoroutineScope
import org.elderhitch.app.Metrics
import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.HoldResult
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobService
import org.elderhitch.settings.Settings
import org.elderhitch.store.StateClient
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallClock

/** The parts of the controller that a [Feature] may use. */
public interface FeatureContext {
    /** Runs coroutines on the controller's event loop. */
    public val scope: CoroutineScope
    public val settings: Settings
    public val clock: SteadyClock
    public val wallClock: WallClock

    /** The client of the state service, which shares this controller's request rate with the core. */
    public val client: StateClient
    public val jobService: JobService
    public val metrics: Metrics

    /**
     * Waits until everything that was written to the state service before this call is known here, to the feature
     * included. False if the state service doesn't answer.
     */
    public suspend fun sync(): Boolean

    /** Has the leader hold a job, whichever controller leads. */
    public suspend fun hold(job: JobId, kind: HoldKind, reason: String): HoldResult

    /** Announces a job that a [org.elderhitch.jobs.JobProvider] opened or terminated to the scheduler. */
    public fun publish(event: JobEvent)

    /** The number of running tasks of [job] by the leader's latest count; for display only. */
    public fun runningTasks(job: JobId): Int

    /** Open jobs whose tasks failed on every machine that tried them; null if no leader answers. */
    public suspend fun faultyJobs(): Set<JobId>?
}
