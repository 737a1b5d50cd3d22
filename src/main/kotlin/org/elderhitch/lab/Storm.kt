package org.elderhitch.lab

import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The kinds of trouble a storm is made of, by the words of its schedule files. */
internal enum class Kind(val word: String) {
    /** A share of the machines stands still. */
    HANG("machines_hang"),
    DIE("machines_die"),

    /** Machines rented meanwhile boot as many times slower. */
    SLOW_BOOT("slow_boot"),

    /** A share of the spot machines goes at once. */
    SPOT("spot_taken"),
    ZONE("zone_cut"),
    CRASH("node_crash"),
    CRASH_ALL("all_crash"),
    ROLL("roll"),
    FREEZE("node_freeze"),

    /** A node loses all hosts, or only those that [Trouble.from] names. */
    CUT("node_cut"),
    REFUSED("state_refuses"),
    OUTAGE("state_outage"),
    CLOUD("cloud_outage"),
    LATE_COMMITS("late_commits"),
    LATE_REPORTS("late_reports"),
    LATE_COMMANDS("late_commands"),
    PEERS("peers_refuse"),
    BURST("burst"),

    /** A share of the machines hears nothing, and is heard. */
    DEAF("machines_deaf"),

    /** Of a share of the reports a copy arrives again, up to well over a lease later. */
    COPIES("report_copies"),

    /** A share of the state service's answers takes seconds. */
    SLOW_STATE("state_slow"),

    /** Users withdraw a share of the open jobs at once, each through any node. */
    WITHDRAWALS("withdrawals"),

    /** A share of the machines reaches no controller, while commands and questions reach them. */
    MUTE("machines_mute"),

    /** A share of the transactions is carried out at once, and only the answer is lost. */
    LOST_ANSWERS("answers_lost"),

    /** Of a share of the reports a copy is kept, and reaches every controller when the next leader begins. */
    KEPT_COPIES("copies_for_next"),

    /** A share of the jobs that end is withdrawn at that moment. */
    AT_END("withdrawals_at_end"),

    /**
     * Users ask all nodes within milliseconds after a job was accepted, ended or withdrawn, and repeat its submission.
     */
    LOOKS("close_looks"),

    /** Users repeat submissions, withdraw what is done, and submit what can't run or lacks a field. */
    ODD("odd_requests"),

    /** A share of the running jobs is withdrawn within a fifth of a second; some of their machines hang for so long. */
    CALLED_OFF("called_off"),

    /** Machines rented meanwhile are up within two seconds. */
    FAST_BOOT("fast_boot"),

    /** Jobs of one task, four a second, a quarter of them withdrawn. */
    SWARM("one_task_jobs"),
    ;

    companion object {
        /** What [Schedule.draw] draws from: a seed gives the schedule that it always gave. */
        val DRAWN: List<Kind> = entries.takeWhile { it != DEAF }
    }
}

/** One trouble of a schedule. [share]: of machines, or of messages; times count from the schedule's start. */
internal data class Trouble(
    val kind: Kind,
    val at: Duration,
    val lasts: Duration = Duration.ZERO,
    val share: Double = 0.0,
    /** Zone or node by its number; of nodes, -1 is the one that leads when it comes. */
    val target: Int = 0,
    val from: String = "all",
    val mode: CutMode = CutMode.HOLD,
) {
    fun encode(): Map<String, Any?> = linkedMapOf(
        "kind" to kind.word,
        "at_ms" to at.inWholeMilliseconds,
        "lasts_ms" to lasts.inWholeMilliseconds,
        "share" to share,
        "target" to target,
        "from" to from,
        "mode" to mode.name.lowercase(),
    )

    companion object {
        const val LEADER = -1
        val LOST = listOf("all", "state", "workers", "peers")

        /** State service and other controllers, not workers or users. */
        const val CORE = "core"

        /** Of a zone: it loses the other zones, while hosts that belong to none still reach it. */
        const val OTHER_ZONES = "zones"

        /** Throws [MalformedJson] with the field's name. */
        fun decode(from: JsonObject): Trouble {
            val kind = from.string("kind").let { word ->
                Kind.entries.firstOrNull { it.word == word }
                    ?: throw MalformedJson("kind: $word is unknown")
            }
            val lost = from.stringOrNull("from") ?: "all"
            if (lost !in LOST &&
                lost != OTHER_ZONES &&
                lost != CORE
            ) {
                throw MalformedJson("from: $lost is none of ${LOST + OTHER_ZONES + CORE}")
            }
            val mode = from.stringOrNull("mode")?.let { word ->
                CutMode.entries.firstOrNull {
                    it.name.lowercase() ==
                        word
                }
                    ?: throw MalformedJson("mode: $word is unknown")
            }
            val share = from.amountOrNull("share") ?: 0.0
            if (share !in 0.0..MOST_SHARE) throw MalformedJson("share: $share is out of range")
            val target = from.raw("target") as? Long ?: 0
            if (target !in LEADER..MOST_TARGETS) throw MalformedJson("target: $target is out of range")
            return Trouble(
                kind,
                from.count("at_ms").milliseconds,
                (from.longOrNull("lasts_ms") ?: 0).milliseconds,
                share,
                target.toInt(),
                lost,
                mode ?: CutMode.HOLD,
            )
        }

        private const val MOST_TARGETS = 8

        /** A part of machines or messages; of slow boots, how many times slower. */
        private const val MOST_SHARE = 20.0
    }
}

/** What a storm's machines and users are like, by the words of schedule files. */
internal enum class Shape(val word: String) {
    /** One type with accelerators; services, arrays and gangs, teams with limits. */
    ACCELERATORS("accelerators"),

    /** Many small machines and few large ones, a class that fits only these, no accelerators and no limits. */
    TYPES("types"),
}

/** A world's size, shape and seed, and its troubles: all that a storm depends on. */
internal data class Schedule(
    val seed: Long,
    val machines: Int,
    val span: Duration,
    val troubles: List<Trouble>,
    val shape: Shape = Shape.ACCELERATORS,
    /** What the teams may use, as a part of what they may use else: at a small one they are always at their limits. */
    val room: Double = 1.0,
) {
    fun encode(): String = Json.text(
        linkedMapOf(
            "seed" to seed,
            "machines" to machines,
            "span_s" to span.inWholeSeconds,
            "shape" to shape.word,
            "room" to room,
            "troubles" to troubles.map { it.encode() },
        ),
    )

    companion object {
        const val ZONES = 3
        const val NODES = 3

        fun decode(text: ByteArray): Schedule {
            val body = Json.parseObject(text)
            val shape = body.stringOrNull("shape")?.let { word ->
                Shape.entries.firstOrNull { it.word == word }
                    ?: throw MalformedJson("shape: $word is unknown")
            }
            if (body.count("machines") == 0L) throw MalformedJson("machines: none")
            val room = body.amountOrNull("room") ?: 1.0
            if (room <= 0.0 || room > 1.0) throw MalformedJson("room: $room is out of range")
            return Schedule(
                body.count("seed"),
                body.count("machines").toInt(),
                body.count("span_s").toInt().seconds,
                body.objects("troubles").map(Trouble::decode),
                shape ?: Shape.ACCELERATORS,
                room,
            )
        }

        /**
         * Overlapping troubles of all kinds; as likely longer than a lease as shorter. Each schedule prefers some kinds
         * to others. Seed 0 is the
         * shape of the day on which a rule broke first: one zone, cut for longer than a lease, all connections reset
         * (`docs/incidents/sessions-told.md`).
         */
        fun draw(seed: Long, machines: Int, span: Duration, lease: Duration): Schedule {
            if (seed ==
                0L
            ) {
                return Schedule(
                    0,
                    machines,
                    span,
                    listOf(Trouble(Kind.ZONE, 60.seconds, lease * 1.7, mode = CutMode.RESET)),
                )
            }
            val random = Random(seed)
            val favoured = Kind.DRAWN.shuffled(random).take(FAVOURED)
            val troubles = List(random.nextInt(LEAST, MOST)) {
                val kind = if (random.nextBoolean()) favoured.random(random) else Kind.DRAWN.random(random)
                val drawn = trouble(kind, span * random.nextDouble(), lease, random)
                if (kind == Kind.ZONE &&
                    seed % APART_OF == APART_OF - 1
                ) {
                    drawn.copy(from = Trouble.OTHER_ZONES)
                } else {
                    drawn
                }
            }
            return Schedule(seed, machines, span, troubles.sortedBy { it.at })
        }

        /** The schedule of a storm: that of odd seeds is a row of [meetings]. */
        fun of(seed: Long, machines: Int, span: Duration, lease: Duration): Schedule = if (seed % 2 ==
            1L
        ) {
            meetings(seed, machines, span, lease)
        } else {
            draw(seed, machines, span, lease)
        }

        /**
         * Troubles that meet, as the operators have seen rules broken by them (`docs/design/meetings.md`): one begins
         * within seconds of the other, or while it lasts. [lease]: the
         * time to cancel is 30 s longer.
         */
        fun meetings(seed: Long, machines: Int, span: Duration, lease: Duration): Schedule {
            val random = Random(seed)
            val troubles = List(random.nextInt(1, MOST_MEETINGS)) {
                meeting(span * random.nextDouble(), lease, random)
            }.flatten()
            return Schedule(seed, machines, span, troubles.sortedBy { it.at })
        }

        private fun meeting(at: Duration, lease: Duration, random: Random): List<Trouble> {
            fun some(from: Double, to: Double): Duration =
                (from + random.nextDouble() * (to - from)).seconds.inWholeMilliseconds.milliseconds
            fun next(
                kind: Kind,
                after: Duration,
                lasts: Duration,
                share: Double = 0.0,
                target: Int = Trouble.LEADER,
                from: String = "all",
            ) = Trouble(kind, at + after, lasts, share, target, from, CutMode.entries.random(random))
            val beyond = lease + 30.seconds + some(1.0, 12.0)
            return when (random.nextInt(MEETINGS)) {
                // A leader ends while machines can't be reached, or hear nothing; once more before they are back.
                0 -> listOf(
                    next(
                        if (random.nextBoolean()) Kind.DEAF else Kind.HANG,
                        Duration.ZERO,
                        lease + some(0.0, 15.0),
                        share =
                        0.1 + random.nextDouble() * 0.4,
                    ),
                    next(Kind.CRASH, some(0.1, 4.0), some(1.0, 6.0)),
                    next(Kind.WITHDRAWALS, some(0.0, 12.0), Duration.ZERO, share = 0.3),
                    next(Kind.CRASH, some(12.0, 20.0), some(1.0, 6.0)),
                )

                1 -> listOf(
                    next(Kind.LATE_COMMANDS, Duration.ZERO, some(10.0, 60.0), share = 0.4),
                    next(Kind.HANG, some(1.0, 8.0), some(2.0, 30.0), share = 0.3),
                    next(Kind.BURST, some(0.5, 2.0), Duration.ZERO, share = 0.1),
                )

                2 -> listOf(
                    next(Kind.LATE_COMMITS, Duration.ZERO, some(20.0, 60.0), share = 0.3),
                    next(Kind.CRASH, some(2.0, 15.0), some(0.1, 3.0)),
                    next(Kind.FREEZE, some(16.0, 20.0), some(2.0, 9.0)),
                )

                3 -> listOf(
                    next(Kind.CRASH, Duration.ZERO, some(0.1, 1.0)),
                    next(Kind.CRASH, some(0.3, 1.5), some(0.1, 1.0)),
                    next(Kind.CRASH_ALL, some(2.0, 9.0), some(0.1, 1.0)),
                )

                4 -> listOf(
                    next(Kind.CUT, Duration.ZERO, some(10.0, 60.0), from = Trouble.CORE),
                    next(Kind.WITHDRAWALS, some(0.1, 12.0), Duration.ZERO, share = 0.4),
                )

                5 -> listOf(
                    next(Kind.SLOW_STATE, Duration.ZERO, some(5.0, 40.0), share = 0.4),
                    next(Kind.REFUSED, some(0.1, 6.0), some(5.0, 20.0)),
                    next(Kind.OUTAGE, some(2.0, 9.0), if (random.nextBoolean()) beyond else some(5.0, 30.0)),
                )

                // The stop of what was just withdrawn is lost, and then nobody may command; or the controllers don't
                // hear each other either.
                7 -> listOf(
                    next(Kind.DEAF, Duration.ZERO, some(4.0, 9.0), share = 0.5),
                    next(Kind.WITHDRAWALS, some(0.1, 3.0), Duration.ZERO, share = 0.4),
                    next(Kind.PEERS, some(0.0, 3.0), some(10.0, 60.0)),
                    next(Kind.OUTAGE, some(3.0, 8.0), beyond),
                )

                6 -> listOf(
                    next(Kind.COPIES, Duration.ZERO, some(30.0, 90.0), share = 0.4),
                    next(Kind.CRASH, some(3.0, 20.0), some(1.0, 8.0)),
                    next(
                        Kind.HANG,
                        some(1.0, 20.0),
                        lease + some(0.0, 9.0),
                        share = 0.3,
                    ),
                )

                // Ends lie far apart across changes of the leader.
                else -> listOf(
                    next(Kind.DIE, Duration.ZERO, Duration.ZERO, share = 0.2),
                    next(Kind.CRASH, some(5.0, 12.0), some(1.0, 5.0)),
                    next(Kind.CRASH, some(14.0, 25.0), some(1.0, 5.0)),
                )
            }
        }

        private fun trouble(kind: Kind, at: Duration, lease: Duration, random: Random): Trouble {
            val aroundLease = lease * (0.3 + random.nextDouble() * 1.7)
            val node = if (random.nextBoolean()) Trouble.LEADER else random.nextInt(NODES)
            val mode = CutMode.entries.random(random)
            val short = (1 + random.nextDouble() * 11).seconds
            return when (kind) {
                Kind.HANG -> Trouble(kind, at, aroundLease, 0.05 + random.nextDouble() * 0.5)

                Kind.DIE -> Trouble(kind, at, share = 0.02 + random.nextDouble() * 0.3)

                Kind.SPOT -> Trouble(kind, at, share = 0.3 + random.nextDouble() * 0.7)

                Kind.SLOW_BOOT -> Trouble(kind, at, aroundLease * 2, share = 2 + random.nextDouble() * 4)

                Kind.ZONE -> Trouble(kind, at, aroundLease, target = random.nextInt(ZONES), mode = mode)

                Kind.CRASH, Kind.CRASH_ALL -> Trouble(kind, at, short, target = node)

                Kind.ROLL -> Trouble(kind, at, (4 + random.nextInt(12)).seconds)

                Kind.FREEZE -> Trouble(kind, at, aroundLease * random.nextDouble(), target = node)

                Kind.CUT -> Trouble(
                    kind,
                    at,
                    aroundLease,
                    target = node,
                    from = Trouble.LOST.random(random),
                    mode = mode,
                )

                Kind.REFUSED -> Trouble(kind, at, aroundLease, target = node)

                Kind.OUTAGE, Kind.CLOUD, Kind.PEERS -> Trouble(kind, at, aroundLease)

                Kind.LATE_COMMITS, Kind.LATE_REPORTS, Kind.LATE_COMMANDS -> Trouble(
                    kind,
                    at,
                    aroundLease * 2,
                    share =
                    0.05 + random.nextDouble() * 0.3,
                )

                Kind.BURST -> Trouble(kind, at, share = 0.05 + random.nextDouble() * 0.25)

                Kind.DEAF -> Trouble(kind, at, aroundLease, 0.05 + random.nextDouble() * 0.5)

                Kind.WITHDRAWALS -> Trouble(kind, at, share = 0.1 + random.nextDouble() * 0.4)

                Kind.MUTE,
                Kind.LOST_ANSWERS,
                Kind.AT_END,
                Kind.LOOKS,
                Kind.ODD,
                Kind.CALLED_OFF,
                Kind.FAST_BOOT,
                Kind.SWARM,
                Kind.KEPT_COPIES,
                Kind.COPIES, Kind.SLOW_STATE,
                -> Trouble(
                    kind,
                    at,
                    aroundLease * 2,
                    share =
                    0.1 + random.nextDouble() * 0.4,
                )
            }
        }

        private const val FAVOURED = 4
        private const val MEETINGS = 9
        private const val MOST_MEETINGS = 5

        /** In one seed of so many zones lose only each other. */
        private const val APART_OF = 4L
        private const val LEAST = 3
        private const val MOST = 14
    }
}

/** Makes a failing schedule smaller for as long as it still fails: without troubles, then with shorter ones. */
internal object Shrink {
    fun smallest(failing: Schedule, tries: Int, fails: (Schedule) -> Boolean): Schedule {
        var best = failing
        var left = tries
        fun attempt(candidate: Schedule): Boolean {
            if (left-- <= 0 || !fails(candidate)) return false
            best = candidate
            return true
        }
        var part = maxOf(1, best.troubles.size / 2)
        while (part >= 1 && left > 0) {
            var at = 0
            while (at < best.troubles.size && left > 0) {
                val without = best.troubles.filterIndexed { n, _ -> n !in at until at + part }
                if (!attempt(best.copy(troubles = without))) at += part
            }
            part /= 2
        }
        for (n in best.troubles.indices) {
            while (left > 0) {
                val t = best.troubles[n]
                val halved = t.copy(lasts = (t.lasts / 2).inWholeMilliseconds.milliseconds)
                if (t.lasts < 2.seconds ||
                    !attempt(best.copy(troubles = best.troubles.toMutableList().also { it[n] = halved }))
                ) {
                    break
                }
            }
        }
        return best
    }
}
