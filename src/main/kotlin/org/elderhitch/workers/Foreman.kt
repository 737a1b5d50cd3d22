package org.elderhitch.workers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.actor.Actor
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.fleet.Market
import org.elderhitch.jobs.ClassRules
import org.elderhitch.jobs.FinishedTasks
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TaskId
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.Tenure
import org.elderhitch.leadership.TenureTimes
import org.elderhitch.leadership.Term
import org.elderhitch.placement.CycleInput
import org.elderhitch.placement.CycleOutput
import org.elderhitch.placement.KeptFree
import org.elderhitch.placement.SchedulingCycle
import org.elderhitch.recovery.Reconciliations
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Objective
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.WorkerTimes
import org.elderhitch.settings.Zone
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.WallClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The leader's view of workers and tasks: rebuilt from reports in each term, changed by reports and scheduling cycles. Follows the
 * jobs in every role, so that a new term begins with a complete table.
 */
public class Foreman(
    scope: CoroutineScope,
    private val times: TenureTimes,
    private val workerTimes: WorkerTimes,
    teams: Map<TeamName, Team>,
    objectives: List<Objective>,
    own: NodeName,
    nodeZones: Map<NodeName, Zone>,
    private val clock: SteadyClock,
    private val ports: ForemanPorts,
    wall: WallClock,
    rules: ClassRules = ClassRules.NONE,
    private val onCycle: (looks: Long) -> Unit = {},
    silentReturnShare: Double = FleetPolicy().silentReturnShare,
    /** The part of a core that this node has. */
    cpuShare: Double = 1.0,
    keeps: (JobId) -> JobEvent.Opened? = { null },
) : Actor<ForemanMessage>(scope) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val table = TaskTable(clock, workerTimes.mayOutliveJob, keeps)
    private val events = EventLog(clock, log::info, log::error)
    private val reconciliations = Reconciliations(clock)
    private val leases = LeaseTimes(workerTimes.lease)
    private val takeover = Takeover(times, leases, clock)
    private val faults = Faults(table)
    private val reconciler = Reconciler(table, faults, clock, events, reconciliations::seen)
    private val commands = CommandList(table)
    private val wakefulness = Wakefulness(TICK)
    private val inquiry = Inquiry(table, takeover, workerTimes, wakefulness, ports, reconciliations.orders)
    private val roster = Roster()
    private val delegates = ZoneDelegates(own, nodeZones, times, table, takeover, roster, ports)
    private val silence =
        Silence(table, takeover, workerTimes, leases, TICK, nodeZones.values.toSet(), inquiry, wakefulness, events, ports, delegates, silentReturnShare)
    private val consolidation = Consolidation(table)
    private val feed = CycleFeed(table, faults, teams, objectives)
    private val demand = DemandReport(table, silence.suspectAfter)
    private val holds = Holds(table, rules, ports)
    private val news = FinishedNews(table, clock, wall, ports)
    private val explanation = Explanation(table, faults, takeover, silence, roster, teams)
    private val conversation =
        Conversation(table, takeover, reconciler, commands, silence, inquiry, roster, workerTimes, events, ports, reconciliations.orders, {
            hinted[it]
        }, ::checkTakeover)
    private var hinted: Map<MachineId, Map<Image, Double>> = emptyMap()
    private var lastHint = Moment.NEVER
    private var keptFree: List<KeptFree> = emptyList()

    /** Where the cloud had nothing to rent out when it was last asked. */
    private var refused: Set<Market> = emptySet()
    private var tenure: Tenure = Tenure.Following(null, Term.NONE)
    private var catalog: Catalog = Catalog.EMPTY
    private var tableComplete = false
    private var nextAttempt = 0L
    private var lastCycle = Moment.NEVER

    /** Scheduling cycles keep apart by a multiple of what one takes: answers and renewals never wait behind a row of them. */
    private var cycleAgain = Moment.NEVER
    private val cycleRest = CYCLE_PART / cpuShare - 1
    private var lastCounts = Moment.NEVER
    private var lastDemand = Moment.NEVER

    override fun start() {
        super.start()
        table.onLost = ::lost
        table.onDone = { job, placement -> feed.completed(job, placement, clock.now()) }
        scope.launch {
            while (true) {
                delay(TICK)
                tell(ForemanMessage.Tick)
            }
        }
    }

    override fun isUrgent(message: ForemanMessage): Boolean = message is ForemanMessage.Knowledge

    override fun receive(message: ForemanMessage) {
        when (message) {
            is ForemanMessage.ReportIn -> message.reply.complete(report(message.report))

            is ForemanMessage.Job -> jobEvent(message.event)

            is ForemanMessage.TenureIs -> tenureIs(message.tenure)

            is ForemanMessage.TableComplete -> if (message.term == term()) {
                tableComplete = true
                table.dirty = true
            }

            is ForemanMessage.Inventory -> inventory(message)

            is ForemanMessage.MachineKnown -> {
                roster.rented(message.machine, clock.now())
                table.dirty = true
            }

            is ForemanMessage.MachineCleared -> {
                roster.clear(message.machine)
                table.dirty = true
            }

            is ForemanMessage.MachineGone -> machineGone(message.machine, message.proof)

            is ForemanMessage.CatalogIs -> {
                catalog = message.catalog
                table.dirty = true
            }

            is ForemanMessage.ImagesHinted -> if (leading() == null) hinted = message.images

            is ForemanMessage.FormerEnded -> if (message.term == term()) takeover.formerEnded = true

            is ForemanMessage.FormerStopped -> if (message.term == term()) takeover.formerStopped()

            is ForemanMessage.KeepFree -> {
                keptFree = message.kept
                refused = message.refused
            }

            is ForemanMessage.Recorded -> if (message.term == term()) news.recorded(message.finished)

            is ForemanMessage.Commanded -> leading()?.takeIf {
                it.term == message.term
            }?.let { conversation.commanded(it, message, clock.now()) }

            is ForemanMessage.MachinesListed -> inquiry.listed(message.where)

            is ForemanMessage.Asked -> leading()?.takeIf {
                it.term == message.term
            }?.let { conversation.asked(it, message.machine, message.outcome, clock.now(), tableComplete) }

            is ForemanMessage.Drain -> drain(message.machine)

            is ForemanMessage.Cordon -> cordon(message.machines)

            is ForemanMessage.Spared -> table.workers[message.machine]?.let { silence.spared(it) }

            is ForemanMessage.HoldJob -> hold(message)

            is ForemanMessage.HoldWritten -> if (message.term == term()) holds.written(message.id, message.outcome)

            is ForemanMessage.AccountOf -> message.reply.complete(
                leading()?.let { l ->
                    table.jobs[message.id]?.let { news.account(l, it) }
                },
            )

            is ForemanMessage.Explain -> message.reply.complete(
                leading()?.let {
                    explanation.of(it, message.id, catalog, refused, clock.now(), tableComplete) { w ->
                        usable(w, clock.now())
                    }
                },
            )

            is ForemanMessage.Survey -> message.reply.complete(
                leading()?.takeIf {
                    tableComplete
                }?.let { table.whereabouts() },
            )

            is ForemanMessage.AtFault -> message.reply.complete(
                leading()?.takeIf { tableComplete }?.let {
                    table.jobs.values.filter {
                        !it.ended &&
                            faults.atFault(it)
                    }.map { it.id }.toSet()
                },
            )

            is ForemanMessage.NameDelegate -> message.reply.complete(
                leading()?.let {
                    delegates.name(it, message.node, tableComplete, clock.now())
                },
            )

            is ForemanMessage.DelegateNamed -> delegates.named(message.grant)

            ForemanMessage.Tick -> tick()
        }
    }

    private fun leading(): Tenure.Leading? = tenure as? Tenure.Leading

    private fun term(): Term? = leading()?.term

    // ---- terms -------------------------------------------------------------------------------------------------

    private fun tenureIs(next: Tenure) {
        val before = term()
        tenure = next
        if (next is Tenure.Following) delegates.follows(next)
        val leading = leading()
        if (leading == null || leading.term == before) return
        table.newTerm()
        delegates.newTerm()
        takeover.begin(leading)
        inquiry.newTerm()
        silence.newTerm()
        consolidation.newTerm()
        holds.newTerm()
        reconciliations.newTerm(leading)
        roster.newTerm()
        tableComplete = false
        nextAttempt = leading.term.number shl ATTEMPTS_PER_TERM_BITS
        news.newTerm()
    }

    private fun inventory(message: ForemanMessage.Inventory) {
        if (message.term != term()) return
        roster.inventory(message.mayRun, message.fresh, clock.now())
        takeover.inventory(
            message.mayRun.map { it.id }.filter {
                table.workers[it]?.settled != true &&
                    it !in roster.gone
            }.toSet(),
        )
        table.dirty = true
        checkTakeover()
    }

    private fun checkTakeover() {
        if (!takeover.check()) return
        table.dirty = true
        reconciliations.settled()
    }

    private fun jobEvent(event: JobEvent) {
        if (event !is JobEvent.Proven) table.dirty = true
        when (event) {
            is JobEvent.Opened -> {
                log.debug(
                    "job opened job={} class={} tasks={} image={}",
                    event.spec.id,
                    event.spec.jobClass,
                    event.spec.tasks,
                    event.spec.image,
                )
                feed.opened(event.spec, clock.now())
                table.open(event)
            }

            is JobEvent.Finished -> table.finished(event)

            is JobEvent.Ended -> table.jobs[event.id]?.let { job ->
                val leading = leading()
                if (leading != null && job.finished.count > 0) {
                    val blocks = (0 until job.spec.tasks).filter {
                        it in job.finished
                    }.map(FinishedTasks::blockOf).toSet()
                    ports.forget(leading, job.id, blocks)
                }
                holds.ended(job.id)
                if (leading != null && job.holdKey != null) ports.forgetHold(leading, job.id)
                table.end(job)
            }

            is JobEvent.Held -> holds.heard(leading(), event.id, event.key)

            is JobEvent.Proven -> {
                table.proven = event.since
                ports.leadership(LeadershipMessage.Proven(event.since))
            }
        }
    }

    private fun hold(message: ForemanMessage.HoldJob) {
        val leading = leading()
        if (leading == null || !tableComplete || !leading.mayCommand(clock.now())) {
            message.reply.complete(HoldAnswer.NotNow("no leader here that may command"))
            return
        }
        holds.ask(leading, message.id, message.kind, message.reason, {
            takeover.mayHide(it, roster.known, catalog)
        }, message.reply)
    }

    private fun lost(job: JobState, placement: Placement) {
        job.tally.gone(job, placement, clock.now(), holds.counts(job))
        val leading = leading() ?: return
        // A hold stands beside the job's own record, and a kept job has none.
        if (holds.counts(job) && !job.kept) holds.failed(leading, job, placement.task.index)
    }

    // ---- workers -----------------------------------------------------------------------------------------------

    private fun report(report: Report): ReportAnswer {
        val now = clock.now()
        val leading =
            leading()
                ?: return delegates.answer(report, now) ?: ReportAnswer.Elsewhere((tenure as? Tenure.Following)?.leader)
        return conversation.report(leading, report, now, tableComplete) { worker ->
            if (table.dirty && leading.mayCommand(now) && now > cycleAgain) cycle(leading, now, answering = worker)
        }
    }

    private fun machineGone(id: MachineId, proof: String) {
        roster.lost(id)
        takeover.heard(id)
        table.workers.remove(id)?.let { worker ->
            if (worker.releaseAsked != Moment.NEVER) reconciliations.orders.returnedSilent(id, clock.now())
            events.info("worker gone", id) { "worker settled machine=$id by=$proof tasks=${worker.placements.size}" }
            table.loseAll(worker)
        }
        table.dirty = true
        checkTakeover()
    }

    // ---- scheduling cycles ------------------------------------------------------------------------------------------------

    private fun tick() {
        val now = clock.now()
        wakefulness.tick(now)?.let { log.info("woke up after_ms={}", it.inWholeMilliseconds) }
        events.tick()
        reconciliations.tick()
        val leading = leading() ?: return delegates.watch(now)
        checkTakeover()
        silence.watch(leading, now, roster.known)
        if (now - lastCounts > COUNTS_EVERY) {
            lastCounts = now
            faults.reconsider(now)
            ports.ordered(reconciliations.read())
            ports.running(table.jobs.values.filter { it.placements.isNotEmpty() }.associate { it.id to it.running })
        }
        if (!tableComplete || !leading.mayCommand(now)) return
        inquiry.ask(leading, now, silence::isCutOff)
        holds.stopSuspended()
        news.record(leading)
        if (now - lastHint > HINT_EVERY) {
            lastHint = now
            ports.hint(leading, table.workers.values.associate { it.id to it.usedImages() })
        }
        if (now > cycleAgain && (table.dirty || now - lastCycle > CYCLE_EVERY)) cycle(leading, now)
    }

    private fun cycle(leading: Tenure.Leading, now: Moment, answering: WorkerState? = null) {
        if (catalog.isEmpty) return
        table.dirty = false
        lastCycle = now
        drainNoticed()
        val usable = { worker: WorkerState -> usable(worker, now) }
        val input = feed.input(
            leading, {
                takeover.mayHide(it, roster.known, catalog)
            },
            takeover.reserved(
                roster.known,
                catalog,
            ),
            catalog, keptFree, now, roster.mostlyBooting(catalog, now), roster.booting(catalog, now), refused, usable,
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
        for (task in output.stopped) {
            val job = table.jobs[task.job] ?: continue
            val p = job.placements[task.index] ?: continue
            events.info("task stopped for room", p.worker.id) {
                "task stopped for room task=$task machine=${p.worker.id}"
            }
            table.stop(job, p, if (job.spec.saves) job.spec.saveTakes + SAVE_MARGIN else Duration.ZERO)
        }
        // A scheduling cycle that took longer than its budget sends nothing, and neither does a leader whose window has closed.
        val decided = clock.now()
        if (leading.mayCommand(decided) &&
            decided - now < times.cycleBudget
        ) {
            conversation.sendUrgent(leading, decided, answering)
        }
        if (now - lastDemand > DEMAND_EVERY) {
            lastDemand = now
            ports.fleet(
                FleetMessage.Demand(
                    output.unplaced,
                    demand.uses(catalog, now, roster.cleared, usable),
                    demand.services(),
                    takeover.settled,
                    silence.cutZones,
                    output.scarce,
                ),
            )
        }
        rest(input, output, now)
    }

    private fun rest(input: CycleInput, output: CycleOutput, began: Moment) {
        onCycle(output.visits + input.machines.size)
        val ended = clock.now()
        cycleAgain = ended + minOf(maxOf(CYCLE_LEAST, (ended - began) * cycleRest), CYCLE_MOST)
        if (log.isDebugEnabled) {
            log.debug(
                "cycle machines={} jobs={} placed={} unplaced={} visits={} kept={} took_ms={} free_cpus={}", input.machines.size, input.jobs.size,
                output.placed.size,
                output.unplaced.sumOf {
                    it.count
                },
                output.visits, output.kept, (ended - began).inWholeMilliseconds,
                input.machines.groupBy {
                    it.type
                }.map { (type, its) -> "$type:${its.size}:${its.sumOf { it.free.cpus }.toInt()}" },
            )
        }
    }

    private fun drain(machine: MachineId) {
        val now = clock.now()
        if (leading()?.mayCommand(now) != true || !takeover.settled) return
        consolidation.drain(machine, catalog, now) { usable(it, now) }
        table.dirty = true
    }

    private fun cordon(machines: List<MachineId>) {
        val now = clock.now()
        val (empty, inUse) = machines.partition { table.workers[it]?.isEmpty != false }
        empty.forEach { table.workers[it]?.releaseAsked = now }
        ports.fleet(FleetMessage.Cordoned(empty, inUse))
    }

    /** A machine that the cloud takes back: what can save, saves; what can't, runs on while it may. */
    private fun drainNoticed() {
        for (worker in table.workers.values) {
            val notice = worker.notice ?: continue
            for (p in worker.placements.values.toList()) {
                val job = table.jobs[p.task.job] ?: continue
                if (p.stop != null) continue
                if (p.certainty == Certainty.ASSIGNED) table.remove(job, p)
                if (job.spec.saves && job.spec.saveTakes < notice) table.stop(job, p, job.spec.saveTakes + SAVE_MARGIN)
            }
        }
    }

    private fun usable(worker: WorkerState, now: Moment): Boolean = worker.settled &&
        worker.lease?.unanswered == false &&
        worker.notice == null &&
        !worker.sick &&
        !worker.unreachable &&
        now > worker.doubtedUntil &&
        now > worker.drainedUntil &&
        worker.id in roster.cleared &&
        !silence.isSuspect(worker, now) &&
        worker.releaseAsked == Moment.NEVER

    private fun assign(task: TaskId, machine: MachineId, join: Attempt?, now: Moment, held: Duration) {
        val job = table.jobs[task.job] ?: return
        val worker = table.workers[machine] ?: return
        val attempt = when {
            !job.isGang -> Attempt(nextAttempt++)
            join != null -> join
            else -> job.gang.attemptFor(job.placements.isNotEmpty()) { Attempt(nextAttempt++) } ?: return
        }
        table.place(job, task, attempt, worker, Certainty.ASSIGNED, now + held + times.cycleBudget, now + held)
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
         * Of five parts of what the leader has of the processor, scheduling cycles get one at most. Of five parts of its *time*, as it was first, one is nine tenths of 22% of a
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
