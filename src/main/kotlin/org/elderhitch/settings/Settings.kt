package org.elderhitch.settings

import org.elderhitch.http.Address
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@JvmInline
public value class NodeName(public val text: String) {
    override fun toString(): String = text
}

@JvmInline
public value class Zone(public val name: String) {
    override fun toString(): String = name
}

@JvmInline
public value class TeamName(public val text: String) {
    override fun toString(): String = text
}

/** [zone]: null if the settings don't say. */
public data class Peer(val name: NodeName, val address: Address, val zone: Zone?)

/** What a team is promised and what it may use at most; null: no limit. */
public data class Team(
    val name: TeamName,
    val guaranteedCpus: Double,
    val guaranteedGpus: Double,
    val mostCpus: Double?,
    val mostGpus: Double?,
)

/** An aim of the deployment that names a class: started or finished [within] a time. */
public data class Objective(val kind: String, val jobClass: String, val within: Duration?)

public data class WorkerTimeouts(
    val report: Duration,
    val lease: Duration,
    val gangWait: Duration,
    val gangPeer: Duration,
    val cancel: Duration,
) {
    /** The longest that a worker leaves between two reports: they come a quarter early or late. */
    public val heartbeatDeadline: Duration get() = report * REPORT_SPREAD

    /**
     * For how long after a job has ended here a task of it may yet be found on a machine: what its user was told of it
     * may be known here a lease earlier than to whoever
     * kept it, and that one's machines are silent for a lease.
     */
    public val taskRetention: Duration get() = cancel + lease * 2

    public companion object {
        private const val REPORT_SPREAD = 1.25

        /** Workers wait so long for the answer to a report. */
        public val ANSWER_WAIT: Duration = 4.seconds
    }
}

public data class StateLimits(val requestsPerS: Double, val writesPerS: Double, val valueBytes: Int, val txnOps: Int)

public data class CloudLimits(val requestsPerS: Double, val listLag: Duration)

/** The platform's settings file. */
public data class Settings(
    val node: NodeName,
    val zone: Zone,
    val clientListen: Address,
    val clusterListen: Address,
    val peers: List<Peer>,
    val cloud: Address,
    val state: Address,
    val zones: List<Zone>,
    val teams: Map<TeamName, Team>,
    val objectives: List<Objective>,
    val workers: WorkerTimeouts,
    val stateLimits: StateLimits,
    val cloudLimits: CloudLimits,
    val maxSockets: Int,
    /** The part of a processor core that this node has; 1 if the settings don't say. */
    val cpuShare: Double,
) {
    /** Where each controller is, as far as the settings say. */
    val nodeZones: Map<NodeName, Zone> get() = peers.mapNotNull { peer -> peer.zone?.let { peer.name to it } }.toMap() +
        (node to zone)

    /**
     * Classes whose aim on starting leaves no time to stop other work first: a save, two reports and a scheduling
     * cycle.
     */
    val instantClasses: Set<String>
        get() = objectives.filter {
            it.kind == "wait" && it.within != null && it.within < workers.report * 2 + STOPPING
        }.map { it.jobClass }.toSet()

    public companion object {
        private const val DEFAULT_SOCKETS = 1024L

        /** A smaller share than that is a slip of the pen. */
        private const val LEAST_CPU = 0.02
        private const val KIB = 1024
        private val STOPPING = 6.seconds

        /** Throws [MalformedJson] naming the field that is wrong. */
        public fun parse(bytes: ByteArray): Settings {
            val top = Json.parseObject(bytes)
            val external = top.obj("external")
            val settings = top.obj("settings")
            val workers = settings.obj("workers")
            val state = settings.obj("state")
            val cloud = settings.obj("cloud")
            return Settings(
                node = NodeName(top.string("node_name")),
                zone = Zone(top.stringOrNull("zone").orEmpty()),
                clientListen = address(top, "client_listen"),
                clusterListen = address(top, "cluster_listen"),
                peers = top.objects("known").map {
                    Peer(NodeName(it.string("node_name")), address(it, "address"), it.stringOrNull("zone")?.let(::Zone))
                },
                cloud = address(external, "cloud"),
                state = address(external, "state"),
                zones = settings.stringsOrNull("zones").orEmpty().map(::Zone),
                teams = settings.objects("teams").map(::team).associateBy { it.name },
                objectives = settings.objects("objectives").mapNotNull(::objective),
                workers = WorkerTimeouts(
                    positive(workers, "report_s"),
                    positive(workers, "lease_s"),
                    positive(workers, "gang_wait_s"),
                    positive(workers, "gang_peer_s"),
                    positive(workers, "cancel_s"),
                ),
                stateLimits = StateLimits(
                    positiveAmount(state, "rps"),
                    positiveAmount(state, "write_rps"),
                    (positiveAmount(state, "value_kb") * KIB).toInt(),
                    positiveAmount(state, "txn_ops").toInt(),
                ),
                cloudLimits = CloudLimits(positiveAmount(cloud, "rps"), cloud.amount("list_lag_s").seconds),
                maxSockets = (
                    settings.objectOrNull(
                        "machine_limits",
                    )?.longOrNull("max_sockets") ?: DEFAULT_SOCKETS
                    ).toInt(),
                cpuShare = (
                    settings.objectOrNull(
                        "machine_limits",
                    )?.amountOrNull("cpu") ?: 1.0
                    ).coerceIn(LEAST_CPU, 1.0),
            )
        }

        private fun address(from: JsonObject, name: String): Address =
            Address.parse(from.string(name)) ?: throw MalformedJson("$name: not an address of the form 10.0.0.1:8080")

        private fun positiveAmount(from: JsonObject, name: String): Double =
            from.amount(name).also { if (it <= 0) throw MalformedJson("$name: must be above 0") }

        private fun positive(from: JsonObject, name: String): Duration = positiveAmount(from, name).seconds

        private fun limit(from: JsonObject, name: String): Double? = from.amountOrNull(name)?.takeIf { it > 0 }

        private fun team(from: JsonObject): Team = Team(
            TeamName(from.string("name")),
            from.amountOrNull("cpus") ?: 0.0,
            from.amountOrNull("gpus") ?: 0.0,
            limit(from, "cpus_max"),
            limit(from, "gpus_max"),
        )

        private fun objective(from: JsonObject): Objective? {
            val jobClass = from.stringOrNull("class") ?: return null
            val within = from.amountOrNull("within_s")?.seconds ?: from.amountOrNull("within_ms")?.milliseconds
            return Objective(from.string("kind"), jobClass, within)
        }
    }
}
