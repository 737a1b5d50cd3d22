package org.elderhitch.fleet

import org.elderhitch.http.Address
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Resources
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.settings.Zone
import kotlin.time.Duration.Companion.seconds

/** Encodes and decodes the bodies of cloud API requests and responses. Malformed responses throw `MalformedJson`. */
internal object CloudCodec {
    private const val FAILED_STATE = "failed"
    private const val NO_CAPACITY = "no capacity"

    fun provisioningRequest(name: String, market: Market, count: Int): ByteArray = Json.bytes(
        linkedMapOf(
            "hire" to name,
            "rig" to market.type.name,
            "hall" to market.zone.name,
            "borrowedRigs" to market.spot,
            "count" to count,
        ),
    )

    fun provisionedMachines(body: ByteArray): List<MachineId> =
        Json.parseObject(body).stringsOrNull("stalls").orEmpty().map(::MachineId)

    /** Whether the body of an error response states that the market has no capacity. */
    fun lacksCapacity(body: ByteArray): Boolean = body.decodeToString().contains(NO_CAPACITY)

    fun terminationRequest(machines: List<MachineId>): ByteArray =
        Json.bytes(mapOf("stalls" to machines.map { it.text }))

    fun machinePage(body: ByteArray): MachinePage {
        val page = Json.parseObject(body)
        return MachinePage(page.objects("stalls").map(::listedMachine), page.boolean("more"))
    }

    fun isFailed(state: String): Boolean = state == FAILED_STATE

    private fun listedMachine(from: JsonObject): ListedMachine = ListedMachine(
        Machine(
            MachineId(from.string("id")),
            MachineType(from.string("rig")),
            Zone(from.string("hall")),
            from.boolean("borrowedRigs"),
        ),
        from.string("standing"),
        from.stringOrNull("addr")?.let(Address::parse),
    )
}

/** One page of the cloud's machine list; [more] tells whether further pages follow. */
internal class MachinePage(val machines: List<ListedMachine>, val more: Boolean)

/**
 * Encodes and decodes machine types. The cloud's responses and the copy in the state service share one format.
 * Malformed values throw `MalformedJson`.
 */
public object CatalogCodec {
    private const val MS_PER_S = 1000.0

    internal fun encodeTypes(types: Collection<TypeInfo>): Map<String, Any?> = mapOf("rigs" to types.map(::encode))

    internal fun decodeTypes(from: JsonObject): List<TypeInfo> = from.objects("rigs").map(::decode)

    public fun decode(from: JsonObject): TypeInfo = TypeInfo(
        name = MachineType(from.string("name")),
        resources = Resources.ofMachine(from.amount("cores"), from.amount("accelerators"), from.amount("memGb")),
        cacheGb = from.amountOrNull("localGb") ?: 0.0,
        fetchGbPerS = from.amountOrNull("pullGbPerS") ?: 1.0,
        price = from.amountOrNull("rate") ?: 0.0,
        spotPrice = from.amountOrNull("lowPrice") ?: from.amountOrNull("rate") ?: 0.0,
        bootTime = (from.amountOrNull("readyS") ?: 0.0).seconds,
        zones = from.stringsOrNull("halls").orEmpty().map(::Zone),
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
        "readyS" to type.bootTime.inWholeMilliseconds / MS_PER_S,
        "halls" to type.zones.map { it.name },
    )
}
