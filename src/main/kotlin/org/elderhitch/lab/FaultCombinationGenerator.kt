package org.elderhitch.lab

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Generates one combination of faults of [ScheduleGenerator.combinations], from [at] on. The order of the random draws
 * must not change, or a seed would give another schedule.
 */
internal class FaultCombinationGenerator(
    private val at: Duration,
    private val lease: Duration,
    private val random: Random,
) {
    /** Longer than the lease and the time to cancel. */
    private val beyondCancelTime = lease + 30.seconds + randomDuration(1.0, 12.0)

    fun combination(): List<Fault> = when (random.nextInt(COMBINATION_COUNT)) {
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

    private fun randomDuration(from: Double, to: Double): Duration =
        (from + random.nextDouble() * (to - from)).seconds.inWholeMilliseconds.milliseconds

    private fun fault(kind: FaultKind, after: Duration, lasts: Duration, share: Double = 0.0, from: String = "all") =
        Fault(kind, at + after, lasts, share, Fault.LEADER, from, CutMode.entries.random(random))

    /** The leader crashes while machines hang or receive nothing, and its successor crashes as well. */
    private fun unreachableMachines() = listOf(
        fault(
            if (random.nextBoolean()) FaultKind.DEAF else FaultKind.HANG,
            Duration.ZERO,
            lease + randomDuration(0.0, 15.0),
            share = 0.1 + random.nextDouble() * 0.4,
        ),
        fault(FaultKind.CRASH, randomDuration(0.1, 4.0), randomDuration(1.0, 6.0)),
        fault(FaultKind.WITHDRAWALS, randomDuration(0.0, 12.0), Duration.ZERO, share = 0.3),
        fault(FaultKind.CRASH, randomDuration(12.0, 20.0), randomDuration(1.0, 6.0)),
    )

    private fun lateCommands() = listOf(
        fault(FaultKind.LATE_COMMANDS, Duration.ZERO, randomDuration(10.0, 60.0), share = 0.4),
        fault(FaultKind.HANG, randomDuration(1.0, 8.0), randomDuration(2.0, 30.0), share = 0.3),
        fault(FaultKind.BURST, randomDuration(0.5, 2.0), Duration.ZERO, share = 0.1),
    )

    private fun lateCommits() = listOf(
        fault(FaultKind.LATE_COMMITS, Duration.ZERO, randomDuration(20.0, 60.0), share = 0.3),
        fault(FaultKind.CRASH, randomDuration(2.0, 15.0), randomDuration(0.1, 3.0)),
        fault(FaultKind.FREEZE, randomDuration(16.0, 20.0), randomDuration(2.0, 9.0)),
    )

    private fun crashesInARow() = listOf(
        fault(FaultKind.CRASH, Duration.ZERO, randomDuration(0.1, 1.0)),
        fault(FaultKind.CRASH, randomDuration(0.3, 1.5), randomDuration(0.1, 1.0)),
        fault(FaultKind.CRASH_ALL, randomDuration(2.0, 9.0), randomDuration(0.1, 1.0)),
    )

    private fun leaderCutOff() = listOf(
        fault(FaultKind.CUT, Duration.ZERO, randomDuration(10.0, 60.0), from = Fault.CORE),
        fault(FaultKind.WITHDRAWALS, randomDuration(0.1, 12.0), Duration.ZERO, share = 0.4),
    )

    private fun slowState() = listOf(
        fault(FaultKind.SLOW_STATE, Duration.ZERO, randomDuration(5.0, 40.0), share = 0.4),
        fault(FaultKind.REFUSED, randomDuration(0.1, 6.0), randomDuration(5.0, 20.0)),
        fault(
            FaultKind.OUTAGE,
            randomDuration(2.0, 9.0),
            if (random.nextBoolean()) beyondCancelTime else randomDuration(5.0, 30.0),
        ),
    )

    private fun copiedReports() = listOf(
        fault(FaultKind.COPIES, Duration.ZERO, randomDuration(30.0, 90.0), share = 0.4),
        fault(FaultKind.CRASH, randomDuration(3.0, 20.0), randomDuration(1.0, 8.0)),
        fault(FaultKind.HANG, randomDuration(1.0, 20.0), lease + randomDuration(0.0, 9.0), share = 0.3),
    )

    /**
     * The stop commands after withdrawals are lost, and an outage of the state service prevents new ones; the
     * controllers can't reach each other either.
     */
    private fun lostStops() = listOf(
        fault(FaultKind.DEAF, Duration.ZERO, randomDuration(4.0, 9.0), share = 0.5),
        fault(FaultKind.WITHDRAWALS, randomDuration(0.1, 3.0), Duration.ZERO, share = 0.4),
        fault(FaultKind.PEERS, randomDuration(0.0, 3.0), randomDuration(10.0, 60.0)),
        fault(FaultKind.OUTAGE, randomDuration(3.0, 8.0), beyondCancelTime),
    )

    /** Machines die, and then the leader crashes twice. */
    private fun deathsAndCrashes() = listOf(
        fault(FaultKind.DIE, Duration.ZERO, Duration.ZERO, share = 0.2),
        fault(FaultKind.CRASH, randomDuration(5.0, 12.0), randomDuration(1.0, 5.0)),
        fault(FaultKind.CRASH, randomDuration(14.0, 25.0), randomDuration(1.0, 5.0)),
    )

    private companion object {
        const val COMBINATION_COUNT = 9
    }
}
