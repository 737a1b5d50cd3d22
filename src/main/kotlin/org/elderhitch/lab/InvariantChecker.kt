package org.elderhitch.lab

import org.elderhitch.standin.StandInMachine
import org.elderhitch.standin.TaskWatch
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What the rules ask of a job, as its user knows it. */
internal class JobFacts(
    val id: String,
    val team: String,
    val tasks: Int,
    val accelerators: Double,
    val spotAllowed: Boolean,
    val zone: String? = null,
    val oneZone: Boolean = false,
    /** Its tasks complete together: one that is done speaks for all. */
    val gang: Boolean = false,
    val jobClass: String = "",
    /** Its tasks run until it is withdrawn. */
    val endless: Boolean = false,
    val submittedAt: MonotonicInstant = MonotonicInstant.NEVER,

    /** At most half of its tasks, rounded up, may be in one zone. */
    val spread: Boolean = false,
    val cores: Double = 0.0,
    /** The only machine types that it allows; null: any. */
    val types: Set<String>? = null,
    /** It can never run, or lacks a field: it must be accepted by nobody. */
    val impossible: Boolean = false,
)

/**
 * Watches over the rules of PROTOCOL ("Rules"), from what happens on machines and what users are told. A task counts as
 * on its machine
 * from its start on, image or not: stricter than the bench.
 */
internal class InvariantChecker(
    private val clock: SteadyClock,
    private val cancel: Duration,
    private val limits: Map<String, Double>,
    private val machineOf: (String) -> StandInMachine?,
    /** How many cores the tasks of each team may use. */
    private val cpuLimits: Map<String, Double> = emptyMap(),
    /** The machines that are up and run what they are given. */
    private val machines: () -> Collection<StandInMachine> = { emptyList() },
) : TaskWatch {
    private class History(val facts: JobFacts) {
        var accepted: MonotonicInstant? = null
        var begun: MonotonicInstant? = null
        var asked: MonotonicInstant? = null
        var cancelled: MonotonicInstant? = null
        var final: Pair<String, MonotonicInstant>? = null
        val completed = HashSet<Int>()
        val zones = HashMap<String, Int>()
        var failingSince: MonotonicInstant? = null
        var waitingSince: MonotonicInstant? = null

        /** Whether it is accepted, and neither over nor asked to be withdrawn. */
        val isOpen: Boolean get() = accepted != null && final == null && asked == null

        /** Whether its user had been told of its acceptance before [instant]. */
        fun acceptedBefore(instant: MonotonicInstant): Boolean = accepted.let { it != null && it < instant }
    }

    /** What a team's tasks, or a machine's, use. */
    private class Use {
        var cores = 0.0
        var accelerators = 0.0

        fun add(facts: JobFacts, times: Int) {
            cores += facts.cores * times
            accelerators += facts.accelerators * times
        }
    }

    private val jobs = HashMap<String, History>()
    private val where = HashMap<String, MutableSet<String>>()
    private val used = HashMap<String, Use>()
    private val load = HashMap<String, Use>()
    private val answeredPolls = ArrayDeque<Pair<MonotonicInstant, Boolean>>()
    private var starts = 0L
    private var over: MonotonicInstant? = null

    /** Broken rules: name and what happened, in order. */
    val broken = ArrayList<Pair<String, String>>()

    /**
     * Starts of tasks whose job had been confirmed as withdrawn, and the longest time after that. No rule as long as
     * they are gone in time, but useless to everyone.
     */
    var startsWithdrawn = 0
        private set
    var latestStart: Duration = Duration.ZERO
        private set

    private fun broke(rule: String, what: String) {
        broken.add(rule to "at ${(clock.now() - MonotonicInstant(0)).inWholeMilliseconds} ms: $what")
    }

    private fun historyOf(task: String): History? = jobs[task.substringBeforeLast('/')]

    // ---- machines ----------------------------------------------------------------------------------------------

    override fun started(task: String, machine: String) {
        starts++
        val there = where.getOrPut(task) { LinkedHashSet() }
        if (there.isNotEmpty()) broke("ran_twice", "$task runs on ${there.first()} and is started on $machine")
        there.add(machine)
        val job = historyOf(task) ?: return
        val facts = job.facts
        val host = machineOf(machine)
        if (job.begun == null) job.begun = clock.now()
        if (host != null) checkPlace(task, machine, job, host)
        val inUse = used.getOrPut(facts.team) { Use() }
        inUse.add(facts, 1)
        load.getOrPut(machine) { Use() }.add(facts, 1)
        checkQuota(task, facts.team, inUse)
        job.cancelled?.let { told -> checkWithdrawnStart(task, machine, told) }
    }

    /** Counts a task that starts on [host] in its zone, and checks that its job may have it there. */
    private fun checkPlace(task: String, machine: String, job: History, host: StandInMachine) {
        val facts = job.facts
        val apart = facts.oneZone && job.zones.any { (zone, count) -> zone != host.zone && count > 0 }
        val unwantedSpot = host.spot && !facts.spotAllowed
        val wrongZone = facts.zone.let { it != null && it != host.zone }
        if (unwantedSpot || wrongZone || apart) {
            broke("wrong_place", "$task on $machine in ${host.zone}, spot ${host.spot}")
        }
        if (facts.types.let { it != null && host.type !in it }) {
            broke("wrong_place", "$task on $machine, a ${host.type}")
        }
        countInZone(task, job, host.zone)
    }

    /** Counts a task that starts in [zone], and checks the spread that its job asks for. */
    private fun countInZone(task: String, job: History, zone: String) {
        val facts = job.facts
        val there = job.zones.merge(zone, 1, Int::plus) ?: 1
        if (facts.spread && there > (facts.tasks + 1) / 2) {
            broke("wrong_place", "$task in $zone is one of $there there, of ${facts.tasks} that are to be spread")
        }
    }

    /** Checks what a team uses after the start of [task] against its limits. */
    private fun checkQuota(task: String, team: String, inUse: Use) {
        if (exceeds(inUse.accelerators, limits[team])) {
            broke("quota", "$team uses ${inUse.accelerators} accelerators after the start of $task")
        }
        if (exceeds(inUse.cores, cpuLimits[team])) {
            broke("quota", "$team uses ${inUse.cores} cores after the start of $task")
        }
    }

    /** Counts the start of a task whose job was confirmed as withdrawn when [told], and checks that it's in time. */
    private fun checkWithdrawnStart(task: String, machine: String, told: MonotonicInstant) {
        startsWithdrawn++
        latestStart = maxOf(latestStart, clock.now() - told)
        if (clock.now() - told > cancel) broke("ran_cancelled", "$task starts on $machine")
    }

    override fun ended(task: String, machine: String) {
        if (where[task]?.remove(machine) != true) return
        val job = historyOf(task) ?: return
        used[job.facts.team]?.add(job.facts, -1)
        load[machine]?.add(job.facts, -1)
        machineOf(machine)?.let { job.zones.merge(it.zone, -1, Int::plus) }
    }

    override fun completed(task: String) {
        historyOf(task)?.completed?.add(task.substringAfterLast('/').toInt())
    }

    private fun exceeds(use: Double, limit: Double?): Boolean = limit != null && use > limit + SLACK

    /** What a team's tasks use of accelerators and cores. */
    fun usedBy(team: String): Pair<Double, Double> = used[team].let { (it?.accelerators ?: 0.0) to (it?.cores ?: 0.0) }

    /**
     * Whether a task of it waits that a machine has room for, under its team's limits. Gangs, and what has to be spread
     * or together, may wait for more than room.
     */
    private fun waitsThoughItFits(job: History): Boolean {
        val facts = job.facts
        val mayWaitForMore = facts.gang || facts.spread || facts.oneZone
        if (!job.isOpen || mayWaitForMore) return false
        return hasTaskLeft(job) && allowsOneMore(facts) && machines().any { hasRoom(it, facts) }
    }

    /** Whether a task of the job is neither completed nor on a machine. */
    private fun hasTaskLeft(job: History): Boolean =
        (0 until job.facts.tasks).any { it !in job.completed && where["${job.facts.id}/$it"].isNullOrEmpty() }

    /** Whether the limits of the job's team leave room for one more of its tasks. */
    private fun allowsOneMore(facts: JobFacts): Boolean {
        val team = used[facts.team] ?: Use()
        return !exceeds(team.accelerators + facts.accelerators, limits[facts.team]) &&
            !exceeds(team.cores + facts.cores, cpuLimits[facts.team])
    }

    /** Whether a task of the job may be on [host], and fits beside what runs there. */
    private fun hasRoom(host: StandInMachine, facts: JobFacts): Boolean {
        val use = load[host.id] ?: Use()
        return (!host.spot || facts.spotAllowed) &&
            facts.zone.let { it == null || it == host.zone } &&
            facts.types.let { it == null || host.type in it } &&
            use.cores + facts.cores <= host.kind.cores + SLACK &&
            use.accelerators + facts.accelerators <= host.kind.accelerators + SLACK
    }

    /** Called now and then, for rules that time breaks. */
    fun tick() {
        val now = clock.now()
        val calmSince = over
        if (calmSince != null) {
            for (job in jobs.values) {
                val since = if (waitsThoughItFits(job)) maxOf(job.waitingSince ?: now, calmSince) else null
                job.waitingSince = since
                if (since == null || now - since < LONG) continue
                broke("left_waiting", "${job.facts.id} waits for ${now - since} though a machine has room for it")
                job.waitingSince = MonotonicInstant.FOREVER
            }
        }
        for (job in jobs.values) {
            val told = job.cancelled ?: continue
            if (now - told <= cancel || job.zones.values.all { it <= 0 }) continue
            broke("ran_cancelled", "${job.facts.id} is on a machine ${now - told} after its withdrawal")
            job.cancelled = MonotonicInstant.FOREVER
        }
    }

    // ---- users -------------------------------------------------------------------------------------------------

    fun submits(facts: JobFacts) {
        jobs.getOrPut(facts.id) { History(facts) }
    }

    /** An answer to a submission or its repetition, asked at [asked]. */
    fun submitted(id: String, status: Int, word: String?, asked: MonotonicInstant) {
        val job = jobs.getValue(id)
        if (status in OK..CREATED) {
            if (job.facts.impossible) broke("accepted_impossible", "$id can't run, or lacks a field, and got $status")
            job.accepted = job.accepted ?: clock.now()
            if (word != null) told(id, status, word, asked)
        } else if ((status == BAD || status == UNPROCESSABLE) && job.acceptedBefore(asked)) {
            broke("forgotten", "the repeated submission of $id got $status")
        }
    }

    fun asksToWithdraw(id: String) {
        val job = jobs.getValue(id)
        job.asked = job.asked ?: clock.now()
    }

    /** An answer to a poll or a withdrawal, asked at [asked]; [word]: null unless the status is 200. */
    fun told(id: String, status: Int, word: String?, asked: MonotonicInstant) {
        val job = jobs[id]
        if (job == null) {
            if (status == OK) broke("invented", "$id, which nobody submitted, is $word")
            return
        }
        if (status == NOT_FOUND && job.acceptedBefore(asked)) broke("forgotten", "$id got 404")
        if (status != OK && status != CREATED || word == null) return
        checkWord(job, word, asked)
        if (word == "withdrawn" && job.cancelled == null) job.cancelled = clock.now()
        if (job.final == null && (word == "done" || word == "withdrawn")) job.final = word to clock.now()
    }

    /** Checks how a job is said to stand against what was said before [asked], and what its tasks did. */
    private fun checkWord(job: History, word: String, asked: MonotonicInstant) {
        val id = job.facts.id
        val final = job.final
        if (final != null && final.second < asked && final.first != word) {
            broke("went_back", "$id was ${final.first} and is $word")
        }
        if (word == "withdrawn" && job.asked == null) broke("went_back", "$id is withdrawn, and its user did not ask")
        if (word == "done" && job.completed.size < if (job.facts.gang) 1 else job.facts.tasks) {
            broke("not_done", "$id is done with ${job.completed.size} of ${job.facts.tasks} tasks completed")
        }
    }

    /** Whether a poll for an accepted job was answered at all. */
    fun polled(id: String, answered: Boolean) {
        val now = clock.now()
        answeredPolls.addLast(now to answered)
        while (answeredPolls.first().first < now - LONG) answeredPolls.removeFirst()
        val job = jobs.getValue(id)
        if (answered || job.accepted == null) {
            job.failingSince = null
            return
        }
        val since = job.failingSince ?: now.also { job.failingSince = it }
        // Once all troubles are over, however others fare.
        over?.let { over ->
            if (now - maxOf(since, over) >= AFTER_TROUBLES) {
                broke(
                    "forgotten",
                    "no question about $id was answered for ${now - maxOf(since, over)} after all troubles",
                )
                job.failingSince = null
                return
            }
        }
        if (now - since < LONG || answeredPolls.count { it.second } * 2 < answeredPolls.size) return
        broke("forgotten", "every poll for $id failed for ${now - since}")
        job.failingSince = null
    }

    /** From now on nothing excuses that a job's questions go unanswered. */
    fun troublesOver() {
        over = clock.now()
    }

    /** When the first of a job's tasks was on a machine; null: none has been. */
    fun begunAt(id: String): MonotonicInstant? = jobs[id]?.begun

    /** How a job stands by what its user was last told for good; null: it is open. */
    fun finalOf(id: String): String? = jobs[id]?.final?.first

    fun completedOf(id: String): Int = jobs[id]?.completed?.size ?: 0

    fun isOn(task: String): Boolean = where[task].orEmpty().isNotEmpty()

    fun end() {
        if (starts == 0L) broke("nothing_ran", "no task was started")
    }

    private companion object {
        const val OK = 200
        const val CREATED = 201
        const val BAD = 400
        const val NOT_FOUND = 404
        const val UNPROCESSABLE = 422
        const val SLACK = 1e-6
        val LONG = 90.seconds
        val AFTER_TROUBLES = 75.seconds
    }
}
