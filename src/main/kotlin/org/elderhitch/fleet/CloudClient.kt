package org.elderhitch.fleet

import org.elderhitch.http.Address
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.decodedFrom
import org.elderhitch.settings.Zone
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.RequestRateLimiter
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

public sealed interface ProvisioningOutcome {
    public data class Provisioned(val machines: List<MachineId>) : ProvisioningOutcome
    public data object NoCapacity : ProvisioningOutcome

    /** Malformed, by the cloud's word: never to be repeated. */
    public data object Rejected : ProvisioningOutcome

    /** Perhaps carried out, perhaps later: the same request must be made again. */
    public data object Unknown : ProvisioningOutcome
}

public class ListedMachine(public val machine: Machine, public val state: String, public val address: Address?)

public class CloudClient(
    private val transport: Transport,
    private val address: Address,
    private val budget: RequestRateLimiter,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")

    public suspend fun catalog(): Catalog? {
        val response = call("GET", "/flavors", null, RequestPriority.PROGRESS) ?: return null
        if (response.status != OK) return null
        return decodedFrom("cloud", log, null) {
            val types = Json.parseObject(response.body).objects("rigs").map(::type)
            if (types.isEmpty()) null else Catalog(types.associateBy { it.name })
        }
    }

    private fun type(from: JsonObject): TypeInfo = CatalogCodec.decode(from)

    /** [entitled] is asked last, as the budget may have been waited for, or the process may have stood still. */
    public suspend fun provision(name: String, market: Market, count: Int, entitled: () -> Boolean): ProvisioningOutcome {
        val body = Json.bytes(
            linkedMapOf(
                "hire" to name,
                "rig" to market.type.name,
                "hall" to market.zone.name,
                "borrowedRigs" to market.spot,
                "count" to count,
            ),
        )
        val response =
            call("POST", "/machines", body, RequestPriority.RECORD, entitled) ?: return ProvisioningOutcome.Unknown
        return decodedFrom("cloud", log, ProvisioningOutcome.Unknown) {
            when (response.status) {
                OK -> ProvisioningOutcome.Provisioned(
                    Json.parseObject(response.body).stringsOrNull("stalls").orEmpty().map(::MachineId),
                )

                BUSY -> if (response.body.decodeToString().contains(
                        "no capacity",
                    )
                ) {
                    ProvisioningOutcome.NoCapacity
                } else {
                    ProvisioningOutcome.Unknown
                }

                BAD -> ProvisioningOutcome.Rejected

                else -> ProvisioningOutcome.Unknown
            }
        }
    }

    /** True: they are gone, and all that was on them. A successor may use them by the time the request's turn comes. */
    public suspend fun terminate(machines: List<MachineId>, entitled: () -> Boolean): Boolean {
        check(machines.size <= MOST_RELEASED) { "${machines.size} machines in a request" }
        val body = Json.bytes(mapOf("stalls" to machines.map { it.text }))
        return call("POST", "/machines/release", body, RequestPriority.LEADERSHIP, entitled)?.status == OK
    }

    /** All machines, or null when some page could not be had. */
    public suspend fun list(purpose: RequestPriority = RequestPriority.OTHER): List<ListedMachine>? {
        val all = ArrayList<ListedMachine>()
        var after: String? = null
        while (true) {
            val target = "/machines?page=$PAGE" + (after?.let { "&after=$it" } ?: "")
            val response = call("GET", target, null, purpose) ?: return null
            if (response.status != OK) return null
            val more = decodedFrom("cloud", log, null) {
                val body = Json.parseObject(response.body)
                body.objects("stalls").mapTo(all) {
                    ListedMachine(
                        Machine(
                            MachineId(it.string("id")),
                            MachineType(it.string("rig")),
                            Zone(it.string("hall")),
                            it.boolean("borrowedRigs"),
                        ),
                        it.string("standing"),
                        it.stringOrNull("addr")?.let(Address::parse),
                    )
                }
                body.boolean("more")
            } ?: return null
            if (!more) return all
            after = all.lastOrNull()?.machine?.id?.text ?: return all
        }
    }

    private suspend fun call(
        method: String,
        target: String,
        body: ByteArray?,
        purpose: RequestPriority,
        entitled: () -> Boolean = {
            true
        },
    ): Response? {
        if (!budget.take(purpose, 1, PATIENCE) || !entitled()) return null
        return transport.call(address, method, target, body, TIMEOUT)
    }

    public companion object {
        public const val MOST_RELEASED: Int = 100
        public const val MOST_HIRED: Int = 50
        private const val OK = 200
        private const val BAD = 400
        private const val BUSY = 503
        public const val PAGE: Int = 500
        private val PATIENCE = 3.seconds
        private val TIMEOUT = 4.seconds
    }
}

/**
 * Machine types as the cloud states them, and as the state service keeps them for nodes that start while it is down.
 */
public object CatalogCodec {
    public fun decode(from: JsonObject): TypeInfo = TypeInfo(
        MachineType(from.string("name")),
        Resources(from.amount("cores"), from.amount("accelerators"), from.amount("memGb")),
        from.amountOrNull("localGb") ?: 0.0,
        from.amountOrNull("pullGbPerS") ?: 1.0,
        from.amountOrNull("rate") ?: 0.0,
        from.amountOrNull("lowPrice") ?: from.amountOrNull("rate") ?: 0.0,
        (from.amountOrNull("readyS") ?: 0.0).seconds,
        from.stringsOrNull("halls").orEmpty().map(::Zone),
    )

    public fun encode(type: TypeInfo): Map<String, Any?> = linkedMapOf(
        "name" to type.name.name,
        "cores" to type.resources.cpus,
        "accelerators" to type.resources.gpus,
        "memGb" to type.resources.memoryGb,
        "localGb" to type.cacheGb,
        "pullGbPerS" to type.fetchGbPerS,
        "rate" to type.price,
        "lowPrice" to type.spotPrice,
        "readyS" to type.bootTime.inWholeMilliseconds / MS,
        "halls" to type.zones.map { it.name },
    )

    private const val MS = 1000.0
}
