package org.elderhitch.scheduler

import org.elderhitch.fleet.FleetMessage
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.TaskId
import org.elderhitch.placement.CycleInput
import org.elderhitch.placement.CycleOutput
import org.elderhitch.placement.PlacementDecision
import org.elderhitch.placement.SchedulingCycle
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.WorkerState
import org.elderhitch.tasks.isGang
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs scheduling cycles: builds the input from the task table, carries out the decisions, and reports unplaced tasks
 * to the fleet. Each cycle is followed by a pause of a multiple of its duration, so that heartbeats never wait for
 * several cycles in a row.
 *
 * [onCycle] is called after each cycle with the number of machines that it examined.
 */
internal class CycleRunner(
    private val services: SchedulerServices,
    private val onCycle: (machineVisits: Long) -> Unit,
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val state = services.state
    private val table = services.table
    private val clock = services.clock
    private val leadershipTimeouts = services.configuration.leadershipTimeouts
    private val workerTimeouts = services.configuration.workerTimeouts
    private val demand = DemandReporter(table, services.failureDetector.suspectAfter)

    /** The pause after a cycle, as a multiple of the cycle's duration. */
    private val pauseFactor = CYCLE_SHARE_DIVISOR / services.configuration.cpuShare - 1
    private var lastCycleAt = MonotonicInstant.NEVER
    private var pauseEndsAt = MonotonicInstant.NEVER
    private var demandReportedAt = MonotonicInstant.NEVER

    /** Whether the pause after the last cycle is over. */
    fun isPauseOver(now: MonotonicInstant): Boolean = now > pauseEndsAt

    /** Whether a cycle should run now, because something changed or because of the time since the last one. */
    fun isDue(now: MonotonicInstant): Boolean =
        isPauseOver(now) && (table.needsCycle || now - lastCycleAt > MAX_CYCLE_INTERVAL)

    /** Runs one cycle. [responding]: the worker whose heartbeat is being answered; it needs no separate request. */
    fun run(term: LeadershipTerm, now: MonotonicInstant, responding: WorkerState? = null) {
        if (state.catalog.isEmpty) return
        table.needsCycle = false
        lastCycleAt = now
        drainPreemptedMachines()
        val input = buildInput(term, now)
        val output = SchedulingCycle(input).decide()
        assignAll(term, output.placed, now)
        output.preempted.forEach(::preempt)
        sendUndeliveredCommands(term, now, responding)
        if (now - demandReportedAt > DEMAND_INTERVAL) reportDemand(term, output, now)
        endCycle(input, output, now)
    }

    /**
     * On machines with a preemption notice, cancels unsent starts and stops tasks that can checkpoint in time. Other
     * tasks keep running until the cloud preempts the machine.
     */
    private fun drainPreemptedMachines() {
        for (worker in table.workers.values) {
            val notice = worker.preemptionNotice ?: continue
            for (placement in worker.placements.values.toList()) {
                val job = table.jobs[placement.task.job] ?: continue
                if (placement.stopGrace != null) continue
                if (placement.state == PlacementState.ASSIGNED) table.remove(job, placement)
                if (job.spec.canCheckpoint && job.spec.checkpointDuration < notice) {
                    table.stop(job, placement, checkpointGrace(job.spec))
                }
            }
        }
    }

    private fun buildInput(term: LeadershipTerm, now: MonotonicInstant): CycleInput {
        val catalog = state.catalog
        val machines = term.machines
        val cloud = CloudView(
            catalog,
            state.unavailableMarkets,
            machines.mostlyBooting(catalog, now),
            machines.bootingByType(catalog, now),
        )
        val context = CycleContext(
            term.leader,
            now,
            cloud,
            state.reservations,
            term.takeover.reservedResources(machines.known, catalog),
            term::mayRunUnreported,
        ) { term.isUsable(it, now) }
        return services.cycleInputs.build(context)
    }

    private fun assignAll(term: LeadershipTerm, decisions: List<PlacementDecision>, now: MonotonicInstant) {
        val delays = GangStartDelays(workerTimeouts.gangWait, table, state.catalog).startDelays(decisions)
        for (decision in decisions) assign(term, decision, now, delays[decision.task] ?: Duration.ZERO)
    }

    private fun assign(term: LeadershipTerm, decision: PlacementDecision, now: MonotonicInstant, delay: Duration) {
        val job = table.jobs[decision.task.job] ?: return
        val worker = table.workers[decision.machine] ?: return
        val attempt = attemptFor(term, job, decision) ?: return
        val sendFrom = now + delay
        val sendBy = now + delay + leadershipTimeouts.cycleBudget
        table.place(job, decision.task, attempt, worker, PlacementState.ASSIGNED, sendBy, sendFrom)
        if (log.isDebugEnabled) {
            val cacheGb = state.catalog.types[worker.type]?.cacheGb ?: 0.0
            log.debug(
                "task assigned task={} machine={} spot={} cached={}",
                decision.task,
                decision.machine,
                worker.spot,
                job.spec.image in worker.cachedImages(cacheGb),
            )
        }
    }

    /** Returns a new attempt, or the attempt that all members of the gang share. */
    private fun attemptFor(term: LeadershipTerm, job: JobState, decision: PlacementDecision): Attempt? = when {
        !job.isGang -> term.newAttempt()
        decision.joinAttempt != null -> decision.joinAttempt
        else -> job.gang.attemptFor(job.placements.isNotEmpty(), term::newAttempt)
    }

    /** Stops a task to free capacity for one of higher priority. */
    private fun preempt(task: TaskId) {
        val job = table.jobs[task.job] ?: return
        val placement = job.placements[task.index] ?: return
        services.events.info("task stopped for room", placement.worker.id) {
            "task stopped for room task=$task machine=${placement.worker.id}"
        }
        table.stop(job, placement, if (job.spec.canCheckpoint) checkpointGrace(job.spec) else Duration.ZERO)
    }

    /** Sends nothing if the cycle exceeded its time budget or the leader's command window has ended. */
    private fun sendUndeliveredCommands(term: LeadershipTerm, startedAt: MonotonicInstant, responding: WorkerState?) {
        val decidedAt = clock.now()
        if (term.leader.maySendCommands(decidedAt) && decidedAt - startedAt < leadershipTimeouts.cycleBudget) {
            term.workerMessages.commands.sendUndelivered(term.leader, decidedAt, responding)
        }
    }

    private fun reportDemand(term: LeadershipTerm, output: CycleOutput, now: MonotonicInstant) {
        demandReportedAt = now
        services.ports.fleet(
            FleetMessage.DemandChanged(
                output.unplaced,
                demand.uses(state.catalog, now, term.machines.confirmedUp) { term.isUsable(it, now) },
                demand.services(),
                term.takeover.settled,
                services.failureDetector.partitionedZones,
                output.scarceTypes,
            ),
        )
    }

    private fun endCycle(input: CycleInput, output: CycleOutput, startedAt: MonotonicInstant) {
        onCycle(output.machineVisits + input.machines.size)
        val endedAt = clock.now()
        val took = endedAt - startedAt
        pauseEndsAt = endedAt + minOf(maxOf(MIN_PAUSE, took * pauseFactor), MAX_PAUSE)
        if (took > SLOW_CYCLE) logSlowCycle(input, output, took)
        if (!log.isDebugEnabled) return
        val freeCpus = input.machines.groupBy { it.type }.map { (type, machines) ->
            "$type:${machines.size}:${machines.sumOf { it.load.free.cpus }.toInt()}"
        }
        log.debug(
            "cycle machines={} jobs={} placed={} unplaced={} visits={} kept={} took_ms={} free_cpus={}",
            input.machines.size,
            input.jobs.size,
            output.placed.size,
            output.unplaced.sumOf { it.count },
            output.machineVisits,
            output.reservedMachineCount,
            took.inWholeMilliseconds,
            freeCpus,
        )
    }

    /** Logs a cycle that kept the controller's thread busy for long, with the jobs that have the most pending tasks. */
    private fun logSlowCycle(input: CycleInput, output: CycleOutput, took: Duration) {
        val largest = input.jobs.sortedByDescending { it.pending.size }.take(LOGGED_JOBS)
        log.info(
            "cycle slow took_ms={} machines={} jobs={} visits={} largest_pending={} reservations={}",
            took.inWholeMilliseconds,
            input.machines.size,
            input.jobs.size,
            output.machineVisits,
            largest.map { "${it.spec.id}:${it.spec.jobClass}x${it.pending.size}" },
            input.reservations.sortedByDescending { it.tasks }.take(LOGGED_JOBS).map { "${it.spec.id}x${it.tasks}" },
        )
    }

    private fun checkpointGrace(spec: JobSpec): Duration = spec.checkpointDuration + SAVE_MARGIN

    private companion object {
        val MAX_CYCLE_INTERVAL = 1.seconds
        val MIN_PAUSE = 25.milliseconds
        val MAX_PAUSE = 300.milliseconds

        /** A cycle that takes longer is logged: nothing else on this controller runs meanwhile. */
        val SLOW_CYCLE = 500.milliseconds

        /** The number of jobs and of reservations that the line about a slow cycle names. */
        const val LOGGED_JOBS = 3

        /**
         * The reciprocal of the share of the leader's processor time that scheduling cycles may use. A share of elapsed
         * time instead would be nine tenths of the processor time of a leader with 22% of a core: with 1,182 machines,
         * such a new leader processed only 95 heartbeats per second.
         */
        const val CYCLE_SHARE_DIVISOR = 5.0
        val DEMAND_INTERVAL = 400.milliseconds

        /** Added to the checkpoint duration of a task that is stopped with a checkpoint. */
        val SAVE_MARGIN = 1.seconds
    }
}
