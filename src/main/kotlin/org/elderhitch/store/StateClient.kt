package org.elderhitch.store

import org.elderhitch.http.Address
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.json.decodeOrDefault
import org.elderhitch.settings.StateLimits
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Client of the state service. Each request first takes tokens from this node's share of the service's rate limits, and
 * is not sent if they aren't available within [MAX_RATE_LIMIT_WAIT]. A malformed response counts as no response. The
 * client never retries a request.
 */
public class StateClient(
    private val transport: Transport,
    private val address: Address,
    private val limits: StateLimits,
    private val requests: RequestRateLimiter,
    private val writes: RequestRateLimiter,
    /** Called after each request that was sent; true if the service answered with any status but 503. */
    private val onContact: (Boolean) -> Unit = {},
) {
    private val log = LoggerFactory.getLogger("elderhitch.store")

    /** Reads one key. */
    public suspend fun read(key: String, priority: RequestPriority): ReadOutcome {
        val response = request("GET", "/store/$key", null, priority) ?: return ReadOutcome.Unavailable
        return decodeOrDefault(PEER, log, ReadOutcome.Unavailable) {
            when (response.status) {
                OK -> ReadOutcome.Found(StateCodec.decodeEntry(response.body))
                NOT_FOUND -> ReadOutcome.Absent
                else -> ReadOutcome.Unavailable
            }
        }
    }

    /** Reads one page of the keys that begin with [prefix] and follow [after]; null if there is no usable response. */
    public suspend fun list(prefix: String, after: String?): Page? {
        val target = "/store?prefix=$prefix&page=$PAGE_SIZE" + (after?.let { "&after=$it" } ?: "")
        val response = request("GET", target, null, RequestPriority.LEADERSHIP, LIST_TIMEOUT) ?: return null
        if (response.status != OK) return null
        return decodeOrDefault(PEER, log, null) { StateCodec.decodePage(response.body) }
    }

    /**
     * Reads the changes after revision [after] to keys that begin with [prefix]. The service responds as soon as there
     * are any, or with none after [wait].
     */
    public suspend fun watch(prefix: String, after: Revision, wait: Duration, priority: RequestPriority): WatchOutcome {
        val target = "/watch?prefix=$prefix&after=$after&blockMs=${wait.inWholeMilliseconds}"
        val response = request("GET", target, null, priority, wait + WATCH_GRACE) ?: return WatchOutcome.Unavailable
        return decodeOrDefault(PEER, log, WatchOutcome.Unavailable) {
            when (response.status) {
                OK -> StateCodec.decodeChanges(response.body)
                GONE -> WatchOutcome.TooOld
                else -> WatchOutcome.Unavailable
            }
        }
    }

    /**
     * Executes [changes] as one transaction if all [conditions] hold. Throws [IllegalStateException] if the transaction
     * exceeds the service's limits. Each rate limit may delay it by up to [maxWait]; if that isn't enough, it is
     * refused at once.
     */
    public suspend fun commit(
        conditions: List<Condition>,
        changes: List<Write>,
        priority: RequestPriority,
        maxWait: Duration = MAX_RATE_LIMIT_WAIT,
    ): CommitOutcome {
        val body = checkedTransaction(conditions, changes)
        val admitted = writes.take(priority, changes.size, maxWait) && requests.take(priority, 1, maxWait)
        if (!admitted) return CommitOutcome.Refused
        val response = call("POST", "/commit", body, COMMIT_TIMEOUT) ?: return CommitOutcome.Unknown
        return decodeOrDefault(PEER, log, CommitOutcome.Unknown) { decodeCommitOutcome(response) }
    }

    private fun checkedTransaction(conditions: List<Condition>, changes: List<Write>): ByteArray {
        check(changes.size <= limits.txnOps) { "too many writes in one transaction: ${changes.size}" }
        check(conditions.size <= limits.txnOps * CONDITIONS_PER_WRITE) {
            "too many conditions in one transaction: ${conditions.size}"
        }
        val body = StateCodec.encodeCommit(conditions, changes, limits.valueBytes)
        check(body.size <= MAX_TRANSACTION_BYTES) { "transaction too large: ${body.size} bytes" }
        return body
    }

    private fun decodeCommitOutcome(response: Response): CommitOutcome = when (response.status) {
        OK -> StateCodec.decodeCommitted(response.body)

        CONFLICT -> StateCodec.decodeConflict(response.body)

        TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> CommitOutcome.Refused

        BAD_REQUEST -> if (response.body.decodeToString().contains("no such lease")) {
            CommitOutcome.NoSuchLease
        } else {
            log.error("commit malformed answer={}", response.body.decodeToString())
            CommitOutcome.Refused
        }

        else -> CommitOutcome.Unknown
    }

    /** Grants a lease that expires [ttl] after its last renewal. */
    public suspend fun grantLease(ttl: Duration): LeaseOutcome {
        val body = StateCodec.encodeGrant(ttl.inWholeMilliseconds)
        val response = request("POST", "/leases", body, RequestPriority.LEADERSHIP) ?: return LeaseOutcome.Unavailable
        return decodeOrDefault(PEER, log, LeaseOutcome.Unavailable) {
            if (response.status == OK) {
                LeaseOutcome.Held(StateCodec.decodeLease(response.body))
            } else {
                LeaseOutcome.Unavailable
            }
        }
    }

    /** Extends a lease by its full time to live from now. */
    public suspend fun renewLease(lease: LeaseId): LeaseOutcome {
        val response = request("POST", "/leases/${lease.number}/extend", ByteArray(0), RequestPriority.LEADERSHIP)
        return when (response?.status) {
            OK -> LeaseOutcome.Held(lease)
            NOT_FOUND -> LeaseOutcome.Gone
            else -> LeaseOutcome.Unavailable
        }
    }

    /** Revokes a lease, which drops its keys. Best effort: without an answer the lease expires by itself. */
    public suspend fun revokeLease(lease: LeaseId) {
        request("DELETE", "/leases/${lease.number}", null, RequestPriority.LEADERSHIP)
    }

    /** Sends a request other than a commit; null if it was not sent, got no response or was rejected as overload. */
    private suspend fun request(
        method: String,
        target: String,
        body: ByteArray?,
        priority: RequestPriority,
        timeout: Duration = REQUEST_TIMEOUT,
    ): Response? {
        if (!requests.take(priority, 1, MAX_RATE_LIMIT_WAIT)) return null
        val response = call(method, target, body, timeout)
        return response?.takeIf { it.status != SERVICE_UNAVAILABLE && it.status != TOO_MANY_REQUESTS }
    }

    private suspend fun call(method: String, target: String, body: ByteArray?, timeout: Duration): Response? {
        val response = transport.call(address, method, target, body, timeout)
        onContact(response != null && response.status != SERVICE_UNAVAILABLE)
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
        const val SERVICE_UNAVAILABLE = 503
        const val PAGE_SIZE = 500
        const val CONDITIONS_PER_WRITE = 4
        const val MAX_TRANSACTION_BYTES = 64 * 1024

        /** The maximum time for which a request waits for the rate limit. */
        val MAX_RATE_LIMIT_WAIT = 600.milliseconds
        val REQUEST_TIMEOUT = 1500.milliseconds
        val COMMIT_TIMEOUT = 2.seconds
        val LIST_TIMEOUT = 5.seconds

        /** How long after the end of its own wait a watch is given up. */
        val WATCH_GRACE = 2.seconds
    }
}
