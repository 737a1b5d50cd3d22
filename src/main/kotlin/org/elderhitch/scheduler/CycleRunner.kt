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
 * Runs scheduling cycles: builds the input from the task table, carries out the decisions, and tells the fleet what
 * found no machine. Cycles are kept apart by a multiple of what one takes, so that heartbeats never wait behind a row
 * of them.
 *
 * [onCycle] is told how many machines the cycle looked at.
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

    /** How many times as long as a cycle took the pause after it lasts. */
    private val pauseFactor = CYCLE_SHARE_DIVISOR / services.configuration.cpuShare - 1
    private var lastCycleAt = MonotonicInstant.NEVER
    private var pauseEndsAt = MonotonicInstant.NEVER
    private var demandReportedAt = MonotonicInstant.NEVER

    /** Whether the pause after the last cycle is over. */
    fun isRested(now: MonotonicInstant): Boolean = now > pauseEndsAt

    /** Whether a cycle should run now because something changed, or because the last one was long ago. */
    fun isDue(now: MonotonicInstant): Boolean = isRested(now) && (table.dirty || now - lastCycleAt > MAX_CYCLE_INTERVAL)

    /** Runs one cycle. [responding]: the worker whose heartbeat is being answered, which needs no separate request. */
    fun run(term: LeadershipTerm, now: MonotonicInstant, responding: WorkerState? = null) {
        if (state.catalog.isEmpty) return
        table.dirty = false
        lastCycleAt = now
        drainPreempted()
        val input = buildInput(term, now)
        val output = SchedulingCycle(input).decide()
        assignAll(term, output.placed, now)
        output.preempted.forEach(::preempt)
        sendUrgent(term, now, responding)
        if (now - demandReportedAt > DEMAND_INTERVAL) reportDemand(term, output, now)
        finish(input, output, now)
    }

    /**
     * On machines that the cloud takes back, tasks that can save do so; those that can't run on as long as they may.
     */
    private fun drainPreempted() {
        for (worker in table.workers.values) {
            val notice = worker.preemptionNotice ?: continue
            for (placement in worker.placements.values.toList()) {
                val job = table.jobs[placement.task.job] ?: continue
                if (placement.stopGrace != null) continue
                if (placement.state == PlacementState.ASSIGNED) table.remove(job, placement)
                if (job.spec.takesCheckpoints && job.spec.checkpointDuration < notice) {
                    table.stop(job, placement, saveGrace(job.spec))
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
            machines.booting(catalog, now),
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
        val delays = GangStart(workerTimeouts.gangWait, table, state.catalog).startDelays(decisions)
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

    /** All members of a gang share one attempt. */
    private fun attemptFor(term: LeadershipTerm, job: JobState, decision: PlacementDecision): Attempt? = when {
        !job.isGang -> term.newAttempt()
        decision.joinAttempt != null -> decision.joinAttempt
        else -> job.gang.attemptFor(job.placements.isNotEmpty(), term::newAttempt)
    }

    /** Stops a task to make room for a more important one. */
    private fun preempt(task: TaskId) {
        val job = table.jobs[task.job] ?: return
        val placement = job.placements[task.index] ?: return
        services.events.info("task stopped for room", placement.worker.id) {
            "task stopped for room task=$task machine=${placement.worker.id}"
        }
        table.stop(job, placement, if (job.spec.takesCheckpoints) saveGrace(job.spec) else Duration.ZERO)
    }

    /** A cycle that took longer than its budget sends nothing, and neither does a leader whose window has closed. */
    private fun sendUrgent(term: LeadershipTerm, began: MonotonicInstant, responding: WorkerState?) {
        val decidedAt = clock.now()
        if (term.leader.maySendCommands(decidedAt) && decidedAt - began < leadershipTimeouts.cycleBudget) {
            term.workerMessages.commands.sendUndelivered(term.leader, decidedAt, responding)
        }
    }

    private fun reportDemand(term: LeadershipTerm, output: CycleOutput, now: MonotonicInstant) {
        demandReportedAt = now
        services.ports.fleet(
            FleetMessage.DemandChanged(
                output.unplaced,
                demand.uses(state.catalog, now, term.machines.cleared) { term.isUsable(it, now) },
                demand.services(),
                term.takeover.settled,
                services.failureDetector.partitionedZones,
                output.scarceTypes,
            ),
        )
    }

    private fun finish(input: CycleInput, output: CycleOutput, began: MonotonicInstant) {
        onCycle(output.machineVisits + input.machines.size)
        val ended = clock.now()
        pauseEndsAt = ended + minOf(maxOf(MIN_PAUSE, (ended - began) * pauseFactor), MAX_PAUSE)
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
            output.reservedMachines,
            (ended - began).inWholeMilliseconds,
            freeCpus,
        )
    }

    private fun saveGrace(spec: JobSpec): Duration = spec.checkpointDuration + SAVE_MARGIN

    private companion object {
        val MAX_CYCLE_INTERVAL = 1.seconds
        val MIN_PAUSE = 25.milliseconds
        val MAX_PAUSE = 300.milliseconds

        /**
         * Scheduling cycles get at most one part in so many of the processor time that the leader has. Measured by
         * elapsed time instead, that part is nine tenths of 22% of a core: a new leader of 1,182 machines then took in
         * heartbeats at 95 a second.
         */
        const val CYCLE_SHARE_DIVISOR = 5.0
        val DEMAND_INTERVAL = 400.milliseconds

        /** Given to a task on top of the time that it takes to save. */
        val SAVE_MARGIN = 1.seconds
    }
}
