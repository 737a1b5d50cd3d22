package org.elderhitch.features

import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobProvider
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.store.Change
import org.elderhitch.store.Entry

/** The enabled features, which the core calls as if they were a single one; see [Feature] for the hooks. */
public class FeatureSet(private val features: List<Feature>) {
    public fun start(): Unit = features.forEach { it.start() }

    /** The feature whose name is the first segment of [path]; null if there is none. */
    public fun forPath(path: String): Feature? {
        if (features.isEmpty()) return null
        val firstSegment = path.removePrefix("/").substringBefore('/')
        return features.firstOrNull { it.name == firstSegment }
    }

    public fun onSnapshot(entries: List<Entry>): Unit = features.forEach { it.onSnapshot(entries) }

    public fun onChanges(changes: List<Change>): Unit = features.forEach { it.onChanges(changes) }

    public fun onTermStarted(leadership: LeadershipState.Leader): Unit =
        features.forEach { it.onTermStarted(leadership) }

    public fun onTermEnded(): Unit = features.forEach { it.onTermEnded() }

    /** The status of each feature, by feature name. */
    public fun status(): Map<String, Any?> = features.associate { it.name to it.status() }

    public suspend fun explain(job: JobId): List<String> = features.flatMap { it.explain(job).orEmpty() }

    public fun retainsCompletions(job: JobId): Boolean = features.any { it.retainsCompletions(job) }

    /** The provider that manages [job]; null if the core manages it. */
    public fun jobProvider(job: JobId): JobProvider? = features.firstNotNullOfOrNull { feature ->
        feature.jobProvider?.takeIf { it.owns(job) }
    }

    public suspend fun prepare(): Boolean = features.all { it.prepare() }

    /**
     * Why this controller must not serve: an entry in the state service requires a feature that is disabled here.
     * Without the feature, this controller would report accepted jobs as unknown and, as leader, stop their tasks. Null
     * if all required features are enabled.
     */
    public fun unmetRequirement(entries: List<Entry>): String? {
        for (entry in entries) {
            val required = entry.value.raw(REQUIRED_FEATURE_FIELD) as? String ?: continue
            if (features.none { it.name == required }) {
                return "${entry.key} needs the feature $required, which is off here"
            }
        }
        return null
    }

    public companion object {
        /** The field of a stored value that names the feature that a controller must have enabled to serve. */
        public const val REQUIRED_FEATURE_FIELD: String = "needs"
    }
}
