package org.elderhitch.scheduler

import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.jobs.ClassRules
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Objective
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.settings.Zone
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The settings of a node that its scheduler depends on; they never change while it runs. */
public class SchedulerConfiguration(
    public val node: NodeName,
    /** Every controller node with its zone. */
    public val nodeZones: Map<NodeName, Zone>,
    public val leadershipTimeouts: LeadershipTimeouts,
    public val workerTimeouts: WorkerTimeouts,
    public val teams: Map<TeamName, Team>,
    public val objectives: List<Objective>,
    public val classRules: ClassRules = ClassRules.NONE,
    /** The share of a zone's machines that may be terminated at once on suspicion alone. */
    public val suspectedTerminationShare: Double = FleetPolicy().suspectedTerminationShare,
    /** The share of a processor core that this node has. */
    public val cpuShare: Double = 1.0,
) {
    internal companion object {
        /** The interval of [SchedulerMessage.Tick]. */
        val TICK: Duration = 100.milliseconds
    }
}
