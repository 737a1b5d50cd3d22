package org.elderhitch.lab

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Draws troubles that meet: those of one row of [ScheduleDraw.meetings], from the moment [at] on. The order of the
 * draws is part of what a seed stands for.
 */
internal class MeetingDraw(private val at: Duration, private val lease: Duration, private val random: Random) {
    /** Longer than the lease and the time to cancel. */
    private val beyond = lease + 30.seconds + some(1.0, 12.0)

    fun meeting(): List<Trouble> = when (random.nextInt(MEETINGS)) {
        0 -> unreachableMachines()
        1 -> lateCommands()
        2 -> lateCommits()
        3 -> crashesInARow()
        4 -> leaderCutOff()
        5 -> slowState()
        6 -> copiedReports()
        7 -> lostStops()
        else -> deathsAndCrashes()
    }

    private fun some(from: Double, to: Double): Duration =
        (from + random.nextDouble() * (to - from)).seconds.inWholeMilliseconds.milliseconds

    private fun next(kind: Kind, after: Duration, lasts: Duration, share: Double = 0.0, from: String = "all") =
        Trouble(kind, at + after, lasts, share, Trouble.LEADER, from, CutMode.entries.random(random))

    /** A leader ends while machines can't be reached, or hear nothing; once more before they are back. */
    private fun unreachableMachines() = listOf(
        next(
            if (random.nextBoolean()) Kind.DEAF else Kind.HANG,
            Duration.ZERO,
            lease + some(0.0, 15.0),
            share = 0.1 + random.nextDouble() * 0.4,
        ),
        next(Kind.CRASH, some(0.1, 4.0), some(1.0, 6.0)),
        next(Kind.WITHDRAWALS, some(0.0, 12.0), Duration.ZERO, share = 0.3),
        next(Kind.CRASH, some(12.0, 20.0), some(1.0, 6.0)),
    )

    private fun lateCommands() = listOf(
        next(Kind.LATE_COMMANDS, Duration.ZERO, some(10.0, 60.0), share = 0.4),
        next(Kind.HANG, some(1.0, 8.0), some(2.0, 30.0), share = 0.3),
        next(Kind.BURST, some(0.5, 2.0), Duration.ZERO, share = 0.1),
    )

    private fun lateCommits() = listOf(
        next(Kind.LATE_COMMITS, Duration.ZERO, some(20.0, 60.0), share = 0.3),
        next(Kind.CRASH, some(2.0, 15.0), some(0.1, 3.0)),
        next(Kind.FREEZE, some(16.0, 20.0), some(2.0, 9.0)),
    )

    private fun crashesInARow() = listOf(
        next(Kind.CRASH, Duration.ZERO, some(0.1, 1.0)),
        next(Kind.CRASH, some(0.3, 1.5), some(0.1, 1.0)),
        next(Kind.CRASH_ALL, some(2.0, 9.0), some(0.1, 1.0)),
    )

    private fun leaderCutOff() = listOf(
        next(Kind.CUT, Duration.ZERO, some(10.0, 60.0), from = Trouble.CORE),
        next(Kind.WITHDRAWALS, some(0.1, 12.0), Duration.ZERO, share = 0.4),
    )

    private fun slowState() = listOf(
        next(Kind.SLOW_STATE, Duration.ZERO, some(5.0, 40.0), share = 0.4),
        next(Kind.REFUSED, some(0.1, 6.0), some(5.0, 20.0)),
        next(Kind.OUTAGE, some(2.0, 9.0), if (random.nextBoolean()) beyond else some(5.0, 30.0)),
    )

    private fun copiedReports() = listOf(
        next(Kind.COPIES, Duration.ZERO, some(30.0, 90.0), share = 0.4),
        next(Kind.CRASH, some(3.0, 20.0), some(1.0, 8.0)),
        next(Kind.HANG, some(1.0, 20.0), lease + some(0.0, 9.0), share = 0.3),
    )

    /**
     * The stop of what was just withdrawn is lost, and then nobody may command; or the controllers don't hear each
     * other either.
     */
    private fun lostStops() = listOf(
        next(Kind.DEAF, Duration.ZERO, some(4.0, 9.0), share = 0.5),
        next(Kind.WITHDRAWALS, some(0.1, 3.0), Duration.ZERO, share = 0.4),
        next(Kind.PEERS, some(0.0, 3.0), some(10.0, 60.0)),
        next(Kind.OUTAGE, some(3.0, 8.0), beyond),
    )

    /** Machines die, and the leader changes twice afterwards. */
    private fun deathsAndCrashes() = listOf(
        next(Kind.DIE, Duration.ZERO, Duration.ZERO, share = 0.2),
        next(Kind.CRASH, some(5.0, 12.0), some(1.0, 5.0)),
        next(Kind.CRASH, some(14.0, 25.0), some(1.0, 5.0)),
    )

    private companion object {
        const val MEETINGS = 9
    }
}
