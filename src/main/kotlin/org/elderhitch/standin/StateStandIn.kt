package org.elderhitch.standin

import kotlinx.coroutines.delay
import org.elderhitch.http.Handler
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An in-memory state service for tests, for the run that records the build's class archive, and for trying out the
 * daemon by hand.
 */
public class StateStandIn(private val clock: SteadyClock) : Handler {
    private class StoredValue(val value: Any?, val version: Long, val lease: Long?)

    private class Event(val key: String, val isPut: Boolean, val value: Any?, val version: Long)

    private val items = TreeMap<String, StoredValue>()
    private val events = ArrayDeque<Event>()
    private val leases = HashMap<Long, Pair<MonotonicInstant, Duration>>()
    private var revision = 0L
    private var nextLease = 1L

    /**
     * Whether an outage is simulated: every request is refused and no lease expires. After the outage every lease runs
     * for its full duration again.
     */
    public var down: Boolean = false
        set(value) {
            if (field && !value) leases.replaceAll { _, (_, ttl) -> clock.now() + ttl to ttl }
            field = value
        }

    /** Whether to refuse a request even though no outage is simulated. */
    public var refuses: (Request) -> Boolean = { false }

    /** Called with each key that a commit puts. */
    public var onPut: (String) -> Unit = {}

    /** Called with each key that a commit drops. */
    public var onDrop: (String) -> Unit = {}

    /** The number of puts and drops that were committed. */
    public var changes: Long = 0
        private set

    public fun keys(): Set<String> = items.keys.toSet()

    /** Writes a value directly, as a foreign writer or a corruption would. For tests. */
    public fun overwrite(key: String, value: Map<String, Any?>) {
        revision++
        items[key] = StoredValue(value, revision, null)
        appendEvent(Event(key, true, value, revision))
    }

    /** The value of a key, or null if the key is absent. */
    public fun value(key: String): JsonObject? = (items[key]?.value as? Map<*, *>)?.let(JsonObject::of)

    override suspend fun handle(request: Request): Response {
        if (request.path == "/watch") return watch(request)
        if (down || refuses(request)) return HttpServer.errorResponse(UNAVAILABLE, "outage")
        expireLeases()
        return try {
            when {
                request.path == "/commit" -> commit(Json.parseObject(request.body))
                request.path == "/store" -> list(request.query)
                request.path.startsWith("/store/") -> read(request.path.removePrefix("/store/"))
                request.path.startsWith("/leases") -> handleLease(request)
                else -> HttpServer.errorResponse(NOT_FOUND, "no such path")
            }
        } catch (e: MalformedJson) {
            HttpServer.errorResponse(BAD_REQUEST, e.message.orEmpty())
        }
    }

    private fun ok(body: Map<String, Any?>) = Response(OK, Json.bytes(body))

    private fun expireLeases() {
        if (down) return
        val expired = leases.filterValues { it.first <= clock.now() }.keys
        expired.forEach(::endLease)
    }

    private fun endLease(lease: Long) {
        leases.remove(lease)
        val keys = items.filterValues { it.lease == lease }.keys.toList()
        if (keys.isEmpty()) return
        revision++
        keys.forEach(::remove)
    }

    private fun remove(key: String) {
        if (items.remove(key) != null) appendEvent(Event(key, false, null, revision))
    }

    private fun appendEvent(event: Event) {
        events.addLast(event)
        if (events.size > MAX_KEPT_EVENTS) events.removeFirst()
    }

    private fun read(key: String): Response {
        val item = items[key] ?: return Response(NOT_FOUND, Json.bytes(mapOf("ledgerMark" to revision)))
        return ok(encodeEntry(key, item))
    }

    private fun encodeEntry(key: String, item: StoredValue): Map<String, Any?> =
        linkedMapOf("k" to key, "value" to item.value, "entryMark" to item.version, "permit" to item.lease)

    private fun list(query: Map<String, String>): Response {
        val prefix = query["prefix"].orEmpty()
        val after = query["after"]
        val limit = query["page"]?.toIntOrNull() ?: MAX_PAGE_SIZE
        val matching = items.entries.filter { it.key.startsWith(prefix) && (after == null || it.key > after) }
        val page = matching.take(minOf(limit, MAX_PAGE_SIZE))
        return ok(
            linkedMapOf(
                "entries" to page.map { encodeEntry(it.key, it.value) },
                "more" to (matching.size > page.size),
                "ledgerMark" to revision,
            ),
        )
    }

    private fun commit(body: JsonObject): Response {
        val conflicting = body.objects("when").filter {
            (items[it.string("k")]?.version ?: 0L) != it.long("entryMark")
        }.map { it.string("k") }
        val writes = body.objects("writes")
        if (writes.any { write -> write.longOrNull("permit")?.let { it !in leases } == true }) {
            return HttpServer.errorResponse(BAD_REQUEST, "no such lease")
        }
        if (conflicting.isNotEmpty()) {
            return Response(
                CONFLICT,
                Json.bytes(
                    linkedMapOf(
                        "failed" to conflicting,
                        "ledgerMark" to revision,
                    ),
                ),
            )
        }
        if (writes.isNotEmpty()) revision++
        changes += writes.size
        for (write in writes) {
            val key = write.stringOrNull("put")
            if (key == null) {
                remove(write.string("drop"))
                onDrop(write.string("drop"))
            } else {
                items[key] = StoredValue(write.raw("value"), revision, write.longOrNull("permit"))
                onPut(key)
                appendEvent(Event(key, true, write.raw("value"), revision))
            }
        }
        return ok(mapOf("ledgerMark" to revision))
    }

    private fun handleLease(request: Request): Response {
        val parts = request.path.split('/').filter { it.isNotEmpty() }
        if (parts.size == 1) {
            val ttl = Json.parseObject(request.body).long("ttlMs").milliseconds
            val lease = nextLease++
            leases[lease] = clock.now() + ttl to ttl
            return ok(mapOf("permit" to lease))
        }
        val lease = parts[1].toLongOrNull()
        val (_, ttl) = leases[lease] ?: return HttpServer.errorResponse(NOT_FOUND, "no such lease")
        if (lease != null && request.method == "DELETE") {
            endLease(lease)
        } else if (lease != null) {
            leases[lease] = clock.now() + ttl to ttl
        }
        return ok(mapOf("permit" to lease))
    }

    private suspend fun watch(request: Request): Response {
        val prefix = request.query["prefix"].orEmpty()
        val after =
            request.query["after"]?.toLongOrNull() ?: return HttpServer.errorResponse(BAD_REQUEST, "after: missing")
        val deadline = clock.now() + (request.query["blockMs"]?.toLongOrNull() ?: 0).milliseconds
        if (down && deadline <= clock.now()) return HttpServer.errorResponse(UNAVAILABLE, "outage")
        while (true) {
            expireLeases()
            if (mayHaveDiscarded(after)) return HttpServer.errorResponse(GONE, "too old")
            val found = eventsAfter(after, prefix)
            if (!down && (found.isNotEmpty() || clock.now() >= deadline)) {
                return ok(linkedMapOf("ledgerMark" to revision, "events" to found.map(::encodeEvent)))
            }
            if (down && clock.now() >= deadline + OUTAGE_HOLD) return HttpServer.errorResponse(UNAVAILABLE, "outage")
            delay(POLL_INTERVAL)
        }
    }

    /** Whether some events after the revision [after] may have been discarded already. */
    private fun mayHaveDiscarded(after: Long): Boolean {
        val oldest = events.firstOrNull()?.version ?: 0
        return events.size >= MAX_KEPT_EVENTS && after < oldest - 1
    }

    /** The kept events after the revision [after] whose keys start with [prefix]. */
    private fun eventsAfter(after: Long, prefix: String): List<Event> = if (revision > after) {
        events.filter { it.version > after && it.key.startsWith(prefix) }
    } else {
        emptyList()
    }

    private fun encodeEvent(event: Event): Map<String, Any?> = if (event.isPut) {
        linkedMapOf("put" to event.key, "value" to event.value, "entryMark" to event.version)
    } else {
        linkedMapOf("drop" to event.key, "entryMark" to event.version)
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val GONE = 410
        const val UNAVAILABLE = 503
        const val MAX_PAGE_SIZE = 1000
        const val MAX_KEPT_EVENTS = 10_000
        val POLL_INTERVAL = 20.milliseconds

        /** How long after its deadline a watch is held open in an outage before it is refused. */
        val OUTAGE_HOLD = 60_000.milliseconds
    }
}
