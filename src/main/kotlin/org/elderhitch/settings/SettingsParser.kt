package org.elderhitch.settings

import org.elderhitch.http.Address
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Parses [Settings] from the platform's JSON. Field names occur only in this file; unknown fields are ignored. All
 * functions throw [MalformedJson], whose message names the invalid field.
 */
internal object SettingsParser {
    private const val DEFAULT_MAX_SOCKETS = 1024L
    private const val DEFAULT_CPU_SHARE = 1.0

    /** A smaller share can only be a configuration error. */
    private const val MIN_CPU_SHARE = 0.02
    private const val MAX_CPU_SHARE = 1.0
    private const val BYTES_PER_KIB = 1024

    fun parse(bytes: ByteArray): Settings {
        val root = Json.parseObject(bytes)
        val external = root.requireObject("external")
        val settings = root.requireObject("settings")
        // Read before the fields, so that a missing section is reported first.
        val workers = settings.requireObject("workers")
        val state = settings.requireObject("state")
        val cloud = settings.requireObject("cloud")
        return Settings(
            node = NodeName(root.string("node_name")),
            zone = Zone(root.stringOrNull("zone").orEmpty()),
            clientListen = parseAddress(root, "client_listen"),
            clusterListen = parseAddress(root, "cluster_listen"),
            peers = root.objects("known").map(::parsePeer),
            cloud = parseAddress(external, "cloud"),
            state = parseAddress(external, "state"),
            zones = settings.stringsOrNull("zones").orEmpty().map(::Zone),
            teams = settings.objects("teams").map(::parseTeam).associateBy { it.name },
            objectives = settings.objects("objectives").mapNotNull(::parseObjective),
            workers = parseWorkerTimeouts(workers),
            stateLimits = parseStateLimits(state),
            cloudLimits = CloudLimits(positiveAmount(cloud, "rps"), cloud.amount("list_lag_s").seconds),
            maxSockets = parseMaxSockets(settings),
            cpuShare = parseCpuShare(settings),
        )
    }

    private fun parsePeer(from: JsonObject): Peer = Peer(
        name = NodeName(from.string("node_name")),
        address = parseAddress(from, "address"),
        zone = from.stringOrNull("zone")?.let(::Zone),
    )

    private fun parseTeam(from: JsonObject): Team = Team(
        name = TeamName(from.string("name")),
        guaranteedCpus = from.amountOrNull("cpus") ?: 0.0,
        guaranteedGpus = from.amountOrNull("gpus") ?: 0.0,
        maxCpus = limitOrNull(from, "cpus_max"),
        maxGpus = limitOrNull(from, "gpus_max"),
    )

    /** Null for an objective without a class, which applies to the deployment as a whole. */
    private fun parseObjective(from: JsonObject): Objective? {
        val jobClass = from.stringOrNull("class") ?: return null
        val within = from.amountOrNull("within_s")?.seconds ?: from.amountOrNull("within_ms")?.milliseconds
        return Objective(from.string("kind"), jobClass, within)
    }

    private fun parseWorkerTimeouts(from: JsonObject): WorkerTimeouts = WorkerTimeouts(
        heartbeatInterval = positiveSeconds(from, "report_s"),
        lease = positiveSeconds(from, "lease_s"),
        gangWait = positiveSeconds(from, "gang_wait_s"),
        gangPeer = positiveSeconds(from, "gang_peer_s"),
        cancel = positiveSeconds(from, "cancel_s"),
    )

    private fun parseStateLimits(from: JsonObject): StateLimits = StateLimits(
        requestsPerS = positiveAmount(from, "rps"),
        writesPerS = positiveAmount(from, "write_rps"),
        valueBytes = (positiveAmount(from, "value_kb") * BYTES_PER_KIB).toInt(),
        txnOps = positiveAmount(from, "txn_ops").toInt(),
    )

    private fun parseMaxSockets(settings: JsonObject): Int {
        val limits = settings.objectOrNull("machine_limits")
        return (limits?.longOrNull("max_sockets") ?: DEFAULT_MAX_SOCKETS).toInt()
    }

    private fun parseCpuShare(settings: JsonObject): Double {
        val limits = settings.objectOrNull("machine_limits")
        return (limits?.amountOrNull("cpu") ?: DEFAULT_CPU_SHARE).coerceIn(MIN_CPU_SHARE, MAX_CPU_SHARE)
    }

    private fun parseAddress(from: JsonObject, name: String): Address =
        Address.parse(from.string(name)) ?: throw MalformedJson("$name: not an address of the form 10.0.0.1:8080")

    private fun positiveAmount(from: JsonObject, name: String): Double =
        from.amount(name).also { if (it <= 0) throw MalformedJson("$name: must be above 0") }

    private fun positiveSeconds(from: JsonObject, name: String): Duration = positiveAmount(from, name).seconds

    /** The limit; null if it is missing or 0, which means no limit. */
    private fun limitOrNull(from: JsonObject, name: String): Double? = from.amountOrNull(name)?.takeIf { it > 0 }
}
