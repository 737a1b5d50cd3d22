package org.elderhitch.scheduler

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.actor.Actor
import org.elderhitch.delegates.ZoneDelegates
import org.elderhitch.explain.JobExplainer
import org.elderhitch.failuredetection.FailureAttribution
import org.elderhitch.failuredetection.FailureDetectionSettings
import org.elderhitch.failuredetection.FailureDetector
import org.elderhitch.failuredetection.PauseDetector
import org.elderhitch.failuredetection.WorkerProber
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.Market
import org.elderhitch.heartbeat.CommandDispatcher
import org.elderhitch.heartbeat.CommandPlanner
import org.elderhitch.heartbeat.Heartbeat
import org.elderhitch.heartbeat.HeartbeatHandler
import org.elderhitch.heartbeat.HeartbeatResponse
import org.elderhitch.heartbeat.LeaseTimeouts
import org.elderhitch.heartbeat.MessageRecorder
import org.elderhitch.heartbeat.ProbeResultHandler
import org.elderhitch.heartbeat.ReceivedHeartbeat
import org.elderhitch.heartbeat.WorkerDirectory
import org.elderhitch.heartbeat.WorkerReconciler
import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.ClassRules
import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.HoldResult
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TaskId
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.leadership.Term
import org.elderhitch.placement.CapacityReservation
import org.elderhitch.placement.CycleInput
import org.elderhitch.placement.CycleOutput
import org.elderhitch.placement.SchedulingCycle
import org.elderhitch.recovery.ReconciliationStatistics
import org.elderhitch.recovery.Takeover
import org.elderhitch.recovery.TaskReconciler
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Objective
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.settings.Zone
import org.elderhitch.tasks.CompletionReporter
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.MachineRegistry
import org.elderhitch.tasks.Placement
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.tasks.isGang
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The leader's view of workers and tasks: rebuilt from reports in each term, changed by reports and scheduling cycles.
 * Follows the
 * jobs in every role, so that a new term begins with a complete table.
 */
public class SchedulerActor(
    scope: CoroutineScope,
    private val times: LeadershipTimeouts,
    private val workerTimes: WorkerTimeouts,
    teams: Map<TeamName, Team>,
    objectives: List<Objective>,
    own: NodeName,
    nodeZones: Map<NodeName, Zone>,
    private val clock: SteadyClock,
    private val ports: SchedulerPorts,
    wallClock: WallClock,
    rules: ClassRules = ClassRules.NONE,
    private val onCycle: (looks: Long) -> Unit = {},
    suspectedTerminationShare: Double = FleetPolicy().suspectedTerminationShare,
    /** The part of a core that this node has. */
    cpuShare: Double = 1.0,
    keeps: (JobId) -> JobEvent.Opened? = { null },
) : Actor<SchedulerMessage>(scope) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val table = TaskTable(clock, workerTimes.taskRetention, keeps)
    private val events = EventLog(clock, log::info, log::error)
    private val reconciliations = ReconciliationStatistics(clock)
    private val leases = LeaseTimeouts(workerTimes.lease)
    private val takeover = Takeover(times, leases, clock)
    private val faults = FailureAttribution(table)
    private val taskReconciler = TaskReconciler(table, faults, clock, events, reconciliations::count)
    private val commands = CommandPlanner(table, reconciliations.actions)
    private val pauseDetector = PauseDetector(TICK)
    private val workerProber = WorkerProber(table, takeover, workerTimes, pauseDetector, ports, reconciliations.actions)
    private val machineRegistry = MachineRegistry()
    private val delegates = ZoneDelegates(own, nodeZones, times, table, takeover, machineRegistry, ports)
    private val failureDetector =
        FailureDetector(
            FailureDetectionSettings(
                workerTimes,
                leases,
                TICK,
                nodeZones.values.toSet(),
                suspectedTerminationShare,
            ),
            table,
            takeover,
            workerProber,
            pauseDetector,
            delegates,
            events,
            ports,
        )
    private val consolidation = Consolidation(table)
    private val cycleInputBuilder = CycleInputBuilder(table, faults, teams, objectives)
    private val demand = DemandReporter(table, failureDetector.suspectAfter)
    private val holds = JobHolds(table, rules, ports)
    private val news = CompletionReporter(table, clock, wallClock, ports)
    private val explanation = JobExplainer(table, faults, takeover, failureDetector, machineRegistry, teams)
    private val workerDirectory = WorkerDirectory(table) { hinted[it] }
    private val messageRecorder =
        MessageRecorder(
            table,
            machineRegistry,
            failureDetector,
            workerProber,
            events,
            ports,
            reconciliations.actions,
        )
    private val workerReconciler = WorkerReconciler(table, takeover, taskReconciler, events, ::checkTakeover)
    private val heartbeatHandler =
        HeartbeatHandler(workerDirectory, messageRecorder, workerReconciler, commands, takeover, ports)
    private val commandDispatcher =
        CommandDispatcher(
            table,
            commands,
            workerTimes.heartbeatInterval,
            messageRecorder,
            workerReconciler,
            events,
            ports,
        )
    private val probeResultHandler =
        ProbeResultHandler(
            workerDirectory,
            machineRegistry,
            workerProber,
            messageRecorder,
            workerReconciler,
            reconciliations.actions,
            ports,
        )
    private var hinted: Map<MachineId, Map<Image, Double>> = emptyMap()
    private var lastHint = MonotonicInstant.NEVER
    private var keptFree: List<CapacityReservation> = emptyList()

    /** Where the cloud had nothing to rent out when it was last asked. */
    private var refused: Set<Market> = emptySet()
    private var leadershipState: LeadershipState = LeadershipState.Follower(null, Term.NONE)
    private var catalog: Catalog = Catalog.EMPTY
    private var tableComplete = false
    private var nextAttempt = 0L
    private var lastCycle = MonotonicInstant.NEVER

    /**
     * Scheduling cycles keep apart by a multiple of what one takes: answers and renewals never wait behind a row of
     * them.
     */
    private var cycleAgain = MonotonicInstant.NEVER
    private val cycleRest = CYCLE_PART / cpuShare - 1
    private var lastCounts = MonotonicInstant.NEVER
    private var lastDemand = MonotonicInstant.NEVER

    override fun start() {
        super.start()
        table.onTaskLost = ::lost
        table.onTaskCompleted = { job, placement -> cycleInputBuilder.completed(job, placement, clock.now()) }
        scope.launch {
            while (true) {
                delay(TICK)
                tell(SchedulerMessage.Tick)
            }
        }
    }

    override fun isUrgent(message: SchedulerMessage): Boolean = message is SchedulerMessage.Knowledge

    override fun receive(message: SchedulerMessage) {
        when (message) {
            is SchedulerMessage.HeartbeatReceived -> message.reply.complete(report(message.heartbeat))

            is SchedulerMessage.JobChanged -> jobEvent(message.event)

            is SchedulerMessage.LeadershipChanged -> tenureIs(message.leadershipState)

            is SchedulerMessage.JobsLoaded -> if (message.term == term()) {
                tableComplete = true
                table.dirty = true
            }

            is SchedulerMessage.InventoryLoaded -> inventory(message)

            is SchedulerMessage.MachineProvisioned -> {
                machineRegistry.provisioned(message.machine, clock.now())
                table.dirty = true
            }

            is SchedulerMessage.MachineUsable -> {
                machineRegistry.markCleared(message.machine)
                table.dirty = true
            }

            is SchedulerMessage.MachineTerminated -> machineGone(message.machine, message.proof)

            is SchedulerMessage.CatalogChanged -> {
                catalog = message.catalog
                table.dirty = true
            }

            is SchedulerMessage.ImageHintsLoaded -> if (currentLeadership() == null) hinted = message.images

            is SchedulerMessage.PreviousLeaderEnded -> if (message.term == term()) takeover.previousLeaderEnded = true

            is SchedulerMessage.PreviousLeadersStopped -> if (message.term == term()) takeover.previousLeadersStopped()

            is SchedulerMessage.CapacityReserved -> {
                keptFree = message.reservations
                refused = message.unavailableMarkets
            }

            is SchedulerMessage.CompletionsRecorded -> if (message.term == term()) news.onRecorded(message.completedTasks)

            is SchedulerMessage.CommandsDelivered -> currentLeadership()?.takeIf {
                it.term == message.term
            }?.let { commandDispatcher.handleOutcome(it, message, clock.now()) }

            is SchedulerMessage.MachinesListed -> workerProber.updateListing(message.addresses)

            is SchedulerMessage.ProbeCompleted -> currentLeadership()?.takeIf {
                it.term == message.term
            }?.let { probeResultHandler.handle(it, message.machine, message.outcome, clock.now(), tableComplete) }

            is SchedulerMessage.DrainMachine -> drain(message.machine)

            is SchedulerMessage.CordonMachines -> cordon(message.machines)

            is SchedulerMessage.TerminationCancelled -> table.workers[message.machine]?.let {
                failureDetector.onTerminationCancelled(it)
            }

            is SchedulerMessage.HoldJob -> hold(message)

            is SchedulerMessage.HoldWritten -> if (message.term == term()) holds.written(message.id, message.outcome)

            is SchedulerMessage.GetAccount -> message.reply.complete(
                currentLeadership()?.let { l ->
                    table.jobs[message.id]?.let { news.account(l, it) }
                },
            )

            is SchedulerMessage.ExplainJob -> message.reply.complete(
                currentLeadership()?.let {
                    explanation.of(it, message.id, catalog, refused, clock.now(), tableComplete) { w ->
                        usable(w, clock.now())
                    }
                },
            )

            is SchedulerMessage.GetPlacements -> message.reply.complete(
                currentLeadership()?.takeIf {
                    tableComplete
                }?.let { table.locations() },
            )

            is SchedulerMessage.GetFaultyJobs -> message.reply.complete(
                currentLeadership()?.takeIf { tableComplete }?.let {
                    table.jobs.values.filter {
                        !it.isTerminal &&
                            faults.isFaulty(it)
                    }.map { it.id }.toSet()
                },
            )

            is SchedulerMessage.RequestDelegation -> message.reply.complete(
                currentLeadership()?.let {
                    delegates.grantDelegation(it, message.node, tableComplete, clock.now())
                },
            )

            is SchedulerMessage.DelegationGranted -> delegates.acceptGrant(message.grant)

            SchedulerMessage.Tick -> tick()
        }
    }

    private fun currentLeadership(): LeadershipState.Leader? = leadershipState as? LeadershipState.Leader

    private fun term(): Term? = currentLeadership()?.term

    // ---- terms -------------------------------------------------------------------------------------------------

    private fun tenureIs(next: LeadershipState) {
        val before = term()
        leadershipState = next
        if (next is LeadershipState.Follower) delegates.observeTerm(next.term)
        val leadership = currentLeadership()
        if (leadership == null || leadership.term == before) return
        table.newTerm()
        delegates.newTerm()
        takeover.begin(leadership)
        workerProber.newTerm()
        failureDetector.newTerm()
        consolidation.newTerm()
        holds.newTerm()
        reconciliations.newTerm(leadership)
        machineRegistry.newTerm()
        tableComplete = false
        nextAttempt = leadership.term.number shl ATTEMPTS_PER_TERM_BITS
        news.newTerm()
    }

    private fun inventory(message: SchedulerMessage.InventoryLoaded) {
        if (message.term != term()) return
        machineRegistry.load(message.possiblyBusy, message.neverUsed, clock.now())
        takeover.expect(
            message.possiblyBusy.map { it.id }.filter {
                table.workers[it]?.reconciled != true &&
                    it !in machineRegistry.gone
            }.toSet(),
        )
        table.dirty = true
        checkTakeover()
    }

    private fun checkTakeover() {
        if (!takeover.trySettle()) return
        table.dirty = true
        reconciliations.settled()
    }

    private fun jobEvent(event: JobEvent) {
        if (event !is JobEvent.FreshAsOf) table.dirty = true
        when (event) {
            is JobEvent.Opened -> {
                log.debug(
                    "job opened job={} class={} tasks={} image={}",
                    event.spec.id,
                    event.spec.jobClass,
                    event.spec.tasks,
                    event.spec.image,
                )
                cycleInputBuilder.opened(event.spec, clock.now())
                table.open(event)
            }

            is JobEvent.TasksCompleted -> table.recordCompletions(event)

            is JobEvent.Ended -> table.jobs[event.id]?.let { job ->
                val leadership = currentLeadership()
                if (leadership != null && job.recorded.count > 0) {
                    val blocks = (0 until job.spec.tasks).filter {
                        it in job.recorded
                    }.map(CompletedTasks::blockOf).toSet()
                    ports.deleteCompletions(leadership, job.id, blocks)
                }
                holds.ended(job.id)
                if (leadership != null && job.storedHold != null) ports.deleteHold(leadership, job.id)
                table.markTerminal(job)
            }

            is JobEvent.HoldChanged -> holds.heard(currentLeadership(), event.id, event.storedHold)

            is JobEvent.FreshAsOf -> {
                table.freshAsOf = event.since
                ports.leadership(LeadershipMessage.FreshAsOf(event.since))
            }
        }
    }

    private fun hold(message: SchedulerMessage.HoldJob) {
        val leadership = currentLeadership()
        if (leadership == null || !tableComplete || !leadership.maySendCommands(clock.now())) {
            message.reply.complete(HoldResult.NotNow("no leader here that may command"))
            return
        }
        holds.ask(leadership, message.id, message.kind, message.reason, {
            takeover.mayRunUnreported(it, machineRegistry.known, catalog)
        }, message.reply)
    }

    private fun lost(job: JobState, placement: Placement) {
        job.usage.recordLoss(job, placement, clock.now(), holds.counts(job))
        val leadership = currentLeadership() ?: return
        // A hold stands beside the job's own record, and a kept job has none.
        if (holds.counts(job) && !job.providerOwned) holds.failed(leadership, job, placement.task.index)
    }

    // ---- workers -----------------------------------------------------------------------------------------------

    private fun report(report: Heartbeat): HeartbeatResponse {
        val now = clock.now()
        val leadership =
            currentLeadership()
                ?: return delegates.respond(report, now)
                    ?: HeartbeatResponse.Redirect((leadershipState as? LeadershipState.Follower)?.leader)
        return heartbeatHandler.handle(ReceivedHeartbeat(report, leadership, tableComplete, now)) { worker ->
            if (table.dirty &&
                leadership.maySendCommands(now) &&
                now > cycleAgain
            ) {
                cycle(leadership, now, answering = worker)
            }
        }
    }

    private fun machineGone(id: MachineId, proof: String) {
        machineRegistry.markGone(id)
        takeover.markAccounted(id)
        table.workers.remove(id)?.let { worker ->
            if (worker.releaseRequestedAt != MonotonicInstant.NEVER) reconciliations.actions.recordSuspectGone(id, clock.now())
            events.info("worker gone", id) { "worker settled machine=$id by=$proof tasks=${worker.placements.size}" }
            table.removeAllOf(worker)
        }
        table.dirty = true
        checkTakeover()
    }

    // ---- scheduling cycles
    // ------------------------------------------------------------------------------------------------

    private fun tick() {
        val now = clock.now()
        pauseDetector.check(now)?.let { log.info("woke up after_ms={}", it.inWholeMilliseconds) }
        events.tick()
        reconciliations.tick()
        val leadership = currentLeadership() ?: return delegates.checkReachability(now)
        checkTakeover()
        failureDetector.assess(leadership, now, machineRegistry.known)
        if (now - lastCounts > COUNTS_EVERY) {
            lastCounts = now
            faults.reassess(now)
            ports.publishStatistics(reconciliations.snapshot())
            ports.publishRunningCounts(table.jobs.values.filter { it.placements.isNotEmpty() }.associate { it.id to it.running })
        }
        if (!tableComplete || !leadership.maySendCommands(now)) return
        workerProber.probeWorkers(leadership, now, failureDetector::isPartitioned)
        holds.stopSuspended()
        news.record(leadership)
        if (now - lastHint > HINT_EVERY) {
            lastHint = now
            ports.saveImageHints(leadership, table.workers.values.associate { it.id to it.usedImages() })
        }
        if (now > cycleAgain && (table.dirty || now - lastCycle > CYCLE_EVERY)) cycle(leadership, now)
    }

    private fun cycle(leadership: LeadershipState.Leader, now: MonotonicInstant, answering: WorkerState? = null) {
        if (catalog.isEmpty) return
        table.dirty = false
        lastCycle = now
        drainNoticed()
        val usable = { worker: WorkerState -> usable(worker, now) }
        val input = cycleInputBuilder.input(
            leadership, {
                takeover.mayRunUnreported(it, machineRegistry.known, catalog)
            },
            takeover.reservedResources(
                machineRegistry.known,
                catalog,
            ),
            catalog, keptFree, now,
            machineRegistry.mostlyBooting(
                catalog,
                now,
            ),
            machineRegistry.booting(catalog, now), refused, usable,
        )
        val output = SchedulingCycle(input).decide()
        val held = GangStart(workerTimes.gangWait, table, catalog).heldBack(output.placed)
        for (placed in output.placed) {
            assign(
                placed.task,
                placed.machine,
                placed.joinAttempt,
                now,
                held[placed.task] ?: Duration.ZERO,
            )
        }
        for (task in output.preempted) {
            val job = table.jobs[task.job] ?: continue
            val p = job.placements[task.index] ?: continue
            events.info("task stopped for room", p.worker.id) {
                "task stopped for room task=$task machine=${p.worker.id}"
            }
            val grace = if (job.spec.takesCheckpoints) job.spec.checkpointDuration + SAVE_MARGIN else Duration.ZERO
            table.stop(job, p, grace)
        }
        // A scheduling cycle that took longer than its budget sends nothing, and neither does a leader whose window has
        // closed.
        val decided = clock.now()
        if (leadership.maySendCommands(decided) &&
            decided - now < times.cycleBudget
        ) {
            commandDispatcher.sendUndelivered(leadership, decided, answering)
        }
        if (now - lastDemand > DEMAND_EVERY) {
            lastDemand = now
            ports.fleet(
                FleetMessage.DemandChanged(
                    output.unplaced,
                    demand.uses(catalog, now, machineRegistry.cleared, usable),
                    demand.services(),
                    takeover.settled,
                    failureDetector.partitionedZones,
                    output.scarceTypes,
                ),
            )
        }
        rest(input, output, now)
    }

    private fun rest(input: CycleInput, output: CycleOutput, began: MonotonicInstant) {
        onCycle(output.machineVisits + input.machines.size)
        val ended = clock.now()
        cycleAgain = ended + minOf(maxOf(CYCLE_LEAST, (ended - began) * cycleRest), CYCLE_MOST)
        if (log.isDebugEnabled) {
            log.debug(
                "cycle machines={} jobs={} placed={} unplaced={} visits={} kept={} took_ms={} free_cpus={}",
                input.machines.size,
                input.jobs.size,
                output.placed.size,
                output.unplaced.sumOf {
                    it.count
                },
                output.machineVisits, output.reservedMachines, (ended - began).inWholeMilliseconds,
                input.machines.groupBy {
                    it.type
                }.map { (type, its) -> "$type:${its.size}:${its.sumOf { it.load.free.cpus }.toInt()}" },
            )
        }
    }

    private fun drain(machine: MachineId) {
        val now = clock.now()
        if (currentLeadership()?.maySendCommands(now) != true || !takeover.settled) return
        consolidation.drain(machine, catalog, now) { usable(it, now) }
        table.dirty = true
    }

    private fun cordon(machines: List<MachineId>) {
        val now = clock.now()
        val (empty, inUse) = machines.partition { table.workers[it]?.isEmpty != false }
        empty.forEach { table.workers[it]?.releaseRequestedAt = now }
        ports.fleet(FleetMessage.MachinesCordoned(empty, inUse))
    }

    /** A machine that the cloud takes back: what can save, saves; what can't, runs on while it may. */
    private fun drainNoticed() {
        for (worker in table.workers.values) {
            val notice = worker.preemptionNotice ?: continue
            for (p in worker.placements.values.toList()) {
                val job = table.jobs[p.task.job] ?: continue
                if (p.stopGrace != null) continue
                if (p.state == PlacementState.ASSIGNED) table.remove(job, p)
                if (job.spec.takesCheckpoints && job.spec.checkpointDuration < notice) {
                    table.stop(job, p, job.spec.checkpointDuration + SAVE_MARGIN)
                }
            }
        }
    }

    private fun usable(worker: WorkerState, now: MonotonicInstant): Boolean = worker.reconciled &&
        worker.lease?.awaitingFirstResponse == false &&
        worker.preemptionNotice == null &&
        !worker.faulty &&
        !worker.unreachable &&
        now > worker.quarantinedUntil &&
        now > worker.drainingUntil &&
        worker.id in machineRegistry.cleared &&
        !failureDetector.isSuspected(worker, now) &&
        worker.releaseRequestedAt == MonotonicInstant.NEVER

    private fun assign(task: TaskId, machine: MachineId, join: Attempt?, now: MonotonicInstant, held: Duration) {
        val job = table.jobs[task.job] ?: return
        val worker = table.workers[machine] ?: return
        val attempt = when {
            !job.isGang -> Attempt(nextAttempt++)
            join != null -> join
            else -> job.gang.attemptFor(job.placements.isNotEmpty()) { Attempt(nextAttempt++) } ?: return
        }
        table.place(job, task, attempt, worker, PlacementState.ASSIGNED, now + held + times.cycleBudget, now + held)
        if (log.isDebugEnabled) {
            val cached = job.spec.image in worker.cachedImages(catalog.types[worker.type]?.cacheGb ?: 0.0)
            log.debug("task assigned task={} machine={} spot={} cached={}", task, machine, worker.spot, cached)
        }
    }

    private companion object {
        val TICK = 100.milliseconds
        val CYCLE_EVERY = 1.seconds
        val CYCLE_LEAST = 25.milliseconds

        /**
         * Of five parts of what the leader has of the processor, scheduling cycles get one at most. Of five parts of
         * its *time*, as it was first, one is nine tenths of 22% of a
         * core: a new leader of 1,182 machines took reports in at 95 a second meanwhile.
         */
        const val CYCLE_PART = 5.0
        val CYCLE_MOST = 300.milliseconds
        val DEMAND_EVERY = 400.milliseconds
        val COUNTS_EVERY = 1.seconds
        val HINT_EVERY = 10.seconds
        const val ATTEMPTS_PER_TERM_BITS = 24
        val SAVE_MARGIN = 1.seconds
    }
}
