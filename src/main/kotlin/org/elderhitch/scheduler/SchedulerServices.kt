package org.elderhitch.scheduler

import org.elderhitch.delegates.ZoneDelegates
import org.elderhitch.failuredetection.FailureAttribution
import org.elderhitch.failuredetection.FailureDetectionSettings
import org.elderhitch.failuredetection.FailureDetector
import org.elderhitch.failuredetection.PauseDetector
import org.elderhitch.heartbeat.LeaseTimeouts
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.tasks.CompletionReporter
import org.elderhitch.tasks.TaskTable
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallClock
import org.slf4j.LoggerFactory

/**
 * The components of the scheduler that outlive a term: those that track jobs on followers too, and those whose state is
 * kept across terms, such as the failure detector's view of each zone. [LeadershipTerm] has the components of a single
 * term.
 */
internal class SchedulerServices(
    val configuration: SchedulerConfiguration,
    val clock: SteadyClock,
    wallClock: WallClock,
    val ports: SchedulerPorts,
    openProviderJob: (JobId) -> JobEvent.Opened?,
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    val state = SchedulerState()
    val table = TaskTable(clock, configuration.workerTimeouts.taskRetention, openProviderJob)
    val events = EventLog(clock, log::info, log::error)
    val leaseTimeouts = LeaseTimeouts(configuration.workerTimeouts.lease)
    val failureAttribution = FailureAttribution(table)
    val pauseDetector = PauseDetector(SchedulerConfiguration.TICK_INTERVAL)
    val delegates = ZoneDelegates(
        configuration.node,
        configuration.nodeZones,
        configuration.leadershipTimeouts,
        table,
        { requireTerm().takeover },
        { requireTerm().machines },
        ports,
    )
    val failureDetector = FailureDetector(
        FailureDetectionSettings(
            configuration.workerTimeouts,
            leaseTimeouts,
            SchedulerConfiguration.TICK_INTERVAL,
            configuration.nodeZones.values.toSet(),
            configuration.suspectedTerminationShare,
        ),
        table,
        { requireTerm().takeover },
        { requireTerm().workerProber },
        pauseDetector,
        delegates,
        events,
        ports,
    )
    val holds = JobHolds(table, configuration.classRules, ports)
    val completions = CompletionReporter(table, clock, wallClock, ports)
    val cycleInputs = CycleInputBuilder(table, failureAttribution, configuration.teams, configuration.objectives)

    /** For components that are called only while this node leads, and so when there is a term. */
    private fun requireTerm(): LeadershipTerm = checkNotNull(state.lastTerm) { "this node has not led any term yet" }
}
