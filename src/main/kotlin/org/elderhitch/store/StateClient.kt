package org.elderhitch.store

import org.elderhitch.http.Address
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.decodedFrom
import org.elderhitch.settings.StateLimits
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@JvmInline
public value class Revision(public val number: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = number.compareTo(other.number)
    override fun toString(): String = number.toString()

    public companion object {
        /** As a condition: the key is absent. */
        public val ABSENT: Revision = Revision(0)
    }
}

@JvmInline
public value class LeaseId(public val number: Long)

public data class Entry(val key: String, val value: JsonObject, val version: Revision)

public data class Condition(val key: String, val version: Revision)

public sealed interface Write {
    public data class Put(val key: String, val value: Map<String, Any?>, val lease: LeaseId? = null) : Write
    public data class Drop(val key: String) : Write
}

public sealed interface Change {
    public val key: String
    public val version: Revision

    public data class Put(val entry: Entry) : Change {
        override val key: String get() = entry.key
        override val version: Revision get() = entry.version
    }

    public data class Drop(override val key: String, override val version: Revision) : Change
}

public sealed interface ReadOutcome {
    public data class Found(val entry: Entry) : ReadOutcome
    public data object Absent : ReadOutcome
    public data object Unavailable : ReadOutcome
}

public sealed interface CommitOutcome {
    public data class Committed(val revision: Revision) : CommitOutcome
    public data class Conflict(val failed: Set<String>) : CommitOutcome

    /** Surely not executed. */
    public data object Refused : CommitOutcome
    public data object NoSuchLease : CommitOutcome

    /** Executed, or not, or still to be executed. */
    public data object Unknown : CommitOutcome
}

public sealed interface LeaseOutcome {
    public data class Held(val lease: LeaseId) : LeaseOutcome
    public data object Gone : LeaseOutcome
    public data object Unavailable : LeaseOutcome
}

public data class Page(val entries: List<Entry>, val more: Boolean, val revision: Revision)

public sealed interface WatchOutcome {
    public data class Changes(val changes: List<Change>, val revision: Revision) : WatchOutcome

    /** The service no longer knows what changed since then: the keys must be read again. */
    public data object TooOld : WatchOutcome
    public data object Unavailable : WatchOutcome
}

/** The state service, within this node's share of its limits. A malformed answer counts as no answer. */
public class StateClient(
    private val transport: Transport,
    private val address: Address,
    private val limits: StateLimits,
    private val requests: RequestRateLimiter,
    private val writes: RequestRateLimiter,
    private val onContact: (Boolean) -> Unit = {},
) {
    private val log = LoggerFactory.getLogger("elderhitch.store")

    public suspend fun read(key: String, purpose: RequestPriority): ReadOutcome {
        val response = request("GET", "/store/$key", null, purpose) ?: return ReadOutcome.Unavailable
        return decodedFrom("state", log, ReadOutcome.Unavailable) {
            when (response.status) {
                OK -> ReadOutcome.Found(entry(Json.parseObject(response.body)))
                NOT_FOUND -> ReadOutcome.Absent
                else -> ReadOutcome.Unavailable
            }
        }
    }

    public suspend fun list(prefix: String, after: String?): Page? {
        val target = "/store?prefix=$prefix&page=$PAGE" + (after?.let { "&after=$it" } ?: "")
        val response = request("GET", target, null, RequestPriority.LEADERSHIP, LIST_TIMEOUT) ?: return null
        if (response.status != OK) return null
        return decodedFrom("state", log, null) {
            val body = Json.parseObject(response.body)
            Page(body.objects("entries").map(::entry), body.boolean("more"), Revision(body.long("ledgerMark")))
        }
    }

    /** Changes after [after], as soon as there are some or [wait] is over. */
    public suspend fun watch(prefix: String, after: Revision, wait: Duration, purpose: RequestPriority): WatchOutcome {
        val target = "/watch?prefix=$prefix&after=$after&blockMs=${wait.inWholeMilliseconds}"
        val response = request("GET", target, null, purpose, wait + WATCH_GRACE) ?: return WatchOutcome.Unavailable
        return decodedFrom("state", log, WatchOutcome.Unavailable) {
            when (response.status) {
                OK -> {
                    val body = Json.parseObject(response.body)
                    WatchOutcome.Changes(body.objects("events").map(::change), Revision(body.long("ledgerMark")))
                }

                GONE -> WatchOutcome.TooOld

                else -> WatchOutcome.Unavailable
            }
        }
    }

    public suspend fun commit(
        conditions: List<Condition>,
        changes: List<Write>,
        purpose: RequestPriority,
        patience: Duration = PATIENCE,
    ): CommitOutcome {
        check(changes.size <= limits.txnOps) { "${changes.size} writes in a transaction" }
        check(conditions.size <= limits.txnOps * CONDITIONS_PER_WRITE) {
            "${conditions.size} conditions in a transaction"
        }
        val body = Json.bytes(
            linkedMapOf(
                "when" to conditions.map { linkedMapOf("k" to it.key, "entryMark" to it.version.number) },
                "writes" to changes.map(::encode),
            ),
        )
        check(body.size <= MAX_TXN_BYTES) { "a transaction of ${body.size} bytes" }
        if (!writes.take(purpose, changes.size, patience)) return CommitOutcome.Refused
        if (!requests.take(purpose, 1, patience)) return CommitOutcome.Refused
        val response = transport.call(address, "POST", "/commit", body, COMMIT_TIMEOUT)
        onContact(response != null && response.status != BUSY)
        if (response == null) return CommitOutcome.Unknown
        return decodedFrom("state", log, CommitOutcome.Unknown) {
            when (response.status) {
                OK -> CommitOutcome.Committed(Revision(Json.parseObject(response.body).long("ledgerMark")))

                CONFLICT -> CommitOutcome.Conflict(
                    Json.parseObject(response.body).stringsOrNull("failed").orEmpty().toSet(),
                )

                TOO_MANY, BUSY -> CommitOutcome.Refused

                BAD -> if (response.body.decodeToString().contains("no such lease")) {
                    CommitOutcome.NoSuchLease
                } else {
                    log.error("commit malformed answer={}", response.body.decodeToString())
                    CommitOutcome.Refused
                }

                else -> CommitOutcome.Unknown
            }
        }
    }

    private fun encode(write: Write): Map<String, Any?> = when (write) {
        is Write.Put -> {
            val size = Json.bytes(write.value).size
            check(size <= limits.valueBytes) { "${write.key}: a value of $size bytes" }
            linkedMapOf<String, Any?>("put" to write.key, "value" to write.value).apply {
                write.lease?.let { put("permit", it.number) }
            }
        }

        is Write.Drop -> mapOf("drop" to write.key)
    }

    public suspend fun grant(ttl: Duration): LeaseOutcome {
        val body = Json.bytes(mapOf("ttlMs" to ttl.inWholeMilliseconds))
        val response = request("POST", "/leases", body, RequestPriority.LEADERSHIP) ?: return LeaseOutcome.Unavailable
        return decodedFrom("state", log, LeaseOutcome.Unavailable) {
            if (response.status ==
                OK
            ) {
                LeaseOutcome.Held(LeaseId(Json.parseObject(response.body).long("permit")))
            } else {
                LeaseOutcome.Unavailable
            }
        }
    }

    public suspend fun extend(lease: LeaseId): LeaseOutcome {
        val response = request("POST", "/leases/${lease.number}/extend", ByteArray(0), RequestPriority.LEADERSHIP)
        return when (response?.status) {
            OK -> LeaseOutcome.Held(lease)
            NOT_FOUND -> LeaseOutcome.Gone
            else -> LeaseOutcome.Unavailable
        }
    }

    public suspend fun end(lease: LeaseId) {
        request("DELETE", "/leases/${lease.number}", null, RequestPriority.LEADERSHIP)
    }

    private suspend fun request(
        method: String,
        target: String,
        body: ByteArray?,
        purpose: RequestPriority,
        timeout: Duration = TIMEOUT,
    ): Response? {
        if (!requests.take(purpose, 1, PATIENCE)) return null
        val response = transport.call(address, method, target, body, timeout)
        onContact(response != null && response.status != BUSY)
        return response?.takeIf { it.status != BUSY && it.status != TOO_MANY }
    }

    private fun entry(from: JsonObject): Entry =
        Entry(from.string("k"), from.obj("value"), Revision(from.long("entryMark")))

    private fun change(from: JsonObject): Change {
        val version = Revision(from.long("entryMark"))
        val put = from.stringOrNull("put") ?: return Change.Drop(from.string("drop"), version)
        return Change.Put(Entry(put, from.obj("value"), version))
    }

    private companion object {
        const val OK = 200
        const val BAD = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val GONE = 410
        const val TOO_MANY = 429
        const val BUSY = 503
        const val PAGE = 500
        const val CONDITIONS_PER_WRITE = 4
        const val MAX_TXN_BYTES = 64 * 1024
        val PATIENCE = 600.milliseconds
        val TIMEOUT = 1500.milliseconds
        val COMMIT_TIMEOUT = 2.seconds
        val LIST_TIMEOUT = 5.seconds
        val WATCH_GRACE = 2.seconds
    }
}
