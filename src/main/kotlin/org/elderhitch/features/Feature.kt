package org.elderhitch.features

import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobProvider
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.store.Change
import org.elderhitch.store.Entry

/**
 * An optional extension of the controller, such as DRMAA sessions or sweeps. The core accesses extensions only through
 * this interface.
 *
 * All functions are called on the controller's event loop, so those that don't suspend must return without blocking.
 * Each hook has an empty default, so a hook that a feature doesn't use costs only a call.
 */
public interface Feature {
    /**
     * The feature's name in the features file. It is also the first segment of its request paths, `/name/…`, and of its
     * keys in the state service: `v/name/…`, or `v/a/name/…` for entries that every controller loads at start.
     */
    public val name: String

    /** Called once, when the controller starts. */
    public fun start() {}

    /** Handles a request under the feature's path, possibly one forwarded by another controller. */
    public suspend fun handle(request: Request): Response

    /** Receives all entries under `v/a/`: at startup, and again whenever the controller had to list them anew. */
    public fun onSnapshot(entries: List<Entry>) {}

    /** Receives the changes under `v/` in commit order. */
    public fun onChanges(changes: List<Change>) {}

    /** This controller is the leader from now on, and knows everything that was written before its term. */
    public fun onTermStarted(leadership: LeadershipState.Leader) {}

    /** The term that [onTermStarted] announced has ended. */
    public fun onTermEnded() {}

    /** The feature's section of `/status`. */
    public fun status(): Map<String, Any?> = emptyMap()

    /** Lines for the output of `explain`, shown before those of the core; null if the feature does not know [job]. */
    public suspend fun explain(job: JobId): List<String>? = null

    /** The provider of jobs that the feature stores itself; null if it stores none. */
    public val jobProvider: JobProvider? get() = null

    /**
     * Loads what the feature needs before the leader of a new term may act. Returns false if that isn't available at
     * the moment; the controller then calls this again until it returns true.
     */
    public suspend fun prepare(): Boolean = true

    /**
     * Whether the completion records of the ended [job] must be kept, because users may request the state of individual
     * tasks, which the terminal record does not contain.
     */
    public fun retainsCompletions(job: JobId): Boolean = false
}

/** Creates a [Feature] for a controller, configured by the feature's section of the features file. */
public fun interface FeatureFactory {
    public fun make(context: FeatureContext): Feature
}
