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
 * Parameters of a cold start: all controllers are down for [down], [waves] times in a row; the state service is down
 * for [outage] around the last start. Null: drawn from the seed.
 */
internal class ColdStartPlan(val down: Duration?, val outage: Duration?, val waves: Int?)

/**
 * Stops and restarts all controllers, once or several times in a row, while machines die, hang, are reclaimed or
 * partitioned, and messages are late. Runs as a storm, and measures the recovery after the last restart.
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
            val paced = runStart(drawn, FleetPolicy())
            progress("seed=${drawn.seed} ${paced.outcome.verdict} ${Json.text(paced.figures())}")
            // The same start without pacing of terminations, to compare the cost and benefit of pacing.
            paced to runStart(drawn, FleetPolicy(suspectedTerminationShare = 1.0))
        }
        val paced = starts.map { it.first }
        val failed = paced.filter { it.outcome.fails }
        val figures = linkedMapOf<String, Any?>(
            "lab" to "coldstart",
            "seed" to seed,
            "machines" to machines,
            "starts" to count,
            "failed" to failed.map { it.outcome.schedule.seed },
            "rules_broken" to paced.sumOf { it.outcome.violations.size },
            "served_least" to paced.mapNotNull { it.outcome.served }.minOrNull(),
        ) + summary(paced) + ("unpaced" to summary(starts.map { it.second }))
        return LabResult(
            figures,
            failed.firstOrNull()?.let {
                "seed ${it.outcome.schedule.seed}: ${it.outcome.verdict}"
            },
        )
    }

    /** Medians and worst values of times and shares; sums of counts. */
    private fun summary(all: List<Measurements>): Map<String, Any?> {
        fun spread(of: (Measurements) -> Double?): Map<String, Any?> = all.mapNotNull(of).sorted().let {
            mapOf("p50" to it.getOrNull(it.size / 2), "worst" to it.lastOrNull(), "none" to all.size - it.size)
        }
        fun summed(key: String): Map<String, Long> = all.flatMap {
            it.ordersOf(key).entries
        }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }
        val orderCounts = summed("given")
        val regret = summed("regret")
        return linkedMapOf(
            "claimed_ms" to spread { it.claimedMs?.toDouble() },
            "first_201_ms" to spread { it.firstAcceptedMs?.toDouble() },
            "leases_renewed_2s" to
                all.mapNotNull { it.renewedShare }.sorted().let {
                    mapOf(
                        "p50" to it.getOrNull(it.size / 2),
                        "least" to it.firstOrNull(),
                    )
                },
            "settled_ms" to spread { it.settledMs?.toDouble() },
            "placed_again_ms" to spread { it.placedAgainMs?.toDouble() },
            "orders" to orderCounts, "orders_peak_per_s" to all.maxOfOrNull { it.peakOrdersPerS }, "regret" to regret,
            "regret_share" to
                (
                    regret.filterKeys { it != "return_spared" }.values.sum().toDouble() /
                        maxOf(1, orderCounts.values.sum())
                    ),
            "tasks_lost_needlessly" to all.sumOf { it.tasksLostByReturn },
            "tasks_lost_by_lease" to all.sumOf { it.tasksLostByLease },
        )
    }

    private fun draw(seed: Long): Schedule {
        val random = Random(seed)
        val lease = StormLab.leaseOf(seed)
        val down = plan.down ?: (lease * (random.nextDouble() * 1.5)).coerceAtLeast(5.seconds)
        val waves = plan.waves ?: (1 + random.nextInt(4))
        val outage = plan.outage ?: if (random.nextBoolean()) lease * random.nextDouble() else Duration.ZERO
        val faults = ArrayList<Fault>()
        var at = FIRST_CRASH_AT
        repeat(waves) { n ->
            // Between two restarts the controllers are up for some seconds; what they did then affects the next start.
            faults.add(Fault(FaultKind.CRASH_ALL, at, if (n == waves - 1) down else minOf(down, SHORT_DOWNTIME)))
            at += faults.last().lasts + (1.5 + random.nextDouble() * 5).seconds
        }
        val last = faults.last()
        if (outage.isPositive()) {
            faults.add(
                Fault(
                    FaultKind.OUTAGE,
                    (last.at + last.lasts - outage * random.nextDouble()).coerceAtLeast(Duration.ZERO),
                    outage,
                ),
            )
        }
        repeat(random.nextInt(4)) { faults.add(accompanyingFault(random, last, lease)) }
        return Schedule(seed, machines, at + SPAN_AFTER_LAST_START, faults.sortedBy { it.at })
    }

    private fun accompanyingFault(random: Random, start: Fault, lease: Duration): Fault {
        val at = start.at + start.lasts * random.nextDouble()
        val lasts = lease * (0.3 + random.nextDouble())
        val mode = CutMode.entries.random(random)
        return when (random.nextInt(7)) {
            0 -> Fault(FaultKind.DIE, at, share = 0.02 + random.nextDouble() * 0.2)

            1 -> Fault(FaultKind.HANG, at, lasts, 0.05 + random.nextDouble() * 0.3)

            2 -> Fault(FaultKind.SPOT, at, share = 0.3 + random.nextDouble() * 0.7)

            3 -> Fault(
                FaultKind.ZONE,
                at,
                lasts,
                target = random.nextInt(Schedule.ZONES),
                mode = mode,
                from = if (random.nextBoolean()) "all" else Fault.OTHER_ZONES,
            )

            4 -> Fault(FaultKind.LATE_COMMITS, at, lasts * 2, share = 0.2)

            5 -> Fault(FaultKind.LATE_REPORTS, at, lasts * 2, share = 0.2)

            else -> Fault(FaultKind.SLOW_BOOT, at, lasts * 2, share = 4.0)
        }
    }

    private fun runStart(schedule: Schedule, policy: FleetPolicy): Measurements {
        val last = schedule.faults.last { it.kind == FaultKind.CRASH_ALL }
        // Partitions, late reports and outages of the state service delay lease renewals whatever the start does.
        val back = last.at + last.lasts
        val disturbed = schedule.faults.any {
            it.kind in REACHABILITY_FAULTS &&
                it.at <= back + LEASE_RENEWAL_WINDOW &&
                it.at + it.lasts >= back
        }
        val measured = Measurements(disturbed)
        measured.outcome = StormLab(schedule, share, policy) { cluster, users, rules ->
            val startsAt = cluster.clock.now() + StormLab.WARM_UP + last.at + last.lasts
            launch { measured.watch(this@StormLab, cluster, users, rules, startsAt) }
        }.run()
        return measured
    }

    /** Measurements of a start, from the moment at which the controllers come back for the last time. */
    private class Measurements(private val disturbed: Boolean) {
        lateinit var outcome: StormOutcome
        var claimedMs: Long? = null
        var firstAcceptedMs: Long? = null
        var renewedShare: Double? = null
        var placedAgainMs: Long? = null
        var tasksLostByReturn = 0
        var tasksLostByLease = 0
        private var orderCounts: JsonObject? = null

        val settledMs: Long? get() = orderCounts?.objectOrNull("workers")?.longOrNull("settled_ms")
        val peakOrdersPerS: Long get() = orderCounts?.objectOrNull("workers")?.longOrNull("peak_per_s") ?: 0

        fun ordersOf(key: String): Map<String, Long> = listOf("workers", "cloud").mapNotNull {
            orderCounts?.objectOrNull(it)?.objectOrNull(key)
        }
            .flatMap { its ->
                its.names.map { it to (its.longOrNull(it) ?: 0L) }
            }.groupBy({ it.first }, { it.second }).mapValues { it.value.sum() }

        fun figures(): Map<String, Any?> = linkedMapOf(
            "claimed_ms" to claimedMs,
            "first_201_ms" to firstAcceptedMs,
            "leases_renewed_2s" to renewedShare,
            "settled_ms" to settledMs,
            "placed_again_ms" to placedAgainMs,
            "peak" to peakOrdersPerS, "lost_needlessly" to tasksLostByReturn, "lost_by_lease" to tasksLostByLease,
            "regret" to ordersOf("regret"),
        )

        suspend fun watch(
            scope: CoroutineScope,
            cluster: SimulatedCluster,
            users: SimulatedUsers,
            rules: InvariantChecker,
            startsAt: MonotonicInstant,
        ) {
            delay(startsAt - cluster.clock.now())
            val term = term(cluster)
            val before = cluster.leaseExpirations
            cluster.platform.cloud.onReturn =
                { id ->
                    cluster.platform.workers()[id]?.takeIf { !it.hanging }?.let {
                        tasksLostByReturn += it.present().size
                    }
                }
            scope.launch { submissions(cluster, startsAt) }
            scope.launch {
                delay(LEASE_RENEWAL_WINDOW)
                val there = cluster.platform.workers().values.filter { !it.hanging }
                if (there.isNotEmpty() && !disturbed) {
                    renewedShare = there.count { it.renewedAt >= startsAt }.toDouble() / there.size
                }
            }
            while (term(cluster) == term && cluster.clock.now() - startsAt < WATCH_LIMIT) delay(POLL_INTERVAL)
            claimedMs = (cluster.clock.now() - startsAt).inWholeMilliseconds
            while (!servicesPlaced(users, rules) && cluster.clock.now() - startsAt < WATCH_LIMIT) delay(POLL_INTERVAL)
            if (servicesPlaced(users, rules)) placedAgainMs = (cluster.clock.now() - startsAt).inWholeMilliseconds
            delay(startsAt + REGRET_WINDOW - cluster.clock.now())
            tasksLostByLease = cluster.leaseExpirations - before
            cluster.leader()?.let { node ->
                cluster.call(node, "GET", "/status", null)?.let {
                    orderCounts =
                        Json.parseObject(it.body).objectOrNull("orders")
                }
            }
        }

        private fun term(cluster: SimulatedCluster): String = Json.text(
            cluster.platform.state.value("v/a/term")?.let { value ->
                value.names.associateWith { value.raw(it) }
            }.orEmpty(),
        )

        private suspend fun submissions(cluster: SimulatedCluster, startsAt: MonotonicInstant) {
            var n = 0
            while (firstAcceptedMs == null && cluster.clock.now() - startsAt < WATCH_LIMIT) {
                val body = Json.bytes(
                    ClassArchiveTraining.exampleJob("req-cold-${n++}", "array") + mapOf("crates" to 1, "haulS" to 1.0),
                )
                if (cluster.call(cluster.names[n % cluster.names.size], "POST", "/work", body)?.status == CREATED) {
                    firstAcceptedMs = (cluster.clock.now() - startsAt).inWholeMilliseconds
                } else {
                    delay(POLL_INTERVAL)
                }
            }
        }

        private fun servicesPlaced(users: SimulatedUsers, rules: InvariantChecker): Boolean = users.services.all { s ->
            rules.terminalStateOf(s.id) != null ||
                users.isWithdrawing(s.id) ||
                (0 until s.tasks).all { rules.isOn("${s.id}/$it") }
        }
    }

    private companion object {
        val FIRST_CRASH_AT = 30.seconds
        val SPAN_AFTER_LAST_START = 30.seconds
        val SHORT_DOWNTIME = 5.seconds
        val POLL_INTERVAL = 100.milliseconds
        val WATCH_LIMIT = 150.seconds
        val LEASE_RENEWAL_WINDOW = 2.seconds
        val REACHABILITY_FAULTS = setOf(FaultKind.ZONE, FaultKind.OUTAGE, FaultKind.LATE_REPORTS)

        /** Time after which it is known whether a task start or a machine return was right. */
        val REGRET_WINDOW = 65.seconds
        const val CREATED = 201
    }
}
