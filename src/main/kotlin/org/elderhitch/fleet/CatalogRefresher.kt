package org.elderhitch.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import org.elderhitch.jobs.JobSpec
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Refreshes the catalog of machine types. The leader stores a copy in the state service, so that a node that starts
 * while the cloud is unavailable can still decide which jobs could run.
 */
public class CatalogRefresher(
    private val scope: CoroutineScope,
    private val cloud: CloudClient,
    private val store: StateClient,
    /** The maximum size of a value in the state service, in bytes. */
    private val maxValueBytes: Int,
    /** Whether this node has loaded the state service's contents, including the stored catalog if there is one. */
    private val isStoreLoaded: () -> Boolean,
    private val onCatalog: (Catalog) -> Unit,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")
    private var catalog = Catalog.EMPTY

    /** Whether a copy is stored, or is too large to be stored. */
    private var isStored = false

    /** Whether a task of the job could run on any machine type; null while the catalog is unknown. */
    public fun canEverRun(spec: JobSpec): Boolean? = if (catalog.isEmpty) null else catalog.fitting(spec).isNotEmpty()

    /** Starts refreshing the catalog in the background. */
    public fun start(leadershipState: StateFlow<LeadershipState>) {
        scope.launch {
            awaitLeadershipOrCatalog(leadershipState)
            while (true) {
                refresh(leadershipState.value as? LeadershipState.Leader)
                delay(if (catalog.isEmpty) RETRY_INTERVAL else REFRESH_INTERVAL)
            }
        }
    }

    /**
     * Gives a follower time to read the catalog from the state service instead of the cloud. When seven controllers
     * restarted together and all requested the catalog at once, at a limit of 1.5 requests a second, the new leader's
     * list request was refused, and its takeover waited 6 s for machines that no longer existed.
     */
    private suspend fun awaitLeadershipOrCatalog(leadershipState: StateFlow<LeadershipState>) {
        repeat(STARTUP_CHECKS) {
            val isCatalogKnown = isStoreLoaded() && !catalog.isEmpty
            if (leadershipState.value !is LeadershipState.Leader && !isCatalogKnown) delay(STARTUP_CHECK_INTERVAL)
        }
    }

    /** [leadership] is null on a follower, which requests the catalog only while it knows none. */
    private suspend fun refresh(leadership: LeadershipState.Leader?) {
        if (!catalog.isEmpty && leadership == null) return
        val fresh = cloud.catalog() ?: return
        update(fresh)
        if (leadership != null) storeCopy(leadership)
    }

    private fun update(fresh: Catalog) {
        catalog = fresh
        onCatalog(fresh)
    }

    /** Stores the catalog only once: prices change often, and a copy with outdated prices is sufficient. */
    private suspend fun storeCopy(leadership: LeadershipState.Leader) {
        if (isStored) return
        val value = CatalogCodec.encodeTypes(catalog.types.values)
        val bytes = Json.bytes(value)
        if (bytes.size > maxValueBytes) {
            isStored = true
            log.info("machine types not stored bytes={}", bytes.size)
            return
        }
        val outcome = store.commit(
            listOf(Condition(Keys.TERM, leadership.termRevision)),
            listOf(Write.Put(Keys.TYPES, value)),
            RequestPriority.OTHER,
        )
        isStored = outcome is CommitOutcome.Committed
    }

    /** Receives the copy of the catalog in the state service, which is used until the cloud has responded. */
    public fun stored(entry: Entry) {
        try {
            val types = CatalogCodec.decodeTypes(entry.value)
            isStored = types.isNotEmpty()
            if (catalog.isEmpty && types.isNotEmpty()) update(Catalog(types.associateBy { it.name }))
        } catch (e: MalformedJson) {
            log.error("machine types malformed reason=\"{}\"", e.message)
        }
    }

    private companion object {
        const val STARTUP_CHECKS = 20
        val STARTUP_CHECK_INTERVAL = 100.milliseconds
        val RETRY_INTERVAL = 1.seconds
        val REFRESH_INTERVAL = 30.seconds
    }
}
