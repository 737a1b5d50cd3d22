package org.elderhitch.features

import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobProvider
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.store.Change
import org.elderhitch.store.Entry

/**
 * An optional extension of the controller, such as DRMAA sessions or sweeps. The core knows extensions through this
 * interface only.
 *
 * All functions are called on the controller's event loop, so those that don't suspend must return at once. Each hook
 * has an empty default, which costs one call.
 */
public interface Feature {
    /**
     * The feature's name in the features file. It is also the first segment of its request paths, `/name/…`, and of its
     * keys in the state service: `v/name/…`, or `v/a/name/…` for entries that every controller loads at start.
     */
    public val name: String

    /** Called once, when the controller starts. */
    public fun start() {}

    /** Answers a request under the feature's path. Another controller may have forwarded it. */
    public suspend fun handle(request: Request): Response

    /** Receives all entries under `v/a/`: at start, and again whenever the controller has lost its watch. */
    public fun onSnapshot(entries: List<Entry>) {}

    /** Receives the changes under `v/` in the order in which they were written. */
    public fun onChanges(changes: List<Change>) {}

    /** This controller leads from now on, and knows everything that was written before its term. */
    public fun onTermStarted(leadership: LeadershipState.Leader) {}

    /** The term announced by [onTermStarted] is over. */
    public fun onTermEnded() {}

    /** The feature's section of `/status`. */
    public fun status(): Map<String, Any?> = emptyMap()

    /** Lines for `explain`, shown before the core's own; null if the feature knows nothing about [job]. */
    public suspend fun explain(job: JobId): List<String>? = null

    /** The provider of jobs that the feature stores itself; null if it stores none. */
    public val jobProvider: JobProvider? get() = null

    /**
     * Loads what the feature needs before a term may act. False if that isn't available now; the controller then calls
     * it again until it returns true.
     */
    public suspend fun prepare(): Boolean = true

    /**
     * Whether the completion records of the terminated [job] must be kept, because users may ask for the state of
     * single tasks, which the terminal record doesn't hold.
     */
    public fun retainsCompletions(job: JobId): Boolean = false
}

/** Creates a [Feature] for a controller; configured from the feature's section of the features file. */
public fun interface FeatureFactory {
    public fun make(context: FeatureContext): Feature
}
