package org.elderhitch.settings

import org.elderhitch.http.Address
import org.elderhitch.json.MalformedJson
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Another controller of the cluster; [zone] is null if the settings don't specify it. */
public data class Peer(val name: NodeName, val address: Address, val zone: Zone?)

/** The guaranteed resources of a team and its limits; null means no limit. */
public data class Team(
    val name: TeamName,
    val guaranteedCpus: Double,
    val guaranteedGpus: Double,
    val maxCpus: Double?,
    val maxGpus: Double?,
)

/** A service-level objective for the jobs of a class: to start ([kind] `wait`) or to finish [within] a time. */
public data class Objective(val kind: String, val jobClass: String, val within: Duration?)

/** The limits of the state service: the request rates of all controllers together, and the sizes that it accepts. */
public data class StateLimits(val requestsPerS: Double, val writesPerS: Double, val valueBytes: Int, val txnOps: Int)

/** The limits of the cloud's API. Its list of machines may omit a machine for [listLag] after provisioning. */
public data class CloudLimits(val requestsPerS: Double, val listLag: Duration)

/** The content of the platform's settings file, which describes one controller and its environment. */
public data class Settings(
    val node: NodeName,
    val zone: Zone,
    /** The listen address for users, workers and health probes. */
    val clientListen: Address,
    /** The listen address for other controllers. */
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
    /** The fraction of a CPU core that this controller may use, at most 1. */
    val cpuShare: Double,
) {
    /** The zones of the controllers whose zone the settings specify, this one included. */
    val nodeZones: Map<NodeName, Zone>
        get() = peers.mapNotNull { peer -> peer.zone?.let { peer.name to it } }.toMap() + (node to zone)

    /**
     * The job classes whose objective for the start leaves no time to preempt other tasks, which takes two heartbeats,
     * a checkpoint and a scheduling cycle.
     */
    val nonPreemptingClasses: Set<String>
        get() = objectives.filter(::leavesNoTimeToPreempt).map { it.jobClass }.toSet()

    private fun leavesNoTimeToPreempt(objective: Objective): Boolean = objective.kind == OBJECTIVE_START &&
        objective.within != null &&
        objective.within < workers.heartbeatInterval * 2 + CHECKPOINT_AND_CYCLE

    public companion object {
        private const val OBJECTIVE_START = "wait"
        private val CHECKPOINT_AND_CYCLE = 6.seconds

        /** Parses the settings from JSON. Throws [MalformedJson], whose message names the invalid field. */
        public fun parse(bytes: ByteArray): Settings = SettingsParser.parse(bytes)
    }
}
