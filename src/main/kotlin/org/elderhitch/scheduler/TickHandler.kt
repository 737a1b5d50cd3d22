package org.elderhitch.scheduler

import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** Handles [SchedulerMessage.Tick]: runs periodic work in a fixed order. */
internal class TickHandler(private val services: SchedulerServices, private val cycles: CycleRunner) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val state = services.state
    private val table = services.table
    private val ports = services.ports
    private var statisticsPublishedAt = MonotonicInstant.NEVER
    private var imageHintsSavedAt = MonotonicInstant.NEVER

    fun tick() {
        val now = services.clock.now()
        services.pauseDetector.check(now)?.let { log.info("woke up after_ms={}", it.inWholeMilliseconds) }
        services.events.tick()
        state.lastTerm?.statistics?.tick()
        val term = state.currentTerm ?: return services.delegates.startPartitionCheck(now)
        term.settleTakeover()
        services.failureDetector.assess(term.leader, now, term.machines.known)
        if (now - statisticsPublishedAt > STATISTICS_INTERVAL) publishStatistics(term, now)
        if (term.isTableComplete && term.leader.maySendCommands(now)) runLeaderWork(term, now)
    }

    private fun publishStatistics(term: LeadershipTerm, now: MonotonicInstant) {
        statisticsPublishedAt = now
        services.failureAttribution.reassess(now)
        ports.publishStatistics(term.statistics.snapshot())
        val jobsOnMachines = table.jobs.values.filter { it.placements.isNotEmpty() }
        ports.publishRunningCounts(jobsOnMachines.associate { it.id to it.running })
    }

    /** Runs the work that requires a complete task table and an open command window. */
    private fun runLeaderWork(term: LeadershipTerm, now: MonotonicInstant) {
        term.workerProber.probeWorkers(term.leader, now, services.failureDetector::isPartitioned)
        services.holds.stopSuspendedJobs()
        services.completions.record(term.leader)
        if (now - imageHintsSavedAt > IMAGE_HINTS_SAVE_INTERVAL) {
            imageHintsSavedAt = now
            ports.saveImageHints(term.leader, table.workers.values.associate { it.id to it.usedImages() })
        }
        if (cycles.isDue(now)) cycles.run(term, now)
    }

    private companion object {
        val STATISTICS_INTERVAL = 1.seconds
        val IMAGE_HINTS_SAVE_INTERVAL = 10.seconds
    }
}
