package org.elderhitch.lab

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How the schedule of a storm is generated from its seed, with the value of the command line flag. */
internal enum class ScheduleMode(val word: String) {
    /** [ScheduleGenerator]: fault combinations for odd seeds, overlapping faults for even ones. */
    USUAL("usual"),

    /** [FaultScenarios]. */
    ENCOUNTERS("encounters"),
}

/**
 * Generates schedules that combine unusual behaviour of users with faults: lasting user behaviour (polls of all nodes,
 * withdrawals on completion, odd requests, many one-task jobs), faults of messages or machines, and in the middle of
 * them a change of leader or an outage. In one of three storms the teams are at their quotas throughout.
 */
internal object FaultScenarios {
    fun generate(seed: Long, machines: Int, span: Duration, lease: Duration): Schedule {
        val random = Random(seed xor SEED_SALT)
        val userFaults = listOf(
            FaultKind.LOOKS,
            FaultKind.AT_END,
            FaultKind.ODD,
            FaultKind.SWARM,
        ).shuffled(random).take(1 + random.nextInt(3)).map { kind ->
            Fault(
                kind,
                (span * (random.nextDouble() * HALF)).toWholeMillis(),
                (span * (HALF * (1 + random.nextDouble()))).toWholeMillis(),
                share =
                0.2 + random.nextDouble() * HALF,
            )
        }
        val scenarios = List(1 + random.nextInt(MAX_SCENARIOS)) {
            scenario(span * random.nextDouble(), lease, random)
        }.flatten()
        val quotaScale = if (seed % ONE_TIGHT_QUOTA_IN == 0L) TIGHT_QUOTA_SCALE else 1.0
        val schedule =
            Schedule(seed, machines, span, (userFaults + scenarios).sortedBy { it.at }, quotaScale = quotaScale)
        return if (seed % ONE_WITHOUT_REPEATS_IN == 0L) schedule else withRepeats(schedule)
    }

    /**
     * Adds that a share of all requests is repeated throughout the storm, and that a few tasks fail: a repeated start
     * is dangerous once the task has left the machine.
     */
    fun withRepeats(schedule: Schedule): Schedule {
        val share = REPEAT_SHARES[(schedule.seed % REPEAT_SHARES.size).toInt()]
        val repeats = Fault(FaultKind.REPEATS, Duration.ZERO, schedule.span, share)
        val failures = Fault(FaultKind.TASK_FAILURES, Duration.ZERO, schedule.span, FAILING_TASKS_SHARE)
        return schedule.copy(faults = listOf(repeats, failures) + schedule.faults)
    }

    private fun Duration.toWholeMillis(): Duration = inWholeMilliseconds.milliseconds

    private fun scenario(at: Duration, lease: Duration, random: Random): List<Fault> {
        val scenario = LeaderChangeScenario(at, lease, random)
        return scenario.leaderFaults() + scenario.otherFaults()
    }

    /**
     * One scenario from [at] on: a change of leader and accompanying faults. The order of the random draws must not
     * change, or a seed would give another schedule.
     */
    private class LeaderChangeScenario(
        private val at: Duration,
        private val lease: Duration,
        private val random: Random,
    ) {
        /** The share of affected messages, machines or jobs. */
        private val share = 0.1 + random.nextDouble() * 0.4

        private fun randomDuration(from: Double, to: Double): Duration =
            (from + random.nextDouble() * (to - from)).seconds.toWholeMillis()

        private fun fault(
            kind: FaultKind,
            after: Duration,
            lasts: Duration = Duration.ZERO,
            share: Double = 0.0,
            from: String = "all",
        ) = Fault(kind, (at + after).toWholeMillis(), lasts, share, Fault.LEADER, from, CutMode.entries.random(random))

        /** Faults of the leader. */
        fun leaderFaults(): List<Fault> = when (random.nextInt(4)) {
            0 -> listOf(fault(FaultKind.CRASH, randomDuration(0.1, 6.0), randomDuration(0.2, 6.0)))

            1 -> listOf(fault(FaultKind.FREEZE, randomDuration(0.1, 6.0), randomDuration(1.0, 12.0)))

            2 -> listOf(
                fault(FaultKind.CRASH, randomDuration(0.1, 4.0), randomDuration(0.2, 6.0)),
                fault(FaultKind.CRASH, randomDuration(5.0, 20.0), randomDuration(0.2, 6.0)),
            )

            else -> listOf(fault(FaultKind.CUT, randomDuration(0.0, 3.0), randomDuration(8.0, 40.0), from = Fault.CORE))
        }

        /** Accompanying faults. */
        fun otherFaults(): List<Fault> = when (random.nextInt(9)) {
            0 -> mutedWorkers()
            1 -> lostAnswers()
            2 -> keptCopies()
            3 -> fastBoots()
            4 -> outageAfterWithdrawals()
            5 -> deafWorkers()
            6 -> lostZone()
            7 -> burst()
            else -> refusals()
        }

        /** Workers reach no controller, and running jobs are withdrawn. */
        private fun mutedWorkers(): List<Fault> = listOf(
            fault(FaultKind.MUTE, Duration.ZERO, randomDuration(5.0, 50.0), share),
            fault(FaultKind.CALLED_OFF, randomDuration(0.0, 8.0), randomDuration(0.0, 30.0), share),
        )

        /** Answers are lost, and jobs are withdrawn. */
        private fun lostAnswers(): List<Fault> = listOf(
            fault(FaultKind.LOST_ANSWERS, Duration.ZERO, randomDuration(10.0, 60.0), share),
            fault(FaultKind.WITHDRAWALS, randomDuration(0.0, 9.0), share = share),
        )

        /** Copies of reports are kept for the next leader, and machines die or hang for about a lease. */
        private fun keptCopies(): List<Fault> = listOf(
            fault(FaultKind.KEPT_COPIES, Duration.ZERO, randomDuration(10.0, 60.0), share),
            fault(FaultKind.DIE, randomDuration(0.0, 5.0), share = 0.2),
            fault(
                FaultKind.HANG,
                randomDuration(0.0, 5.0),
                lease + randomDuration(-9.0, 9.0),
                share = 0.3,
            ),
        )

        /** Machines boot fast and die, and transactions are late or lose their answers. */
        private fun fastBoots(): List<Fault> = listOf(
            fault(FaultKind.FAST_BOOT, Duration.ZERO, randomDuration(10.0, 60.0)),
            fault(FaultKind.DIE, randomDuration(0.0, 4.0), share = 0.3),
            fault(
                if (random.nextBoolean()) FaultKind.LOST_ANSWERS else FaultKind.LATE_COMMITS,
                Duration.ZERO,
                randomDuration(10.0, 40.0),
                share,
            ),
        )

        /** Running jobs are withdrawn, and the state service has an outage. */
        private fun outageAfterWithdrawals(): List<Fault> = listOf(
            fault(FaultKind.CALLED_OFF, Duration.ZERO, randomDuration(5.0, 45.0), share),
            fault(FaultKind.OUTAGE, randomDuration(0.0, 3.0), randomDuration(3.0, 60.0)),
        )

        /** Workers receive nothing, and running jobs are withdrawn. */
        private fun deafWorkers(): List<Fault> = listOf(
            fault(FaultKind.DEAF, Duration.ZERO, randomDuration(5.0, 40.0), share),
            fault(FaultKind.CALLED_OFF, randomDuration(0.0, 5.0), Duration.ZERO, share),
        )

        /** A zone is partitioned for up to two leases, and running jobs are withdrawn. */
        private fun lostZone(): List<Fault> = listOf(
            fault(
                FaultKind.ZONE,
                Duration.ZERO,
                (lease * (0.3 + random.nextDouble() * 1.7)).toWholeMillis(),
            ).copy(target = random.nextInt(Schedule.ZONES)),
            fault(FaultKind.CALLED_OFF, randomDuration(0.0, 9.0), randomDuration(0.0, 20.0), share),
        )

        /** A burst of arrays during a rolling restart of the nodes, and withdrawals. */
        private fun burst(): List<Fault> = listOf(
            fault(FaultKind.BURST, Duration.ZERO, share = 0.3),
            fault(FaultKind.ROLL, randomDuration(0.0, 9.0), randomDuration(6.0, 14.0)),
            fault(FaultKind.WITHDRAWALS, randomDuration(0.0, 9.0), share = share),
        )

        /**
         * The state service refuses the leader, running jobs are withdrawn, and the service has an outage of about a
         * lease.
         */
        private fun refusals(): List<Fault> = listOf(
            fault(FaultKind.REFUSED, Duration.ZERO, randomDuration(3.0, 20.0)),
            fault(FaultKind.CALLED_OFF, randomDuration(0.0, 5.0), Duration.ZERO, share),
            fault(
                FaultKind.OUTAGE,
                randomDuration(1.0, 9.0),
                lease + 30.seconds + randomDuration(-40.0, 9.0),
            ),
        )
    }

    private const val SEED_SALT = 0xe2c0L
    private const val HALF = 0.5
    private const val MAX_SCENARIOS = 3

    /** In one of so many storms, team quotas are scaled by [TIGHT_QUOTA_SCALE]. */
    private const val ONE_TIGHT_QUOTA_IN = 3L
    private const val TIGHT_QUOTA_SCALE = 0.6

    private const val ONE_WITHOUT_REPEATS_IN = 4L
    private val REPEAT_SHARES = listOf(0.02, 0.1, 0.4)
    private const val FAILING_TASKS_SHARE = 0.04
}
