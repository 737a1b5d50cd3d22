package org.elderhitch.lab

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Draws the schedule of a storm from its seed. */
internal object ScheduleDraw {
    /** The schedule of a storm: that of odd seeds is a row of [meetings]. */
    fun of(seed: Long, machines: Int, span: Duration, lease: Duration): Schedule =
        if (seed % 2 == 1L) meetings(seed, machines, span, lease) else overlapping(seed, machines, span, lease)

    /**
     * Overlapping troubles of all kinds; as likely longer than a lease as shorter. Each schedule prefers some kinds to
     * others. Seed 0 is the shape of the day on which a rule broke first: one zone, cut for longer than a lease, all
     * connections reset (`docs/incidents/sessions-told.md`).
     */
    fun overlapping(seed: Long, machines: Int, span: Duration, lease: Duration): Schedule {
        if (seed == 0L) {
            val cut = Trouble(Kind.ZONE, 60.seconds, lease * 1.7, mode = CutMode.RESET)
            return Schedule(0, machines, span, listOf(cut))
        }
        val random = Random(seed)
        val favoured = Kind.DRAWN.shuffled(random).take(FAVOURED)
        val troubles = List(random.nextInt(LEAST, MOST)) {
            val kind = if (random.nextBoolean()) favoured.random(random) else Kind.DRAWN.random(random)
            val drawn = trouble(kind, span * random.nextDouble(), lease, random)
            val zonesApart = kind == Kind.ZONE && seed % APART_OF == APART_OF - 1
            if (zonesApart) drawn.copy(from = Trouble.OTHER_ZONES) else drawn
        }
        return Schedule(seed, machines, span, troubles.sortedBy { it.at })
    }

    /**
     * Troubles that meet, as the operators have seen rules broken by them (`docs/design/fault-scenarios.md`): one begins
     * within seconds of the other, or while it lasts.
     *
     * @param lease the time to cancel is 30 s longer
     */
    fun meetings(seed: Long, machines: Int, span: Duration, lease: Duration): Schedule {
        val random = Random(seed)
        val troubles = List(random.nextInt(1, MOST_MEETINGS)) {
            MeetingDraw(span * random.nextDouble(), lease, random).meeting()
        }.flatten()
        return Schedule(seed, machines, span, troubles.sortedBy { it.at })
    }

    private fun trouble(kind: Kind, at: Duration, lease: Duration, random: Random): Trouble {
        val aroundLease = lease * (0.3 + random.nextDouble() * 1.7)
        val longer = aroundLease * 2
        val node = if (random.nextBoolean()) Trouble.LEADER else random.nextInt(Schedule.NODES)
        val mode = CutMode.entries.random(random)
        val short = (1 + random.nextDouble() * 11).seconds
        fun share(least: Double, range: Double): Double = least + random.nextDouble() * range
        return when (kind) {
            Kind.HANG, Kind.DEAF -> Trouble(kind, at, aroundLease, share(0.05, 0.5))
            Kind.DIE -> Trouble(kind, at, share = share(0.02, 0.3))
            Kind.SPOT -> Trouble(kind, at, share = share(0.3, 0.7))
            Kind.SLOW_BOOT -> Trouble(kind, at, longer, share(2.0, 4.0))
            Kind.ZONE -> Trouble(kind, at, aroundLease, target = random.nextInt(Schedule.ZONES), mode = mode)
            Kind.CRASH, Kind.CRASH_ALL -> Trouble(kind, at, short, target = node)
            Kind.ROLL -> Trouble(kind, at, (4 + random.nextInt(12)).seconds)
            Kind.FREEZE -> Trouble(kind, at, aroundLease * random.nextDouble(), target = node)
            Kind.CUT -> Trouble(kind, at, aroundLease, target = node, from = Trouble.LOST.random(random), mode = mode)
            Kind.REFUSED -> Trouble(kind, at, aroundLease, target = node)
            Kind.OUTAGE, Kind.CLOUD, Kind.PEERS -> Trouble(kind, at, aroundLease)
            Kind.LATE_COMMITS, Kind.LATE_REPORTS, Kind.LATE_COMMANDS -> Trouble(kind, at, longer, share(0.05, 0.3))
            Kind.BURST -> Trouble(kind, at, share = share(0.05, 0.25))
            Kind.WITHDRAWALS -> Trouble(kind, at, share = share(0.1, 0.4))
            // Users' habits, and what happens to a share of the messages for a while.
            else -> Trouble(kind, at, longer, share(0.1, 0.4))
        }
    }

    private const val FAVOURED = 4
    private const val MOST_MEETINGS = 5

    /** In one seed of so many zones lose only each other. */
    private const val APART_OF = 4L
    private const val LEAST = 3
    private const val MOST = 14
}
