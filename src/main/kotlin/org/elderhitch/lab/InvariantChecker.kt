package org.elderhitch.lab

import org.elderhitch.standin.StandInMachine
import org.elderhitch.standin.TaskObserver
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The properties of a job that the invariants depend on, as its user submitted them. */
internal class JobFacts(
    val id: String,
    val team: String,
    val tasks: Int,
    val accelerators: Double,
    val spotAllowed: Boolean,
    val zone: String? = null,
    val oneZone: Boolean = false,
    /** All tasks complete together, so one completed task means that all have completed. */
    val gang: Boolean = false,
    val jobClass: String = "",
    /** The tasks run until the job is withdrawn. */
    val endless: Boolean = false,
    val submittedAt: MonotonicInstant = MonotonicInstant.NEVER,

    /** At most half of the tasks, rounded up, may run in one zone. */
    val spread: Boolean = false,
    val cores: Double = 0.0,
    /** The allowed machine types; null: any. */
    val types: Set<String>? = null,
    /** The job can never run, or lacks a field: no node may accept it. */
    val impossible: Boolean = false,
) {
    companion object {
        /** The facts of a job that is submitted with [body] at [submittedAt] and counted under [jobClass]. */
        fun of(body: Map<String, Any?>, jobClass: String, submittedAt: MonotonicInstant): JobFacts = JobFacts(
            id = body["id"] as String,
            team = body["desk"] as String,
            tasks = body["crates"] as Int,
            accelerators = body["accelerators"] as Double,
            spotAllowed = body["borrowedRigs"] as Boolean,
            zone = body["hall"] as String?,
            oneZone = body["samePlace"] as Boolean,
            gang = body["lotKind"] == "gang",
            jobClass = jobClass,
            endless = body["lotKind"] == "daemon",
            submittedAt = submittedAt,
            spread = body["spread"] as Boolean,
            cores = body["cores"] as Double,
            types = (body["rigs"] as List<*>?)?.map { it as String }?.toSet(),
        )
    }
}

/**
 * Checks the invariants of the scheduler from what happens on the machines and what users are told. A task counts as
 * running from the moment its machine accepts it, also while its image is still being fetched.
 */
internal class InvariantChecker(
    private val clock: SteadyClock,
    private val cancel: Duration,
    private val limits: Map<String, Double>,
    private val machineOf: (String) -> StandInMachine?,
    /** The core quota of each team. */
    private val cpuLimits: Map<String, Double> = emptyMap(),
    /** The machines that are up and run the tasks assigned to them. */
    private val machines: () -> Collection<StandInMachine> = { emptyList() },
) : TaskObserver {
    private class JobHistory(val facts: JobFacts) {
        var acceptedAt: MonotonicInstant? = null
        var startedAt: MonotonicInstant? = null
        var withdrawalAskedAt: MonotonicInstant? = null
        var withdrawalConfirmedAt: MonotonicInstant? = null
        var final: Pair<String, MonotonicInstant>? = null
        val completed = HashSet<Int>()
        val zones = HashMap<String, Int>()
        var failingSince: MonotonicInstant? = null
        var waitingSince: MonotonicInstant? = null

        /** Whether the job is accepted, not ended, and not requested to be withdrawn. */
        val isOpen: Boolean get() = acceptedAt != null && final == null && withdrawalAskedAt == null

        /** Whether the user had been told before [instant] that the job was accepted. */
        fun acceptedBefore(instant: MonotonicInstant): Boolean = acceptedAt.let { it != null && it < instant }
    }

    /** Resources in use by the tasks of a team or of a machine. */
    private class Usage {
        var cores = 0.0
        var accelerators = 0.0

        fun add(facts: JobFacts, times: Int) {
            cores += facts.cores * times
            accelerators += facts.accelerators * times
        }
    }

    private val jobs = HashMap<String, JobHistory>()
    private val where = HashMap<String, MutableSet<String>>()
    private val usageByTeam = HashMap<String, Usage>()
    private val usageByMachine = HashMap<String, Usage>()
    private val recentPolls = ArrayDeque<Pair<MonotonicInstant, Boolean>>()
    private var starts = 0L
    private var faultsOverAt: MonotonicInstant? = null

    /** Violations in order of detection: the name of the rule and what happened. */
    val violations = ArrayList<Pair<String, String>>()

    /**
     * Number of task starts after the withdrawal of their job was confirmed, and the longest such delay. This is wasted
     * work but no violation, as long as the tasks end within the time to cancel.
     */
    var startsWithdrawn = 0
        private set
    var latestStart: Duration = Duration.ZERO
        private set

    private fun report(rule: String, what: String) {
        violations.add(rule to "at ${(clock.now() - MonotonicInstant(0)).inWholeMilliseconds} ms: $what")
    }

    private fun historyOf(task: String): JobHistory? = jobs[task.substringBeforeLast('/')]

    // ---- events on machines

    override fun started(task: String, machine: String) {
        starts++
        val there = where.getOrPut(task) { LinkedHashSet() }
        if (there.isNotEmpty()) report("ran_twice", "$task runs on ${there.first()} and is started on $machine")
        there.add(machine)
        val job = historyOf(task) ?: return
        val facts = job.facts
        val host = machineOf(machine)
        if (job.startedAt == null) job.startedAt = clock.now()
        if (host != null) checkPlacement(task, machine, job, host)
        val inUse = usageByTeam.getOrPut(facts.team) { Usage() }
        inUse.add(facts, 1)
        usageByMachine.getOrPut(machine) { Usage() }.add(facts, 1)
        checkQuota(task, facts.team, inUse)
        job.withdrawalConfirmedAt?.let { confirmedAt -> checkWithdrawnStart(task, machine, confirmedAt) }
    }

    /** Checks that the job may run a task on [host], and counts the task in the zone. */
    private fun checkPlacement(task: String, machine: String, job: JobHistory, host: StandInMachine) {
        val facts = job.facts
        val inSeveralZones = facts.oneZone && job.zones.any { (zone, count) -> zone != host.zone && count > 0 }
        val unwantedSpot = host.spot && !facts.spotAllowed
        val wrongZone = facts.zone.let { it != null && it != host.zone }
        if (unwantedSpot || wrongZone || inSeveralZones) {
            report("wrong_place", "$task on $machine in ${host.zone}, spot ${host.spot}")
        }
        if (facts.types.let { it != null && host.type !in it }) {
            report("wrong_place", "$task on $machine, a ${host.type}")
        }
        countInZone(task, job, host.zone)
    }

    /** Counts a task that starts in [zone], and checks the spread that the job requires. */
    private fun countInZone(task: String, job: JobHistory, zone: String) {
        val facts = job.facts
        val there = job.zones.merge(zone, 1, Int::plus) ?: 1
        if (facts.spread && there > (facts.tasks + 1) / 2) {
            report("wrong_place", "$task in $zone is one of $there there, of ${facts.tasks} that must be spread")
        }
    }

    /** Checks the usage of [team] after the start of [task] against its quota. */
    private fun checkQuota(task: String, team: String, inUse: Usage) {
        if (exceeds(inUse.accelerators, limits[team])) {
            report("quota", "$team uses ${inUse.accelerators} accelerators after the start of $task")
        }
        if (exceeds(inUse.cores, cpuLimits[team])) {
            report("quota", "$team uses ${inUse.cores} cores after the start of $task")
        }
    }

    /** Counts a task start after its job's withdrawal was confirmed at [confirmedAt], and checks the time to cancel. */
    private fun checkWithdrawnStart(task: String, machine: String, confirmedAt: MonotonicInstant) {
        startsWithdrawn++
        latestStart = maxOf(latestStart, clock.now() - confirmedAt)
        if (clock.now() - confirmedAt > cancel) report("ran_cancelled", "$task starts on $machine")
    }

    override fun ended(task: String, machine: String) {
        if (where[task]?.remove(machine) != true) return
        val job = historyOf(task) ?: return
        usageByTeam[job.facts.team]?.add(job.facts, -1)
        usageByMachine[machine]?.add(job.facts, -1)
        machineOf(machine)?.let { job.zones.merge(it.zone, -1, Int::plus) }
    }

    override fun completed(task: String) {
        historyOf(task)?.completed?.add(task.substringAfterLast('/').toInt())
    }

    private fun exceeds(use: Double, limit: Double?): Boolean = limit != null && use > limit + TOLERANCE

    /** The accelerators and cores in use by the tasks of [team]. */
    fun usedBy(team: String): Pair<Double, Double> = usageByTeam[team].let {
        (it?.accelerators ?: 0.0) to
            (it?.cores ?: 0.0)
    }

    /**
     * Whether a task waits although a machine has capacity for it and the team's quota allows it. Gangs and jobs with
     * zone constraints are excluded: free capacity on one machine is not enough for them.
     */
    private fun isWaitingDespiteRoom(job: JobHistory): Boolean {
        val facts = job.facts
        val mayWaitForMore = facts.gang || facts.spread || facts.oneZone
        if (!job.isOpen || mayWaitForMore) return false
        return hasUnplacedTask(job) && fitsTeamLimits(facts) && machines().any { hasRoom(it, facts) }
    }

    /** Whether a task of the job is neither completed nor running. */
    private fun hasUnplacedTask(job: JobHistory): Boolean =
        (0 until job.facts.tasks).any { it !in job.completed && where["${job.facts.id}/$it"].isNullOrEmpty() }

    /** Whether the team's quota allows one more task of the job. */
    private fun fitsTeamLimits(facts: JobFacts): Boolean {
        val team = usageByTeam[facts.team] ?: Usage()
        return !exceeds(team.accelerators + facts.accelerators, limits[facts.team]) &&
            !exceeds(team.cores + facts.cores, cpuLimits[facts.team])
    }

    /** Whether a task of the job may run on [host] and fits into its free capacity. */
    private fun hasRoom(host: StandInMachine, facts: JobFacts): Boolean {
        val use = usageByMachine[host.id] ?: Usage()
        return (!host.spot || facts.spotAllowed) &&
            facts.zone.let { it == null || it == host.zone } &&
            facts.types.let { it == null || host.type in it } &&
            use.cores + facts.cores <= host.kind.cores + TOLERANCE &&
            use.accelerators + facts.accelerators <= host.kind.accelerators + TOLERANCE
    }

    /** Checks the invariants that are violated by the passing of time. To be called periodically. */
    fun tick() {
        val now = clock.now()
        val faultsOverSince = faultsOverAt
        if (faultsOverSince != null) {
            for (job in jobs.values) {
                val since = if (isWaitingDespiteRoom(job)) maxOf(job.waitingSince ?: now, faultsOverSince) else null
                job.waitingSince = since
                if (since == null || now - since < LIVENESS_LIMIT) continue
                report("left_waiting", "${job.facts.id} waits for ${now - since} though a machine has room for it")
                job.waitingSince = MonotonicInstant.FOREVER
            }
        }
        for (job in jobs.values) {
            val confirmedAt = job.withdrawalConfirmedAt ?: continue
            if (now - confirmedAt <= cancel || job.zones.values.all { it <= 0 }) continue
            report("ran_cancelled", "${job.facts.id} is on a machine ${now - confirmedAt} after its withdrawal")
            job.withdrawalConfirmedAt = MonotonicInstant.FOREVER
        }
    }

    // ---- requests and answers of users

    fun recordSubmission(facts: JobFacts) {
        jobs.getOrPut(facts.id) { JobHistory(facts) }
    }

    /** Checks the answer to a submission, or to its repetition, that was sent at [sentAt]. */
    fun recordSubmissionResponse(id: String, status: Int, state: String?, sentAt: MonotonicInstant) {
        val job = jobs.getValue(id)
        if (status in OK..CREATED) {
            if (job.facts.impossible) report("accepted_impossible", "$id can't run or lacks a field, and got $status")
            job.acceptedAt = job.acceptedAt ?: clock.now()
            if (state != null) recordResponse(id, status, state, sentAt)
        } else if ((status == BAD_REQUEST || status == UNPROCESSABLE) && job.acceptedBefore(sentAt)) {
            report("forgotten", "the repeated submission of $id got $status")
        }
    }

    fun recordCancellationRequest(id: String) {
        val job = jobs.getValue(id)
        job.withdrawalAskedAt = job.withdrawalAskedAt ?: clock.now()
    }

    /**
     * Checks the answer to a poll or a withdrawal that was sent at [sentAt]. [state]: null unless the status is 200.
     */
    fun recordResponse(id: String, status: Int, state: String?, sentAt: MonotonicInstant) {
        val job = jobs[id]
        if (job == null) {
            if (status == OK) report("invented", "$id, which nobody submitted, is $state")
            return
        }
        if (status == NOT_FOUND && job.acceptedBefore(sentAt)) report("forgotten", "$id got 404")
        if (status != OK && status != CREATED || state == null) return
        checkReportedState(job, state, sentAt)
        if (state == "withdrawn" && job.withdrawalConfirmedAt == null) job.withdrawalConfirmedAt = clock.now()
        if (job.final == null && (state == "done" || state == "withdrawn")) job.final = state to clock.now()
    }

    /** Checks a reported job state against the states reported before [sentAt] and the completed tasks. */
    private fun checkReportedState(job: JobHistory, state: String, sentAt: MonotonicInstant) {
        val id = job.facts.id
        val final = job.final
        if (final != null && final.second < sentAt && final.first != state) {
            report("went_back", "$id was ${final.first} and is $state")
        }
        if (state == "withdrawn" && job.withdrawalAskedAt == null) report("went_back", "$id is withdrawn unrequested")
        if (state == "done" && job.completed.size < if (job.facts.gang) 1 else job.facts.tasks) {
            report("not_done", "$id is done with ${job.completed.size} of ${job.facts.tasks} tasks completed")
        }
    }

    /** Records whether a poll for an accepted job was answered. */
    fun polled(id: String, answered: Boolean) {
        val now = clock.now()
        recentPolls.addLast(now to answered)
        while (recentPolls.first().first < now - LIVENESS_LIMIT) recentPolls.removeFirst()
        val job = jobs.getValue(id)
        if (answered || job.acceptedAt == null) {
            job.failingSince = null
            return
        }
        val since = job.failingSince ?: now.also { job.failingSince = it }
        // After all faults a job must be answered for, even if most polls for other jobs fail too.
        faultsOverAt?.let { faultsOverAt ->
            if (now - maxOf(since, faultsOverAt) >= LIVENESS_LIMIT_AFTER_FAULTS) {
                report(
                    "forgotten",
                    "no poll for $id was answered for ${now - maxOf(since, faultsOverAt)} after all faults ended",
                )
                job.failingSince = null
                return
            }
        }
        if (now - since < LIVENESS_LIMIT || recentPolls.count { it.second } * 2 < recentPolls.size) return
        report("forgotten", "every poll for $id failed for ${now - since}")
        job.failingSince = null
    }

    /** All faults are over: from now on, unanswered polls and waiting jobs count as violations. */
    fun faultsEnded() {
        faultsOverAt = clock.now()
    }

    /** When the first task of the job started; null: none has. */
    fun begunAt(id: String): MonotonicInstant? = jobs[id]?.startedAt

    /** The final state that the user was told first; null: none yet. */
    fun terminalStateOf(id: String): String? = jobs[id]?.final?.first

    fun completedOf(id: String): Int = jobs[id]?.completed?.size ?: 0

    fun isOn(task: String): Boolean = where[task].orEmpty().isNotEmpty()

    fun end() {
        if (starts == 0L) report("nothing_ran", "no task was started")
    }

    private companion object {
        const val OK = 200
        const val CREATED = 201
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val UNPROCESSABLE = 422
        const val TOLERANCE = 1e-6
        val LIVENESS_LIMIT = 90.seconds
        val LIVENESS_LIMIT_AFTER_FAULTS = 75.seconds
    }
}
