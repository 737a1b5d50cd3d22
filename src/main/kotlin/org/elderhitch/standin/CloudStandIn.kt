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

/** A machine type of the stand-in cloud. [share]: of the machines that a zone has room for. */
public class StandInType(
    public val name: String,
    public val cores: Double,
    public val accelerators: Double,
    public val memGb: Double,
    public val price: Double,
    public val share: Double = 1.0,
)

/** What a machine of the stand-in cloud is; its worker is started by [CloudStandIn.onBoot]. */
public class StandInMachine(
    public val id: String,
    public val kind: StandInType,
    public val zone: String,
    public val spot: Boolean,
) {
    public val type: String get() = kind.name
    public var bootedAt: MonotonicInstant = MonotonicInstant.FOREVER
    public var up: Boolean = false
    public var failed: Boolean = false
    public var address: String = ""
}

/**
 * The cloud in memory: every zone has room for [perZone] machines, spot ones and others each, shared out among the
 * [types].
 */
public class CloudStandIn(
    private val clock: SteadyClock,
    private val zones: List<String>,
    private val perZone: Int,
    private val boot: Duration,
    private val onBoot: (StandInMachine) -> Unit,
    private val onGone: (StandInMachine) -> Unit,
    private val types: List<StandInType> = listOf(USUAL),
) : Handler {
    private val machines = LinkedHashMap<String, StandInMachine>()
    private val born = HashMap<String, MonotonicInstant>()

    /** Machines that are gone and that the list still shows, and since when they are. */
    private val ghosts = LinkedHashMap<String, Pair<StandInMachine, MonotonicInstant>>()
    private val answers = HashMap<String, List<String>>()
    private var next = 1

    public var down: Boolean = false

    /** Requests to rent so far, and those of them that were refused for want of machines. */
    public var asked: Int = 0
        private set
    public var refused: Int = 0
        private set

    /** How much longer than usual the next machines boot. */
    public var bootFactor: () -> Double = { 1.0 }

    /** How old the list is; machines that are gone stay on it for twice as long. */
    public var listLag: Duration = Duration.ZERO

    public fun machines(): List<StandInMachine> = machines.values.toList()

    /** Told of each machine that a request returns, before it is gone. */
    public var onReturn: (String) -> Unit = {}

    /** Boots what is due; called by whoever drives the clock. */
    public fun tick() {
        for (machine in machines.values.toList()) {
            if (!machine.up && !machine.failed && clock.now() >= machine.bootedAt) {
                machine.up = true
                onBoot(machine)
            }
        }
    }

    override suspend fun handle(request: Request): Response {
        if (down) return HttpServer.refusal(BUSY, "trouble")
        return try {
            when (request.method to request.path) {
                "GET" to "/flavors" -> ok(mapOf("rigs" to types.map(::flavor)))

                "POST" to "/machines" -> hire(Json.parseObject(request.body))

                "POST" to "/machines/release" -> {
                    Json.parseObject(request.body).stringsOrNull("stalls").orEmpty().forEach {
                        onReturn(it)
                        remove(it)
                    }
                    ok(emptyMap())
                }

                "GET" to "/machines" -> list(request.query["after"])

                else -> HttpServer.refusal(NOT_FOUND, "no such path")
            }
        } catch (e: MalformedJson) {
            HttpServer.refusal(BAD, e.message.orEmpty())
        }
    }

    private fun ok(body: Map<String, Any?>) = Response(OK, Json.bytes(body))

    private fun flavor(type: StandInType): Map<String, Any?> = linkedMapOf(
        "name" to type.name, "cores" to type.cores, "accelerators" to type.accelerators, "memGb" to type.memGb,
        "localGb" to CACHE,
        "pullGbPerS" to FETCH, "rate" to type.price, "lowPrice" to type.price * SPOT_SHARE,
        "readyS" to boot.toDouble(DurationUnit.SECONDS),
        "halls" to zones,
    )

    private fun hire(body: JsonObject): Response {
        val name = body.string("hire")
        answers[name]?.let { return ok(mapOf("stalls" to it)) }
        val zone = body.string("hall")
        val spot = body.boolean("borrowedRigs")
        val type = types.firstOrNull { it.name == body.string("rig") }
        if (zone !in zones || type == null) return HttpServer.refusal(BAD, "unknown type or zone")
        asked++
        val used = machines.values.count { it.zone == zone && it.spot == spot && it.kind === type }
        val count = minOf(body.count("count").toInt(), (perZone * type.share).toInt() - used)
        if (count <= 0) {
            refused++
            return HttpServer.refusal(BUSY, "no capacity")
        }
        val names = List(count) { rent(type, zone, spot, boot * bootFactor()).id }
        answers[name] = names
        return ok(mapOf("stalls" to names))
    }

    private fun rent(type: StandInType, zone: String, spot: Boolean, bootsFor: Duration): StandInMachine {
        val machine = StandInMachine("host-%06d".format(next++), type, zone, spot)
        machine.bootedAt = clock.now() + bootsFor
        machines[machine.id] = machine
        born[machine.id] = clock.now()
        return machine
    }

    /** Machines that are up already, and that no request of a controller rented. */
    public fun give(type: String, count: Int) {
        val kind = types.first { it.name == type }
        repeat(count) { rent(kind, zones[it % zones.size], spot = false, Duration.ZERO) }
    }

    public fun remove(id: String) {
        val machine = machines.remove(id) ?: return
        if (listLag.isPositive()) ghosts[id] = machine to clock.now()
        onGone(machine)
    }

    private fun list(after: String?): Response {
        val now = clock.now()
        ghosts.values.removeAll { (_, goneAt) -> now - goneAt > listLag * 2 }
        val listed =
            machines.values.filter { born[it.id].let { at -> at != null && now - at >= listLag } } +
                ghosts.values.map { it.first }
        val rest = listed.filter { after == null || it.id > after }.sortedBy { it.id }
        val page = rest.take(PAGE).map(::shown)
        return ok(linkedMapOf("stalls" to page, "more" to (rest.size > PAGE)))
    }

    private fun shown(it: StandInMachine): Map<String, Any?> = linkedMapOf(
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
        "ageS" to (clock.now() - (born[it.id] ?: clock.now())).toDouble(DurationUnit.SECONDS),
    )

    public companion object {
        public val USUAL: StandInType =
            StandInType("bench-8", cores = 48.0, accelerators = 8.0, memGb = 384.0, price = 10.0)
        private const val PAGE = 500
        private const val CACHE = 100.0
        private const val FETCH = 1.0
        private const val SPOT_SHARE = 0.4
        private const val OK = 200
        private const val BAD = 400
        private const val NOT_FOUND = 404
        private const val BUSY = 503
        public val QUICK_BOOT: Duration = 2.seconds
    }
}
