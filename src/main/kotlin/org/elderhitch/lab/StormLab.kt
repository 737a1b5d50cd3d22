package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.standin.CloudStandIn
import org.elderhitch.standin.StandInType
import org.elderhitch.standin.TaskWatch
import org.elderhitch.store.Keys
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What came of one storm. [broken]: rules by name and what happened; [recovered]: after the last trouble; null: not
 * within the bound. [served]: the least share, of
 * any class or team, of what was due; null: nothing was.
 */
internal class StormOutcome(
    val schedule: Schedule,
    val broken: List<Pair<String, String>>,
    val recovered: Duration?,
    val missing: String?,
    val served: Double?,
    val figures: Map<String, Any?>,
) {
    val fails: Boolean get() = broken.isNotEmpty() || missing != null

    /** One line. */
    val verdict: String get() = broken.firstOrNull()?.let { "${it.first} ${broken.size} times, first ${it.second}" }
        ?: missing
        ?: "held, recovered after $recovered"
}

/**
 * Plays a schedule of overlapping troubles against whole controllers in virtual time, and watches over the rules and
 * the recovery.
 */
internal class StormLab(
    private val schedule: Schedule,
    private val share: Double?,
    private val policy: FleetPolicy = FleetPolicy(),
    /** Told when the troubles are about to begin. */
    private val onBegin: CoroutineScope.(SimulatedCluster, SimulatedUsers, InvariantChecker) -> Unit = { _, _, _ -> },
) {
    private val log = LoggerFactory.getLogger("elderhitch.lab")
    private val pace = PACES[(schedule.seed % PACES.size).toInt()]

    private val mixed = schedule.shape == Shape.TYPES

    fun run(): StormOutcome {
        val time = VirtualTime()
        return time.run { storm(this, time) }
    }

    private suspend fun storm(scope: CoroutineScope, time: VirtualTime): StormOutcome {
        val world = SimulatedCluster(scope, time.clock, worldSettings())
        world.platform.cloud.listLag = 2.seconds
        val rules = InvariantChecker(
            time.clock,
            (pace.leaseS + CANCEL_BEYOND_LEASE).seconds,
            world.limits,
            world::machine,
            world.cpuLimits,
            world::machinesUp,
        )
        val users = SimulatedUsers(world, rules, schedule.machines, schedule.shape, schedule.seed)
        connect(world, users, rules)
        scope.launch { tick(time, world, rules) }
        val begins = time.clock.now() + WARM_UP
        users.begin(scope, begins + schedule.span)
        scope.onBegin(world, users, rules)
        val player = FaultPlayer(schedule.seed, world, users)
        for (trouble in schedule.troubles) {
            scope.launch {
                delay(begins + trouble.at - time.clock.now())
                player.play(this, trouble)
            }
        }
        delay(begins + maxOf(schedule.span, lastTroubleEnds()) - time.clock.now())
        rules.troublesOver()
        return outcome(time, world, users, rules)
    }

    private fun worldSettings(): WorldSettings = WorldSettings(
        schedule.seed,
        pace.reportS,
        requestsPerS = 600.0,
        writesPerS = 100.0,
        mostGpus = schedule.machines * GPUS * schedule.room,
        mostCpus = if (schedule.room < 1.0) schedule.machines * CORES * schedule.room else null,
        machinesPerZone = (schedule.machines + ZONE_KINDS - 1) / ZONE_KINDS,
        zones = listOf("a", "b", "c"),
        nodeZones = listOf("a", "b", "c"),
        leaseS = pace.leaseS,
        boot = BOOT,
        fetchRate = 1.0,
        costs = share?.let(::CostModel),
        otherTeams = if (mixed) {
            SimulatedUsers.TEAMS.associateWith { 0.0 }
        } else {
            mapOf("few" to schedule.machines * GPUS * FEW * schedule.room)
        },
        types = if (mixed) TYPES else listOf(CloudStandIn.USUAL),
        cloudPerS = if (mixed) SLOW_CLOUD else USUAL_CLOUD,
        policy = policy,
    )

    private fun connect(world: SimulatedCluster, users: SimulatedUsers, rules: InvariantChecker) {
        world.alsoTold = object : TaskWatch by rules {
            override fun completed(task: String) {
                rules.completed(task)
                users.completed(task)
            }
        }
        // What was kept of earlier reports comes as soon as somebody has claimed the lead.
        world.platform.state.onPut = { key -> if (key == Keys.LEADER) world.network.deliverKept() }
    }

    private suspend fun tick(time: VirtualTime, world: SimulatedCluster, rules: InvariantChecker) {
        while (true) {
            delay(1.seconds)
            log.debug("storm time_s={} leader={}", time.nowMs / MS, world.leader())
            rules.tick()
        }
    }

    private fun lastTroubleEnds(): Duration =
        schedule.troubles.maxOfOrNull { it.at + it.lasts * if (it.kind == Kind.ROLL) Schedule.NODES else 1 }
            ?: Duration.ZERO

    private suspend fun outcome(
        time: VirtualTime,
        world: SimulatedCluster,
        users: SimulatedUsers,
        rules: InvariantChecker,
    ): StormOutcome {
        val served = Served(users.batches + users.services, time.clock.now() - DUE)
        val (after, missing) = recovery(world, users, rules, BOUND) {
            if (it >= SERVED_AFTER) served.look(rules, users)
        }
        served.look(rules, users)
        rules.end()
        val unserved = served.least?.takeIf { it.second < HALF }?.let { "only ${it.second} of ${it.first} was served" }
            ?: served.late(rules, users)
        return StormOutcome(
            schedule,
            rules.broken.toList(),
            after,
            missing ?: unserved,
            served.least?.second,
            figures(world, users, rules) + ("served_least" to served.least?.second),
        )
    }

    private fun figures(world: SimulatedCluster, users: SimulatedUsers, rules: InvariantChecker): Map<String, Any?> =
        linkedMapOf(
            "jobs" to users.services.size + users.batches.size,
            "given_up" to users.givenUp,
            "submit_p95_ms" to users.waited.sorted().let { it.getOrNull((it.size * P95).toInt())?.inWholeMilliseconds },
            "starts" to world.startsOf.values.sum(),
            "starts_withdrawn" to rules.startsWithdrawn,
            "latest_start_ms" to rules.latestStart.inWholeMilliseconds,
            "habits" to users.habits,
            "machines" to world.platform.workers().size,
        )

    private suspend fun recovery(
        world: SimulatedCluster,
        users: SimulatedUsers,
        rules: InvariantChecker,
        bound: Duration,
        meanwhile: (Duration) -> Unit,
    ): Pair<Duration?, String?> {
        val began = world.clock.now()
        var missing: String? = "nothing looked at"
        while (world.clock.now() - began < bound && rules.broken.isEmpty()) {
            delay(1.seconds)
            meanwhile(world.clock.now() - began)
            missing = missing(world, users, rules) ?: return world.clock.now() - began to null
        }
        return null to "not recovered within $bound: $missing"
    }

    /**
     * What is not yet as it should be; null: all that can be placed is placed, and the leader's table equals what the
     * machines run.
     */
    private suspend fun missing(world: SimulatedCluster, users: SimulatedUsers, rules: InvariantChecker): String? {
        val table = world.survey() ?: return "no leader whose table is complete"
        val really = HashMap<String, String>()
        for ((machine, worker) in world.platform.workers()) for (task in worker.present().keys) really[task] = machine
        val believed = table.entries.associate { it.key.toString() to it.value.text }
        return serviceMissing(users, rules, really)
            ?: batchMissing(users, rules)
            ?: tableDiffers(really, believed)
    }

    private fun serviceMissing(users: SimulatedUsers, rules: InvariantChecker, really: Map<String, String>): String? {
        for (facts in users.services) {
            if (rules.finalOf(facts.id) != null || users.isWithdrawing(facts.id)) continue
            for (n in 0 until facts.tasks) {
                if ("${facts.id}/$n" !in really) return "${facts.id}/$n of a service runs nowhere"
            }
        }
        return null
    }

    private fun batchMissing(users: SimulatedUsers, rules: InvariantChecker): String? {
        val open = users.batches.firstOrNull { rules.finalOf(it.id) == null } ?: return null
        return "${open.id} has ${rules.completedOf(open.id)} of ${open.tasks} tasks completed, and is open"
    }

    private fun tableDiffers(really: Map<String, String>, believed: Map<String, String>): String? {
        (really.entries - believed.entries).firstOrNull()?.let {
            return "${it.key} runs on ${it.value}, and the table says ${believed[it.key]}"
        }
        (believed.entries - really.entries).firstOrNull()?.let {
            return "the table says that ${it.key} runs on ${it.value}, and it runs on ${really[it.key]}"
        }
        return null
    }

    private class Pace(val reportS: Double, val leaseS: Double)

    internal companion object {
        /** As the deployments have it: report interval and lease. */
        private val PACES = listOf(Pace(3.0, 17.5), Pace(1.0, 11.0), Pace(5.0, 31.0))
        private const val GPUS = 8.0
        private const val CORES = 48.0

        /** What the team of the gangs may use, as a part of all. */
        private const val FEW = 0.1
        private const val ZONE_KINDS = 6
        private const val CANCEL_BEYOND_LEASE = 30.0
        private const val P95 = 0.95
        private const val MS = 1000
        val BOOT = 15.seconds
        val WARM_UP = 60.seconds

        /** As many large machines as a seventh of all; a cloud that takes 1.5 requests a second. */
        private val TYPES = listOf(
            StandInType("small", cores = 8.0, accelerators = 0.0, memGb = 16.0, price = 0.5, share = 0.85),
            StandInType("large", cores = 64.0, accelerators = 0.0, memGb = 256.0, price = 4.9, share = 0.15),
        )
        private const val SLOW_CLOUD = 1.5
        private const val USUAL_CLOUD = 10.0

        /**
         * Jobs that came so long before the last trouble ended are due some time after it: half of each class and each
         * team must be served by then.
         */
        private val DUE = 60.seconds
        private val SERVED_AFTER = 45.seconds
        private const val HALF = 0.5

        /** Within that after the last trouble all must be as it should be. */
        val BOUND = 180.seconds

        fun leaseOf(seed: Long): Duration = PACES[(seed % PACES.size).toInt()].leaseS.seconds
    }
}
