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
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
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
    private val random = Random(schedule.seed xor SALT)
    private val pace = PACES[(schedule.seed % PACES.size).toInt()]
    private val down = HashSet<String>()
    private var outages = 0
    private var cloudOutages = 0

    fun run(): StormOutcome {
        val time = VirtualTime()
        return time.run {
            val perZone = (schedule.machines + ZONE_KINDS - 1) / ZONE_KINDS
            val world = SimulatedCluster(
                this,
                time.clock,
                WorldSettings(
                    schedule.seed, pace.reportS, requestsPerS = 600.0, writesPerS = 100.0,
                    mostGpus =
                    schedule.machines * GPUS * schedule.room,
                    mostCpus = if (schedule.room <
                        1.0
                    ) {
                        schedule.machines * CORES * schedule.room
                    } else {
                        null
                    },
                    machinesPerZone = perZone,
                    zones = listOf(
                        "a",
                        "b",
                        "c",
                    ),
                    nodeZones = listOf("a", "b", "c"), leaseS = pace.leaseS, boot = BOOT, fetchRate = 1.0,
                    costs = share?.let(::CostModel),
                    otherTeams = if (mixed) {
                        SimulatedUsers.TEAMS.associateWith { 0.0 }
                    } else {
                        mapOf("few" to schedule.machines * GPUS * FEW * schedule.room)
                    },
                    types = if (mixed) {
                        TYPES
                    } else {
                        listOf(
                            CloudStandIn.USUAL,
                        )
                    },
                    cloudPerS = if (mixed) SLOW_CLOUD else USUAL_CLOUD, policy = policy,
                ),
            )
            world.platform.cloud.listLag = 2.seconds
            val rules =
                InvariantChecker(
                    time.clock,
                    (pace.leaseS + CANCEL_BEYOND_LEASE).seconds,
                    world.limits,
                    world::machine,
                    world.cpuLimits,
                    world::machinesUp,
                )
            val users = SimulatedUsers(world, rules, schedule.machines, schedule.shape, schedule.seed)
            world.alsoTold = object : TaskWatch by rules {
                override fun completed(task: String) {
                    rules.completed(task)
                    users.completed(task)
                }
            }
            // What was kept of earlier reports comes as soon as somebody has claimed the lead.
            world.platform.state.onPut = { key -> if (key == Keys.LEADER) world.network.deliverKept() }
            launch {
                while (true) {
                    delay(1.seconds)
                    log.debug("storm time_s={} leader={}", time.nowMs / MS, world.leader())
                    rules.tick()
                }
            }
            val begins = time.clock.now() + WARM_UP
            users.begin(this, begins + schedule.span)
            onBegin(world, users, rules)
            for (trouble in schedule.troubles) {
                launch {
                    delay(begins + trouble.at - time.clock.now())
                    play(this, world, users, trouble)
                }
            }
            val last =
                schedule.troubles.maxOfOrNull { it.at + it.lasts * if (it.kind == Kind.ROLL) Schedule.NODES else 1 }
                    ?: Duration.ZERO
            delay(begins + maxOf(schedule.span, last) - time.clock.now())
            rules.troublesOver()
            val served = Served(users.batches + users.services, time.clock.now() - DUE)
            val (after, missing) = recovery(world, users, rules, BOUND) {
                if (it >=
                    SERVED_AFTER
                ) {
                    served.look(rules, users)
                }
            }
            served.look(rules, users)
            rules.end()
            val unserved =
                served.least?.takeIf { it.second < HALF }?.let { "only ${it.second} of ${it.first} was served" }
                    ?: served.late(rules, users)
            StormOutcome(
                schedule,
                rules.broken.toList(),
                after,
                missing ?: unserved,
                served.least?.second,
                figures(world, users, rules) + ("served_least" to served.least?.second),
            )
        }
    }

    private val mixed = schedule.shape == Shape.TYPES

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
        for (facts in users.services) {
            if (rules.finalOf(facts.id) != null || users.isWithdrawing(facts.id)) continue
            for (n in 0 until facts.tasks) {
                if ("${facts.id}/$n" !in
                    really
                ) {
                    return "${facts.id}/$n of a service runs nowhere"
                }
            }
        }
        for (facts in users.batches) {
            if (rules.finalOf(facts.id) ==
                null
            ) {
                return "${facts.id} has ${rules.completedOf(
                    facts.id,
                )} of ${facts.tasks} tasks completed, and is open"
            }
        }
        (really.entries - believed.entries).firstOrNull()?.let {
            return "${it.key} runs on ${it.value}, and the table says ${believed[it.key]}"
        }
        (believed.entries - really.entries).firstOrNull()?.let {
            return "the table says that ${it.key} runs on ${it.value}, and it runs on ${really[it.key]}"
        }
        return null
    }

    private fun nodeOf(world: SimulatedCluster, target: Int): String = if (target ==
        Trouble.LEADER
    ) {
        world.leader() ?: world.names[0]
    } else {
        world.names[target % world.names.size]
    }

    private suspend fun play(scope: CoroutineScope, world: SimulatedCluster, users: SimulatedUsers, trouble: Trouble) {
        val network = world.network
        val cloud = world.platform.cloud
        fun draw(): Boolean = random.nextDouble() < trouble.share
        log.debug(
            "storm trouble={} lasts_ms={} target={} from={}",
            trouble.kind.word,
            trouble.lasts.inWholeMilliseconds,
            trouble.target,
            trouble.from,
        )
        when (trouble.kind) {
            Kind.HANG -> {
                val hanging = world.platform.workers().toSortedMap().values.filter { draw() }
                hanging.forEach { it.hang() }
                delay(trouble.lasts)
                hanging.forEach { it.resume() }
            }

            Kind.DIE -> cloud.machines().filter { it.up && draw() }.forEach { world.platform.kill(it.id) }

            Kind.SPOT -> cloud.machines().filter { it.spot && draw() }.forEach { cloud.remove(it.id) }

            Kind.SLOW_BOOT -> {
                cloud.bootFactor = { 1 + random.nextDouble() * trouble.share }
                delay(trouble.lasts)
                cloud.bootFactor = { 1.0 }
            }

            Kind.ZONE -> world.zones[trouble.target % world.zones.size].let { zone ->
                cut(world, trouble) { a, b -> parts(world, trouble, zone, a, b) }
            }

            Kind.CRASH -> crash(world, listOf(nodeOf(world, trouble.target)), trouble.lasts)

            Kind.CRASH_ALL -> crash(world, world.names, trouble.lasts)

            Kind.ROLL -> for (node in world.names) {
                crash(world, listOf(node), RESTART)
                delay((trouble.lasts - RESTART).coerceAtLeast(Duration.ZERO))
            }

            Kind.FREEZE -> nodeOf(world, trouble.target).let { node ->
                world.freeze(node)
                delay(trouble.lasts)
                world.thaw(node)
            }

            Kind.CUT -> nodeOf(world, trouble.target).let { node ->
                cut(world, trouble) { a, b ->
                    a == node &&
                        lost(world, trouble, b) ||
                        b == node &&
                        lost(world, trouble, a)
                }
            }

            Kind.REFUSED -> nodeOf(world, trouble.target).let { node ->
                network.refused.add(node)
                delay(trouble.lasts)
                network.refused.remove(node)
            }

            Kind.OUTAGE -> {
                outages++
                world.platform.state.down = true
                delay(trouble.lasts)
                if (--outages == 0) world.platform.state.down = false
            }

            Kind.CLOUD -> {
                cloudOutages++
                cloud.down = true
                delay(trouble.lasts)
                if (--cloudOutages == 0) cloud.down = false
            }

            Kind.PEERS -> {
                network.peersRefuse = true
                delay(trouble.lasts)
                network.peersRefuse = false
            }

            Kind.LATE_COMMITS -> {
                network.fateOf =
                    { _, _ ->
                        if (!draw()) {
                            Fate.Answered
                        } else if (random.nextBoolean()) {
                            Fate.AnswerLost
                        } else {
                            Fate.Late(random.nextInt(1, 40).seconds)
                        }
                    }
                delay(trouble.lasts)
                network.fateOf = { _, _ -> Fate.Answered }
            }

            Kind.LATE_REPORTS -> {
                network.slowReports = { if (draw()) random.nextInt(100, 45_000).milliseconds else Duration.ZERO }
                delay(trouble.lasts)
                network.slowReports = { Duration.ZERO }
            }

            Kind.LATE_COMMANDS -> {
                network.lateCommands = { if (draw()) random.nextInt(1, 60).seconds else null }
                delay(trouble.lasts)
                network.lateCommands = { null }
            }

            Kind.BURST -> users.burst(scope, trouble.share)

            Kind.WITHDRAWALS -> users.withdrawSome(scope, trouble.share)

            Kind.DEAF -> {
                val deaf = world.platform.workers().keys.sorted().filter { draw() }.toSet()
                network.deaf += deaf
                delay(trouble.lasts)
                network.deaf -= deaf
            }

            Kind.COPIES -> {
                network.lateCopies = { if (draw()) random.nextInt(2_000, 60_000).milliseconds else null }
                delay(trouble.lasts)
                network.lateCopies = { null }
            }

            Kind.MUTE -> {
                val mute = world.platform.workers().keys.sorted().filter { draw() }.toSet()
                network.mute += mute
                delay(trouble.lasts)
                network.mute -= mute
            }

            Kind.LOST_ANSWERS -> {
                network.fateOf = { _, _ -> if (draw()) Fate.AnswerLost else Fate.Answered }
                delay(trouble.lasts)
                network.fateOf = { _, _ -> Fate.Answered }
            }

            Kind.KEPT_COPIES -> {
                network.keepsCopies = ::draw
                delay(trouble.lasts)
                network.keepsCopies = { false }
            }

            Kind.AT_END -> {
                users.withdrawsAtEnd = trouble.share
                delay(trouble.lasts)
                users.withdrawsAtEnd = 0.0
            }

            Kind.LOOKS -> {
                users.looksClosely = true
                delay(trouble.lasts)
                users.looksClosely = false
            }

            Kind.ODD -> each(trouble.lasts, ODD_EVERY) { scope.launch { users.oddRequest() } }

            Kind.CALLED_OFF -> {
                val machines = users.callOff(scope, trouble.share).sorted().take(MOST_HANGING)
                val hanging = if (trouble.lasts.isPositive()) {
                    world.platform.workers().filterKeys {
                        it in machines
                    }.toSortedMap().values
                } else {
                    emptyList()
                }
                hanging.forEach { it.hang() }
                delay(trouble.lasts)
                hanging.forEach { it.resume() }
            }

            Kind.FAST_BOOT -> {
                cloud.bootFactor = { FAST / BOOT }
                delay(trouble.lasts)
                cloud.bootFactor = { 1.0 }
            }

            Kind.SWARM -> each(trouble.lasts, SWARM_EVERY) { users.oneTask(scope) }

            Kind.SLOW_STATE -> {
                network.slowState = { if (draw()) random.nextInt(100, 4_000).milliseconds else Duration.ZERO }
                delay(trouble.lasts)
                network.slowState = { Duration.ZERO }
            }
        }
    }

    private suspend fun each(lasts: Duration, every: Duration, what: () -> Unit) {
        repeat((lasts / every).toInt()) {
            what()
            delay(every)
        }
    }

    private fun parts(world: SimulatedCluster, trouble: Trouble, zone: String, a: String, b: String): Boolean {
        val (here, there) = world.zoneOf(a) to world.zoneOf(b)
        if (trouble.from == Trouble.OTHER_ZONES && (here == null || there == null)) return false
        return (here == zone) != (there == zone)
    }

    private fun lost(world: SimulatedCluster, trouble: Trouble, host: String): Boolean = when (trouble.from) {
        "state" -> host == "state"
        "workers" -> host.startsWith("host-")
        "peers" -> host in world.names
        Trouble.CORE -> host == "state" || host in world.names
        else -> true
    }

    private suspend fun cut(world: SimulatedCluster, trouble: Trouble, separates: (String, String) -> Boolean) {
        val cut = Cut(trouble.mode, separates)
        world.network.cuts.add(cut)
        delay(trouble.lasts)
        world.network.heal(cut)
    }

    private suspend fun crash(world: SimulatedCluster, nodes: List<String>, lasts: Duration) {
        val up = nodes.filter { down.add(it) }
        up.forEach(world::crash)
        delay(lasts)
        up.forEach {
            down.remove(it)
            world.startNode(it)
        }
    }

    private class Pace(val reportS: Double, val leaseS: Double)

    internal companion object {
        /** As the deployments have it: report interval and lease. */
        private val PACES = listOf(Pace(3.0, 17.5), Pace(1.0, 11.0), Pace(5.0, 31.0))
        private const val SALT = 0x5707L
        private const val GPUS = 8.0
        private const val CORES = 48.0
        private val FAST = 1500.milliseconds
        private val ODD_EVERY = 700.milliseconds
        private val SWARM_EVERY = 250.milliseconds
        private const val MOST_HANGING = 8

        /** What the team of the gangs may use, as a part of all. */
        private const val FEW = 0.1
        private const val ZONE_KINDS = 6
        private const val CANCEL_BEYOND_LEASE = 30.0
        private const val P95 = 0.95
        private const val MS = 1000
        private val BOOT = 15.seconds
        private val RESTART = 5.seconds
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
