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
 * Keeps the machine types that the cloud states. The leader leaves a copy in the state service, so that a node which
 * starts while the cloud is down can still tell which jobs could run.
 */
public class CatalogRefresher(
    private val scope: CoroutineScope,
    private val cloud: CloudClient,
    private val store: StateClient,
    private val valueBytes: Int,
    /** Whether what the state service holds is known here, the machine types that a leader left there included. */
    private val loaded: () -> Boolean,
    private val onCatalog: (Catalog) -> Unit,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")
    private var catalog = Catalog.EMPTY
    private var kept = false

    public fun canEverRun(spec: JobSpec): Boolean? = if (catalog.isEmpty) null else catalog.fitting(spec).isNotEmpty()

    public fun start(leadershipState: StateFlow<LeadershipState>) {
        scope.launch {
            // Seven controllers that all came back asked at once, at 1.5 requests a second: the new leader's list of
            // machines was refused, and its takeover
            // waited 6 s for machines that were long gone. Only a leader asks at once; the others mostly find in the
            // state service what it learnt.
            for (tick in 0 until FIRST_TICKS) {
                if (leadershipState.value !is LeadershipState.Leader &&
                    !(loaded() && !catalog.isEmpty)
                ) {
                    delay(FIRST_TICK)
                }
            }
            while (true) {
                val leadership = leadershipState.value as? LeadershipState.Leader
                if (catalog.isEmpty || leadership != null) {
                    cloud.catalog()?.let { fresh ->
                        set(fresh)
                        leadership?.let { keep(it) }
                    }
                }
                delay(if (catalog.isEmpty) FIRST_RETRY else REFRESH)
            }
        }
    }

    private fun set(fresh: Catalog) {
        catalog = fresh
        onCatalog(fresh)
    }

    private suspend fun keep(leadership: LeadershipState.Leader) {
        // Prices move all the time; a copy with older ones serves as well.
        if (kept) return
        val value = mapOf("rigs" to catalog.types.values.map(CatalogCodec::encode))
        val bytes = Json.bytes(value)
        if (bytes.size > valueBytes) {
            kept = true
            log.info("machine types not kept bytes={}", bytes.size)
            return
        }
        kept =
            store.commit(
                listOf(Condition(Keys.TERM, leadership.termRevision)),
                listOf(Write.Put(Keys.TYPES, value)),
                RequestPriority.OTHER,
            ) is
                CommitOutcome.Committed
    }

    public fun stored(entry: Entry) {
        try {
            val types = entry.value.objects("rigs").map(CatalogCodec::decode)
            kept = types.isNotEmpty()
            if (catalog.isEmpty && types.isNotEmpty()) set(Catalog(types.associateBy { it.name }))
        } catch (e: MalformedJson) {
            log.error("machine types malformed reason=\"{}\"", e.message)
        }
    }

    private companion object {
        val FIRST_RETRY = 1.seconds
        val FIRST_TICK = 100.milliseconds
        const val FIRST_TICKS = 20
        val REFRESH = 30.seconds
    }
}
