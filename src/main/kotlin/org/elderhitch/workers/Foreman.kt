package org.elderhitch.workers

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.actor.Actor
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.MachineUse
import org.elderhitch.fleet.Machine
import org.elderhitch.jobs.FinishedTasks
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.Tenure
import org.elderhitch.leadership.TenureTimes
import org.elderhitch.leadership.Term
import org.elderhitch.placement.JobView
import org.elderhitch.placement.KeptFree
import org.elderhitch.placement.MachineView
import org.elderhitch.placement.Round
import org.elderhitch.placement.RoundInput
import org.elderhitch.placement.RoundOutput
import org.elderhitch.placement.Unplaced
import org.elderhitch.placement.VictimView
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.WorkerTimes
import org.elderhitch.store.Revision
import org.elderhitch.time.Moment
import org.elderhitch.time.SteadyClock
import org.elderhitch.time.stretched
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

public sealed interface ReportAnswer {
    public data class Accepted(val term: Term, val commands: List<Command>) : ReportAnswer

    /** Another node leads; null: this node can't say which. */
    public data class Elsewhere(val leader: NodeName?) : ReportAnswer
}

public sealed interface ForemanMessage {
    public data class ReportIn(val report: Report, val reply: CompletableDeferred<ReportAnswer>) : ForemanMessage
    public data class Job(val event: JobEvent) : ForemanMessage
    public data class TenureIs(val tenure: Tenure) : ForemanMessage

    /** The table of jobs holds all that was recorded before the claim. */
    public data class TableComplete(val term: Term) : ForemanMessage

    /** All machines that may run something of an earlier term, and those that never were given anything. */
    public data class Census(val term: Term, val mayRun: Collection<Machine>, val fresh: Collection<Machine>) : ForemanMessage

    /** A machine that is ours to use, its intent being recorded. */
    public data class MachineKnown(val machine: Machine) : ForemanMessage

    /** It is recorded that the machine may be given tasks, so a later term waits for its word. */
    public data class MachineCleared(val machine: MachineId) : ForemanMessage

    /** Surely gone, with all on it. */
    public data class MachineGone(val machine: MachineId, val proof: String) : ForemanMessage
    public data class CatalogIs(val catalog: Catalog) : ForemanMessage

    /** What an earlier leader left behind about images on machines. */
    public data class ImagesHinted(val images: Map<MachineId, Map<Image, Double>>) : ForemanMessage

    /** The former leader has surely stopped answering workers by now. */
    public data class FormerStopped(val term: Term) : ForemanMessage
    /** Room that less important work leaves alone. */
    public data class KeepFree(val kept: List<KeptFree>) : ForemanMessage
    public data class Recorded(val term: Term, val finished: Map<JobId, List<Int>>) : ForemanMessage
    public data object Tick : ForemanMessage
}

/** What the foreman asks of others, all of it by message. */
public interface ForemanPorts {
    public fun fleet(message: FleetMessage)

    public fun leadership(message: LeadershipMessage)

    public fun record(tenure: Tenure.Leading, finished: List<FinishedBatch>)

    /** The finished blocks of an ended job are of no more use. */
    public fun forget(tenure: Tenure.Leading, job: JobId, blocks: Set<Int>)

    /** Leaves word of the images on machines for a later term. */
    public fun hint(tenure: Tenure.Leading, images: Map<MachineId, Map<Image, Double>>)

    public fun running(counts: Map<JobId, Int>)
}

/** Newly finished tasks of one job, to be recorded in the state service. */
public class FinishedBatch(
    public val job: JobId,
    public val version: Revision,
    public val state: FinishedTasks,
    public val fresh: List<Int>,
)

/**
 * The leader's view of workers and tasks: rebuilt from reports in each term, changed by reports and rounds. Follows the
 * jobs in every role, so that a new term begins with a complete table.
 */
public class Foreman(
    scope: CoroutineScope,
    private val times: TenureTimes,
    private val workerTimes: WorkerTimes,
    private val teams: Map<TeamName, Team>,
    private val clock: SteadyClock,
    private val ports: ForemanPorts,
) : Actor<ForemanMessage>(scope) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val jobs = LinkedHashMap<JobId, JobState>()
    private val workers = HashMap<MachineId, WorkerState>()
    private val known = HashMap<MachineId, Machine>()
    private val cleared = HashSet<MachineId>()
    private val gone = HashSet<MachineId>()
    private var hinted: Map<MachineId, Map<Image, Double>> = emptyMap()
    private var lastHint = Moment.NEVER
    private var keptFree: List<KeptFree> = emptyList()
    private var tenure: Tenure = Tenure.Following(null, Term.NONE)
    private var catalog: Catalog = Catalog.EMPTY
    private var tableComplete = false
    private var census: HashSet<MachineId>? = null
    private var barrierClosed = false
    private var barrierEnd = Moment.FOREVER
    private var nextAttempt = 0L
    private var dirty = true
    private var lastRound = Moment.NEVER
    private var lastCounts = Moment.NEVER
    private var recording = false
    private var unplaced: List<Unplaced> = emptyList()

    private val suspectAfter = workerTimes.report * 2.5 + 500.milliseconds
    private val releaseAfter = workerTimes.report * REPORT_SPREAD + RESPONSE_TIMEOUT + NEXT_NODE * 2.0

    override fun start() {
        super.start()
        scope.launch {
            while (true) {
                delay(TICK)
                tell(ForemanMessage.Tick)
            }
        }
    }

    override fun receive(message: ForemanMessage) {
        when (message) {
            is ForemanMessage.ReportIn -> message.reply.complete(report(message.report))
            is ForemanMessage.Job -> jobEvent(message.event)
            is ForemanMessage.TenureIs -> tenureIs(message.tenure)
            is ForemanMessage.TableComplete -> if (message.term == term()) {
                tableComplete = true
                dirty = true
            }
            is ForemanMessage.Census -> census(message)
            is ForemanMessage.MachineKnown -> {
                known[message.machine.id] = message.machine
                dirty = true
            }
            is ForemanMessage.MachineCleared -> {
                cleared.add(message.machine)
                dirty = true
            }
            is ForemanMessage.MachineGone -> machineGone(message.machine, message.proof)
            is ForemanMessage.CatalogIs -> {
                catalog = message.catalog
                dirty = true
            }
            is ForemanMessage.ImagesHinted -> if (leading() == null) hinted = message.images
            is ForemanMessage.FormerStopped -> if (message.term == term() && !barrierClosed) {
                barrierEnd = minOf(barrierEnd, clock.now() + workerTimes.lease.stretched() + LEASE_MARGIN)
            }
            is ForemanMessage.KeepFree -> keptFree = message.kept
            is ForemanMessage.Recorded -> recorded(message)
            ForemanMessage.Tick -> tick()
        }
    }

    private fun leading(): Tenure.Leading? = tenure as? Tenure.Leading

    private fun term(): Term? = leading()?.term

    // ---- terms -------------------------------------------------------------------------------------------------

    private fun tenureIs(next: Tenure) {
        val before = term()
        tenure = next
        val leading = leading()
        if (leading == null || leading.term == before) return
        // A new term starts from nothing but the jobs: what runs where is for the workers to say.
        workers.clear()
        for (job in jobs.values) {
            job.placements.clear()
            job.done.addAll(job.finished)
            job.gangAttempt = null
            job.gangStarted = false
            job.gangBroken = false
        }
        jobs.values.removeAll { it.ended }
        known.clear()
        cleared.clear()
        gone.clear()
        tableComplete = false
        census = null
        barrierClosed = leading.former == null
        barrierEnd = leading.claimedAt + (times.window + times.hold + workerTimes.lease).stretched() + LEASE_MARGIN
        nextAttempt = leading.term.number shl ATTEMPTS_PER_TERM_BITS
        recording = false
        dirty = true
    }

    private fun census(message: ForemanMessage.Census) {
        if (message.term != term()) return
        (message.mayRun + message.fresh).forEach { known[it.id] = it }
        message.mayRun.mapTo(cleared) { it.id }
        census = message.mayRun.map { it.id }.filterTo(HashSet()) { workers[it]?.settled != true && it !in gone }
        dirty = true
        checkBarrier()
    }

    private fun checkBarrier() {
        if (barrierClosed) return
        val overdue = clock.now() > barrierEnd
        if (overdue || census?.isEmpty() == true) {
            log.info("takeover settled term={} by={}", term() ?: Term.NONE, if (overdue) "leases over" else "reports")
            barrierClosed = true
            dirty = true
        }
    }

    // ---- jobs --------------------------------------------------------------------------------------------------

    private fun jobEvent(event: JobEvent) {
        dirty = true
        when (event) {
            is JobEvent.Opened -> {
                log.debug("job opened job={} class={} tasks={} image={}", event.spec.id, event.spec.jobClass, event.spec.tasks, event.spec.image)
                jobs.getOrPut(event.spec.id) { JobState(event.spec, event.version) }
            }
            is JobEvent.Finished -> jobs[event.id]?.let {
                it.finished.addAll(event.tasks)
                it.done.addAll(event.tasks)
            }
            is JobEvent.Ended -> jobs[event.id]?.let { job ->
                job.ended = true
                val leading = leading()
                if (leading != null && job.finished.count > 0) {
                    val blocks = (0 until job.spec.tasks).filter { it in job.finished }.map(FinishedTasks::blockOf).toSet()
                    ports.forget(leading, job.id, blocks)
                }
                for (p in job.placements.values.toList()) stop(job, p, Duration.ZERO)
                if (job.placements.isEmpty()) jobs.remove(event.id)
            }
        }
    }

    private fun stop(job: JobState, placement: Placement, grace: Duration) {
        if (placement.certainty == Certainty.ASSIGNED) {
            removePlacement(job, placement)
        } else if (placement.stop.let { it == null || grace < it }) {
            placement.stop = grace
        }
    }

    private fun removePlacement(job: JobState, placement: Placement) {
        if (job.placements[placement.task.index] === placement) job.placements.remove(placement.task.index)
        placement.worker.placements.remove(placement.task)
        if (placement.worker.placements.isEmpty()) placement.worker.idleSince = clock.now()
        if (job.spec.kind == JobKind.GANG) gangLost(job)
        if (job.ended && job.placements.isEmpty()) jobs.remove(job.id)
        dirty = true
    }

    /** A member is gone. Before the start it is replaced; after it, the rest must go before the next attempt. */
    private fun gangLost(job: JobState) {
        if (job.placements.isEmpty()) {
            job.gangAttempt = null
            job.gangStarted = false
            job.gangBroken = false
        } else if (job.gangStarted) {
            job.gangBroken = true
        }
    }

    // ---- reports -----------------------------------------------------------------------------------------------

    private fun report(report: Report): ReportAnswer {
        val now = clock.now()
        val leading = leading() ?: return ReportAnswer.Elsewhere((tenure as? Tenure.Following)?.leader)
        if (report.term > leading.term) {
            ports.leadership(LeadershipMessage.TermSeen(report.term))
            return ReportAnswer.Elsewhere(null)
        }
        // A message from a machine that is surely gone was held up on its way.
        if (!leading.mayAnswer(now) || report.machine in gone) return ReportAnswer.Elsewhere(null)
        val worker = workers.getOrPut(report.machine) {
            WorkerState(report.machine, report.type, report.zone, report.spot, now).also { fresh ->
                hinted[report.machine]?.forEach { (image, gb) -> fresh.usesImage(image, gb) }
            }
        }
        val order = worker.order
        // Late reports tell what was: answering one would renew nothing, and believing one would free a task.
        if (order != null && report.order <= order) return ReportAnswer.Elsewhere(null)
        worker.order = report.order
        worker.lastReport = now
        worker.address = report.address
        if (report.notice != null && worker.notice == null) {
            log.info("spot notice machine={} notice_s={}", report.machine, report.notice)
            dirty = true
        }
        worker.notice = report.notice
        // It was silent, its release did not go through, and it is back.
        if (now - worker.releaseAsked > RELEASE_AGAIN * 2) worker.releaseAsked = Moment.NEVER
        if (report.machine !in known) ports.fleet(FleetMessage.Stray(report))
        if (worker.id in known && worker.id !in cleared && now - worker.clearAsked > CLEAR_AGAIN) {
            worker.clearAsked = now
            ports.fleet(FleetMessage.CameUp(worker.id))
        }
        if (report.term < leading.term) {
            // It may still execute an earlier leader's command; its list counts once it has seen our term.
            worker.lastAnswer = now
            return ReportAnswer.Accepted(leading.term, emptyList())
        }
        if (!tableComplete) {
            // Without the jobs its tasks can't be judged. It is kept; its next report is.
            worker.lastAnswer = now
            return ReportAnswer.Accepted(leading.term, emptyList())
        }
        settle(worker, report)
        // Room that this report brings is given away in its own answer: the next report may be seconds off.
        if (dirty && leading.mayCommand(now) && now - lastRound > ROUND_LEAST) round(leading, now)
        val commands = if (leading.mayCommand(now)) commands(worker, now) else emptyList()
        worker.lastAnswer = now
        return ReportAnswer.Accepted(leading.term, commands)
    }

    private fun settle(worker: WorkerState, report: Report) {
        if (!worker.settled) {
            worker.settled = true
            census?.remove(worker.id)
            log.info("worker settled machine={} by=report tasks={}", worker.id, report.tasks.size)
            dirty = true
        }
        worker.tasks = report.tasks
        val seen = HashSet<TaskId>()
        for (task in report.tasks) {
            seen.add(task.task)
            val job = jobs[task.task.job] ?: continue
            if (task.task.index < job.spec.tasks) reconcile(worker, job, task)
        }
        for (p in worker.placements.values.toList()) {
            if (p.task in seen || p.certainty == Certainty.ASSIGNED) continue
            // Reports come one at a time: this one was sent after the answer with the start was taken or given up.
            jobs[p.task.job]?.let { removePlacement(it, p) } ?: worker.placements.remove(p.task)
        }
        checkBarrier()
    }

    private fun reconcile(worker: WorkerState, job: JobState, task: TaskReport) {
        val index = task.task.index
        var placement = job.placements[index]
        if (placement != null && placement.worker !== worker) {
            if (task.phase != TaskPhase.EXITED) {
                log.error("task on two machines task={} here={} there={}", task.task, worker.id, placement.worker.id)
            } else if (task.cause == ExitCause.DONE) {
                finished(job, index)
            }
            return
        }
        if (placement != null && placement.attempt != task.attempt) {
            if (task.phase == TaskPhase.EXITED) {
                if (task.cause == ExitCause.DONE) finished(job, index)
                return
            }
            removePlacement(job, placement)
            placement = null
        }
        if (task.phase == TaskPhase.EXITED) {
            if (task.cause == ExitCause.DONE) finished(job, index) else exited(worker, job, task, placement)
            placement?.let { removePlacement(job, it) }
            return
        }
        if (placement == null) {
            placement = Placement(task.task, task.attempt, worker, Certainty.REPORTED, Moment.NEVER)
            job.placements[index] = placement
            worker.placements[task.task] = placement
            if (job.spec.kind == JobKind.GANG) {
                val attempt = job.gangAttempt
                if (attempt != null && attempt != task.attempt) job.gangBroken = true
                job.gangAttempt = task.attempt
            }
            dirty = true
        }
        if (log.isDebugEnabled && (placement.phase != task.phase || placement.certainty != Certainty.REPORTED)) {
            log.debug("task task={} phase={} machine={} class={}", task.task, task.phase, worker.id, job.spec.jobClass)
        }
        placement.certainty = Certainty.REPORTED
        if (placement.phase != task.phase) dirty = true
        placement.phase = task.phase
        if (task.phase == TaskPhase.RUNNING && placement.runsSince == null) placement.runsSince = clock.now()
        worker.usesImage(job.spec.image, job.spec.imageGb)
        if (job.spec.kind == JobKind.GANG && (task.phase == TaskPhase.RUNNING || task.phase == TaskPhase.SAVING)) job.gangStarted = true
        if (job.ended && placement.stop == null) placement.stop = Duration.ZERO
    }

    private fun finished(job: JobState, index: Int) {
        if (index in job.done) return
        log.debug("task done task={}/{}", job.id, index)
        // A gang completes as a whole: one member's word is all members'.
        if (job.spec.kind == JobKind.GANG) repeat(job.spec.tasks) { job.done.add(it) } else job.done.add(index)
        dirty = true
    }

    private fun exited(worker: WorkerState, job: JobState, task: TaskReport, placement: Placement?) {
        if (placement == null) return
        val now = clock.now()
        when (task.cause) {
            ExitCause.ERROR -> erred(worker, job, task, now)
            ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.UNKNOWN -> {
                log.info("start refused task={} machine={} cause={}", task.task, worker.id, task.cause)
                job.shunned[worker.id] = now + REFUSED_PAUSE
            }
            ExitCause.INCOMPLETE, ExitCause.PEERS -> job.gangBroken = true
            else -> Unit
        }
    }

    /** Errors of several jobs are the machine's fault; one job's errors on several machines are the job's. */
    private fun erred(worker: WorkerState, job: JobState, task: TaskReport, now: Moment) {
        log.info("task failed task={} machine={}", task.task, worker.id)
        job.erredOn.add(worker.id)
        job.shunned[worker.id] = now + ERROR_SHUN
        if (job.erredOn.size >= JOB_AT_FAULT) {
            val back = ERROR_BACKOFF * (1 shl minOf(job.erredOn.size - JOB_AT_FAULT, MAX_DOUBLINGS))
            job.notBefore = now + minOf(back, MAX_BACKOFF)
            return
        }
        worker.erredTasks.add(task.task)
        if (worker.erredTasks.size >= MACHINE_AT_FAULT && !worker.sick) {
            worker.sick = true
            log.info("machine faulty machine={} errors={}", worker.id, worker.erredTasks.size)
        }
    }

    private fun commands(worker: WorkerState, now: Moment): List<Command> {
        val list = ArrayList<Command>()
        for (task in worker.tasks) {
            val job = jobs[task.task.job]
            if (task.phase == TaskPhase.EXITED) {
                // The result is kept by the worker until it is recorded.
                val unrecorded = job != null && !job.ended && task.cause == ExitCause.DONE && task.task.index !in job.finished
                if (!unrecorded) list.add(Command.Forget(task.task, task.attempt))
            } else if (job == null) {
                // Only recorded jobs are ever started: one that isn't open has ended.
                list.add(Command.Stop(task.task, task.attempt, Duration.ZERO))
            }
        }
        for (p in worker.placements.values.toList()) {
            val stop = p.stop
            when {
                stop != null -> if (p.certainty == Certainty.REPORTED && (p.phase != TaskPhase.SAVING || stop == Duration.ZERO)) {
                    list.add(Command.Stop(p.task, p.attempt, stop))
                }
                p.certainty == Certainty.REPORTED -> Unit
                p.certainty == Certainty.ASSIGNED && now > p.sendBy -> jobs[p.task.job]?.let { removePlacement(it, p) }
                else -> {
                    p.certainty = Certainty.SENT
                    list.add(Command.Start(p.task, p.attempt))
                }
            }
        }
        return if (list.size > MAX_COMMANDS) list.subList(0, MAX_COMMANDS) else list
    }

    // ---- machines ----------------------------------------------------------------------------------------------

    private fun machineGone(id: MachineId, proof: String) {
        known.remove(id)
        cleared.remove(id)
        gone.add(id)
        census?.remove(id)
        workers.remove(id)?.let { worker ->
            log.info("worker settled machine={} by={} tasks={}", id, proof, worker.placements.size)
            loseAll(worker)
        }
        dirty = true
        checkBarrier()
    }

    private fun loseAll(worker: WorkerState) {
        for (p in worker.placements.values.toList()) {
            jobs[p.task.job]?.let { removePlacement(it, p) }
        }
        worker.placements.clear()
        worker.tasks = emptyList()
    }

    private fun watchSilence(leading: Tenure.Leading, now: Moment) {
        var heard = 0
        var silent = 0
        for (worker in workers.values) {
            val quiet = now - worker.lastReport
            if (quiet > suspectAfter) silent++ else heard++
            if (worker.settled && now > worker.lastAnswer + workerTimes.lease.stretched() + LEASE_MARGIN && worker.placements.isNotEmpty()) {
                log.info("worker settled machine={} by=lease tasks={}", worker.id, worker.placements.size)
                loseAll(worker)
            }
        }
        if (now - leading.claimedAt > RESIGN_AFTER && silent >= RESIGN_LEAST && silent > heard * 2) {
            ports.leadership(LeadershipMessage.Resign("$silent of ${silent + heard} workers silent"))
            return
        }
        if (!leading.mayCommand(now)) return
        for (worker in workers.values) {
            val since = maxOf(worker.lastReport, leading.claimedAt)
            if (now - since > releaseAfter && now - worker.releaseAsked > RELEASE_AGAIN) {
                worker.releaseAsked = now
                log.info("worker silent machine={} for_ms={}", worker.id, (now - worker.lastReport).inWholeMilliseconds)
                ports.fleet(FleetMessage.Release(listOf(worker.id), "silent"))
            }
        }
        // Machines of an earlier term that never said a word in this one.
        val unheard = census.orEmpty().filter { it !in workers }
        if (unheard.isNotEmpty() && now - leading.claimedAt > releaseAfter + UNHEARD_MARGIN) {
            ports.fleet(FleetMessage.Unheard(unheard))
        }
    }

    // ---- rounds ------------------------------------------------------------------------------------------------

    private fun tick() {
        val leading = leading() ?: return
        val now = clock.now()
        checkBarrier()
        watchSilence(leading, now)
        if (now - lastCounts > COUNTS_EVERY) {
            lastCounts = now
            ports.running(jobs.values.filter { it.placements.isNotEmpty() }.associate { it.id to it.running })
        }
        if (!tableComplete || !leading.mayCommand(now)) return
        record(leading)
        if (now - lastHint > HINT_EVERY) {
            lastHint = now
            ports.hint(leading, workers.values.associate { it.id to it.usedImages() })
        }
        if (dirty || now - lastRound > ROUND_EVERY) round(leading, now)
    }

    private fun record(leading: Tenure.Leading) {
        if (recording) return
        val batches = jobs.values.filter { !it.ended && it.done.count > it.finished.count }.take(MAX_BATCHES).map { job ->
            val fresh = (0 until job.spec.tasks).filter { it in job.done && it !in job.finished }
            FinishedBatch(job.id, job.version, job.done, fresh)
        }
        if (batches.isEmpty()) return
        recording = true
        ports.record(leading, batches)
    }

    private fun recorded(message: ForemanMessage.Recorded) {
        if (message.term != term()) return
        recording = false
        for ((id, tasks) in message.finished) {
            val job = jobs[id] ?: continue
            tasks.forEach { job.finished.add(it) }
        }
    }

    private fun round(leading: Tenure.Leading, now: Moment) {
        if (catalog.isEmpty) return
        dirty = false
        lastRound = now
        drainNoticed()
        val input = snapshot(leading, now)
        val output = Round(input).decide()
        for (placed in output.placed) assign(placed.task, placed.machine, placed.joinAttempt, now)
        for (task in output.stopped) {
            val job = jobs[task.job] ?: continue
            val p = job.placements[task.index] ?: continue
            log.info("task stopped for room task={} machine={}", task, p.worker.id)
            stop(job, p, if (job.spec.saves) job.spec.saveTakes + SAVE_MARGIN else Duration.ZERO)
        }
        unplaced = output.unplaced
        reportUse(output, now)
    }

    /** A machine that the cloud takes back: what can save, saves; what can't, runs on while it may. */
    private fun drainNoticed() {
        for (worker in workers.values) {
            val notice = worker.notice ?: continue
            for (p in worker.placements.values.toList()) {
                val job = jobs[p.task.job] ?: continue
                if (p.stop != null) continue
                if (p.certainty == Certainty.ASSIGNED) removePlacement(job, p)
                if (job.spec.saves && job.spec.saveTakes < notice) stop(job, p, job.spec.saveTakes + SAVE_MARGIN)
            }
        }
    }

    private fun snapshot(leading: Tenure.Leading, now: Moment): RoundInput {
        var reserved = Resources.NONE
        if (!barrierClosed) {
            val silent = census
            if (silent == null) {
                reserved = EVERYTHING
            } else {
                for (id in silent) reserved += known[id]?.let { catalog.resources(it.type) } ?: EVERYTHING
            }
        }
        val quota = QuotaLedger(teams, reserved)
        for (job in jobs.values) quota.add(job.spec.team, job.spec.need * job.placements.size)
        val shunners = HashMap<MachineId, MutableSet<JobId>>()
        for (job in jobs.values) {
            if (job.shunned.isEmpty()) continue
            job.shunned.values.removeAll { it < now }
            job.shunned.keys.forEach { shunners.getOrPut(it) { HashSet() }.add(job.id) }
        }
        val machines = workers.values.filter { usable(it, now) }.mapNotNull { view(it, shunners[it.id].orEmpty()) }
        val views = jobs.values.mapNotNull { jobView(it, leading, now) }
        return RoundInput(machines, views, quota, keptFree)
    }

    private fun usable(worker: WorkerState, now: Moment): Boolean =
        worker.settled && worker.notice == null && !worker.sick && worker.id in cleared &&
            now - worker.lastReport <= suspectAfter && worker.releaseAsked == Moment.NEVER

    private fun view(worker: WorkerState, shunnedBy: Set<JobId>): MachineView? {
        val type = catalog.types[worker.type] ?: return null
        // What a task takes whose job is no longer known can't be told: nothing more goes there until it is gone.
        if (worker.tasks.any { it.phase != TaskPhase.EXITED && it.task.job !in jobs }) return null
        var free = type.resources
        var leaving = Resources.NONE
        var lasting = 0.0
        val victims = ArrayList<VictimView>()
        for (p in worker.placements.values) {
            val job = jobs[p.task.job] ?: continue
            free -= job.spec.need
            if (job.spec.kind == JobKind.SERVICE) lasting += job.spec.need.gpus + job.spec.need.cpus
            when {
                p.stop != null -> leaving += job.spec.need
                job.spec.kind != JobKind.GANG && p.certainty == Certainty.REPORTED && job.spec.priority < Priority.PRODUCTION ->
                    victims.add(VictimView(p.task, job.spec.priority, job.spec.need))
            }
        }
        return MachineView(
            worker.id, worker.type, worker.zone, worker.spot, worker.cachedImages(type.cacheGb), free, leaving, victims, shunnedBy,
            lasting, worker.placements.isEmpty(), type.fetchGbPerS,
        )
    }

    private fun jobView(job: JobState, leading: Tenure.Leading, now: Moment): JobView? {
        if (job.ended || now < job.notBefore || job.done.all) return null
        // A task that no report names may still run on a silent worker, if its job is older than our term.
        if (!barrierClosed && job.version <= leading.counter) return null
        if (job.spec.kind == JobKind.GANG) {
            if (job.gangBroken) {
                // Members that still wait would only wait in vain.
                job.placements.values.toList().filter { it.phase != TaskPhase.RUNNING }.forEach { stop(job, it, Duration.ZERO) }
                if (job.placements.isNotEmpty()) return null
            }
            if (job.gangStarted || job.placements.values.any { it.stop != null }) return null
        }
        if (job.placements.size + job.done.count >= job.spec.tasks && job.spec.kind != JobKind.GANG) return null
        val pending = ArrayList<Int>()
        for (index in 0 until job.spec.tasks) {
            if (index in job.done || index in job.placements) continue
            pending.add(index)
            if (pending.size >= MAX_PENDING && job.spec.kind != JobKind.GANG) break
        }
        if (pending.isEmpty()) return null
        val join = if (job.spec.kind == JobKind.GANG && job.placements.isNotEmpty()) job.gangAttempt else null
        return JobView(job.spec, job.version, pending, job.zones(), join)
    }

    private fun assign(task: TaskId, machine: MachineId, join: Attempt?, now: Moment) {
        val job = jobs[task.job] ?: return
        val worker = workers[machine] ?: return
        val attempt = when {
            job.spec.kind != JobKind.GANG -> Attempt(nextAttempt++)
            join != null -> join
            else -> {
                if (job.placements.isEmpty()) job.gangAttempt = Attempt(nextAttempt++)
                job.gangAttempt ?: return
            }
        }
        val placement = Placement(task, attempt, worker, Certainty.ASSIGNED, now + times.roundBudget)
        job.placements[task.index] = placement
        worker.placements[task] = placement
        if (log.isDebugEnabled) {
            val cached = job.spec.image in worker.cachedImages(catalog.types[worker.type]?.cacheGb ?: 0.0)
            log.debug("task assigned task={} machine={} spot={} cached={}", task, machine, worker.spot, cached)
        }
    }

    private fun reportUse(output: RoundOutput, now: Moment) {
        val uses = workers.values.filter { it.settled }.map { worker ->
            var busy = Resources.NONE
            var yielding = Resources.NONE
            var ending = Resources.NONE
            val boot = catalog.types[worker.type]?.boot ?: Duration.ZERO
            for (p in worker.placements.values) {
                val job = jobs[p.task.job] ?: continue
                busy += job.spec.need
                if (job.spec.priority < Priority.PRODUCTION && job.spec.kind != JobKind.GANG) yielding += job.spec.need
                if (endsWithin(job, p, boot * ENDING_SHARE, now)) ending += job.spec.need
            }
            MachineUse(
                worker.id, busy, yielding, ending, usable(worker, now),
                idle = if (worker.placements.isEmpty() && worker.tasks.none { it.phase != TaskPhase.EXITED }) now - worker.idleSince else null,
                faulty = worker.sick,
            )
        }
        val services = jobs.values.filter { it.spec.kind == JobKind.SERVICE && !it.ended }.map { it.spec }
        ports.fleet(FleetMessage.Demand(output.unplaced, uses, services, barrierClosed))
    }

    /** By the owner's estimate, which is often wrong: a task over it is given as long again as a part of it. */
    private fun endsWithin(job: JobState, placement: Placement, span: Duration, now: Moment): Boolean {
        if (job.spec.kind == JobKind.SERVICE) return false
        val since = placement.runsSince ?: return false
        val left = job.spec.estimate - (now - since)
        return maxOf(left, job.spec.estimate * OVERRUN_SHARE) < span
    }

    private companion object {
        val TICK = 100.milliseconds
        val ROUND_EVERY = 1.seconds
        val ROUND_LEAST = 25.milliseconds
        val COUNTS_EVERY = 1.seconds
        val HINT_EVERY = 10.seconds

        // A report may be a quarter late; its answer may be lost, which the worker notes after 4 s; and then it asks
        // the next node a second later, which may send it back here.
        const val REPORT_SPREAD = 1.25
        val RESPONSE_TIMEOUT = 4.seconds
        val NEXT_NODE = 1.seconds
        val UNHEARD_MARGIN = 3.seconds
        val LEASE_MARGIN = 500.milliseconds
        val RELEASE_AGAIN = 5.seconds
        val CLEAR_AGAIN = 2.seconds
        val RESIGN_AFTER = 15.seconds
        const val RESIGN_LEAST = 4
        const val ATTEMPTS_PER_TERM_BITS = 24
        const val MAX_COMMANDS = 400
        const val MAX_PENDING = 1000
        const val MAX_BATCHES = 64
        val SAVE_MARGIN = 1.seconds
        val REFUSED_PAUSE = 5.seconds
        val ERROR_SHUN = 300.seconds
        val ERROR_BACKOFF = 2.seconds
        val MAX_BACKOFF = 60.seconds
        const val MAX_DOUBLINGS = 5
        const val ENDING_SHARE = 0.5
        const val OVERRUN_SHARE = 0.3
        const val JOB_AT_FAULT = 3
        const val MACHINE_AT_FAULT = 2
        const val LOTS = 1e12
        val EVERYTHING = Resources(LOTS, LOTS, LOTS)
    }
}
