package org.elderhitch.lab

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How a storm's schedule comes from its seed, by the words of the command line. */
internal enum class Draw(val word: String) {
    /** Rows of meetings for odd seeds, overlapping troubles for even ones. */
    USUAL("usual"),

    /** [FaultScenarios]. */
    ENCOUNTERS("encounters"),
}

/**
 * Meetings of what users do with what fails: each a user's habit that lasts (close looks, withdrawals at the end, odd
 * requests, a swarm), a trouble of messages or machines, and
 * a change of leader or an outage in its middle. In one of three storms the teams are at their limits throughout.
 */
internal object FaultScenarios {
    fun draw(seed: Long, machines: Int, span: Duration, lease: Duration): Schedule {
        val random = Random(seed xor SALT)
        val habits = listOf(
            Kind.LOOKS,
            Kind.AT_END,
            Kind.ODD,
            Kind.SWARM,
        ).shuffled(random).take(1 + random.nextInt(3)).map { kind ->
            Trouble(
                kind,
                (span * (random.nextDouble() * HALF)).whole(),
                (span * (HALF * (1 + random.nextDouble()))).whole(),
                share =
                0.2 + random.nextDouble() * HALF,
            )
        }
        val meetings = List(1 + random.nextInt(MOST)) { meeting(span * random.nextDouble(), lease, random) }.flatten()
        val room = if (seed % TIGHT_OF == 0L) TIGHT else 1.0
        return Schedule(seed, machines, span, (habits + meetings).sortedBy { it.at }, room = room)
    }

    private fun Duration.whole(): Duration = inWholeMilliseconds.milliseconds

    private fun meeting(at: Duration, lease: Duration, random: Random): List<Trouble> {
        val meeting = Meeting(at, lease, random)
        return meeting.change() + meeting.company()
    }

    /** One meeting at [at]: a change of leader, and the troubles that come with it. Draws keep the rows' order. */
    private class Meeting(private val at: Duration, private val lease: Duration, private val random: Random) {
        /** The share of messages, machines or jobs that are concerned. */
        private val part = 0.1 + random.nextDouble() * 0.4

        private fun some(from: Double, to: Double): Duration =
            (from + random.nextDouble() * (to - from)).seconds.whole()

        private fun next(
            kind: Kind,
            after: Duration,
            lasts: Duration = Duration.ZERO,
            share: Double = 0.0,
            from: String = "all",
        ) = Trouble(kind, (at + after).whole(), lasts, share, Trouble.LEADER, from, CutMode.entries.random(random))

        /** What happens to the leader. */
        fun change(): List<Trouble> = when (random.nextInt(4)) {
            0 -> listOf(next(Kind.CRASH, some(0.1, 6.0), some(0.2, 6.0)))

            1 -> listOf(next(Kind.FREEZE, some(0.1, 6.0), some(1.0, 12.0)))

            2 -> listOf(
                next(Kind.CRASH, some(0.1, 4.0), some(0.2, 6.0)),
                next(Kind.CRASH, some(5.0, 20.0), some(0.2, 6.0)),
            )

            else -> listOf(next(Kind.CUT, some(0.0, 3.0), some(8.0, 40.0), from = Trouble.CORE))
        }

        /** What happens besides. */
        fun company(): List<Trouble> = when (random.nextInt(9)) {
            0 -> mutedWorkers()
            1 -> lostAnswers()
            2 -> keptCopies()
            3 -> fastBoots()
            4 -> outageAfterCallingOff()
            5 -> deafWorkers()
            6 -> lostZone()
            7 -> burst()
            else -> refusals()
        }

        /** Workers fall silent, and jobs are called off. */
        private fun mutedWorkers(): List<Trouble> = listOf(
            next(Kind.MUTE, Duration.ZERO, some(5.0, 50.0), part),
            next(Kind.CALLED_OFF, some(0.0, 8.0), some(0.0, 30.0), part),
        )

        /** Answers are lost, and jobs are withdrawn. */
        private fun lostAnswers(): List<Trouble> = listOf(
            next(Kind.LOST_ANSWERS, Duration.ZERO, some(10.0, 60.0), part),
            next(Kind.WITHDRAWALS, some(0.0, 9.0), share = part),
        )

        /** Copies of messages are kept, and machines die or hang for about a lease. */
        private fun keptCopies(): List<Trouble> = listOf(
            next(Kind.KEPT_COPIES, Duration.ZERO, some(10.0, 60.0), part),
            next(Kind.DIE, some(0.0, 5.0), share = 0.2),
            next(
                Kind.HANG,
                some(0.0, 5.0),
                lease + some(-9.0, 9.0),
                share = 0.3,
            ),
        )

        /** Machines boot fast and die, and commits go astray. */
        private fun fastBoots(): List<Trouble> = listOf(
            next(Kind.FAST_BOOT, Duration.ZERO, some(10.0, 60.0)),
            next(Kind.DIE, some(0.0, 4.0), share = 0.3),
            next(
                if (random.nextBoolean()) Kind.LOST_ANSWERS else Kind.LATE_COMMITS,
                Duration.ZERO,
                some(10.0, 40.0),
                part,
            ),
        )

        /** Jobs are called off, and the state service fails. */
        private fun outageAfterCallingOff(): List<Trouble> = listOf(
            next(Kind.CALLED_OFF, Duration.ZERO, some(5.0, 45.0), part),
            next(Kind.OUTAGE, some(0.0, 3.0), some(3.0, 60.0)),
        )

        /** Workers hear nothing, and jobs are called off. */
        private fun deafWorkers(): List<Trouble> = listOf(
            next(Kind.DEAF, Duration.ZERO, some(5.0, 40.0), part),
            next(Kind.CALLED_OFF, some(0.0, 5.0), Duration.ZERO, part),
        )

        /** A zone is lost for up to two leases, and jobs are called off. */
        private fun lostZone(): List<Trouble> = listOf(
            next(
                Kind.ZONE,
                Duration.ZERO,
                (lease * (0.3 + random.nextDouble() * 1.7)).whole(),
            ).copy(target = random.nextInt(Schedule.ZONES)),
            next(Kind.CALLED_OFF, some(0.0, 9.0), some(0.0, 20.0), part),
        )

        /** Many arrays come at once while the nodes are rolled, and jobs are withdrawn. */
        private fun burst(): List<Trouble> = listOf(
            next(Kind.BURST, Duration.ZERO, share = 0.3),
            next(Kind.ROLL, some(0.0, 9.0), some(6.0, 14.0)),
            next(Kind.WITHDRAWALS, some(0.0, 9.0), share = part),
        )

        /** Starts are refused, jobs are called off, and the state service fails for about a lease. */
        private fun refusals(): List<Trouble> = listOf(
            next(Kind.REFUSED, Duration.ZERO, some(3.0, 20.0)),
            next(Kind.CALLED_OFF, some(0.0, 5.0), Duration.ZERO, part),
            next(
                Kind.OUTAGE,
                some(1.0, 9.0),
                lease + 30.seconds + some(-40.0, 9.0),
            ),
        )
    }

    private const val SALT = 0xe2c0L
    private const val HALF = 0.5
    private const val MOST = 3

    /** In one of so many storms the teams may use so much of what they may use else. */
    private const val TIGHT_OF = 3L
    private const val TIGHT = 0.6
}
