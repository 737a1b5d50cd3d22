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

/** The settings of a node that the scheduler uses. They don't change at run time. */
public class SchedulerConfiguration(
    public val node: NodeName,
    /** The zone of each controller node. */
    public val nodeZones: Map<NodeName, Zone>,
    public val leadershipTimeouts: LeadershipTimeouts,
    public val workerTimeouts: WorkerTimeouts,
    public val teams: Map<TeamName, Team>,
    public val objectives: List<Objective>,
    public val classRules: ClassRules = ClassRules.NONE,
    /** The share of a zone's machines that may be terminated at the same time on suspicion of failure alone. */
    public val suspectedTerminationShare: Double = FleetPolicy().suspectedTerminationShare,
    /** The share of a CPU core available to this node. */
    public val cpuShare: Double = 1.0,
) {
    internal companion object {
        /** The interval of [SchedulerMessage.Tick]. */
        val TICK_INTERVAL: Duration = 100.milliseconds
    }
}
