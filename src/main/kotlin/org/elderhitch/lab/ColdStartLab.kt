package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.fleet.FleetPolicy
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How a cold start goes: all controllers down for [down], [waves] times, the state service down for [outage] around the
 * last of them; null: drawn by the seed.
 */
internal class ColdStartPlan(val down: Duration?, val outage: Duration?, val waves: Int?)

/**
 * All controllers go down, once or several times in a row, and come back, while machines die, hang, are taken or cut
 * off, and messages are late. It is a storm
 * whose schedule is such a start, with what happened after the last of them measured.
 */
internal class ColdStartLab(
    private val seed: Long,
    private val machines: Int,
    private val count: Int,
    private val plan: ColdStartPlan,
    private val share: Double,
    private val progress: (String) -> Unit,
) {
    fun run(): LabResult {
        val starts = List(count) { n ->
            val drawn = draw(seed + n)
            val ours = play(drawn, FleetPolicy())
            progress("seed=${drawn.seed} ${ours.outcome.verdict} ${Json.text(ours.figures())}")
            // The same start without pacing: by that it is told what pacing costs and spares.
            ours to play(drawn, FleetPolicy(suspectedTerminationShare = 1.0))
        }
        val ours = starts.map { it.first }
        val failed = ours.filter { it.outcome.fails }
        val figures = linkedMapOf<String, Any?>(
            "lab" to "coldstart",
            "seed" to seed,
            "machines" to machines,
            "starts" to count,
            "failed" to failed.map { it.outcome.schedule.seed },
            "rules_broken" to ours.sumOf { it.outcome.broken.size },
            "served_least" to ours.mapNotNull { it.outcome.served }.minOrNull(),
        ) + summary(ours) + ("unpaced" to summary(starts.map { it.second }))
        return LabResult(
            figures,
            failed.firstOrNull()?.let {
                "seed ${it.outcome.schedule.seed}: ${it.outcome.verdict}"
            },
        )
    }

    /** Medians of times and shares, and the worst; sums of counts. */
    private fun summary(all: List<Measured>): Map<String, Any?> {
        fun spread(of: (Measured) -> Double?): Map<String, Any?> = all.mapNotNull(of).sorted().let {
            mapOf("p50" to it.getOrNull(it.size / 2), "worst" to it.lastOrNull(), "none" to all.size - it.size)
        }
        fun summed(key: String): Map<String, Long> = all.flatMap {
            it.ordersOf(key).entries
        }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }
        val orders = summed("given")
        val regret = summed("regret")
        return linkedMapOf(
            "claimed_ms" to spread { it.claimed?.toDouble() }, "first_201_ms" to spread { it.accepted?.toDouble() },
            "leases_renewed_2s" to
                all.mapNotNull { it.renewed }.sorted().let {
                    mapOf(
                        "p50" to it.getOrNull(it.size / 2),
                        "least" to it.firstOrNull(),
                    )
                },
            "settled_ms" to spread { it.settled?.toDouble() }, "placed_again_ms" to spread { it.placed?.toDouble() },
            "orders" to orders, "orders_peak_per_s" to all.maxOfOrNull { it.peak }, "regret" to regret,
            "regret_share" to
                (regret.filterKeys { it != "return_spared" }.values.sum().toDouble() / maxOf(1, orders.values.sum())),
            "tasks_lost_needlessly" to all.sumOf { it.lostByReturn },
            "tasks_lost_by_lease" to all.sumOf { it.lostByLease },
        )
    }

    private fun draw(seed: Long): Schedule {
        val random = Random(seed)
        val lease = StormLab.leaseOf(seed)
        val down = plan.down ?: (lease * (random.nextDouble() * 1.5)).coerceAtLeast(5.seconds)
        val waves = plan.waves ?: (1 + random.nextInt(4))
        val outage = plan.outage ?: if (random.nextBoolean()) lease * random.nextDouble() else Duration.ZERO
        val troubles = ArrayList<Trouble>()
        var at = BEFORE
        repeat(waves) { n ->
            // Between two of them the controllers are up for some seconds: what they do with those shows in the next.
            troubles.add(Trouble(Kind.CRASH_ALL, at, if (n == waves - 1) down else minOf(down, RESTART)))
            at += troubles.last().lasts + (1.5 + random.nextDouble() * 5).seconds
        }
        val last = troubles.last()
        if (outage.isPositive()) {
            troubles.add(
                Trouble(
                    Kind.OUTAGE,
                    (last.at + last.lasts - outage * random.nextDouble()).coerceAtLeast(Duration.ZERO),
                    outage,
                ),
            )
        }
        repeat(random.nextInt(4)) { troubles.add(meanwhile(random, last, lease)) }
        return Schedule(seed, machines, at + AFTER, troubles.sortedBy { it.at })
    }

    private fun meanwhile(random: Random, start: Trouble, lease: Duration): Trouble {
        val at = start.at + start.lasts * random.nextDouble()
        val lasts = lease * (0.3 + random.nextDouble())
        val mode = CutMode.entries.random(random)
        return when (random.nextInt(7)) {
            0 -> Trouble(Kind.DIE, at, share = 0.02 + random.nextDouble() * 0.2)

            1 -> Trouble(Kind.HANG, at, lasts, 0.05 + random.nextDouble() * 0.3)

            2 -> Trouble(Kind.SPOT, at, share = 0.3 + random.nextDouble() * 0.7)

            3 -> Trouble(
                Kind.ZONE,
                at,
                lasts,
                target = random.nextInt(Schedule.ZONES),
                mode = mode,
                from = if (random.nextBoolean()) "all" else Trouble.OTHER_ZONES,
            )

            4 -> Trouble(Kind.LATE_COMMITS, at, lasts * 2, share = 0.2)

            5 -> Trouble(Kind.LATE_REPORTS, at, lasts * 2, share = 0.2)

            else -> Trouble(Kind.SLOW_BOOT, at, lasts * 2, share = 4.0)
        }
    }

    private fun play(schedule: Schedule, policy: FleetPolicy): Measured {
        val last = schedule.troubles.last { it.kind == Kind.CRASH_ALL }
        // Who is cut off, or late on its way, or waits for the state service as everybody does, says nothing of the
        // start.
        val back = last.at + last.lasts
        val disturbed = schedule.troubles.any {
            it.kind in UNREACHED &&
                it.at <= back + LEASES_WITHIN &&
                it.at + it.lasts >= back
        }
        val measured = Measured(disturbed)
        measured.outcome = StormLab(schedule, share, policy) { world, users, rules ->
            val startsAt = world.clock.now() + StormLab.WARM_UP + last.at + last.lasts
            launch { measured.watch(this@StormLab, world, users, rules, startsAt) }
        }.run()
        return measured
    }

    /** What is seen of a start, from the moment when the last controllers come back. */
    private class Measured(private val disturbed: Boolean) {
        lateinit var outcome: StormOutcome
        var claimed: Long? = null
        var accepted: Long? = null
        var renewed: Double? = null
        var placed: Long? = null
        var lostByReturn = 0
        var lostByLease = 0
        private var orders: JsonObject? = null

        val settled: Long? get() = orders?.objectOrNull("workers")?.longOrNull("settled_ms")
        val peak: Long get() = orders?.objectOrNull("workers")?.longOrNull("peak_per_s") ?: 0

        fun ordersOf(key: String): Map<String, Long> = listOf("workers", "cloud").mapNotNull {
            orders?.objectOrNull(it)?.objectOrNull(key)
        }
            .flatMap { its ->
                its.names.map { it to (its.longOrNull(it) ?: 0L) }
            }.groupBy({ it.first }, { it.second }).mapValues { it.value.sum() }

        fun figures(): Map<String, Any?> = linkedMapOf(
            "claimed_ms" to claimed,
            "first_201_ms" to accepted,
            "leases_renewed_2s" to renewed,
            "settled_ms" to settled,
            "placed_again_ms" to placed,
            "peak" to peak, "lost_needlessly" to lostByReturn, "lost_by_lease" to lostByLease,
            "regret" to ordersOf("regret"),
        )

        suspend fun watch(
            scope: CoroutineScope,
            world: SimulatedCluster,
            users: SimulatedUsers,
            rules: InvariantChecker,
            startsAt: MonotonicInstant,
        ) {
            delay(startsAt - world.clock.now())
            val term = term(world)
            val before = world.lapses
            world.platform.cloud.onReturn =
                { id ->
                    world.platform.workers()[id]?.takeIf { !it.hanging }?.let { lostByReturn += it.present().size }
                }
            scope.launch { submissions(world, startsAt) }
            scope.launch {
                delay(LEASES_WITHIN)
                val there = world.platform.workers().values.filter { !it.hanging }
                if (there.isNotEmpty() && !disturbed) {
                    renewed = there.count { it.renewedAt >= startsAt }.toDouble() / there.size
                }
            }
            while (term(world) == term && world.clock.now() - startsAt < MOST) delay(STEP)
            claimed = (world.clock.now() - startsAt).inWholeMilliseconds
            while (!whole(users, rules) && world.clock.now() - startsAt < MOST) delay(STEP)
            if (whole(users, rules)) placed = (world.clock.now() - startsAt).inWholeMilliseconds
            delay(startsAt + REGRETTED - world.clock.now())
            lostByLease = world.lapses - before
            world.leader()?.let { node ->
                world.call(node, "GET", "/status", null)?.let {
                    orders =
                        Json.parseObject(it.body).objectOrNull("orders")
                }
            }
        }

        private fun term(world: SimulatedCluster): String = Json.text(
            world.platform.state.value("v/a/term")?.let { value ->
                value.names.associateWith { value.raw(it) }
            }.orEmpty(),
        )

        private suspend fun submissions(world: SimulatedCluster, startsAt: MonotonicInstant) {
            var n = 0
            while (accepted == null && world.clock.now() - startsAt < MOST) {
                val body = Json.bytes(
                    ClassArchiveTraining.exampleJob("req-cold-${n++}", "array") + mapOf("crates" to 1, "haulS" to 1.0),
                )
                if (world.call(world.names[n % world.names.size], "POST", "/work", body)?.status == CREATED) {
                    accepted = (world.clock.now() - startsAt).inWholeMilliseconds
                } else {
                    delay(STEP)
                }
            }
        }

        private fun whole(users: SimulatedUsers, rules: InvariantChecker): Boolean = users.services.all { s ->
            rules.finalOf(s.id) != null ||
                users.isWithdrawing(s.id) ||
                (0 until s.tasks).all { rules.isOn("${s.id}/$it") }
        }
    }

    private companion object {
        val BEFORE = 30.seconds
        val AFTER = 30.seconds
        val RESTART = 5.seconds
        val STEP = 100.milliseconds
        val MOST = 150.seconds
        val LEASES_WITHIN = 2.seconds
        val UNREACHED = setOf(Kind.ZONE, Kind.OUTAGE, Kind.LATE_REPORTS)

        /** By then a start or a return has shown whether it was right. */
        val REGRETTED = 65.seconds
        const val CREATED = 201
    }
}
