package org.elderhitch.fleet

import org.elderhitch.http.Address
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.json.Json
import org.elderhitch.json.decodeOrDefault
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.RequestRateLimiter
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** The outcome of a provisioning request. */
public sealed interface ProvisioningOutcome {
    /** The machines that were provisioned: fewer than requested, or none, if capacity is insufficient. */
    public data class Provisioned(val machines: List<MachineId>) : ProvisioningOutcome

    /** The market has no capacity, and no machine was provisioned. */
    public data object NoCapacity : ProvisioningOutcome

    /** The cloud rejected the request as malformed. It must not be repeated. */
    public data object Rejected : ProvisioningOutcome

    /** The request may have been executed, or may be executed later. It must be repeated under the same name. */
    public data object Unknown : ProvisioningOutcome
}

/**
 * An entry of the cloud's machine list.
 *
 * @property state the state as named by the cloud
 * @property address the address of the machine's worker; null until it is known
 */
public class ListedMachine(public val machine: Machine, public val state: String, public val address: Address?) {
    /** Whether the machine failed, rather than being terminated. */
    internal val isFailed: Boolean get() = CloudCodec.isFailed(state)
}

/** A client of the cloud API. All requests share one rate limiter. Failed requests are not retried here. */
public class CloudClient(
    private val transport: Transport,
    private val address: Address,
    private val rateLimiter: RequestRateLimiter,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")

    /** Fetches the machine types that the cloud offers; null if they are unavailable. */
    public suspend fun catalog(): Catalog? {
        val response = call("GET", "/flavors", null, RequestPriority.PROGRESS) ?: return null
        if (response.status != STATUS_OK) return null
        return decodeOrDefault(PEER, log, null) {
            val types = CatalogCodec.decodeTypes(Json.parseObject(response.body))
            if (types.isEmpty()) null else Catalog(types.associateBy { it.name })
        }
    }

    /**
     * Requests [count] machines. Requests are idempotent by [name].
     *
     * [maySend] is evaluated immediately before the request is sent, as the request may have waited for the rate
     * limiter or the process may have been paused.
     */
    public suspend fun provision(
        name: String,
        market: Market,
        count: Int,
        maySend: () -> Boolean,
    ): ProvisioningOutcome {
        val body = CloudCodec.provisioningRequest(name, market, count)
        val response = call("POST", "/machines", body, RequestPriority.RECORD, maySend)
            ?: return ProvisioningOutcome.Unknown
        return decodeOrDefault(PEER, log, ProvisioningOutcome.Unknown) { provisioningOutcome(response) }
    }

    private fun provisioningOutcome(response: Response): ProvisioningOutcome = when (response.status) {
        STATUS_OK -> ProvisioningOutcome.Provisioned(CloudCodec.provisionedMachines(response.body))

        STATUS_UNAVAILABLE ->
            if (CloudCodec.lacksCapacity(response.body)) {
                ProvisioningOutcome.NoCapacity
            } else {
                ProvisioningOutcome.Unknown
            }

        STATUS_BAD_REQUEST -> ProvisioningOutcome.Rejected

        else -> ProvisioningOutcome.Unknown
    }

    /**
     * Terminates at most [MAX_TERMINATED] machines. Returns true if the machines and their tasks are certainly gone.
     *
     * [maySend] is evaluated immediately before the request is sent, as a later leader may use the machines by then.
     */
    public suspend fun terminate(machines: List<MachineId>, maySend: () -> Boolean): Boolean {
        check(machines.size <= MAX_TERMINATED) {
            "termination request for ${machines.size} machines, more than $MAX_TERMINATED"
        }
        val body = CloudCodec.terminationRequest(machines)
        return call("POST", "/machines/release", body, RequestPriority.LEADERSHIP, maySend)?.status == STATUS_OK
    }

    /** Lists all machines of the cluster; null if any page is unavailable. */
    public suspend fun list(priority: RequestPriority = RequestPriority.OTHER): List<ListedMachine>? {
        val all = ArrayList<ListedMachine>()
        do {
            val page = page(all.lastOrNull()?.machine?.id, priority) ?: return null
            all.addAll(page.machines)
        } while (page.more && all.isNotEmpty())
        return all
    }

    private suspend fun page(after: MachineId?, priority: RequestPriority): MachinePage? {
        val target = "/machines?page=$PAGE_SIZE" + (after?.let { "&after=${it.text}" } ?: "")
        val response = call("GET", target, null, priority) ?: return null
        if (response.status != STATUS_OK) return null
        return decodeOrDefault(PEER, log, null) { CloudCodec.machinePage(response.body) }
    }

    private suspend fun call(
        method: String,
        target: String,
        body: ByteArray?,
        priority: RequestPriority,
        maySend: () -> Boolean = { true },
    ): Response? {
        if (!rateLimiter.take(priority, 1, RATE_LIMITER_TIMEOUT) || !maySend()) return null
        return transport.call(address, method, target, body, REQUEST_TIMEOUT)
    }

    public companion object {
        /** Maximum number of machines in a termination request. */
        public const val MAX_TERMINATED: Int = 100

        /** Maximum number of machines in a provisioning request. */
        public const val MAX_PROVISIONED: Int = 50

        /** Number of machines on a page of the list. */
        public const val PAGE_SIZE: Int = 500
        private const val PEER = "cloud"
        private const val STATUS_OK = 200
        private const val STATUS_BAD_REQUEST = 400
        private const val STATUS_UNAVAILABLE = 503
        private val RATE_LIMITER_TIMEOUT = 3.seconds
        private val REQUEST_TIMEOUT = 4.seconds
    }
}
