package org.elderhitch.scheduler

import org.elderhitch.failuredetection.FailureAttribution
import org.elderhitch.fleet.Arrivals
import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.Market
import org.elderhitch.fleet.TypeInfo
import org.elderhitch.heartbeat.TaskPhase
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.placement.CapacityReservation
import org.elderhitch.placement.CycleInput
import org.elderhitch.placement.JobView
import org.elderhitch.placement.MachineImages
import org.elderhitch.placement.MachineLoad
import org.elderhitch.placement.MachineView
import org.elderhitch.placement.Occupant
import org.elderhitch.placement.PreemptionCandidate
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.settings.Objective
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.Placement
import org.elderhitch.tasks.PlacementState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.tasks.isGang
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Makes the input of a scheduling cycle from the table. What did not change on a machine is not looked at again. */
internal class CycleInputBuilder(
    private val table: TaskTable,
    private val faults: FailureAttribution,
    private val teams: Map<TeamName, Team>,
    objectives: List<Objective>,
) {
    private val runs = RunTimes()
    private val due = StartDeadlines(objectives, runs)
    private val arrivals = Arrivals()

    private var viewedWith: Catalog = Catalog.EMPTY

    fun input(
        leadership: LeadershipState.Leader,
        mayHide: (JobSpec) -> Boolean,
        reserved: Resources,
        catalog: Catalog,
        keptFree: List<CapacityReservation>,
        now: MonotonicInstant,
        rush: Boolean,
        coming: Map<MachineType, Int>,
        refused: Set<Market>,
        usable: (WorkerState) -> Boolean,
    ): CycleInput {
        if (catalog !== viewedWith) {
            viewedWith = catalog
            table.workers.values.forEach { it.changed() }
        }
        val quota = QuotaLedger(teams, reserved + unknown(catalog))
        for (job in table.jobs.values) {
            if (job.placements.isNotEmpty()) {
                quota.add(
                    job.spec.team,
                    job.spec.resources * job.copies,
                    service = job.spec.kind == JobKind.SERVICE,
                )
            }
        }
        for (worker in table.workers.values) {
            for (job in worker.unknownTaskJobs) {
                table.recentlyEnded(job)?.let {
                    quota.add(it.team, it.resources)
                }
            }
        }
        val views = ordered(
            table.jobs.values.mapNotNull { job ->
                jobView(job, leadership, mayHide, now)?.let { job to it }
            },
            catalog,
            refused,
            now,
        )
            .flatMap { if (mustBegin(it, quota, now)) it.withFirstTaskApart() else listOf(it) }
        val machines = ArrayList<MachineView>()
        for (worker in table.workers.values) {
            if (!usable(worker)) continue
            worker.expireAvoidance(now)
            if (worker.view?.images?.fetching?.isNotEmpty() == true &&
                now - worker.viewedAt > FETCH_SEEN_AFTER
            ) {
                worker.changed()
            }
            (worker.view ?: view(worker, catalog, now)?.also { worker.view = it })?.let(machines::add)
        }
        return CycleInput(
            machines, views, quota, keptFree + awaited(leadership, mayHide),
            wholeMachinesNeeded = table.jobs.values.any { it.isGang },
            mostlyBooting = rush,
            now = now,
            hostResourcesPerGpu = hostResourcesPerGpu(),
            expectedArrivals = arrivals.expected(now),
            bootingMachines = coming,
        )
    }

    /**
     * Room for tasks of earlier terms that no report has named yet, in a takeover: they may run on a silent machine,
     * and if they don't they are started next. Less
     * important work that was submitted since the claim would take that room, and be stopped for them seconds later.
     */
    private fun awaited(leadership: LeadershipState.Leader, mayHide: (JobSpec) -> Boolean): List<CapacityReservation> {
        val sums = HashMap<Pair<String, Priority>, CapacityReservation>()
        for (job in table.jobs.values) {
            val spec = job.spec
            // Once the takeover is settled nothing hides, and nothing is counted.
            if (job.isTerminal ||
                job.isGang ||
                spec.priority == Priority.LOW ||
                job.version > leadership.termRevision ||
                !mayHide(spec)
            ) {
                continue
            }
            val missing = spec.tasks - job.completed.count - job.placements.size
            if (missing >
                0
            ) {
                sums.merge(spec.jobClass to spec.priority, CapacityReservation(spec, missing)) { a, b ->
                    CapacityReservation(
                        b.spec,
                        a.tasks + b.tasks,
                    )
                }
            }
        }
        return sums.values.toList()
    }

    fun opened(spec: JobSpec, now: MonotonicInstant) = arrivals.add(spec, now)

    /** A task that this term started completed. */
    fun completed(job: JobState, placement: Placement, now: MonotonicInstant) {
        placement.runningSince?.let { runs.seen(job.spec, now - it) }
    }

    /** Tasks whose job nobody here remembers may be any team's, and take as much as their machine has. */
    private fun unknown(catalog: Catalog): Resources {
        var sum = Resources.NONE
        for (worker in table.workers.values) {
            if (worker.unknownTaskJobs.any { table.recentlyEnded(it) == null }) {
                sum +=
                    catalog.resources(worker.type) ?: Resources.NONE
            }
        }
        return sum
    }

    private fun hostResourcesPerGpu(): Resources {
        var cpus = 0.0
        var memoryGb = 0.0
        for (job in table.jobs.values) {
            val need = job.spec.resources
            if (need.gpus <= 0 || job.isTerminal) continue
            cpus = maxOf(cpus, need.cpus / need.gpus)
            memoryGb = maxOf(memoryGb, need.memoryGb / need.gpus)
        }
        return Resources(cpus, 0.0, memoryGb)
    }

    private fun view(worker: WorkerState, catalog: Catalog, now: MonotonicInstant): MachineView? {
        worker.viewedAt = now
        val type = catalog.types[worker.type] ?: return null
        // What a task takes whose job is no longer known can't be told: nothing more goes there until it is gone.
        if (worker.tasks.any { it.phase != TaskPhase.EXITED && it.task.job !in table.jobs }) return null
        var free = type.resources
        var leaving = Resources.NONE
        val victims = ArrayList<PreemptionCandidate>()
        val tenants = ArrayList<Occupant>()
        val fetching = HashMap<Image, Double>()
        val cached = worker.cachedImages(type.cacheGb)
        for (p in worker.placements.values) {
            val job = table.jobs[p.task.job] ?: continue
            free -= job.spec.resources
            tenants.add(Occupant(job.spec, (p.runningSince ?: now) + runs.expected(job.spec)))
            // What is in use is not what a cache drops; what is being fetched is given up when its task goes.
            val there = p.state == PlacementState.CONFIRMED && p.phase != TaskPhase.FETCHING
            if (there) {
                worker.recordImageUse(job.spec.image, job.spec.imageGb)
            } else if (job.spec.image !in
                cached
            ) {
                fetching.merge(job.spec.image, left(p, job.spec, type, now), ::minOf)
            }
            when {
                p.stopGrace != null -> leaving += job.spec.resources

                !job.isGang && p.state == PlacementState.CONFIRMED && job.spec.priority < Priority.PRODUCTION ->
                    victims.add(
                        PreemptionCandidate(
                            p.task,
                            job.spec.priority,
                            job.spec.resources,
                            p.runningSince.takeUnless {
                                job.spec.takesCheckpoints
                            },
                        ),
                    )
            }
        }
        val images = MachineImages(worker.cachedImages(type.cacheGb), type.fetchGbPerS, fetching)
        val load = MachineLoad(
            free,
            leaving,
            victims,
            serviceWeight(worker),
            worker.placements.isEmpty(),
            tenants,
        )
        return MachineView(
            worker.id,
            worker.type,
            worker.zone,
            worker.spot,
            type.resources,
            images,
            load,
            worker.avoidedBy,
        )
    }

    /** How much of its image a task still waits for, if the machine fetches at the stated rate. */
    private fun left(placement: Placement, spec: JobSpec, type: TypeInfo, now: MonotonicInstant): Double {
        val since = placement.fetchingSince ?: return spec.imageGb
        val fetched = (now - since).toDouble(DurationUnit.SECONDS) * type.fetchGbPerS
        return (spec.imageGb - fetched).coerceAtLeast(spec.imageGb * LAST_PART)
    }

    private fun serviceWeight(worker: WorkerState): Double = worker.placements.values.sumOf { p ->
        table.jobs[p.task.job]?.takeIf { it.spec.kind == JobKind.SERVICE }?.spec?.resources?.weight ?: 0.0
    }

    private fun jobView(
        job: JobState,
        leadership: LeadershipState.Leader,
        mayHide: (JobSpec) -> Boolean,
        now: MonotonicInstant,
    ): JobView? {
        if (job.isTerminal || now < job.notBefore || job.completed.all || job.hold != null || job.holdPending) return null
        // A task that no report names may still run on a silent worker, if its job is older than our term.
        if (job.version <= leadership.termRevision && mayHide(job.spec)) return null
        if (job.isGang) {
            if (job.gang.broken) {
                // Members that still wait would only wait in vain.
                job.placements.values.toList().filter {
                    it.phase != TaskPhase.RUNNING
                }.forEach { table.stop(job, it, Duration.ZERO) }
                if (job.placements.isNotEmpty()) return null
            }
            if (job.gang.started || job.placements.values.any { it.stopGrace != null }) return null
        } else if (job.placements.size + job.completed.count >= job.spec.tasks) {
            return null
        }
        val probes = faults.trialLimit(job)
        val most = if (job.isGang) job.spec.tasks else minOf(MAX_PENDING, probes ?: MAX_PENDING)
        val pending = ArrayList<Int>()
        var index = job.completed.firstMissing(0)
        while (index < job.spec.tasks && pending.size < most) {
            if (index !in job.placements) pending.add(index)
            index = job.completed.firstMissing(index + 1)
        }
        if (pending.isEmpty()) return null
        val join = if (job.isGang && job.placements.isNotEmpty()) job.gang.attempt else null
        return JobView(
            job.spec,
            job.version,
            pending,
            job.zones(),
            join,
            probe = probes != null,
            atFault = faults.isFaulty(job),
        )
    }

    /**
     * Says of each job by when it should start. That not all of a class can be in time is known only where nothing more
     * is to be rented for it; else a
     * job was put off that a booting machine would have taken (seen: photographs sorted within 180 s 0.82 to 0.70).
     */
    private fun ordered(
        jobs: List<Pair<JobState, JobView>>,
        catalog: Catalog,
        refused: Set<Market>,
        now: MonotonicInstant,
    ): List<JobView> {
        val (arrays, whole) = jobs.partition { it.first.spec.kind == JobKind.ARRAY }
        val held = HashMap<String, Double>()
        for (job in table.jobs.values) {
            if (job.placements.isNotEmpty()) {
                held.merge(
                    job.spec.jobClass,
                    job.placements.size * job.spec.resources.weight,
                    Double::plus,
                )
            }
        }
        val dues = HashMap<JobId, StartDeadline>()
        for ((name, its) in arrays.groupBy { it.first.spec.jobClass }) {
            val full = refused.isNotEmpty() && its.all { (job, _) -> refused.containsAll(catalog.markets(job.spec)) }
            dues +=
                StartDeadlines.among(
                    its.map { (job, view) ->
                        due.waiting(job.spec, job.openedAt, view.pending.size)
                    },
                    if (full) {
                        held[name]
                            ?: 0.0
                    } else {
                        0.0
                    },
                    now,
                )
        }
        for ((job, _) in whole) dues[job.id] = due.ofWhole(job.spec, job.openedAt, now)
        return jobs.map { (job, view) -> dues.getValue(job.id).let { view.withDue(it.at, it.late) } }
    }

    /**
     * Under a limit small jobs come before large ones for as long as there are any, and the large begin last, or never:
     * each begins with one task after a while. Where nothing but
     * machines is short, more are rented.
     */
    private fun mustBegin(view: JobView, quota: QuotaLedger, now: MonotonicInstant): Boolean {
        val job = table.jobs[view.spec.id] ?: return false
        val alone = job.spec.kind == JobKind.ARRAY && !job.spec.spread && !job.spec.oneZone && !view.probe
        return alone &&
            job.placements.isEmpty() &&
            job.completed.count == 0 &&
            now - job.openedAt > BEGIN_AFTER &&
            !quota.allows(job.spec.team, job.spec.resources * view.pending.size)
    }

    private companion object {
        val BEGIN_AFTER = 30.seconds

        /** A job of a hundred thousand tasks is placed a part at a time: no scheduling cycle could start more. */
        const val MAX_PENDING = 1000
        val FETCH_SEEN_AFTER = 2.seconds

        /** A fetch that takes longer than it should isn't over because it should be. */
        const val LAST_PART = 0.1
    }
}
