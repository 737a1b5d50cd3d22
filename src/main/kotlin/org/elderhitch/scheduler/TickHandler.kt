package org.elderhitch.scheduler

import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** Handles [SchedulerMessage.Tick]: what is due by time alone, in a fixed order. */
internal class TickHandler(private val services: SchedulerServices, private val cycles: CycleRunner) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val state = services.state
    private val table = services.table
    private val ports = services.ports
    private var figuresPublishedAt = MonotonicInstant.NEVER
    private var imageHintsSavedAt = MonotonicInstant.NEVER

    fun tick() {
        val now = services.clock.now()
        services.pauseDetector.check(now)?.let { log.info("woke up after_ms={}", it.inWholeMilliseconds) }
        services.events.tick()
        state.lastTerm?.statistics?.tick()
        val term = state.currentTerm ?: return services.delegates.checkReachability(now)
        term.settleTakeover()
        services.failureDetector.assess(term.leader, now, term.machines.known)
        if (now - figuresPublishedAt > FIGURES_INTERVAL) publishFigures(term, now)
        if (term.isTableComplete && term.leader.maySendCommands(now)) act(term, now)
    }

    private fun publishFigures(term: LeadershipTerm, now: MonotonicInstant) {
        figuresPublishedAt = now
        services.failureAttribution.reassess(now)
        ports.publishStatistics(term.statistics.snapshot())
        val jobsOnMachines = table.jobs.values.filter { it.placements.isNotEmpty() }
        ports.publishRunningCounts(jobsOnMachines.associate { it.id to it.running })
    }

    /** What only a leader with a complete table may do, and while its window is open. */
    private fun act(term: LeadershipTerm, now: MonotonicInstant) {
        term.workerProber.probeWorkers(term.leader, now, services.failureDetector::isPartitioned)
        services.holds.stopSuspended()
        services.completions.record(term.leader)
        if (now - imageHintsSavedAt > IMAGE_HINTS_INTERVAL) {
            imageHintsSavedAt = now
            ports.saveImageHints(term.leader, table.workers.values.associate { it.id to it.usedImages() })
        }
        if (cycles.isDue(now)) cycles.run(term, now)
    }

    private companion object {
        val FIGURES_INTERVAL = 1.seconds
        val IMAGE_HINTS_INTERVAL = 10.seconds
    }
}
