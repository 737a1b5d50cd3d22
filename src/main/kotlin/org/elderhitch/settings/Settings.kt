package org.elderhitch.settings

import org.elderhitch.http.Address
import org.elderhitch.json.MalformedJson
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Another controller of the cluster. [zone] is null if the settings don't name it. */
public data class Peer(val name: NodeName, val address: Address, val zone: Zone?)

/** A team's guaranteed resources and its limits; a limit that is null doesn't apply. */
public data class Team(
    val name: TeamName,
    val guaranteedCpus: Double,
    val guaranteedGpus: Double,
    val mostCpus: Double?,
    val mostGpus: Double?,
)

/** A service-level objective for the jobs of a class: started ([kind] `wait`) or finished [within] a time. */
public data class Objective(val kind: String, val jobClass: String, val within: Duration?)

/** The limits of the state service: its request rates for all controllers together, and the sizes that it accepts. */
public data class StateLimits(val requestsPerS: Double, val writesPerS: Double, val valueBytes: Int, val txnOps: Int)

/** The limits of the cloud's API. A machine may be missing from its list for [listLag] after it was provisioned. */
public data class CloudLimits(val requestsPerS: Double, val listLag: Duration)

/** The platform's settings file, which describes one controller and its surroundings. */
public data class Settings(
    val node: NodeName,
    val zone: Zone,
    /** Where users, workers and probes are served. */
    val clientListen: Address,
    /** Where other controllers are served. */
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
    /** The share of a processor core that this controller has, at most 1. */
    val cpuShare: Double,
) {
    /** The zone of each controller, as far as the settings name it. */
    val nodeZones: Map<NodeName, Zone>
        get() = peers.mapNotNull { peer -> peer.zone?.let { peer.name to it } }.toMap() + (node to zone)

    /**
     * Classes whose objective for the start is too short to preempt other tasks first, which takes two heartbeats,
     * the time to save a task's state, and a scheduling cycle.
     */
    val instantClasses: Set<String>
        get() = objectives.filter(::isInstant).map { it.jobClass }.toSet()

    private fun isInstant(objective: Objective): Boolean = objective.kind == OBJECTIVE_START &&
        objective.within != null &&
        objective.within < workers.heartbeatInterval * 2 + SAVE_AND_CYCLE

    public companion object {
        private const val OBJECTIVE_START = "wait"
        private val SAVE_AND_CYCLE = 6.seconds

        /** Reads the settings from JSON. Throws [MalformedJson], whose message names the field that is wrong. */
        public fun parse(bytes: ByteArray): Settings = SettingsParser.parse(bytes)
    }
}
