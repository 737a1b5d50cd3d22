package org.elderhitch.features

import kotlinx.coroutines.CoroutineScope
import org.elderhitch.app.Metrics
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.HoldResult
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobProvider
import org.elderhitch.jobs.JobService
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.settings.Settings
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.StateClient
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallClock
import kotlin.random.Random

/**
 * A direction of the product beside the core, which knows only this. All of it runs on the controller's one thread;
 * what is
 * called without `suspend` returns at once. A feature that doesn't care for a hook leaves it: then it costs a call.
 */
public interface Feature {
    /**
     * Also the first part of its paths, `/name/…`, and of its keys, `v/name/…` or, for what every node must know at
     * start, `v/a/name/…`.
     */
    public val name: String

    public fun start() {}

    /** A request under its paths. It may come from any node: the one that the user asked may have handed it on. */
    public suspend fun handle(request: Request): Response

    /** All that stands under `v/a/`, when this node starts and whenever it has lost track. */
    public fun snapshot(entries: List<Entry>) {}

    /** Each change under `v/`, in order. */
    public fun changed(changes: List<Change>) {}

    /** This node leads from now on, and knows all that was recorded before. */
    public fun termBegins(leadership: LeadershipState.Leader) {}

    public fun termEnds() {}

    public fun status(): Map<String, Any?> = emptyMap()

    /** What it has to say of a job that was asked about; null: nothing. The core's own reasons come after. */
    public suspend fun explain(job: JobId): List<String>? = null

    /** Keeps jobs of its own; null: none. */
    public val jobProvider: JobProvider? get() = null

    /** Reads what must be known here before a term acts; false: it can't be had now. Asked again until it is true. */
    public suspend fun prepare(): Boolean = true

    /**
     * Whether the finished blocks of an ended job are to be left: the ending alone says less than its owner may ask.
     */
    public fun keepsFinished(job: JobId): Boolean = false
}

/** What a feature may use of the controller that it runs in. */
public class FeatureContext(
    public val scope: CoroutineScope,
    public val settings: Settings,
    public val clock: SteadyClock,
    public val wallClock: WallClock,
    public val random: Random,
    public val client: StateClient,
    public val jobService: JobService,
    public val metrics: Metrics,
    /** True once all that was recorded when this was called is known here, by this feature too. */
    public val sync: suspend () -> Boolean,
    public val leadershipState: () -> LeadershipState,
    /** Has the leader hold a job, wherever it is. */
    public val hold: suspend (JobId, HoldKind, String) -> HoldResult,
    /** Tells the leader's table, and those who rent, of a job that a [JobProvider] opens or that ended. */
    public val jobs: (JobEvent) -> Unit,
    /** How many tasks of a job run, by the leader's last word; for display. */
    public val running: (JobId) -> Int,
    /** Open jobs that failed wherever they were tried, by the leader's word; null: it doesn't answer. */
    public val atFault: suspend () -> Set<JobId>?,
)

/** What the operators switched on: read from the features file, made when the controller is. */
public fun interface FeatureFactory {
    public fun make(context: FeatureContext): Feature
}

/** The features that are on; the core speaks to all of them as to one. */
public class FeatureSet(private val features: List<Feature>) {
    public fun start(): Unit = features.forEach { it.start() }

    /** The feature whose path the request names. */
    public fun at(path: String): Feature? {
        if (features.isEmpty()) return null
        val first = path.removePrefix("/").substringBefore('/')
        return features.firstOrNull { it.name == first }
    }

    public fun snapshot(entries: List<Entry>): Unit = features.forEach { it.snapshot(entries) }

    public fun changed(changes: List<Change>): Unit = features.forEach { it.changed(changes) }

    public fun termBegins(leadership: LeadershipState.Leader): Unit = features.forEach { it.termBegins(leadership) }

    public fun termEnds(): Unit = features.forEach { it.termEnds() }

    public fun status(): Map<String, Any?> = features.associate { it.name to it.status() }

    public suspend fun explain(job: JobId): List<String> = features.flatMap { it.explain(job).orEmpty() }

    public fun keepsFinished(job: JobId): Boolean = features.any { it.keepsFinished(job) }

    public fun jobProvider(job: JobId): JobProvider? = features.firstNotNullOfOrNull { feature ->
        feature.jobProvider?.takeIf { it.owns(job) }
    }

    public suspend fun prepare(): Boolean = features.all { it.prepare() }

    /**
     * Why this node can't serve: something recorded needs a feature that is off here. It would tell users of accepted
     * jobs that there are no
     * such jobs, and as leader have their tasks stopped. Null: nothing does.
     */
    public fun unserved(entries: List<Entry>): String? {
        for (entry in entries) {
            val needed = entry.value.raw(NEEDS) as? String ?: continue
            if (features.none { it.name == needed }) return "${entry.key} needs the feature $needed, which is off here"
        }
        return null
    }

    public companion object {
        /** In a value: the name of the feature without which no node may serve. */
        public const val NEEDS: String = "needs"
    }
}
