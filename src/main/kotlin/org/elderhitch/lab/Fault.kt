package org.elderhitch.lab

import kotlinx.coroutines.delay
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The kinds of faults, with the value in schedule files. */
internal enum class FaultKind(val word: String) {
    /** A share of the machines hangs. */
    HANG("machines_hang"),
    DIE("machines_die"),

    /** Machines rented meanwhile boot slower by a factor. */
    SLOW_BOOT("slow_boot"),

    /** A share of the spot machines is removed without notice. */
    SPOT("spot_taken"),
    ZONE("zone_cut"),
    CRASH("node_crash"),
    CRASH_ALL("all_crash"),
    ROLL("roll"),
    FREEZE("node_freeze"),

    /** A node is partitioned from all hosts, or only from those named by [Fault.from]. */
    CUT("node_cut"),
    REFUSED("state_refuses"),
    OUTAGE("state_outage"),
    CLOUD("cloud_outage"),
    LATE_COMMITS("late_commits"),
    LATE_REPORTS("late_reports"),
    LATE_COMMANDS("late_commands"),
    PEERS("peers_refuse"),
    BURST("burst"),

    /** A share of the machines receives nothing, while its reports arrive. */
    DEAF("machines_deaf"),

    /** A copy of a share of the reports arrives again, up to 60 s later: well over a lease. */
    COPIES("report_copies"),

    /** A share of the state service's answers is delayed by up to 4 s. */
    SLOW_STATE("state_slow"),

    /** Users withdraw a share of the open jobs at once, through any node. */
    WITHDRAWALS("withdrawals"),

    /** A share of the machines reaches no controller, while commands and requests to them arrive. */
    MUTE("machines_mute"),

    /** A share of the transactions is executed at once, and only the answer is lost. */
    LOST_ANSWERS("answers_lost"),

    /** A copy of a share of the reports is kept, and delivered to every controller when the next leader takes over. */
    KEPT_COPIES("copies_for_next"),

    /** A share of the jobs is withdrawn at the moment of completion. */
    AT_END("withdrawals_at_end"),

    /**
     * Users poll all nodes within milliseconds after a job was accepted, ended or withdrawn, and repeat its submission.
     */
    LOOKS("close_looks"),

    /** Users repeat submissions, withdraw jobs that are done, and submit jobs that can't run or lack a field. */
    ODD("odd_requests"),

    /**
     * A share of the running jobs is withdrawn within 200 ms; up to 8 of their machines hang for the fault's duration.
     */
    CALLED_OFF("called_off"),

    /** Machines rented meanwhile boot within 2 s. */
    FAST_BOOT("fast_boot"),

    /** Users submit four one-task jobs a second, and withdraw a quarter of them. */
    SWARM("one_task_jobs"),

    /** A share of the requests that were executed and answered arrives once more, 0.1 to 120 s later, on every hop. */
    REPEATS("requests_repeated"),

    /** A share of the tasks fails as soon as it runs for the first time. */
    TASK_FAILURES("tasks_fail"),
    ;

    companion object {
        /**
         * The kinds that [ScheduleGenerator.overlapping] draws from. Fixed, so that a seed always gives the same
         * schedule.
         */
        val DRAWN: List<FaultKind> = entries.takeWhile { it != DEAF }
    }
}

/** One fault of a schedule. [at]: from the schedule's start. [share]: of machines, messages or jobs, or a factor. */
internal data class Fault(
    val kind: FaultKind,
    val at: Duration,
    val lasts: Duration = Duration.ZERO,
    val share: Double = 0.0,
    /** Index of a zone or node; node -1 is the one that leads when the fault begins. */
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
        val UNREACHABLE_GROUPS = listOf("all", "state", "workers", "peers")

        /** The state service and the other controllers, but not workers or users. */
        const val CORE = "core"

        /** For a zone: it is partitioned from the other zones, while hosts that belong to none still reach it. */
        const val OTHER_ZONES = "zones"

        /** Throws [MalformedJson] with the field's name. */
        fun decode(from: JsonObject): Fault {
            val kind = kind(from.string("kind"))
            val unreachableGroup = unreachableGroup(from.stringOrNull("from") ?: "all")
            val mode = from.stringOrNull("mode")?.let(::mode)
            val share = share(from)
            val target = target(from)
            return Fault(
                kind,
                from.count("at_ms").milliseconds,
                (from.longOrNull("lasts_ms") ?: 0).milliseconds,
                share,
                target,
                unreachableGroup,
                mode ?: CutMode.HOLD,
            )
        }

        private fun kind(word: String): FaultKind =
            FaultKind.entries.firstOrNull { it.word == word } ?: throw MalformedJson("kind: $word is unknown")

        private fun mode(word: String): CutMode = CutMode.entries.firstOrNull { it.name.lowercase() == word }
            ?: throw MalformedJson("mode: $word is unknown")

        private fun unreachableGroup(word: String): String {
            val known = UNREACHABLE_GROUPS + OTHER_ZONES + CORE
            return if (word in known) word else throw MalformedJson("from: $word is none of $known")
        }

        private fun share(from: JsonObject): Double {
            val share = from.amountOrNull("share") ?: 0.0
            return if (share in 0.0..MAX_SHARE) share else throw MalformedJson("share: $share is out of range")
        }

        private fun target(from: JsonObject): Int {
            val target = from.raw("target") as? Long ?: 0
            if (target !in LEADER..MAX_TARGET) throw MalformedJson("target: $target is out of range")
            return target.toInt()
        }

        private const val MAX_TARGET = 8

        /** A share of machines or messages; for slow boots, a factor. */
        private const val MAX_SHARE = 20.0
    }
}

/** Draws whether the fault affects one of the machines or messages that it may affect. */
internal fun Fault.affectsNext(random: Random): Boolean = random.nextDouble() < share

/** Lets the fault begin, and end when its duration is over. */
internal suspend fun Fault.takeEffect(begin: () -> Unit, end: () -> Unit) {
    begin()
    delay(lasts)
    end()
}
