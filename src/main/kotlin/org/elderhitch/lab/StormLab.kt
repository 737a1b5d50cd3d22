package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.standin.CloudStandIn
import org.elderhitch.standin.StandInType
import org.elderhitch.standin.TaskObserver
import org.elderhitch.store.Keys
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The result of one storm. [violations]: violated rules with what happened. [recovered]: recovery time after the last
 * fault; null: not within the limit. [served]: the smallest served share, over classes and teams, of the jobs that were
 * due; null: none were.
 */
internal class StormOutcome(
    val schedule: Schedule,
    val violations: List<Pair<String, String>>,
    val recovered: Duration?,
    val missing: String?,
    val served: Double?,
    val figures: Map<String, Any?>,
) {
    val fails: Boolean get() = violations.isNotEmpty() || missing != null

    /** A summary in one line. */
    val verdict: String get() = violations.firstOrNull()?.let {
        "${it.first} ${violations.size} times, first ${it.second}"
    }
        ?: missing
        ?: "held, recovered after $recovered"
}

/**
 * Injects the faults of a schedule into complete controllers in virtual time; checks the invariants and the recovery.
 */
internal class StormLab(
    private val schedule: Schedule,
    private val share: Double?,
    private val policy: FleetPolicy = FleetPolicy(),
    /** Called before the first fault. */
    private val onFaultsBegin: CoroutineScope.(
        SimulatedCluster,
        SimulatedUsers,
        InvariantChecker,
    ) -> Unit = { _, _, _ -> },
) {
    private val log = LoggerFactory.getLogger("elderhitch.lab")
    private val timing = TIMINGS[(schedule.seed % TIMINGS.size).toInt()]

    private val hasMixedTypes = schedule.shape == Shape.TYPES

    fun run(): StormOutcome {
        val time = VirtualTime()
        return time.run { storm(this, time) }
    }

    private suspend fun storm(scope: CoroutineScope, time: VirtualTime): StormOutcome {
        val cluster = SimulatedCluster(scope, time.clock, simulationSettings())
        cluster.platform.cloud.listLag = 2.seconds
        val rules = InvariantChecker(
            time.clock,
            (timing.leaseS + CANCEL_BEYOND_LEASE).seconds,
            cluster.limits,
            cluster::machine,
            cluster.cpuLimits,
            cluster::machinesUp,
        )
        val users = SimulatedUsers(cluster, rules, schedule.machines, schedule.shape, schedule.seed)
        connectObservers(cluster, users, rules)
        scope.launch { tick(time, cluster, rules) }
        val faultsBeginAt = time.clock.now() + WARM_UP
        users.start(scope, faultsBeginAt + schedule.span)
        scope.onFaultsBegin(cluster, users, rules)
        val injector = FaultInjector(schedule.seed, cluster, users)
        for (fault in schedule.faults) {
            scope.launch {
                delay(faultsBeginAt + fault.at - time.clock.now())
                injector.inject(this, fault)
            }
        }
        delay(faultsBeginAt + maxOf(schedule.span, lastFaultEnd()) - time.clock.now())
        rules.faultsEnded()
        return outcome(time, cluster, users, rules)
    }

    private fun simulationSettings(): SimulationSettings = SimulationSettings(
        schedule.seed,
        timing.heartbeatIntervalS,
        requestsPerS = 600.0,
        writesPerS = 100.0,
        maxGpus = schedule.machines * GPUS * schedule.quotaScale,
        maxCpus = if (schedule.quotaScale < 1.0) schedule.machines * CORES * schedule.quotaScale else null,
        machinesPerZone = (schedule.machines + MACHINE_GROUPS - 1) / MACHINE_GROUPS,
        zones = listOf("a", "b", "c"),
        nodeZones = listOf("a", "b", "c"),
        leaseS = timing.leaseS,
        boot = BOOT,
        imageFetchGbPerS = 1.0,
        costs = share?.let(::CostModel),
        otherTeams = if (hasMixedTypes) {
            SimulatedUsers.TEAMS.associateWith { 0.0 }
        } else {
            mapOf("few" to schedule.machines * GPUS * GANG_TEAM_SHARE * schedule.quotaScale)
        },
        types = if (hasMixedTypes) TYPES else listOf(CloudStandIn.USUAL),
        cloudPerS = if (hasMixedTypes) SLOW_CLOUD_RPS else USUAL_CLOUD_RPS,
        policy = policy,
    )

    private fun connectObservers(cluster: SimulatedCluster, users: SimulatedUsers, rules: InvariantChecker) {
        cluster.taskObserver = object : TaskObserver by rules {
            override fun completed(task: String) {
                rules.completed(task)
                users.completed(task)
            }
        }
        // The kept copies of earlier reports arrive as soon as a new leader has claimed its term.
        cluster.platform.state.onPut = { key -> if (key == Keys.LEADER) cluster.network.deliverRetainedHeartbeats() }
    }

    private suspend fun tick(time: VirtualTime, cluster: SimulatedCluster, rules: InvariantChecker) {
        while (true) {
            delay(1.seconds)
            log.debug("storm time_s={} leader={}", time.nowMs / MS_PER_S, cluster.leader())
            rules.tick()
        }
    }

    private fun lastFaultEnd(): Duration =
        schedule.faults.maxOfOrNull { it.at + it.lasts * if (it.kind == FaultKind.ROLL) Schedule.NODES else 1 }
            ?: Duration.ZERO

    private suspend fun outcome(
        time: VirtualTime,
        cluster: SimulatedCluster,
        users: SimulatedUsers,
        rules: InvariantChecker,
    ): StormOutcome {
        val served = ServedShares(users.batches + users.services, time.clock.now() - DUE_BEFORE_END)
        val (recoveryTime, missing) = recovery(cluster, users, rules, RECOVERY_LIMIT) {
            if (it >= CHECK_SERVED_AFTER) served.check(rules, users)
        }
        served.check(rules, users)
        rules.end()
        val unserved =
            served.leastServed?.takeIf {
                it.second < MIN_SERVED_SHARE
            }?.let { "only ${it.second} of ${it.first} was served" }
                ?: served.firstLate(rules, users)
        return StormOutcome(
            schedule,
            rules.violations.toList(),
            recoveryTime,
            missing ?: unserved,
            served.leastServed?.second,
            figures(cluster, users, rules) + ("served_least" to served.leastServed?.second),
        )
    }

    private fun figures(cluster: SimulatedCluster, users: SimulatedUsers, rules: InvariantChecker): Map<String, Any?> =
        linkedMapOf(
            "jobs" to users.services.size + users.batches.size,
            "given_up" to users.submissionsGivenUp,
            "submit_p95_ms" to
                users.submissionLatencies.sorted().let { it.getOrNull((it.size * P95).toInt())?.inWholeMilliseconds },
            "starts" to cluster.startsOf.values.sum(),
            "starts_withdrawn" to rules.startsWithdrawn,
            "latest_start_ms" to rules.latestStart.inWholeMilliseconds,
            "habits" to users.unusualActions,
            "repeats" to cluster.network.repeater.executed,
            "machines" to cluster.platform.workers().size,
        )

    private suspend fun recovery(
        cluster: SimulatedCluster,
        users: SimulatedUsers,
        rules: InvariantChecker,
        bound: Duration,
        meanwhile: (Duration) -> Unit,
    ): Pair<Duration?, String?> {
        val began = cluster.clock.now()
        var missing: String? = "not checked yet"
        while (cluster.clock.now() - began < bound && rules.violations.isEmpty()) {
            delay(1.seconds)
            meanwhile(cluster.clock.now() - began)
            missing = missing(cluster, users, rules) ?: return cluster.clock.now() - began to null
        }
        return null to "not recovered within $bound: $missing"
    }

    /**
     * The first condition of recovery that is not met; null: all services run, all other jobs have ended, and the
     * leader's table matches what the machines run.
     */
    private suspend fun missing(cluster: SimulatedCluster, users: SimulatedUsers, rules: InvariantChecker): String? {
        val table = cluster.taskPlacements() ?: return "no leader whose table is complete"
        val running = HashMap<String, String>()
        for ((machine, worker) in cluster.platform.workers()) for (id in worker.present().keys) running[id] = machine
        val inTable = table.entries.associate { it.key.toString() to it.value.text }
        return missingServiceTask(users, rules, running)
            ?: unfinishedBatch(users, rules)
            ?: tableMismatch(running, inTable)
    }

    private fun missingServiceTask(
        users: SimulatedUsers,
        rules: InvariantChecker,
        running: Map<String, String>,
    ): String? {
        for (facts in users.services) {
            if (rules.terminalStateOf(facts.id) != null || users.isWithdrawing(facts.id)) continue
            for (n in 0 until facts.tasks) {
                if ("${facts.id}/$n" !in running) return "${facts.id}/$n of a service runs nowhere"
            }
        }
        return null
    }

    private fun unfinishedBatch(users: SimulatedUsers, rules: InvariantChecker): String? {
        val open = users.batches.firstOrNull { rules.terminalStateOf(it.id) == null } ?: return null
        return "${open.id} has ${rules.completedOf(open.id)} of ${open.tasks} tasks completed, and is open"
    }

    private fun tableMismatch(running: Map<String, String>, inTable: Map<String, String>): String? {
        (running.entries - inTable.entries).firstOrNull()?.let {
            return "${it.key} runs on ${it.value}, and the table says ${inTable[it.key]}"
        }
        (inTable.entries - running.entries).firstOrNull()?.let {
            return "the table says that ${it.key} runs on ${it.value}, and it runs on ${running[it.key]}"
        }
        return null
    }

    private class Timing(val heartbeatIntervalS: Double, val leaseS: Double)

    internal companion object {
        /** Report interval and lease of the deployments. */
        private val TIMINGS = listOf(Timing(3.0, 17.5), Timing(1.0, 11.0), Timing(5.0, 31.0))
        private const val GPUS = 8.0
        private const val CORES = 48.0

        /** Quota of the team that submits gangs, as a share of all accelerators. */
        private const val GANG_TEAM_SHARE = 0.1
        private const val MACHINE_GROUPS = 6
        private const val CANCEL_BEYOND_LEASE = 30.0
        private const val P95 = 0.95
        private const val MS_PER_S = 1000
        val BOOT = 15.seconds
        val WARM_UP = 60.seconds

        /** About a seventh of all machines are large; the cloud accepts 1.5 requests a second. */
        private val TYPES = listOf(
            StandInType("small", cores = 8.0, accelerators = 0.0, memGb = 16.0, price = 0.5, share = 0.85),
            StandInType("large", cores = 64.0, accelerators = 0.0, memGb = 256.0, price = 4.9, share = 0.15),
        )
        private const val SLOW_CLOUD_RPS = 1.5
        private const val USUAL_CLOUD_RPS = 10.0

        /**
         * Jobs that arrived at least this long before the end of the last fault are due [CHECK_SERVED_AFTER] after it:
         * half of each class and of each team must be served by then.
         */
        private val DUE_BEFORE_END = 60.seconds
        private val CHECK_SERVED_AFTER = 45.seconds
        private const val MIN_SERVED_SHARE = 0.5

        /** Limit of the recovery time after the last fault. */
        val RECOVERY_LIMIT = 180.seconds

        fun leaseOf(seed: Long): Duration = TIMINGS[(seed % TIMINGS.size).toInt()].leaseS.seconds
    }
}
