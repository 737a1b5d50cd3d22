package org.elderhitch.lab

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Generates the schedule of a storm from its seed. */
internal object ScheduleGenerator {
    /** Fault [combinations] for odd seeds, [overlapping] faults for even ones. */
    fun of(seed: Long, machines: Int, span: Duration, lease: Duration): Schedule =
        if (seed % 2 == 1L) combinations(seed, machines, span, lease) else overlapping(seed, machines, span, lease)

    /**
     * Overlapping faults of all kinds, as likely longer than a lease as shorter. Each schedule prefers some kinds to
     * others. Seed 0 reproduces the first incident in which an invariant was violated: one zone, partitioned for longer
     * than a lease, with all connections reset (`docs/incidents/sessions-told.md`).
     */
    fun overlapping(seed: Long, machines: Int, span: Duration, lease: Duration): Schedule {
        if (seed == 0L) {
            val cut = Fault(FaultKind.ZONE, 60.seconds, lease * 1.7, mode = CutMode.RESET)
            return Schedule(0, machines, span, listOf(cut))
        }
        val random = Random(seed)
        val preferred = FaultKind.DRAWN.shuffled(random).take(PREFERRED_KINDS)
        val faults = List(random.nextInt(MIN_FAULTS, MAX_FAULTS)) {
            val kind = if (random.nextBoolean()) preferred.random(random) else FaultKind.DRAWN.random(random)
            val generated = fault(kind, span * random.nextDouble(), lease, random)
            val cutsOnlyZones = kind == FaultKind.ZONE && seed % ONE_ZONE_ONLY_CUT_IN == ONE_ZONE_ONLY_CUT_IN - 1
            if (cutsOnlyZones) generated.copy(from = Fault.OTHER_ZONES) else generated
        }
        return Schedule(seed, machines, span, faults.sortedBy { it.at })
    }

    /**
     * Combinations of faults that have violated invariants in operation: one begins within seconds of the other, or
     * while it lasts (`docs/design/fault-scenarios.md`).
     *
     * @param lease the time to cancel is 30 s longer
     */
    fun combinations(seed: Long, machines: Int, span: Duration, lease: Duration): Schedule {
        val random = Random(seed)
        val faults = List(random.nextInt(1, MAX_COMBINATIONS)) {
            FaultCombinationGenerator(span * random.nextDouble(), lease, random).combination()
        }.flatten()
        return Schedule(seed, machines, span, faults.sortedBy { it.at })
    }

    private fun fault(kind: FaultKind, at: Duration, lease: Duration, random: Random): Fault {
        val aroundLease = lease * (0.3 + random.nextDouble() * 1.7)
        val longer = aroundLease * 2
        val node = if (random.nextBoolean()) Fault.LEADER else random.nextInt(Schedule.NODES)
        val mode = CutMode.entries.random(random)
        val short = (1 + random.nextDouble() * 11).seconds
        fun share(least: Double, range: Double): Double = least + random.nextDouble() * range
        return when (kind) {
            FaultKind.HANG, FaultKind.DEAF -> Fault(kind, at, aroundLease, share(0.05, 0.5))
            FaultKind.DIE -> Fault(kind, at, share = share(0.02, 0.3))
            FaultKind.SPOT -> Fault(kind, at, share = share(0.3, 0.7))
            FaultKind.SLOW_BOOT -> Fault(kind, at, longer, share(2.0, 4.0))
            FaultKind.ZONE -> Fault(kind, at, aroundLease, target = random.nextInt(Schedule.ZONES), mode = mode)
            FaultKind.CRASH, FaultKind.CRASH_ALL -> Fault(kind, at, short, target = node)
            FaultKind.ROLL -> Fault(kind, at, (4 + random.nextInt(12)).seconds)
            FaultKind.FREEZE -> Fault(kind, at, aroundLease * random.nextDouble(), target = node)
            FaultKind.CUT -> Fault(
                kind,
                at,
                aroundLease,
                target = node,
                from = Fault.UNREACHABLE_GROUPS.random(random),
                mode = mode,
            )
            FaultKind.REFUSED -> Fault(kind, at, aroundLease, target = node)
            FaultKind.OUTAGE, FaultKind.CLOUD, FaultKind.PEERS -> Fault(kind, at, aroundLease)
            FaultKind.LATE_COMMITS, FaultKind.LATE_REPORTS, FaultKind.LATE_COMMANDS -> Fault(
                kind,
                at,
                longer,
                share(0.05, 0.3),
            )
            FaultKind.BURST -> Fault(kind, at, share = share(0.05, 0.25))
            FaultKind.WITHDRAWALS -> Fault(kind, at, share = share(0.1, 0.4))
            // Lasting user behaviour, and faults that affect a share of the messages for a while.
            else -> Fault(kind, at, longer, share(0.1, 0.4))
        }
    }

    private const val PREFERRED_KINDS = 4
    private const val MAX_COMBINATIONS = 5

    /** For one in so many seeds, zone partitions separate only zones from each other. */
    private const val ONE_ZONE_ONLY_CUT_IN = 4L
    private const val MIN_FAULTS = 3
    private const val MAX_FAULTS = 14
}
