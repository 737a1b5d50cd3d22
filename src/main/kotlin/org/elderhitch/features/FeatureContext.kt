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

    /** The client of the state service; its requests count towards the same rate limits as those of the core. */
    public val client: StateClient
    public val jobService: JobService
    public val metrics: Metrics

    /**
     * Waits until everything that was written to the state service before this call is known on this controller and has
     * been passed to the feature. Returns false if the state service doesn't answer.
     */
    public suspend fun sync(): Boolean

    /** Asks the leader, whichever controller that is, to put a job on hold. */
    public suspend fun hold(job: JobId, kind: HoldKind, reason: String): HoldResult

    /** Notifies the scheduler of a job that a [org.elderhitch.jobs.JobProvider] has opened or ended. */
    public fun publish(event: JobEvent)

    /** The number of running tasks of [job] as last reported by the leader; for display only. */
    public fun runningTasks(job: JobId): Int

    /** The open jobs whose tasks failed on every machine that ran them; null if no leader answers. */
    public suspend fun faultyJobs(): Set<JobId>?
}
