package org.elderhitch.standin

import org.elderhitch.http.Handler
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A machine type of the stand-in cloud. [share]: its share of the capacity of a zone. */
public class StandInType(
    public val name: String,
    public val cores: Double,
    public val accelerators: Double,
    public val memGb: Double,
    public val price: Double,
    public val share: Double = 1.0,
)

/** A machine of the stand-in cloud. [CloudStandIn.onBoot] starts its worker. */
public class StandInMachine(
    public val id: String,
    public val kind: StandInType,
    public val zone: String,
    public val spot: Boolean,
) {
    public val type: String get() = kind.name
    public var bootDueAt: MonotonicInstant = MonotonicInstant.FOREVER
    public var up: Boolean = false
    public var failed: Boolean = false
    public var address: String = ""
}

/**
 * An in-memory cloud. Each zone has room for [machinesPerZone] spot machines and as many on-demand ones, divided among
 * the [types] by their shares.
 */
public class CloudStandIn(
    private val clock: SteadyClock,
    private val zones: List<String>,
    private val machinesPerZone: Int,
    private val bootTime: Duration,
    private val onBoot: (StandInMachine) -> Unit,
    private val onRemoved: (StandInMachine) -> Unit,
    private val types: List<StandInType> = listOf(USUAL),
) : Handler {
    private val machines = LinkedHashMap<String, StandInMachine>()
    private val createdAt = HashMap<String, MonotonicInstant>()

    /** Removed machines that the list still shows, and when they were removed. */
    private val removedButListed = LinkedHashMap<String, Pair<StandInMachine, MonotonicInstant>>()
    private val rentedByRequest = HashMap<String, List<String>>()
    private var nextNumber = 1

    public var down: Boolean = false

    /**
     * Requests to rent machines so far, except invalid ones and repeats of answered ones, and how many of them were
     * refused for lack of capacity.
     */
    public var requestCount: Int = 0
        private set
    public var refusedCount: Int = 0
        private set

    /** Factor applied to the boot time of machines that are rented from now on. */
    public var bootFactor: () -> Double = { 1.0 }

    /** How long a new machine is missing from the list. A removed machine stays listed for up to twice as long. */
    public var listLag: Duration = Duration.ZERO

    public fun machines(): List<StandInMachine> = machines.values.toList()

    /** Called with the id of each machine that a request releases, before the machine is removed. */
    public var onReturn: (String) -> Unit = {}

    /** Boots the machines whose boot time is over. The owner has to call it regularly. */
    public fun tick() {
        for (machine in machines.values.toList()) {
            if (!machine.up && !machine.failed && clock.now() >= machine.bootDueAt) {
                machine.up = true
                onBoot(machine)
            }
        }
    }

    override suspend fun handle(request: Request): Response {
        if (down) return HttpServer.errorResponse(UNAVAILABLE, "trouble")
        return try {
            when (request.method to request.path) {
                "GET" to "/flavors" -> ok(mapOf("rigs" to types.map(::encodeType)))

                "POST" to "/machines" -> rentMachines(Json.parseObject(request.body))

                "POST" to "/machines/release" -> {
                    Json.parseObject(request.body).stringsOrNull("stalls").orEmpty().forEach {
                        onReturn(it)
                        remove(it)
                    }
                    ok(emptyMap())
                }

                "GET" to "/machines" -> list(request.query["after"])

                else -> HttpServer.errorResponse(NOT_FOUND, "no such path")
            }
        } catch (e: MalformedJson) {
            HttpServer.errorResponse(BAD_REQUEST, e.message.orEmpty())
        }
    }

    private fun ok(body: Map<String, Any?>) = Response(OK, Json.bytes(body))

    private fun encodeType(type: StandInType): Map<String, Any?> = linkedMapOf(
        "name" to type.name, "cores" to type.cores, "accelerators" to type.accelerators, "memGb" to type.memGb,
        "localGb" to CACHE_GB,
        "pullGbPerS" to FETCH_GB_PER_S, "rate" to type.price, "lowPrice" to type.price * SPOT_PRICE_FACTOR,
        "readyS" to bootTime.toDouble(DurationUnit.SECONDS),
        "halls" to zones,
    )

    private fun rentMachines(body: JsonObject): Response {
        val requestName = body.string("hire")
        rentedByRequest[requestName]?.let { return ok(mapOf("stalls" to it)) }
        val zone = body.string("hall")
        val spot = body.boolean("borrowedRigs")
        val type = types.firstOrNull { it.name == body.string("rig") }
        if (zone !in zones || type == null) return HttpServer.errorResponse(BAD_REQUEST, "unknown type or zone")
        requestCount++
        val used = machines.values.count { it.zone == zone && it.spot == spot && it.kind === type }
        val count = minOf(body.count("count").toInt(), (machinesPerZone * type.share).toInt() - used)
        if (count <= 0) {
            refusedCount++
            return HttpServer.errorResponse(UNAVAILABLE, "no capacity")
        }
        val ids = List(count) { addMachine(type, zone, spot, bootTime * bootFactor()).id }
        rentedByRequest[requestName] = ids
        return ok(mapOf("stalls" to ids))
    }

    private fun addMachine(type: StandInType, zone: String, spot: Boolean, bootDelay: Duration): StandInMachine {
        val machine = StandInMachine("host-%06d".format(nextNumber++), type, zone, spot)
        machine.bootDueAt = clock.now() + bootDelay
        machines[machine.id] = machine
        createdAt[machine.id] = clock.now()
        return machine
    }

    /** Adds machines that need no time to boot and that no controller has requested. */
    public fun addMachines(type: String, count: Int) {
        val kind = types.first { it.name == type }
        repeat(count) { addMachine(kind, zones[it % zones.size], spot = false, Duration.ZERO) }
    }

    public fun remove(id: String) {
        val machine = machines.remove(id) ?: return
        if (listLag.isPositive()) removedButListed[id] = machine to clock.now()
        onRemoved(machine)
    }

    private fun list(after: String?): Response {
        val now = clock.now()
        removedButListed.values.removeAll { (_, removedAt) -> now - removedAt > listLag * 2 }
        val listed =
            machines.values.filter { createdAt[it.id].let { at -> at != null && now - at >= listLag } } +
                removedButListed.values.map { it.first }
        val rest = listed.filter { after == null || it.id > after }.sortedBy { it.id }
        val page = rest.take(PAGE_SIZE).map(::encodeMachine)
        return ok(linkedMapOf("stalls" to page, "more" to (rest.size > PAGE_SIZE)))
    }

    private fun encodeMachine(it: StandInMachine): Map<String, Any?> = linkedMapOf(
        "id" to it.id,
        "addr" to it.address.ifEmpty { null },
        "rig" to it.type,
        "hall" to it.zone,
        "borrowedRigs" to it.spot,
        "standing" to if (it.failed) {
            "failed"
        } else if (it.up) {
            "running"
        } else {
            "booting"
        },
        "ageS" to (clock.now() - (createdAt[it.id] ?: clock.now())).toDouble(DurationUnit.SECONDS),
    )

    public companion object {
        public val USUAL: StandInType =
            StandInType("bench-8", cores = 48.0, accelerators = 8.0, memGb = 384.0, price = 10.0)
        private const val PAGE_SIZE = 500
        private const val CACHE_GB = 100.0
        private const val FETCH_GB_PER_S = 1.0
        private const val SPOT_PRICE_FACTOR = 0.4
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
        private const val UNAVAILABLE = 503
        public val QUICK_BOOT: Duration = 2.seconds
    }
}
