package org.elderhitch.store

import org.elderhitch.http.Address
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.json.decodedFrom
import org.elderhitch.settings.StateLimits
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Client of the state service. Each request first takes a token of this node's share of the service's rate limits; one
 * that can't be had within [MAX_WAIT] is not sent. A malformed response counts as no response. Nothing is retried here.
 */
public class StateClient(
    private val transport: Transport,
    private val address: Address,
    private val limits: StateLimits,
    private val requests: RequestRateLimiter,
    private val writes: RequestRateLimiter,
    /** Called after each request that was sent, with whether the service answered it (other than "busy"). */
    private val onContact: (Boolean) -> Unit = {},
) {
    private val log = LoggerFactory.getLogger("elderhitch.store")

    /** Reads one key. */
    public suspend fun read(key: String, priority: RequestPriority): ReadOutcome {
        val response = request("GET", "/store/$key", null, priority) ?: return ReadOutcome.Unavailable
        return decodedFrom(PEER, log, ReadOutcome.Unavailable) {
            when (response.status) {
                OK -> ReadOutcome.Found(StateCodec.decodeEntry(response.body))
                NOT_FOUND -> ReadOutcome.Absent
                else -> ReadOutcome.Unavailable
            }
        }
    }

    /** One page of the keys that begin with [prefix] and follow [after]; null: no usable response. */
    public suspend fun list(prefix: String, after: String?): Page? {
        val target = "/store?prefix=$prefix&page=$PAGE" + (after?.let { "&after=$it" } ?: "")
        val response = request("GET", target, null, RequestPriority.LEADERSHIP, LIST_TIMEOUT) ?: return null
        if (response.status != OK) return null
        return decodedFrom(PEER, log, null) { StateCodec.decodePage(response.body) }
    }

    /**
     * The changes after [after] to keys that begin with [prefix]. The service answers as soon as there are some, or
     * after [wait] with none.
     */
    public suspend fun watch(prefix: String, after: Revision, wait: Duration, priority: RequestPriority): WatchOutcome {
        val target = "/watch?prefix=$prefix&after=$after&blockMs=${wait.inWholeMilliseconds}"
        val response = request("GET", target, null, priority, wait + WATCH_GRACE) ?: return WatchOutcome.Unavailable
        return decodedFrom(PEER, log, WatchOutcome.Unavailable) {
            when (response.status) {
                OK -> StateCodec.decodeChanges(response.body)
                GONE -> WatchOutcome.TooOld
                else -> WatchOutcome.Unavailable
            }
        }
    }

    /**
     * Executes [changes] as one transaction if all [conditions] hold. Throws [IllegalStateException] if it exceeds the
     * service's limits. [maxWait]: how long each rate limit may delay it before it is refused.
     */
    public suspend fun commit(
        conditions: List<Condition>,
        changes: List<Write>,
        priority: RequestPriority,
        maxWait: Duration = MAX_WAIT,
    ): CommitOutcome {
        val body = checkedTransaction(conditions, changes)
        val admitted = writes.take(priority, changes.size, maxWait) && requests.take(priority, 1, maxWait)
        if (!admitted) return CommitOutcome.Refused
        val response = call("POST", "/commit", body, COMMIT_TIMEOUT) ?: return CommitOutcome.Unknown
        return decodedFrom(PEER, log, CommitOutcome.Unknown) { commitOutcome(response) }
    }

    private fun checkedTransaction(conditions: List<Condition>, changes: List<Write>): ByteArray {
        check(changes.size <= limits.txnOps) { "${changes.size} writes in a transaction" }
        check(conditions.size <= limits.txnOps * CONDITIONS_PER_WRITE) {
            "${conditions.size} conditions in a transaction"
        }
        val body = StateCodec.encodeCommit(conditions, changes, limits.valueBytes)
        check(body.size <= MAX_TRANSACTION_BYTES) { "a transaction of ${body.size} bytes" }
        return body
    }

    private fun commitOutcome(response: Response): CommitOutcome = when (response.status) {
        OK -> StateCodec.decodeCommitted(response.body)

        CONFLICT -> StateCodec.decodeConflict(response.body)

        TOO_MANY_REQUESTS, BUSY -> CommitOutcome.Refused

        BAD_REQUEST -> if (response.body.decodeToString().contains("no such lease")) {
            CommitOutcome.NoSuchLease
        } else {
            log.error("commit malformed answer={}", response.body.decodeToString())
            CommitOutcome.Refused
        }

        else -> CommitOutcome.Unknown
    }

    /** Creates a lease that expires [ttl] after its last renewal. */
    public suspend fun grantLease(ttl: Duration): LeaseOutcome {
        val body = StateCodec.encodeGrant(ttl.inWholeMilliseconds)
        val response = request("POST", "/leases", body, RequestPriority.LEADERSHIP) ?: return LeaseOutcome.Unavailable
        return decodedFrom(PEER, log, LeaseOutcome.Unavailable) {
            if (response.status == OK) {
                LeaseOutcome.Held(StateCodec.decodeLease(response.body))
            } else {
                LeaseOutcome.Unavailable
            }
        }
    }

    /** Renews a lease for its whole time to live. */
    public suspend fun renewLease(lease: LeaseId): LeaseOutcome {
        val response = request("POST", "/leases/${lease.number}/extend", ByteArray(0), RequestPriority.LEADERSHIP)
        return when (response?.status) {
            OK -> LeaseOutcome.Held(lease)
            NOT_FOUND -> LeaseOutcome.Gone
            else -> LeaseOutcome.Unavailable
        }
    }

    /** Revokes a lease and so drops its keys; best effort, as it expires by itself. */
    public suspend fun revokeLease(lease: LeaseId) {
        request("DELETE", "/leases/${lease.number}", null, RequestPriority.LEADERSHIP)
    }

    /** The response to a request other than a commit; null: not sent, not answered, or turned away. */
    private suspend fun request(
        method: String,
        target: String,
        body: ByteArray?,
        priority: RequestPriority,
        timeout: Duration = TIMEOUT,
    ): Response? {
        if (!requests.take(priority, 1, MAX_WAIT)) return null
        val response = call(method, target, body, timeout)
        return response?.takeIf { it.status != BUSY && it.status != TOO_MANY_REQUESTS }
    }

    private suspend fun call(method: String, target: String, body: ByteArray?, timeout: Duration): Response? {
        val response = transport.call(address, method, target, body, timeout)
        onContact(response != null && response.status != BUSY)
        return response
    }

    private companion object {
        const val PEER = "state"
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val GONE = 410
        const val TOO_MANY_REQUESTS = 429
        const val BUSY = 503
        const val PAGE = 500
        const val CONDITIONS_PER_WRITE = 4
        const val MAX_TRANSACTION_BYTES = 64 * 1024

        /** How long a request may wait for the rate limit. */
        val MAX_WAIT = 600.milliseconds
        val TIMEOUT = 1500.milliseconds
        val COMMIT_TIMEOUT = 2.seconds
        val LIST_TIMEOUT = 5.seconds

        /** How much longer than its own wait a watch may take to be answered. */
        val WATCH_GRACE = 2.seconds
    }
}
